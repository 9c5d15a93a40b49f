// Package engine is a stand-in for a model engine. Each generation has tokens of
// its own, "t<position>.<generation>", so that a mix, a gap or a repeat shows. A
// request that gives the text so far goes on at the next position.
//
// The length of an answer is in the prompt as "tokens=N". A prompt with
// "crash-engine" ends the process; "crash-engine=N" does so after N tokens.
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

// Faults are what goes wrong. The zero value is an engine that works.
type Faults struct {
	// The next stream is closed without its finish marker, reset, or falls silent
	// once it has sent so many tokens; 0 for never, -1 for before the first.
	CloseAfter  int `json:"close_after"`
	ResetAfter  int `json:"reset_after"`
	SilentAfter int `json:"silent_after"`
	// DropFinish closes the next stream after the last token.
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
	Marker     string `json:"marker"` // what stands behind "marker=" in the prompt
	From       int    `json:"from"`
	Prefix     string `json:"prefix"`
	Tokens     int    `json:"tokens"` // generated, at the end
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

// New returns an engine that runs so many requests at once.
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

// takeFaults returns the faults for one stream; those of the next stream only are
// gone then.
func (e *Engine) takeFaults() Faults {
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
	tokenForm  = regexp.MustCompile(` t\d+\.[0-9a-f]+`)
	lengthForm = regexp.MustCompile(`tokens=(\d+)`)
	crashForm  = regexp.MustCompile(`crash-engine(?:=(\d+))?`)
	markerForm = regexp.MustCompile(`marker=(\S+)`)
)

const defaultLength = 20

// split returns the prompt and the text so far.
func (q request) split(chat bool) (prompt, text string) {
	if chat {
		all := q.Messages
		if q.Continue && len(all) > 0 {
			text = all[len(all)-1].Content
			all = all[:len(all)-1]
		}
		for _, m := range all {
			prompt += m.Content + "\n"
		}
		return prompt, text
	}
	if at := tokenForm.FindStringIndex(q.Prompt); at != nil {
		return q.Prompt[:at[0]], q.Prompt[at[0]:]
	}
	return q.Prompt, ""
}

func number(form *regexp.Regexp, text string, fallback int) int {
	m := form.FindStringSubmatch(text)
	if m == nil {
		return fallback
	}
	n, err := strconv.Atoi(m[1])
	if err != nil {
		return 0
	}
	return n
}

// generation is one running request.
type generation struct {
	engine *Engine
	w      http.ResponseWriter
	ctx    context.Context
	chat   bool
	faults Faults
	id     string
	from   int
	length int
	limit  int
	crash  int // tokens after which the process ends, -1 for never
	record Record
	made   int
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, `{"error":"bad body"}`, http.StatusBadRequest)
		return
	}
	f := e.takeFaults()
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
	e.write(g.record)
	defer g.end()
	g.run()
}

func (e *Engine) newGeneration(w http.ResponseWriter, r *http.Request, q request, f Faults) *generation {
	chat := strings.Contains(r.URL.Path, "chat")
	prompt, text := q.split(chat)
	g := &generation{
		engine: e, w: w, ctx: r.Context(), chat: chat, faults: f,
		id:     strings.ReplaceAll(uuid.NewString(), "-", "")[:12],
		from:   len(tokenForm.FindAllString(text, -1)),
		length: number(lengthForm, prompt, defaultLength),
		limit:  q.MaxTokens,
		crash:  -1,
	}
	if crashForm.MatchString(prompt) {
		g.crash = number(crashForm, prompt, 0)
	}
	marker := ""
	if m := markerForm.FindStringSubmatch(prompt); m != nil {
		marker = m[1]
	}
	g.record = Record{Event: "start", Server: e.name, Generation: g.id, Request: r.Header.Get("X-Request-Id"), Marker: marker, From: g.from, Prefix: text}
	return g
}

func (e *Engine) write(r Record) {
	r.At = time.Now().UnixMilli()
	b, _ := json.Marshal(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = e.log.Write(append(b, '\n'))
}

func (g *generation) end() {
	g.record.Event = "end"
	g.record.Tokens = g.made
	g.engine.write(g.record)
}

// reached tells whether a fault that comes after n tokens is due.
func (g *generation) reached(n int) bool {
	return n != 0 && g.made == max(n, 0)
}

func (g *generation) run() {
	g.w.Header().Set("Content-Type", "text/event-stream")
	g.pause(g.faults.PrefillMS)
	for {
		if !g.disturb() {
			return
		}
		if g.from+g.made >= g.length {
			g.finish("stop")
			return
		}
		if g.limit > 0 && g.made >= g.limit {
			g.finish("length")
			return
		}
		if !g.pause(g.faults.TokenMS) {
			return
		}
		text := fmt.Sprintf(" t%d.%s", g.from+g.made, g.id)
		g.made++
		g.send(text, "null")
	}
}

// disturb lets the faults happen that are due and tells whether to go on.
func (g *generation) disturb() bool {
	switch {
	case g.made == g.crash:
		os.Exit(3)
	case g.reached(g.faults.CloseAfter):
		return false
	case g.reached(g.faults.ResetAfter):
		panic(http.ErrAbortHandler)
	case g.reached(g.faults.SilentAfter):
		<-g.ctx.Done()
		return false
	}
	return true
}

func (g *generation) pause(ms int) bool {
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

func (g *generation) finish(reason string) {
	if g.faults.DropFinish {
		return
	}
	g.send("", strconv.Quote(reason))
	_, _ = io.WriteString(g.w, "data: [DONE]\n\n")
}

func (g *generation) send(text, reason string) {
	t, _ := json.Marshal(text)
	c := fmt.Sprintf(`{"index":0,"text":%s,"finish_reason":%s}`, t, reason)
	if g.chat {
		c = fmt.Sprintf(`{"index":0,"delta":{"content":%s},"finish_reason":%s}`, t, reason)
	}
	_, _ = fmt.Fprintf(g.w, "data: {\"choices\":[%s],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\n", c, 10+g.from, g.made)
	_ = http.NewResponseController(g.w).Flush()
}
