package engine

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/bytebudget"
	"cicadabeam/core/fault"
	"cicadabeam/core/generation"
)

func readAll(text string) ([]generation.Chunk, error) {
	s := newStream(io.NopCloser(strings.NewReader(text)), func() {}, "engine-1", nil)
	var all []generation.Chunk
	for {
		c, err := s.Next()
		if err != nil {
			return all, err
		}
		all = append(all, c)
	}
}

func TestStream(t *testing.T) {
	cases := map[string]struct {
		text     string
		chunks   int
		complete bool
	}{
		"complete":         {"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n", 1, true},
		"comments":         {": ping\n\nid: 3\ndata: {\"choices\":[]}\n\ndata: [DONE]\n", 1, true},
		"no end marker":    {"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n", 1, false},
		"truncated event":  {"data: {\"choices\":[{\"delta\":{\"cont", 0, false},
		"invalid JSON":     {"data: token\n\n", 0, false},
		"error event":      {"data: {\"error\":{\"message\":\"out of memory\"}}\n\n", 0, false},
		"empty":            {"", 0, false},
		"endless comments": {strings.Repeat(": ping\n\n", maxEventBytes/8+1) + "data: [DONE]\n", 0, false},
		"long line":        {"data: " + strings.Repeat("x", maxEventBytes+1) + "\n", 0, false},
	}
	for name, x := range cases {
		chunks, err := readAll(x.text)
		if len(chunks) != x.chunks || errors.Is(err, generation.ErrEndOfStream) != x.complete {
			t.Errorf("%s: got %d chunks and error %v", name, len(chunks), err)
		}
		if !x.complete && (!fault.Is(err, fault.ServerFailed) || fault.From(err).Peer() != "engine-1") {
			t.Errorf("%s: got error %v, want server_failed from engine-1", name, err)
		}
	}
}

// Guards against events whose sum over all streams nothing limits.
func TestLongEventTakesFromBudget(t *testing.T) {
	text := "data: {\"choices\":[{\"text\":\"" + strings.Repeat("x", 100_000) + "\"}]}\n\ndata: [DONE]\n"
	for limit, complete := range map[int64]bool{50_000: false, 1 << 20: true} {
		b := bytebudget.New(limit)
		s := newStream(io.NopCloser(strings.NewReader(text)), func() {}, "engine-1", b.Hold("stream", func() {}))
		_, err := s.Next()
		if (err == nil) != complete || !complete && !errors.Is(err, bytebudget.ErrSpent) || complete && b.Held() < 100_000 {
			t.Errorf("limit %d: got error %v, %d bytes held", limit, err, b.Held())
		}
		s.Close()
		if b.Held() != 0 {
			t.Errorf("limit %d: %d bytes are held after the stream was closed", limit, b.Held())
		}
	}
}

// Token counts come from the engine's usage report; without one, each event with text
// counts as one token.
func TestStreamCountsTokens(t *testing.T) {
	chunks, _ := readAll("data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"text\":\"b\"}],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":5}}\n\n")
	if len(chunks) != 2 || chunks[0].Completion != 1 || chunks[1].Completion != 5 || chunks[1].Prompt != 9 {
		t.Fatalf("got chunks %+v, want 2 with completion counts 1 and 5, the second with prompt count 9", chunks)
	}
}

func FuzzStream(f *testing.F) {
	f.Add("data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	f.Add("data:{}\r\n\r\ndata: null\n")
	f.Add("\n\n\ndata: [1,2]\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := readAll(text)
		if errors.Is(err, generation.ErrEndOfStream) && !strings.Contains(text, "[DONE]") {
			t.Fatal("complete stream without the end marker")
		}
	})
}
