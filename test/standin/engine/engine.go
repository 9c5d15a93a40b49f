// Package engine simulates a model engine for tests. Tokens have the form
// "t<position>.<generation>" and differ between generations, so that tests can detect
// mixed, missing and repeated tokens. A request that contains the text generated so far
// continues at the next position.
//
// "tokens=N" in the prompt sets the position at which the text is complete. A prompt
// with "crash-engine" exits the process; "crash-engine=N" does so after N tokens.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// Faults are the faults to inject. With the zero value, the engine works normally.
type Faults struct {
	// CloseAfter, ResetAfter and SilentAfter end the next stream without a finish
	// reason, reset its connection, or stop sending while the connection stays open,
	// once the stream has sent so many tokens; 0 for never, -1 for before the first.
	CloseAfter  int `json:"close_after"`
	ResetAfter  int `json:"reset_after"`
	SilentAfter int `json:"silent_after"`
	// DropFinish ends the next stream after the last token without a finish reason.
	DropFinish bool `json:"drop_finish"`
	Leaving    bool `json:"leaving"`
	TokenMS    int  `json:"token_ms"`
	PrefillMS  int  `json:"prefill_ms"`
	Busy       bool `json:"busy"`
}

// Record is one line of the engine's log.
type Record struct {
	Event      string `json:"event"` // start or end
	Server     string `json:"server"`
	Generation string `json:"generation"`
	Request    string `json:"request"`
	Marker     string `json:"marker"` // value of "marker=" in the prompt
	From       int    `json:"from"`   // position of the first token
	Prefix     string `json:"prefix"` // text in the request that is continued
	Tokens     int    `json:"tokens"` // number of generated tokens, in an end record
	At         int64  `json:"at"`     // Unix time in milliseconds
}

// Engine serves chat and text completions, /health, /load and /control.
type Engine struct {
	name    string
	slots   chan struct{}
	waiting atomic.Int64
	running atomic.Int64

	mu     sync.Mutex
	faults Faults
	log    io.Writer
	mux    *http.ServeMux
}

