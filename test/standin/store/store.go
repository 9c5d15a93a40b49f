// Package store simulates the platform's store for tests: rows in tables, a feed of
// their changes, conditional transactions, and outages.
//
// # Usage
//
//	s, err := store.Start("127.0.0.1:0")
//	defer s.Close()
//	s.Put("op", "config", value)
//	s.SetMode(store.Unavailable) // until s.SetMode(store.Healthy)
package store

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is how the store handles requests.
type Mode int

// Healthy serves requests; Unavailable responds with 503 and RateLimited with 429;
// NoResponse doesn't respond; ResetConnections closes the connection; LoseResponses
// executes the request, then closes the connection without a response.
const (
	Healthy Mode = iota
	Unavailable
	RateLimited
	NoResponse
	ResetConnections
	LoseResponses
)

// maxKeyLength is the maximum number of bytes in a row's key.
const maxKeyLength = 200

// row is a row in its current state or, in the history, one change of a row.
type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     uint64 `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

type transaction struct {
	ExpectedRev []row
	Writes      []row
	Remove      []row
}

type page struct {
	Rows    []row
	HasMore bool
	Ver     uint64
	NowMs   int64
	era     uint64 // when the rows were read
}

// Store is a simulated store.
type Store struct {
	listener net.Listener
	server   *http.Server
	started  time.Time

	mu              sync.Mutex
	rows            map[string]map[string]row
	history         []row
	compactedTo     uint64 // changes up to this version are no longer in the history
	version         uint64
	mode            Mode
	delay           time.Duration
	responsesToLose int           // number of the next transactions whose responses are lost
	hostLag         time.Duration // delay before posted hosts and servers are visible
	views           []view
	reads           int
	writes          int
	endpoints       []*Endpoint
	changed         chan struct{} // closed at the next change of the rows or the history
	era             uint64        // number of restores, from 1 on
	eraHidden       bool
	kept            Copy // of the last call of /control/copy
	requestCount    int
	requestCounts   map[string]int
}

// New returns an empty store without a listener.
func New() *Store {
	s := &Store{started: time.Now(), rows: make(map[string]map[string]row), changed: make(chan struct{}), era: 1, requestCounts: make(map[string]int)}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/rows-get", s.get)
	m.HandleFunc("GET /v1/rows-feed", s.feed)
	m.HandleFunc("POST /v1/rows-tx", s.commit)
	s.server = &http.Server{Handler: s.applyMode(m)}
	return s
}

// Start returns an empty store that listens at an address.
func Start(address string) (*Store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := New()
	s.listener = l
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address returns the IP address and port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close stops the store and its additional addresses.
func (s *Store) Close() {
	_ = s.server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		_ = e.server.Close()
	}
}

// Endpoint is an additional address of the store with a mode of its own. It allows an
// outage that only some hosts see.
type Endpoint struct {
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	mode     Mode
}

// AddEndpoint adds an address on the loopback interface.
func (s *Store) AddEndpoint() (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{listener: l}
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		mode := e.mode
		e.mu.Unlock()
		serveInMode(mode, &eraWriter{ResponseWriter: w, store: s}, r, s.server.Handler)
	})}
	go func() { _ = e.server.Serve(l) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = append(s.endpoints, e)
	return e, nil
}

// Address returns the IP address and port.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// SetMode sets the mode of the address.
func (e *Endpoint) SetMode(m Mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = m
}

// SetMode sets the mode of the store.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// SetDelay sets the delay before each request is handled.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// RequestCount returns the number of requests received by the store's protocol handler.
func (s *Store) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount
}

// RequestCounts returns the number of requests received by method, path and table.
func (s *Store) RequestCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.requestCounts)
}

// Put inserts or replaces a row.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Writes: []row{{Table: table, Key: key, Value: value}}})
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Remove: []row{{Table: table, Key: key}}})
}

// Value returns the value of a row, nil if there is none.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[table][key].Value
}

// Keys returns the keys of a table in ascending order.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.rows[table] {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// DiscardHistory discards the history, so that a feed from an earlier version fails with
// 410.
func (s *Store) DiscardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedTo = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply executes a transaction without checking its conditions.
func (s *Store) apply(t transaction) {
	s.version++
	for _, w := range t.Writes {
		if s.rows[w.Table] == nil {
			s.rows[w.Table] = make(map[string]row)
		}
		w.Ver = s.version
		s.rows[w.Table][w.Key] = w
		s.history = append(s.history, w)
	}
	for _, w := range t.Remove {
		delete(s.rows[w.Table], w.Key)
		s.history = append(s.history, row{Table: w.Table, Key: w.Key, Ver: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// applyMode returns a handler that counts requests, delays them, and handles them as the
// mode says.
func (s *Store) applyMode(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		mode, delay := s.mode, s.delay
		s.requestCount++
		s.requestCounts[strings.TrimSpace(r.Method+" "+r.URL.Path+" "+r.URL.Query().Get("Table"))]++
		s.mu.Unlock()
		time.Sleep(delay)
		serveInMode(mode, &eraWriter{ResponseWriter: w, store: s}, r, next)
	})
}

// serveInMode handles a request as a mode says.
func serveInMode(m Mode, w http.ResponseWriter, r *http.Request, next http.Handler) {
	switch m {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case RateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
	case NoResponse:
		<-r.Context().Done()
	case ResetConnections:
		panic(http.ErrAbortHandler)
	case LoseResponses:
		next.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

// discardWriter discards a response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

func (s *Store) respond(w http.ResponseWriter, status int, p page) {
	p.NowMs = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	s.mu.Lock()
	s.setEra(w.Header(), p.era)
	s.mu.Unlock()
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil {
		limit = 500
	}
	s.mu.Lock()
	s.reads++
	p := page{Ver: s.version, Rows: []row{}, era: s.era}
	visible, found := s.visible(q.Get("Table"), r.UserAgent())
	p.Rows = append(p.Rows, visible...)
	for key, x := range s.rows[q.Get("Table")] {
		if found {
			break
		}
		if key >= q.Get("From") && (q.Get("To") == "" || key < q.Get("To")) {
			p.Rows = append(p.Rows, x)
		}
	}
	s.mu.Unlock()
	sort.Slice(p.Rows, func(a, b int) bool { return p.Rows[a].Key < p.Rows[b].Key })
	if len(p.Rows) > limit {
		p.Rows, p.HasMore = p.Rows[:limit], true
	}
	s.respond(w, http.StatusOK, p)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("SinceRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		p, discarded, changed := s.changes(q.Get("Table"), since)
		if discarded {
			s.respond(w, http.StatusGone, page{era: p.era})
			return
		}
		if len(p.Rows) > 0 {
			s.respond(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.respond(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changes returns the changes of a table after a version, whether some of them may have been
// discarded or the version does not exist, and a channel that is closed at the next change of the store.
func (s *Store) changes(table string, since uint64) (page, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Ver: s.version, Rows: []row{}, era: s.era}
	for _, x := range s.history {
		if x.Table == table && x.Ver > since {
			p.Rows = append(p.Rows, x)
		}
	}
	return p, since < s.compactedTo || since > s.version, s.changed
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	err := json.NewDecoder(r.Body).Decode(&t)
	if err != nil || slices.ContainsFunc(t.Writes, func(x row) bool { return len(x.Key) > maxKeyLength }) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.writes++
	loseResponse := s.responsesToLose > 0
	s.responsesToLose = max(0, s.responsesToLose-1)
	current, holds := s.checkConditions(t)
	if holds {
		s.apply(t)
	}
	v, era := s.version, s.era
	s.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	if !holds {
		s.respond(w, http.StatusPreconditionFailed, page{Rows: current, Ver: v, era: era})
		return
	}
	s.respond(w, http.StatusOK, page{Ver: v, era: era})
}

// checkConditions returns the existing rows that the conditions name, and whether all
// conditions hold.
func (s *Store) checkConditions(t transaction) ([]row, bool) {
	holds := true
	current := []row{}
	for _, c := range t.ExpectedRev {
		x := s.rows[c.Table][c.Key]
		if x.Ver != c.Ver {
			holds = false
		}
		if x.Ver != 0 {
			current = append(current, x)
		}
	}
	return current, holds
}
