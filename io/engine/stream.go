package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/bytebudget"
	"cicadabeam/core/fault"
	"cicadabeam/core/generation"
)

// maxEventBytes limits the size of one line of a stream, and thereby of an event's data, and
// that of the lines without data before it.
const maxEventBytes = 1 << 20

// firstLineBytes is the first size of a stream's buffer.
const firstLineBytes = 4 << 10

// stream reads the server-sent events of an attempt.
type stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	cancel  context.CancelFunc
	server  string
	tokens  int
	held    *bytebudget.Holder // of the scanner's buffer
	size    int                // bytes taken for it
}

func newStream(body io.ReadCloser, cancel context.CancelFunc, server string, held *bytebudget.Holder) *stream {
	s := &stream{body: body, scanner: bufio.NewScanner(body), cancel: cancel, server: server, held: held}
	s.scanner.Buffer(make([]byte, 0, firstLineBytes), maxEventBytes)
	s.scanner.Split(s.splitLines)
	return s
}

// splitLines splits lines. It takes bytes before the scanner, whose buffer doubles, reads more of a
// long one.
func (s *stream) splitLines(data []byte, atEOF bool) (int, []byte, error) {
	advance, line, err := bufio.ScanLines(data, atEOF)
	if need := min(2*len(data), maxEventBytes); advance == 0 && len(data) > firstLineBytes/2 && need > s.size {
		if err := s.held.Take(need - s.size); err != nil {
			return 0, nil, err
		}
		s.size = need
	}
	return advance, line, err
}

// Close implements generation.Stream. It closes the connection, which makes the engine
// stop generating.
func (s *stream) Close() {
	s.cancel()
	_ = s.body.Close()
	s.held.Release()
}

// Next implements generation.Stream.
func (s *stream) Next() (generation.Chunk, error) {
	skipped := 0
	for s.scanner.Scan() {
		data, found := bytes.CutPrefix(s.scanner.Bytes(), []byte("data:"))
		if !found {
			if skipped += len(s.scanner.Bytes()) + 1; skipped > maxEventBytes {
				return generation.Chunk{}, s.readError(errors.Newf("no data in %d bytes", skipped))
			}
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			return generation.Chunk{}, generation.ErrEndOfStream
		}
		return s.decode(data)
	}
	err := s.scanner.Err()
	if err == nil {
		err = errors.New("stream ended without the end marker")
	}
	return generation.Chunk{}, s.readError(err)
}

func (s *stream) readError(err error) error {
	return fault.Wrap(err, fault.ServerFailed, "read-stream", s.server)
}

// event is the data of one event of the chat or text completion API.
type event struct {
	Choices []choice        `json:"choices"`
	Usage   *usage          `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

type choice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
}

func (s *stream) decode(data []byte) (generation.Chunk, error) {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return generation.Chunk{}, s.readError(err)
	}
	if len(e.Error) > 0 {
		return generation.Chunk{}, s.readError(errors.Newf("engine reported an error: %s", e.Error))
	}
	c := generation.Chunk{}
	if len(e.Choices) > 0 {
		x := e.Choices[0]
		c.Text = x.Delta.Content + x.Text
		if x.FinishReason != nil {
			c.Finish = *x.FinishReason
		}
	}
	s.countTokens(&c, e.Usage)
	return c, nil
}

// countTokens sets the token counts so far. If the engine doesn't report usage with each
// event, one token is counted for each event that contains text.
func (s *stream) countTokens(c *generation.Chunk, u *usage) {
	if c.Text != "" {
		s.tokens++
	}
	if u != nil {
		s.tokens = u.Completion
		c.Prompt = u.Prompt
	}
	c.Completion = s.tokens
}
