package generation

import (
	"context"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/answer"
	"cicadabeam/core/config"
)

// ErrEnd is the end of a stream that is whole. It is not io.EOF, which is also how
// a connection ends that a dying server closes.
var ErrEnd = errors.New("the stream is whole")

// Attempt is one try to produce an answer, or the rest of it, on an engine.
type Attempt struct {
	Request string // the answer's id
	Path    string
	Body    []byte
	Number  int
}

// Chunk is what an engine sends at a time. Prompt and Completion count the
// tokens of this attempt up to the chunk.
type Chunk struct {
	Text       string
	Prompt     int
	Completion int
	Finish     string
}

// Stream is a running attempt.
type Stream interface {
	// Next waits for a chunk. It returns ErrEnd after the finish marker and another
	// error when the stream ended without one.
	Next() (Chunk, error)
	// Close ends the attempt; the engine stops generating.
	Close()
}

// Health is what a probe of a server found.
type Health int

// Healthy: the server answered. Dead: nobody listens there. Silent: no answer
// came in time.
const (
	Healthy Health = iota
	Dead
	Silent
)

// Engine opens attempts on model engines.
type Engine interface {
	Open(ctx context.Context, s config.Server, a Attempt) (Stream, error)
	Probe(ctx context.Context, s config.Server) Health
}

// Copier copies the answer's new pieces to its replica, then releases them.
type Copier interface {
	Notify(a *answer.Answer)
}
