// Package completion reads and rewrites requests in the form of the chat and
// text completion interfaces that model clients know.
//
// # Usage
//
//	r, err := completion.Parse(completion.Chat, body)
//	r.Model()
//	next, err := r.Resume(textSoFar, tokensSoFar)   // for a further engine
package completion

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cicadabeam/core/fault"
)

// The paths of the two interfaces.
const (
	Chat = "/v1/chat/completions"
	Text = "/v1/completions"
)

// prefixBytes is how much of the prompt names its prefix for the cache.
const prefixBytes = 1024

const step = "read-request"

type fields map[string]json.RawMessage

// Request is a checked request.
type Request struct {
	path         string
	fields       fields
	model        string
	stream       bool
	includeUsage bool
	maxTokens    int
	maxKey       string
}

type known struct {
	Model               string           `json:"model"`
	Stream              bool             `json:"stream"`
	N                   *int             `json:"n"`
	BestOf              *int             `json:"best_of"`
	Echo                bool             `json:"echo"`
	Logprobs            json.RawMessage  `json:"logprobs"`
	Tools               json.RawMessage  `json:"tools"`
	Functions           json.RawMessage  `json:"functions"`
	ResponseFormat      *responseFormat  `json:"response_format"`
	MaxTokens           *int             `json:"max_tokens"`
	MaxCompletionTokens *int             `json:"max_completion_tokens"`
	Messages            []map[string]any `json:"messages"`
	Prompt              json.RawMessage  `json:"prompt"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type responseFormat struct {
	Type string `json:"type"`
}

// Parse checks a body. The error is a *fault.Error.
func Parse(path string, body []byte) (*Request, error) {
	r := &Request{path: path}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, fault.Newf(fault.BadRequest, step, "", "the body is not a JSON object: %v", err)
	}
	var k known
	if err := json.Unmarshal(body, &k); err != nil {
		return nil, wrongShape(err)
	}
	if err := check(path, k); err != nil {
		return nil, err
	}
	r.model = k.Model
	r.stream = k.Stream
	r.includeUsage = k.StreamOptions.IncludeUsage
	if k.MaxTokens != nil {
		r.maxTokens, r.maxKey = *k.MaxTokens, "max_tokens"
	}
	if k.MaxCompletionTokens != nil {
		r.maxTokens, r.maxKey = *k.MaxCompletionTokens, "max_completion_tokens"
	}
	return r, nil
}

func check(path string, k known) error {
	if k.Model == "" {
		return bad("model is missing")
	}
	if path == Chat && len(k.Messages) == 0 {
		return bad("messages is missing or empty")
	}
	if path == Text && !isString(k.Prompt) {
		return bad("prompt is missing or is no string")
	}
	if (k.N != nil && *k.N != 1) || (k.BestOf != nil && *k.BestOf != 1) {
		return bad("n and best_of other than 1 are not supported: an answer with several choices can't be resumed")
	}
	if isSet(k.Logprobs) || k.Echo {
		return bad("logprobs and echo are not supported: they can't be resumed")
	}
	if isSet(k.Tools) || isSet(k.Functions) {
		return bad("tools and functions are not supported: a half-written call can't be resumed")
	}
	if k.ResponseFormat != nil && k.ResponseFormat.Type != "text" {
		return bad("response_format other than text is not supported: a constrained answer can't be resumed")
	}
	return checkMax(k.MaxTokens, k.MaxCompletionTokens)
}

func checkMax(values ...*int) error {
	for _, v := range values {
		if v != nil && *v < 1 {
			return bad("max_tokens must be at least 1")
		}
	}
	return nil
}

func bad(text string) error {
	return fault.Newf(fault.BadRequest, step, "", "%s", text)
}

func isSet(v json.RawMessage) bool {
	s := string(bytes.TrimSpace(v))
	return s != "" && s != "null" && s != "false" && s != "[]"
}

func isString(v json.RawMessage) bool {
	return len(v) > 0 && v[0] == '"'
}

// Path returns the interface's path.
func (r *Request) Path() string { return r.path }

// Model returns the model's name.
func (r *Request) Model() string { return r.model }

// Stream tells whether the caller wants the answer as it is made.
func (r *Request) Stream() bool { return r.stream }

// IncludeUsage tells whether the caller wants the usage at a stream's end.
func (r *Request) IncludeUsage() bool { return r.includeUsage }

// PrefixKey names the beginning of the prompt, so that requests with the same
// one can go to the engine that has it cached.
func (r *Request) PrefixKey() string {
	p := r.fields["messages"]
	if r.path == Text {
		p = r.fields["prompt"]
	}
	p = p[:min(len(p), prefixBytes)]
	return r.model + "/" + strconv.FormatUint(xxhash.Sum64(p), 16)
}

// Exhausted tells whether tokens are all that the caller asked for.
func (r *Request) Exhausted(tokens int) bool {
	return r.maxKey != "" && tokens >= r.maxTokens
}

// Resume returns the body for an engine that goes on after text, which took
// tokens so far. With no text it is the request from the beginning.
func (r *Request) Resume(text string, tokens, priority int) ([]byte, error) {
	f := make(fields, len(r.fields)+5)
	for k, v := range r.fields {
		f[k] = v
	}
	f["stream"] = json.RawMessage("true")
	f["stream_options"] = json.RawMessage(`{"include_usage":true,"continuous_usage_stats":true}`)
	f["priority"] = json.RawMessage(strconv.Itoa(priority))
	if r.maxKey != "" {
		f[r.maxKey] = json.RawMessage(strconv.Itoa(r.maxTokens - tokens))
	}
	if text != "" {
		if err := r.extend(f, text); err != nil {
			return nil, err
		}
	}
	return json.Marshal(f)
}

// extend puts the text so far behind the prompt.
func (r *Request) extend(f fields, text string) error {
	if r.path == Text {
		var prompt string
		if err := json.Unmarshal(f["prompt"], &prompt); err != nil {
			return err
		}
		extended, err := json.Marshal(prompt + text)
		f["prompt"] = extended
		return err
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(f["messages"], &messages); err != nil {
		return err
	}
	last, err := json.Marshal(message{Role: "assistant", Content: text})
	if err != nil {
		return err
	}
	f["messages"], err = json.Marshal(append(messages, last))
	f["add_generation_prompt"] = json.RawMessage("false")
	f["continue_final_message"] = json.RawMessage("true")
	return err
}

// Summary returns a short body that reads like body as far as the form of the
// answer goes, for answers that need no more attempts. A body that can't be read is
// returned as it is.
func Summary(path string, body []byte) []byte {
	r, err := Parse(path, body)
	if err != nil {
		return body
	}
	short := map[string]any{"model": r.model, "stream": r.stream, "prompt": "", "messages": []message{{Role: "user"}}}
	if r.includeUsage {
		short["stream_options"] = map[string]bool{"include_usage": true}
	}
	b, err := json.Marshal(short)
	if err != nil {
		return body
	}
	return b
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}
