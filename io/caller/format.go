package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"cicadabeam/core/answer"
	"cicadabeam/core/completion"
)

// The types below are the response bodies of the OpenAI-compatible API.

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type completionBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// formatter builds the response bodies of one answer.
type formatter struct {
	header answer.Header
	model  string
	chat   bool
}

func newFormatter(h answer.Header, q *completion.Request) formatter {
	return formatter{header: h, model: q.Model(), chat: q.Path() == completion.ChatPath}
}

func (f formatter) body(object string, choices []choice) completionBody {
	return completionBody{ID: f.header.ID, Object: object, Created: f.header.Created, Model: f.model, Choices: choices}
}

func (f formatter) object(stream bool) string {
	switch {
	case !f.chat:
		return "text_completion"
	case stream:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

// chunk returns the body of one event of a stream. reason is the finish reason, which
// is empty until the last chunk.
func (f formatter) chunk(role, text, reason string) completionBody {
	c := choice{FinishReason: nilIfEmpty(reason)}
	if f.chat {
		c.Delta = &message{Role: role, Content: text}
	} else {
		c.Text = &text
	}
	return f.body(f.object(true), []choice{c})
}

// usageChunk returns the body of the event that reports the token usage. It follows the
// last chunk if the caller asked for it.
func (f formatter) usageChunk(u answer.Usage) completionBody {
	b := f.body(f.object(true), []choice{})
	b.Usage = newUsage(u)
	return b
}

// response returns the response body of an answer that is not streamed.
func (f formatter) response(text, reason string, u answer.Usage) completionBody {
	c := choice{FinishReason: nilIfEmpty(reason)}
	if f.chat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	b := f.body(f.object(false), []choice{c})
	b.Usage = newUsage(u)
	return b
}

func newUsage(u answer.Usage) *usage {
	return &usage{Prompt: u.Prompt, Completion: u.Completion, Total: u.Prompt + u.Completion}
}

func nilIfEmpty(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// writeHeader sends the response header. From then on, errors can't set the status.
func (x *exchange) writeHeader(status int) {
	x.headerWritten = true
	x.summary.Status = status
	x.w.WriteHeader(status)
}

func (x *exchange) writeJSON(status int, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.writeHeader(status)
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(jsonWriteTimeout))
	_, err = x.w.Write(append(b, '\n'))
	return responseWriteError(err)
}

// jsonWriteTimeout is the time limit for writing a JSON response.
const jsonWriteTimeout = 30 * time.Second
