// Package completion parses and rewrites requests to the OpenAI-compatible chat and
// text completion APIs.
//
// # Usage
//
//	r, err := completion.Parse(completion.ChatPath, body)
//	r.Model()
//	next, err := r.ResumeBody(text, tokens, priority)   // body for the engine that resumes
package completion

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cicadabeam/core/fault"
)

// The paths of the two APIs.
const (
	ChatPath = "/v1/chat/completions"
	TextPath = "/v1/completions"
)

// maxPrefixBytes is the maximum number of bytes of the prompt that PrefixKey hashes.
const maxPrefixBytes = 1024

// step is the step that faults of this package report.
const step = "read-request"

// fields are the members of a request body, unparsed.
type fields map[string]json.RawMessage

// Request is a validated request.
type Request struct {
	path           string
	fields         fields
	model          string
	stream         bool
	includeUsage   bool
	maxTokens      int
	maxTokensField string
}

// requestBody has the fields of a request body that are read or validated.
type requestBody struct {
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

// Parse parses and validates a request body. The error is a *fault.Error.
func Parse(path string, body []byte) (*Request, error) {
	r := &Request{path: path}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, fault.Newf(fault.BadRequest, step, "", "the body is not a JSON object: %v", err)
	}
	var b requestBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, typeError(err)
	}
	if err := validate(path, b); err != nil {
		return nil, err
	}
	r.model = b.Model
	r.stream = b.Stream
	r.includeUsage = b.StreamOptions.IncludeUsage
	if b.MaxTokens != nil {
		r.maxTokens, r.maxTokensField = *b.MaxTokens, "max_tokens"
	}
	if b.MaxCompletionTokens != nil {
		r.maxTokens, r.maxTokensField = *b.MaxCompletionTokens, "max_completion_tokens"
	}
	return r, nil
}

func validate(path string, b requestBody) error {
	if b.Model == "" {
		return badRequest("model is missing")
	}
	if path == ChatPath && len(b.Messages) == 0 {
		return badRequest("messages is missing or empty")
	}
	if path == TextPath && !isString(b.Prompt) {
		return badRequest("prompt is missing or is not a string")
	}
	if (b.N != nil && *b.N != 1) || (b.BestOf != nil && *b.BestOf != 1) {
		return badRequest("n and best_of other than 1 are not supported: a response with several choices can't be resumed")
	}
	if isSet(b.Logprobs) || b.Echo {
		return badRequest("logprobs and echo are not supported: a response with them can't be resumed")
	}
	if isSet(b.Tools) || isSet(b.Functions) {
		return badRequest("tools and functions are not supported: a response that stops within a call can't be resumed")
	}
	if b.ResponseFormat != nil && b.ResponseFormat.Type != "text" {
		return badRequest("response_format other than text is not supported: a response with constrained output can't be resumed")
	}
	return checkMaxTokens(b.MaxTokens, b.MaxCompletionTokens)
}

func checkMaxTokens(values ...*int) error {
	for _, v := range values {
		if v != nil && *v < 1 {
			return badRequest("max_tokens must be at least 1")
		}
	}
	return nil
}

func badRequest(text string) error {
	return fault.Newf(fault.BadRequest, step, "", "%s", text)
}

func isSet(v json.RawMessage) bool {
	s := string(bytes.TrimSpace(v))
	return s != "" && s != "null" && s != "false" && s != "[]"
}

func isString(v json.RawMessage) bool {
	return len(v) > 0 && v[0] == '"'
}

// Path returns the path of the API.
func (r *Request) Path() string { return r.path }

// Model returns the model's name.
func (r *Request) Model() string { return r.model }

// Stream reports whether the caller requests a streamed response.
func (r *Request) Stream() bool { return r.stream }

// IncludeUsage reports whether the caller requests the token usage at the end of the
// stream.
func (r *Request) IncludeUsage() bool { return r.includeUsage }

// PrefixKey returns a key for the model and the beginning of the prompt. Requests with
// the same key can be routed to the engine that has the prefix cached.
func (r *Request) PrefixKey() string {
	p := r.fields["messages"]
	if r.path == TextPath {
		p = r.fields["prompt"]
	}
	p = p[:min(len(p), maxPrefixBytes)]
	return r.model + "/" + strconv.FormatUint(xxhash.Sum64(p), 16)
}

// maxSharedMessages is the maximum number of messages that SharedMessages returns.
const maxSharedMessages = 14

// SharedMessages returns hashes of the messages before the last one, which other requests may
// have too. Of a long conversation it returns the first and the last ones. The prompt of a text
// completion has none.
func (r *Request) SharedMessages() []string {
	var messages []json.RawMessage
	if r.path != ChatPath || json.Unmarshal(r.fields["messages"], &messages) != nil || len(messages) < 2 {
		return nil
	}
	messages = messages[:len(messages)-1]
	if n := len(messages); n > maxSharedMessages {
		messages = append(messages[:maxSharedMessages/2], messages[n-maxSharedMessages/2:]...)
	}
	var all []string
	for _, m := range messages {
		var b bytes.Buffer
		if json.Compact(&b, m) == nil {
			all = append(all, strconv.FormatUint(xxhash.Sum64(b.Bytes()), 16))
		}
	}
	return all
}

// ReachedMaxTokens reports whether tokens reaches the maximum that the caller set. It is false
// if the caller set none.
func (r *Request) ReachedMaxTokens(tokens int) bool {
	return r.maxTokensField != "" && tokens >= r.maxTokens
}

// ResumeBody returns the request body for an engine that continues after the generated text,
// which has the given number of tokens. If text is empty, the engine starts from the
// beginning.
func (r *Request) ResumeBody(text string, tokens, priority int) ([]byte, error) {
	f := make(fields, len(r.fields)+5)
	for k, v := range r.fields {
		f[k] = v
	}
	f["stream"] = json.RawMessage("true")
	f["stream_options"] = json.RawMessage(`{"include_usage":true,"continuous_usage_stats":true}`)
	f["priority"] = json.RawMessage(strconv.Itoa(priority))
	if r.maxTokensField != "" {
		f[r.maxTokensField] = json.RawMessage(strconv.Itoa(r.maxTokens - tokens))
	}
	if text != "" {
		if err := r.appendText(f, text); err != nil {
			return nil, err
		}
	}
	return json.Marshal(f)
}

// appendText appends the generated text to the prompt, or to the messages as an
// unfinished message of the assistant.
func (r *Request) appendText(f fields, text string) error {
	if r.path == TextPath {
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

// MinimalBody returns a minimal body that keeps only what determines the format of the
// response. It replaces the body of a request that needs no further attempts. A body
// that can't be parsed is returned unchanged.
func MinimalBody(path string, body []byte) []byte {
	r, err := Parse(path, body)
	if err != nil {
		return body
	}
	minimal := map[string]any{"model": r.model, "stream": r.stream, "prompt": "", "messages": []message{{Role: "user"}}}
	if r.includeUsage {
		minimal["stream_options"] = map[string]bool{"include_usage": true}
	}
	b, err := json.Marshal(minimal)
	if err != nil {
		return body
	}
	return b
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}
