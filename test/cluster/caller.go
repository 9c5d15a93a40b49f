package cluster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"cicadabeam/core/fault"
)

// CompletionRequest is a completion request of a caller.
type CompletionRequest struct {
	Organisation   string // the first of Organisations by default
	Text           string
	Before         []string // messages before the one with Text
	IdempotencyKey string
	Marker         string // added to the text; IdempotencyKey by default, or a new UUID without a key
	LastEventID    string
	MaxTokens      int
	NoStream       bool // single response instead of a stream
	Path           string
}

// Piece is an event with text, as received by a caller.
type Piece struct {
	ID   string
	Text string
	At   time.Time
}

// Transcript is what a caller received of one answer on one connection.
type Transcript struct {
	Marker        string
	Status        int
	AnswerID      string
	Started       time.Time
	Ended         time.Time
	Pieces        []Piece
	RoleEvents    int
	FinishReasons []string
	Done          bool
	Usage         Usage
	Failure       Failure
	Header        http.Header
	Err           error // connection or parse error
}

// Usage is the token usage reported with an answer.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
}

// Failure is the error returned to a caller.
type Failure struct {
	Message string     `json:"message"`
	Code    fault.Code `json:"code"`
	Step    string     `json:"step"`
	Ran     fault.Ran  `json:"ran"`
	Attempt fault.Ran  `json:"attempt"`
}

// Text returns the text received so far.
func (t *Transcript) Text() string {
	var b strings.Builder
	for _, p := range t.Pieces {
		b.WriteString(p.Text)
	}
	return b.String()
}

var tokenPattern = regexp.MustCompile(` t\d+\.[0-9a-f]+`)

// TokenCount returns the number of engine tokens received so far. One event may contain
// several.
func (t *Transcript) TokenCount() int { return len(tokenPattern.FindAllString(t.Text(), -1)) }

// LastEventID returns the ID of the last event with text, or "" if there is none.
func (t *Transcript) LastEventID() string {
	if len(t.Pieces) == 0 {
		return ""
	}
	return t.Pieces[len(t.Pieces)-1].ID
}

// LongestGap returns the longest time between two consecutive events with text.
func (t *Transcript) LongestGap() time.Duration {
	longest := time.Duration(0)
	for i := 1; i < len(t.Pieces); i++ {
		longest = max(longest, t.Pieces[i].At.Sub(t.Pieces[i-1].At))
	}
	return longest
}

// callerClient opens a connection for each request, as a new caller does.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

type chatBody struct {
	Model         string         `json:"model"`
	Stream        bool           `json:"stream"`
	Messages      []chatMessage  `json:"messages,omitempty"`
	Prompt        string         `json:"prompt,omitempty"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
	StreamOptions map[string]any `json:"stream_options,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c CompletionRequest) request(ctx context.Context, base, marker string) (*http.Request, error) {
	text := c.Text + " marker=" + marker
	b := chatBody{Model: "ledger", Stream: !c.NoStream, MaxTokens: c.MaxTokens}
	for _, x := range append(slices.Clone(c.Before), text) {
		b.Messages = append(b.Messages, chatMessage{Role: "user", Content: x})
	}
	path := "/v1/chat/completions"
	if c.Path != "" {
		path = c.Path
		b.Messages, b.Prompt = nil, text
	}
	if !c.NoStream {
		b.StreamOptions = map[string]any{"include_usage": true}
	}
	body, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	c.setHeaders(r)
	return r, nil
}

func (c CompletionRequest) setHeaders(r *http.Request) {
	o := c.Organisation
	if o == "" {
		o = Organisations[0]
	}
	r.Header.Set("Authorization", "Bearer key-"+o)
	if c.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	if c.LastEventID != "" {
		r.Header.Set("Last-Event-ID", c.LastEventID)
	}
}

// Complete sends a completion request and reads the response to its end.
func (n *Node) Complete(ctx context.Context, c CompletionRequest) *Transcript {
	return n.CompleteWithCallback(ctx, c, nil)
}