// New returns an engine that runs up to slots requests at once, takes tokenMS for each
// token and writes its records to log.
func New(name string, slots, tokenMS int, log io.Writer) *Engine {
	e := &Engine{name: name, slots: make(chan struct{}, slots), log: log, mux: http.NewServeMux()}
	e.faults.TokenMS = tokenMS
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("POST /control/faults", e.setFaults)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	leaving := e.faults.Leaving
	e.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"running":%d,"waiting":%d,"leaving":%v}`, e.running.Load(), e.waiting.Load(), leaving)
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := Faults{TokenMS: e.faults.TokenMS}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.faults = f
}

// nextFaults returns the faults for one stream and clears those that apply to the next
// stream only.
func (e *Engine) nextFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	e.faults.CloseAfter, e.faults.ResetAfter, e.faults.SilentAfter, e.faults.DropFinish = 0, 0, 0, false
	return f
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type request struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Continue  bool      `json:"continue_final_message"`
}

var (
	tokenPattern  = regexp.MustCompile(` t\d+\.[0-9a-f]+`)
	lengthPattern = regexp.MustCompile(`tokens=(\d+)`)
	crashPattern  = regexp.MustCompile(`crash-engine(?:=(\d+))?`)
	markerPattern = regexp.MustCompile(`marker=(\S+)`)
)

// defaultLength is the position at which the text is complete if the prompt sets none.
const defaultLength = 20

// splitPrompt returns the prompt and the text generated so far.
func (q request) splitPrompt(chat bool) (prompt, text string) {
	if chat {
		messages := q.Messages
		if q.Continue && len(messages) > 0 {
			text = messages[len(messages)-1].Content
			messages = messages[:len(messages)-1]
		}
		for _, m := range messages {
			prompt += m.Content + "\n"
		}
		return prompt, text
	}
	if at := tokenPattern.FindStringIndex(q.Prompt); at != nil {
		return q.Prompt[:at[0]], q.Prompt[at[0]:]
	}
	return q.Prompt, ""
}

// matchNumber returns the number that a pattern captures in a text, the fallback if the
// pattern does not match, and 0 if it captures no number.
func matchNumber(pattern *regexp.Regexp, text string, fallback int) int {
	m := pattern.FindStringSubmatch(text)
	if m == nil {
		return fallback
	}
	n, err := strconv.Atoi(m[1])
	if err != nil {
		return 0
	}
	return n
}

// generation is the processing of one request.
type generation struct {
	engine     *Engine
	w          http.ResponseWriter
	ctx        context.Context
	chat       bool
	faults     Faults
	id         string
	from       int // position of the first token
	length     int // position at which the text is complete
	maxTokens  int // 0 for no limit
	crashAfter int // number of tokens after which the process exits, -1 for never
	record     Record
	generated  int // number of tokens
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, `{"error":"bad body"}`, http.StatusBadRequest)
		return
	}
	f := e.nextFaults()
	if f.Busy {
		http.Error(w, `{"error":"busy"}`, http.StatusServiceUnavailable)
		return
	}
	g := e.newGeneration(w, r, q, f)
	e.waiting.Add(1)
	select {
	case e.slots <- struct{}{}:
		e.waiting.Add(-1)
	case <-r.Context().Done():
		e.waiting.Add(-1)
		return
	}
	e.running.Add(1)
	defer func() {
		e.running.Add(-1)
		<-e.slots
	}()
	e.writeRecord(g.record)
	defer g.writeEnd()
	g.run()
}

func (e *Engine) newGeneration(w http.ResponseWriter, r *http.Request, q request, f Faults) *generation {
	chat := strings.Contains(r.URL.Path, "chat")
	prompt, text := q.splitPrompt(chat)
	g := &generation{
		engine: e, w: w, ctx: r.Context(), chat: chat, faults: f,
		id:         strings.ReplaceAll(uuid.NewString(), "-", "")[:12],
		from:       len(tokenPattern.FindAllString(text, -1)),
		length:     matchNumber(lengthPattern, prompt, defaultLength),
		maxTokens:  q.MaxTokens,
		crashAfter: -1,
	}
	if crashPattern.MatchString(prompt) {
		g.crashAfter = matchNumber(crashPattern, prompt, 0)
	}
	marker := ""
	if m := markerPattern.FindStringSubmatch(prompt); m != nil {
		marker = m[1]
	}
	g.record = Record{Event: "start", Server: e.name, Generation: g.id, Request: r.Header.Get("X-Request-Id"), Marker: marker, From: g.from, Prefix: text}
	return g
}

// writeRecord appends a record to the log.
func (e *Engine) writeRecord(r Record) {
	r.At = time.Now().UnixMilli()
	b, _ := json.Marshal(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = e.log.Write(append(b, '\n'))
}

// writeEnd logs the end of the generation.
func (g *generation) writeEnd() {
	g.record.Event = "end"
	g.record.Tokens = g.generated
	g.engine.writeRecord(g.record)
}

// isDue reports whether a fault that is set to occur after n tokens is due.
func (g *generation) isDue(n int) bool {
	return n != 0 && g.generated == max(n, 0)
}

// run streams the tokens of the generation.
func (g *generation) run() {
	g.w.Header().Set("Content-Type", "text/event-stream")
	g.sleep(g.faults.PrefillMS)
	for {
		if !g.injectFault() {
			return
		}
		if g.from+g.generated >= g.length {
			g.sendFinish("stop")
			return
		}
		if g.maxTokens > 0 && g.generated >= g.maxTokens {
			g.sendFinish("length")
			return
		}
		if !g.sleep(g.faults.TokenMS) {
			return
		}
		text := fmt.Sprintf(" t%d.%s", g.from+g.generated, g.id)
		g.generated++
		g.sendChunk(text, "null")
	}
}

// injectFault triggers a fault that is due and reports whether the stream continues.
func (g *generation) injectFault() bool {
	switch {
	case g.generated == g.crashAfter:
		os.Exit(3)
	case g.isDue(g.faults.CloseAfter):
		return false
	case g.isDue(g.faults.ResetAfter):
		panic(http.ErrAbortHandler)
	case g.isDue(g.faults.SilentAfter):
		<-g.ctx.Done()
		return false
	}
	return true
}

// sleep waits and reports whether the request is still open.
func (g *generation) sleep(ms int) bool {
	if ms == 0 {
		return g.ctx.Err() == nil
	}
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-g.ctx.Done():
		return false
	}
}

// sendFinish sends the finish reason and the end marker of the stream.
func (g *generation) sendFinish(reason string) {
	if g.faults.DropFinish {
		return
	}
	g.sendChunk("", strconv.Quote(reason))
	_, _ = io.WriteString(g.w, "data: [DONE]\n\n")
}

// sendChunk sends an event with a text and a finish reason that is encoded as JSON.
func (g *generation) sendChunk(text, reason string) {
	t, _ := json.Marshal(text)
	c := fmt.Sprintf(`{"index":0,"text":%s,"finish_reason":%s}`, t, reason)
	if g.chat {
		c = fmt.Sprintf(`{"index":0,"delta":{"content":%s},"finish_reason":%s}`, t, reason)
	}
	_, _ = fmt.Fprintf(g.w, "data: {\"choices\":[%s],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\n", c, 10+g.from, g.generated)
	_ = http.NewResponseController(g.w).Flush()
}
