package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, in its current state or in the history of changes.
type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     uint64 `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

// store is a stand-in of the platform's store: rows in tables, conditional transactions and a feed.
type store struct {
	address string
	started time.Time
	mu      sync.Mutex
	ver     uint64
	rows    map[string]row // by table, part and key
	history []row
	changed chan struct{}
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), started: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/rows-get", s.get)
	m.HandleFunc("GET /v1/rows-feed", s.feed)
	m.HandleFunc("POST /v1/rows-tx", s.tx)
	go func() { _ = http.Serve(l, m) }()
	return s, nil
}

func id(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// put writes rows as one transaction. A nil value removes the row. The return is the acknowledgement.
func (s *store) put(rows ...row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(rows)
}

func (s *store) apply(rows []row) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		if r.Deleted {
			r.Value = nil
			delete(s.rows, id(r))
		} else {
			s.rows[id(r)] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() int64 { return 1 + time.Since(s.started).Milliseconds() }

func reply(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("Table") && x.Part == q.Get("part") && x.Key >= q.Get("From") && (q.Get("To") == "" || x.Key < q.Get("To")) {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > limit
	reply(w, 200, map[string]any{"Rows": found[:min(limit, len(found))], "HasMore": more, "Ver": s.ver, "NowMs": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("SinceRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		found := []row{}
		for _, x := range s.history {
			if x.Table == q.Get("Table") && x.Ver > since {
				found = append(found, x)
			}
		}
		if len(found) > 0 || !waiting {
			reply(w, 200, map[string]any{"Rows": found, "HasMore": false, "Ver": s.ver, "NowMs": s.now()})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct{ ExpectedRev, Writes, Remove []row }
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, 400, nil)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []row{}, true
	for _, c := range t.ExpectedRev {
		x, found := s.rows[id(c)]
		if found {
			current = append(current, x)
		}
		holds = holds && x.Ver == c.Ver
	}
	for _, x := range append(append([]row{}, t.Writes...), t.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			reply(w, 403, nil)
			return
		}
	}
	if !holds {
		reply(w, 412, map[string]any{"Rows": current, "Ver": s.ver, "NowMs": s.now()})
		return
	}
	for i := range t.Remove {
		t.Remove[i].Deleted = true
	}
	s.apply(append(t.Writes, t.Remove...))
	reply(w, 200, map[string]any{"Ver": s.ver, "NowMs": s.now()})
}
