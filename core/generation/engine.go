package generation

import (
	"context"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/answer"
	"cicadabeam/core/config"
)

// ErrEndOfStream is returned at the end of a complete stream. It is distinct from io.EOF,
// which is also seen when a crashing server closes the connection.
var ErrEndOfStream = errors.New("end of stream")

// Attempt is a request to an engine to generate an answer or the rest of it.
type Attempt struct {
	Request string // the answer's ID
	Path    string
	Body    []byte
	Number  int
}

// Chunk is one event of an engine's stream. Prompt and Completion are the
// cumulative token counts of the attempt.
type Chunk struct {
	Text       string
	Prompt     int
	Completion int
	Finish     string // the finish reason, empty until the last chunk
}

// Stream is a running attempt.
type Stream interface {
	// Next waits for the next chunk. It returns ErrEndOfStream after the end marker and
	// another error if the stream broke off before it.
	Next() (Chunk, error)
	// Close cancels the attempt, so that the engine stops generating.
	Close()
}

// Health is the result of a health probe of a server.
type Health int

const (
	// Healthy means that the server answered.
	Healthy Health = iota
	// Unreachable means that the probe failed other than by a timeout, usually because
	// nothing listens at the server's address.
	Unreachable
	// Unresponsive means that the probe timed out.
	Unresponsive
)

// Engine is a client for inference engines.
type Engine interface {
	OpenStream(ctx context.Context, s config.Server, a Attempt) (Stream, error)
	Probe(ctx context.Context, s config.Server) Health
}

// Replicator replicates the new pieces of an answer and then releases them to callers.
type Replicator interface {
	Replicate(a *answer.Answer)
}
