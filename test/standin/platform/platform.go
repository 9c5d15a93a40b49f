// Package platform is a stand-in for the platform: a transactional table and a
// list of hosts, which can be down, slow, or lose the answers to writes that took
// effect.
package platform

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	client "cicadabeam/io/platform"
)

// Faults are what goes wrong. The zero value is a platform that works.
type Faults struct {
	Down        bool `json:"down"`
	DelayMS     int  `json:"delay_ms"`
	LoseAnswers int  `json:"lose_answers"` // answers of the next so many transactions
	HostLagMS   int  `json:"host_lag_ms"`
}

type hostView struct {
	from  time.Time
	hosts map[string]client.Hosts // by reader; "" for all others
}

// Platform serves the protocol of cicadabeam/io/platform and /control.
type Platform struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]client.Row
	faults   Faults
	views    []hostView
	reads    int
	writes   int
	mux      *http.ServeMux
}

// New returns an empty platform.
func New() *Platform {
	p := &Platform{rows: make(map[string]client.Row), mux: http.NewServeMux()}
	p.mux.HandleFunc("GET /v1/rows/{table}/{key...}", p.faulty(p.get))
	p.mux.HandleFunc("GET /v1/rows/{table}", p.faulty(p.list))
	p.mux.HandleFunc("GET /v1/keys/{table}", p.faulty(p.keys))
	p.mux.HandleFunc("POST /v1/transactions", p.faulty(p.commit))
	p.mux.HandleFunc("GET /v1/hosts", p.faulty(p.hosts))
	p.mux.HandleFunc("POST /control/faults", p.setFaults)
	p.mux.HandleFunc("POST /control/hosts", p.setHosts)
	p.mux.HandleFunc("GET /control/counts", p.counts)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		next(w, r)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	row, found := p.rows[r.PathValue("table")+"/"+r.PathValue("key")]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(row)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []client.Row{}
	for _, k := range p.find(r) {
		rows = append(rows, p.rows[k])
	}
	_ = json.NewEncoder(w).Encode(rows)
}

// find returns the keys that a request asks for, by falling key.
func (p *Platform) find(r *http.Request) []string {
	p.reads++
	prefix := r.PathValue("table") + "/" + r.URL.Query().Get("prefix")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	var keys []string
	for k := range p.rows {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(keys)))
	return keys[:min(limit, len(keys))]
}

func (p *Platform) keys(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	type named struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	}
	rows := []named{}
	for _, k := range p.find(r) {
		rows = append(rows, named{Key: strings.TrimPrefix(k, r.PathValue("table")+"/"), Revision: p.rows[k].Revision})
	}
	_ = json.NewEncoder(w).Encode(rows)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var t client.Transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	revision, failed, lose := p.apply(t)
	if lose {
		panic(http.ErrAbortHandler)
	}
	if len(failed) > 0 {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(client.ConflictError{Failed: failed})
		return
	}
	_ = json.NewEncoder(w).Encode(client.Row{Revision: revision, Value: json.RawMessage("null")})
}

func (p *Platform) apply(t client.Transaction) (revision uint64, failed []int, lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		lose = true
	}
	for i, c := range t.Conditions {
		if p.rows[c.Table+"/"+c.Key].Revision != c.Revision {
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		return 0, failed, lose
	}
	p.revision++
	for _, x := range t.Writes {
		if x.Remove {
			delete(p.rows, x.Table+"/"+x.Key)
			continue
		}
		p.rows[x.Table+"/"+x.Key] = client.Row{Revision: p.revision, Value: x.Value}
	}
	return p.revision, nil, lose
}

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	now := time.Now()
	var h client.Hosts
	for _, v := range p.views {
		if now.Before(v.from) {
			continue
		}
		x, found := v.hosts[r.URL.Query().Get("reader")]
		if !found {
			x = v.hosts[""]
		}
		h = x
	}
	_ = json.NewEncoder(w).Encode(h)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// setHosts takes the list as each reader sees it, by name; "" is for all others.
func (p *Platform) setHosts(w http.ResponseWriter, r *http.Request) {
	var h map[string]client.Hosts
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	lag := time.Duration(p.faults.HostLagMS) * time.Millisecond
	p.views = append(p.views, hostView{from: time.Now().Add(lag), hosts: h})
}

// Counts are the requests served so far.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(Counts{Reads: p.reads, Writes: p.writes})
}