// CompleteWithCallback is like Complete, and calls onPiece, unless nil, after each event
// with text.
func (n *Node) CompleteWithCallback(ctx context.Context, c CompletionRequest, onPiece func(t *Transcript)) *Transcript {
	marker := c.Marker
	if marker == "" {
		marker = c.IdempotencyKey
	}
	if marker == "" {
		marker = uuid.NewString()
	}
	r, err := c.request(ctx, n.URL(), marker)
	if err != nil {
		return &Transcript{Err: err}
	}
	t := readTranscript(r, onPiece)
	t.Marker = marker
	return t
}

// ResumeAnswer requests the rest of an answer after the event with ID lastEventID.
func (n *Node) ResumeAnswer(ctx context.Context, organisation, id, lastEventID string) *Transcript {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, n.URL()+"/v1/answers/"+id, nil)
	if err != nil {
		return &Transcript{Err: err}
	}
	CompletionRequest{Organisation: organisation, LastEventID: lastEventID}.setHeaders(r)
	return readTranscript(r, nil)
}

func readTranscript(r *http.Request, onPiece func(t *Transcript)) *Transcript {
	t := &Transcript{Started: time.Now()}
	defer func() { t.Ended = time.Now() }()
	response, err := callerClient.Do(r)
	if err != nil {
		t.Err = err
		return t
	}
	defer func() { _ = response.Body.Close() }()
	t.Status = response.StatusCode
	t.Header = response.Header
	t.AnswerID = response.Header.Get("X-Answer-Id")
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		t.readEvents(response.Body, onPiece)
		return t
	}
	t.readBody(response.Body)
	return t
}

type eventBody struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage   `json:"usage"`
	Error *Failure `json:"error"`
}

func (t *Transcript) readEvents(body io.Reader, onPiece func(t *Transcript)) {
	lines := bufio.NewReader(body)
	id := ""
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if err != io.EOF || !t.Done {
				t.Err = err
			}
			return
		}
		line = strings.TrimSuffix(line, "\n")
		if x, found := strings.CutPrefix(line, "id: "); found {
			id = x
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			t.Done = true
			continue
		}
		pieceCount := len(t.Pieces)
		t.addEvent(id, data)
		if onPiece != nil && len(t.Pieces) > pieceCount {
			onPiece(t)
		}
	}
}

func (t *Transcript) addEvent(id, data string) {
	var e eventBody
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		t.Err = fmt.Errorf("decode event %q: %w", data, err)
		return
	}
	if e.Error != nil {
		t.Failure = *e.Error
	}
	if e.Usage != nil {
		t.Usage = *e.Usage
	}
	for _, c := range e.Choices {
		if c.Delta.Role != "" {
			t.RoleEvents++
		}
		if text := c.Delta.Content + c.Text + c.Message.Content; text != "" {
			t.Pieces = append(t.Pieces, Piece{ID: id, Text: text, At: time.Now()})
		}
		if c.FinishReason != "" {
			t.FinishReasons = append(t.FinishReasons, c.FinishReason)
		}
	}
}

func (t *Transcript) readBody(body io.Reader) {
	b, err := io.ReadAll(body)
	if err != nil {
		t.Err = err
		return
	}
	t.addEvent("", string(b))
	t.Done = t.Status == http.StatusOK
}

// CallResult is the result of a call to a service that is not a model.
type CallResult struct {
	Status  int
	Body    string
	Failure Failure
	Header  http.Header
	Err     error
}

// CallService sends a request to a service that is not a model.
func (n *Node) CallService(ctx context.Context, method, path, key, body string) CallResult {
	r, err := http.NewRequestWithContext(ctx, method, n.URL()+path, strings.NewReader(body))
	if err != nil {
		return CallResult{Err: err}
	}
	CompletionRequest{IdempotencyKey: key}.setHeaders(r)
	response, err := callerClient.Do(r)
	if err != nil {
		return CallResult{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	x := CallResult{Status: response.StatusCode, Body: string(b), Header: response.Header, Err: err}
	var e eventBody
	if json.Unmarshal(b, &e) == nil && e.Error != nil {
		x.Failure = *e.Error
	}
	return x
}
