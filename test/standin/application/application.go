// Package application simulates an application server for tests, such as an order
// application. It accepts every request and writes each execution to its log.
package application

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// Faults are the faults to inject. With the zero value, the server works normally.
type Faults struct {
	BeforeMS   int  `json:"before_ms"`   // delay before the execution
	AfterMS    int  `json:"after_ms"`    // delay between the execution and the response
	DropBefore bool `json:"drop_before"` // close the connection before the execution
	DropAfter  bool `json:"drop_after"`  // close the connection after the execution
	DieAfter   bool `json:"die_after"`   // exit the process after the execution
	Status     int  `json:"status"`      // status of the response, 0 for 200
	Leaving    bool `json:"leaving"`     // reported by /load
}

// Record is one line of the server's log: the execution of one request.
type Record struct {
	Server       string `json:"server"`
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Method       string `json:"method"`
	Path         string `json:"path"`
	Body         string `json:"body"`
	Fencing      string `json:"fencing"`
	Run          int    `json:"run"` // number of the execution, from 1
	At           int64  `json:"at"`  // Unix time in milliseconds
}

// Application serves all paths, /health, /load and /control.
type Application struct {
	name       string
	mu         sync.Mutex
	faults     Faults
	executions int
	log        io.Writer
	mux        *http.ServeMux
}

// New returns a server that writes its records to log.
func New(name string, log io.Writer) *Application {
	a := &Application{name: name, log: log, mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	a.mux.HandleFunc("GET /load", a.load)
	a.mux.HandleFunc("POST /control/faults", a.setFaults)
	a.mux.HandleFunc("/", a.serve)
	return a
}

// ServeHTTP implements http.Handler.
func (a *Application) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

func (a *Application) load(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"running": 0, "waiting": 0, "leaving": a.faults.Leaving})
}

func (a *Application) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = f
}

func (a *Application) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a.mu.Lock()
	f := a.faults
	a.mu.Unlock()
	time.Sleep(time.Duration(f.BeforeMS) * time.Millisecond)
	if f.DropBefore {
		panic(http.ErrAbortHandler)
	}
	x := a.execute(r, string(body))
	time.Sleep(time.Duration(f.AfterMS) * time.Millisecond)
	if f.DieAfter {
		os.Exit(3)
	}
	if f.DropAfter {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if f.Status != 0 {
		w.WriteHeader(f.Status)
	}
	_ = json.NewEncoder(w).Encode(x)
}

// execute counts an execution and writes its record to the log.
func (a *Application) execute(r *http.Request, body string) Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.executions++
	x := Record{
		Server: a.name, Organisation: r.Header.Get("X-Organisation"), Key: r.Header.Get("Idempotency-Key"), Method: r.Method,
		Path: r.URL.RequestURI(), Body: body, Fencing: r.Header.Get("X-Fencing-Number"), Run: a.executions, At: time.Now().UnixMilli(),
	}
	b, _ := json.Marshal(x)
	_, _ = a.log.Write(append(b, '\n'))
	return x
}
