// Package store is a stand-in for the platform's store: rows in tables, a feed of
// their changes, conditional transactions, and its outages.
//
// # Usage
//
//	s, err := store.Start("127.0.0.1:0")
//	defer s.Close()
//	s.Put("op", "config", value)
//	s.Fail(store.Busy)      // until s.Fail(store.Well)
package store

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Mode is how the store behaves.
type Mode int

// Well answers; Busy says 503, Limited 429; Silent doesn't answer; Reset closes
// connections; Losing does what it is asked and doesn't answer.
const (
	Well Mode = iota
	Busy
	Limited
	Silent
	Reset
	Losing
)

// row is a row and, in the history, one of its changes.
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
}

// Store is the stand-in.
type Store struct {
	listener net.Listener
	server   *http.Server
	started  time.Time

	mu      sync.Mutex
	rows    map[string]map[string]row
	history []row
	dropped uint64 // changes up to this version are no longer in the history
	version uint64
	mode    Mode
	delay   time.Duration
	lose    int // answers of the next so many transactions
	lag     time.Duration
	views   []view
	reads   int
	writes  int
	fronts  []*Front
	changed chan struct{}
	calls   int
}

// New returns an empty store that listens nowhere.
func New() *Store {
	s := &Store{started: time.Now(), rows: make(map[string]map[string]row), changed: make(chan struct{})}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/rows-get", s.get)
	m.HandleFunc("GET /v1/rows-feed", s.feed)
	m.HandleFunc("POST /v1/rows-tx", s.commit)
	s.server = &http.Server{Handler: s.guard(m)}
	return s
}

// Start listens at an address.
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

// Address returns the IP number and port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	_ = s.server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.fronts {
		_ = f.server.Close()
	}
}

// Front is one more address of the store, which may behave in a mode of its own:
// the store as one host sees it.
type Front struct {
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	mode     Mode
}

// Front adds an address.
func (s *Store) Front() (*Front, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Front{listener: l}
	f.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		mode := f.mode
		f.mu.Unlock()
		behave(mode, w, r, s.server.Handler)
	})}
	go func() { _ = f.server.Serve(l) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fronts = append(s.fronts, f)
	return f, nil
}

// Address returns the IP number and port.
func (f *Front) Address() string { return f.listener.Addr().String() }

// Fail makes the address behave in a mode.
func (f *Front) Fail(m Mode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = m
}

// Fail makes the store behave in a mode.
func (s *Store) Fail(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Delay makes each answer come later.
func (s *Store) Delay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Calls returns the number of calls.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Writes: []row{{Table: table, Key: key, Value: value}}})
}

// Remove drops a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Remove: []row{{Table: table, Key: key}}})
}

// Keys returns the keys of a table.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for key := range s.rows[table] {
		all = append(all, key)
	}
	sort.Strings(all)
	return all
}

// DropHistory forgets all changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.dropped = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

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

// guard behaves as the mode says.
func (s *Store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		mode, delay := s.mode, s.delay
		s.calls++
		s.mu.Unlock()
		time.Sleep(delay)
		behave(mode, w, r, next)
	})
}

func behave(m Mode, w http.ResponseWriter, r *http.Request, next http.Handler) {
	switch m {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Limited:
		w.WriteHeader(http.StatusTooManyRequests)
	case Silent:
		<-r.Context().Done()
	case Reset:
		panic(http.ErrAbortHandler)
	case Losing:
		next.ServeHTTP(&lost{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

// lost is an answer that doesn't arrive.
type lost struct{ header http.Header }

func (l *lost) Header() http.Header         { return l.header }
func (l *lost) Write(b []byte) (int, error) { return len(b), nil }
func (l *lost) WriteHeader(int)             {}

func (s *Store) answer(w http.ResponseWriter, status int, p page) {
	p.NowMs = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
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
	p := page{Ver: s.version, Rows: []row{}}
	listed, found := s.listed(q.Get("Table"), r.UserAgent())
	p.Rows = append(p.Rows, listed...)
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
	s.answer(w, http.StatusOK, p)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("SinceRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		p, gone, changed := s.changes(q.Get("Table"), since)
		if gone {
			s.answer(w, http.StatusGone, page{})
			return
		}
		if len(p.Rows) > 0 {
			s.answer(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) changes(table string, since uint64) (page, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Ver: s.version, Rows: []row{}}
	for _, x := range s.history {
		if x.Table == table && x.Ver > since {
			p.Rows = append(p.Rows, x)
		}
	}
	return p, since < s.dropped, s.changed
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.writes++
	lose := s.lose > 0
	s.lose = max(0, s.lose-1)
	current, holds := s.check(t)
	if holds {
		s.apply(t)
	}
	v := s.version
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, page{Rows: current, Ver: v})
		return
	}
	s.answer(w, http.StatusOK, page{Ver: v})
}

// check returns the rows of the conditions, and whether they hold.
func (s *Store) check(t transaction) ([]row, bool) {
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
