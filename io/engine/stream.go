package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fault"
	"cicadabeam/core/generation"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// stream reads server-sent events.
type stream struct {
	body   io.ReadCloser
	lines  *bufio.Scanner
	cancel context.CancelFunc
	peer   string
	tokens int
}

func newStream(body io.ReadCloser, cancel context.CancelFunc, peer string) *stream {
	s := &stream{body: body, lines: bufio.NewScanner(body), cancel: cancel, peer: peer}
	s.lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	return s
}

// Close implements generation.Stream. Closing the connection makes the engine
// stop.
func (s *stream) Close() {
	s.cancel()
	_ = s.body.Close()
}

// Next implements generation.Stream.
func (s *stream) Next() (generation.Chunk, error) {
	for s.lines.Scan() {
		data, found := bytes.CutPrefix(s.lines.Bytes(), []byte("data:"))
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			return generation.Chunk{}, generation.ErrEndOfStream
		}
		return s.decode(data)
	}
	err := s.lines.Err()
	if err == nil {
		err = errors.New("the stream ended without its finish marker")
	}
	return generation.Chunk{}, s.failed(err)
}

func (s *stream) failed(err error) error {
	return fault.Wrap(err, fault.ServerFailed, "read-stream", s.peer)
}

// event is one event in the form of the chat or text completion interface.
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
		return generation.Chunk{}, s.failed(err)
	}
	if len(e.Error) > 0 {
		return generation.Chunk{}, s.failed(errors.Newf("the engine reports %s", e.Error))
	}
	c := generation.Chunk{}
	if len(e.Choices) > 0 {
		x := e.Choices[0]
		c.Text = x.Delta.Content + x.Text
		if x.FinishReason != nil {
			c.Finish = *x.FinishReason
		}
	}
	s.count(&c, e.Usage)
	return c, nil
}

// count fills in the tokens so far. An engine that doesn't report them with each
// event is taken to send one token in each.
func (s *stream) count(c *generation.Chunk, u *usage) {
	if c.Text != "" {
		s.tokens++
	}
	if u != nil {
		s.tokens = u.Completion
		c.Prompt = u.Prompt
	}
	c.Completion = s.tokens
}
