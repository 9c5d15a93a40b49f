package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cicadabeam/core/records"
)

// Faults are what goes wrong. The zero value is a store that works.
type Faults struct {
	Down        bool `json:"down"`
	DelayMS     int  `json:"delay_ms"`
	LoseAnswers int  `json:"lose_answers"` // answers of the next so many transactions
	HostLagMS   int  `json:"host_lag_ms"`
}

// Listed is what stands in the tables of entry hosts and servers.
type Listed struct {
	EntryHosts []records.EntryHost `json:"entry_hosts"`
	Servers    map[string]bool     `json:"servers"` // leaving, by name
}

// Counts are the requests served so far.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// view is what is listed from a time on, by the reader's name; "" is for all others.
type view struct {
	from   time.Time
	listed map[string]Listed
}

// Handler serves the store's protocol, and /control for the tests that run it as a
// process.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", s.server.Handler)
	m.HandleFunc("GET /control/health", func(http.ResponseWriter, *http.Request) {})
	m.HandleFunc("POST /control/faults", s.setFaults)
	m.HandleFunc("POST /control/hosts", s.setListed)
	m.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(Counts{Reads: s.reads, Writes: s.writes})
	})
	return m
}

func (s *Store) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = Well
	if f.Down {
		s.mode = Reset
	}
	s.delay = time.Duration(f.DelayMS) * time.Millisecond
	s.lose = f.LoseAnswers
	s.lag = time.Duration(f.HostLagMS) * time.Millisecond
}

func (s *Store) setListed(w http.ResponseWriter, r *http.Request) {
	var listed map[string]Listed
	if err := json.NewDecoder(r.Body).Decode(&listed); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views = append(s.views, view{from: time.Now().Add(s.lag), listed: listed})
}

// listed returns the rows of a table that a reader sees, if it was listed.
func (s *Store) listed(table, reader string) ([]row, bool) {
	if table != "nodes" && table != "servers" {
		return nil, false
	}
	var current *view
	for i := range s.views {
		if !time.Now().Before(s.views[i].from) {
			current = &s.views[i]
		}
	}
	if current == nil {
		return nil, false
	}
	x, found := current.listed[reader]
	if !found {
		x = current.listed[""]
	}
	return x.rows(table), true
}

func (l Listed) rows(table string) []row {
	var all []row
	if table == "nodes" {
		for _, h := range l.EntryHosts {
			value, _ := json.Marshal(h)
			all = append(all, row{Table: table, Key: h.Name, Value: value, Ver: 1})
		}
		return all
	}
	for name, leaving := range l.Servers {
		state := map[bool]string{false: "ready", true: "draining"}[leaving]
		value := fmt.Appendf(nil, `{"Service":"any","Address":"10.0.0.1:80","Zone":"any","Slots":1,"State":%q,"born":1}`, state)
		all = append(all, row{Table: table, Key: name, Value: value, Ver: 1})
	}
	return all
}
