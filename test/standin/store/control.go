package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cicadabeam/core/records"
)

// Faults are the faults to inject. With the zero value, the store works normally.
type Faults struct {
	Down        bool `json:"down"`
	DelayMS     int  `json:"delay_ms"`
	LoseAnswers int  `json:"lose_answers"` // number of the next transactions whose responses are lost
	HostLagMS   int  `json:"host_lag_ms"`  // delay before posted hosts and servers are visible
}

// TableContents is the content of the tables of entry hosts and servers.
type TableContents struct {
	EntryHosts []records.EntryHost `json:"entry_hosts"`
	Servers    map[string]bool     `json:"servers"` // whether each server is leaving, by server name
}

// Counts are the numbers of requests served so far: reads of a table and transactions.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// view is the content that readers see from a time on, by the User-Agent of the reader;
// "" is for all other readers.
type view struct {
	from    time.Time
	visible map[string]TableContents
}

// Handler returns a handler for the store's protocol, and for /control, which tests use
// that run the store as a process.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", s.server.Handler)
	m.HandleFunc("GET /control/health", func(http.ResponseWriter, *http.Request) {})
	m.HandleFunc("POST /control/faults", s.setFaults)
	m.HandleFunc("POST /control/hosts", s.setContents)
	m.HandleFunc("POST /control/copy", s.keepCopy)
	m.HandleFunc("POST /control/restore", s.restoreCopy)
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
	s.mode = Healthy
	if f.Down {
		s.mode = ResetConnections
	}
	s.delay = time.Duration(f.DelayMS) * time.Millisecond
	s.responsesToLose = f.LoseAnswers
	s.hostLag = time.Duration(f.HostLagMS) * time.Millisecond
}

func (s *Store) setContents(w http.ResponseWriter, r *http.Request) {
	var visible map[string]TableContents
	if err := json.NewDecoder(r.Body).Decode(&visible); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views = append(s.views, view{from: time.Now().Add(s.hostLag), visible: visible})
}

// visible returns the rows of a table that a reader sees, false if no view is in effect
// or views don't cover the table.
func (s *Store) visible(table, reader string) ([]row, bool) {
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
	c, found := current.visible[reader]
	if !found {
		c = current.visible[""]
	}
	return c.rows(table), true
}

func (c TableContents) rows(table string) []row {
	var tableRows []row
	if table == "nodes" {
		for _, h := range c.EntryHosts {
			value, _ := json.Marshal(h)
			tableRows = append(tableRows, row{Table: table, Key: h.Name, Value: value, Ver: 1})
		}
		return tableRows
	}
	for name, leaving := range c.Servers {
		state := map[bool]string{false: "ready", true: "draining"}[leaving]
		value := fmt.Appendf(nil, `{"Service":"any","Address":"10.0.0.1:80","Zone":"any","Version":"v1","Slots":1,"State":%q,"born":1}`, state)
		tableRows = append(tableRows, row{Table: table, Key: name, Value: value, Ver: 1})
	}
	return tableRows
}
