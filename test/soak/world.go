package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cicadabeam/test/cluster"
	"cicadabeam/test/entryhost"
	"cicadabeam/test/standin/backend"
	"cicadabeam/test/standin/store"
)

const (
	organisation = "ndox"
	revokeBound  = entryhost.Revoke
	drainBound   = entryhost.Drain
	// contact is how long a system must have been without a fault to count as calm.
	contact = 4 * time.Second
	// recovery is within which all hosts serve after the last fault.
	recovery = 12 * time.Second
	// keysAtFirst are valid at the start; some are taken away.
	keysAtFirst = 12
	keysTaken   = 6
	// reuseAfter is after which an address may belong to another server.
	reuseAfter = 2 * time.Second
	pollPeriod = 300 * time.Millisecond
)

// serviceOf is the service that requests of a kind go to.
var serviceOf = map[string]string{buy: "orders", read: "orders", report: "llm"}

// host is an entry host with its own view of the store.
type host struct {
	*entryhost.Host
	front *store.Front
	busy  sync.Mutex // held by the fault that it has
}

// place is an address at which backend servers run, one after the other.
type place struct {
	server string // behind the link
	link   *cluster.Link
	busy   sync.Mutex // held by the fault that it has
	now    *incarnation
}

// span is a time in which a fault was at work.
type span struct{ from, to time.Time }

// world is a system under faults.
type world struct {
	dir        string
	random     *rand.Rand // of the schedule of faults
	store      *store.Store
	hosts      []*host
	places     []*place
	ledger     *ledger
	transcript *transcript

	mu       sync.Mutex
	rotation []string // addresses of the hosts that are ready
	revision int
	keys     []string
	taken    map[string]time.Time
	left     map[string]time.Time // servers by id
	faults   []span
	started  int // incarnations
	found    []string
	log      []string
	begun    time.Time
}

func newWorld(binary, dir string, seed uint64, hosts int) (*world, error) {
	x, err := store.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, random: rand.New(rand.NewPCG(seed, 1)), store: x, ledger: &ledger{}, transcript: &transcript{},
		taken: make(map[string]time.Time), left: make(map[string]time.Time), begun: time.Now(),
	}
	for i := range keysAtFirst {
		w.keys = append(w.keys, fmt.Sprint("key-", i))
	}
	w.configure()
	for i, service := range []string{"orders", "orders", "orders", "llm", "llm", "llm", "llm"} {
		if err := w.addPlace(service, seed*100+uint64(i)); err != nil {
			return w, err
		}
	}
	for i := range hosts {
		if err := w.addHost(binary, i); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) addHost(binary string, i int) error {
	f, err := w.store.Front()
	if err != nil {
		return err
	}
	h, err := entryhost.New(binary, w.dir, fmt.Sprint("node-", i), []string{"a", "b"}[i%2], f.Address())
	if err != nil {
		return err
	}
	w.hosts = append(w.hosts, &host{Host: h, front: f})
	return h.Start()
}

// lastPlace is the number of places so far, each with an IP number of its own.
var lastPlace atomic.Int32

// addPlace starts a server behind a link of its own.
func (w *world) addPlace(service string, seed uint64) error {
	n := lastPlace.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%150, 100+n/200, 10+n%200)
	link, err := cluster.NewLink("server-"+ip, ip+":9001", ip+":9000")
	if err != nil {
		return err
	}
	p := &place{server: ip + ":9000", link: link}
	w.places = append(w.places, p)
	return w.startServer(p, service, seed)
}

// startServer starts a new incarnation at a place and registers it.
func (w *world) startServer(p *place, service string, seed uint64) error {
	w.mu.Lock()
	w.started++
	id := fmt.Sprintf("i-%d", w.started)
	w.mu.Unlock()
	s := &incarnation{id: id, service: service, address: p.link.Address(), ledger: w.ledger, random: rand.New(rand.NewPCG(seed, 3))}
	b, err := backend.Start(p.server, s.step)
	if err != nil {
		return err
	}
	s.backend = b
	p.now = s
	w.store.Put("servers", id, s.entry("ready"))
	return nil
}

// close ends everything that the world started.
func (w *world) close() {
	for _, h := range w.hosts {
		h.Kill()
	}
	for _, p := range w.places {
		if p.now != nil {
			p.now.backend.Close()
		}
		p.link.Break()
	}
	w.store.Close()
}

// configure writes the next configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	routes := []map[string]any{
		{"Name": buy, "Host": "test.example", "Prefix": "/buy/", "Type": "unsafe", "TimeoutMs": 2000, "GoalMs": 250, "Service": "orders", "MaxAttempts": 1},
		{"Name": read, "Host": "test.example", "Prefix": "/read/", "Type": "safe", "TimeoutMs": 2000, "GoalMs": 250, "Service": "orders", "MaxAttempts": 2},
		{"Name": report, "Host": "test.example", "Prefix": "/report/", "Type": "stream", "Resumable": true, "TimeoutMs": 6000, "GoalMs": 1000, "Service": "llm", "MaxAttempts": 5},
		{"Name": "newest", "Host": "test.example", "Prefix": newest(w.revision), "Type": "safe", "TimeoutMs": 2000, "GoalMs": 250, "Service": "orders", "MaxAttempts": 2, "Public": true},
	}
	value, _ := json.Marshal(map[string]any{
		"Version": w.revision, "Routes": routes,
		"Services": []map[string]any{
			{"Name": "orders", "MaxConns": 100},
			{"Name": "llm", "MaxConns": 100, "Engine": map[string]any{"Slots": 12, "KvCapacity": 88000, "Backups": true, "HandleS": 4}},
		},
		"Limits": map[string]any{"MaxBodyBytes": 1 << 20}, "Tenants": []map[string]any{{"Name": organisation, "ApiKeys": w.keys}},
	})
	w.store.Put("op", "config", value)
}

// newest is the prefix of a route that only one revision has.
func newest(revision int) string { return fmt.Sprintf("/newest-%d/", revision) }

// key draws a key for a caller: mostly one that is valid.
func (w *world) key(r *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.IntN(8) == 0 {
		for k := range w.taken {
			return k
		}
	}
	return w.keys[r.IntN(len(w.keys))]
}

// takeKey takes a key away.
func (w *world) takeKey() {
	w.mu.Lock()
	if len(w.taken) < keysTaken {
		k := w.keys[0]
		w.keys = w.keys[1:]
		defer func() {
			w.mu.Lock()
			w.taken[k] = time.Now()
			w.mu.Unlock()
		}()
	}
	w.mu.Unlock()
	w.configure()
}

func (w *world) takenAway(key string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, found := w.taken[key]
	return t, found
}

func (w *world) leave(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left[id] = time.Now()
}

func (w *world) leftAt(id string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, found := w.left[id]
	return t, found
}

// calm tells whether no fault of hosts, links or the store was at work in a time.
func (w *world) calm(from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.faults {
		if s.from.Before(to) && s.to.After(from) {
			return false
		}
	}
	return true
}

func (w *world) disturb(from time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, span{from, time.Now()})
}

// breach notes what is found while faults are at work.
func (w *world) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.found = append(w.found, fmt.Sprintf(format, args...))
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = append(w.log, fmt.Sprintf("%6.2f %s", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...)))
}

// balance keeps the list of hosts that are ready, as the platform's balancer does.
func (w *world) balance(stop <-chan struct{}) {
	for {
		var ready []string
		for _, h := range w.hosts {
			if h.Ready() {
				ready = append(ready, h.Callers())
			}
		}
		w.mu.Lock()
		w.rotation = ready
		w.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(pollPeriod):
		}
	}
}

// pick draws a host that is ready, or any if none is.
func (w *world) pick(r *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.rotation) == 0 {
		return w.hosts[r.IntN(len(w.hosts))].Callers()
	}
	return w.rotation[r.IntN(len(w.rotation))]
}

// recovered tells what doesn't work once all faults are over.
func (w *world) recovered() {
	over := time.Now()
	w.mu.Lock()
	path := newest(w.revision)
	w.mu.Unlock()
	for _, h := range w.hosts {
		works := func() bool { return h.Ready() && get(h.Callers(), path) == http.StatusOK }
		if !cluster.Await(time.Until(over.Add(recovery)), works) {
			w.breach("%s doesn't serve the newest configuration %v after the last fault: ready %v, status %d", h.Name(), recovery, h.Ready(), get(h.Callers(), path))
		}
	}
}

// get asks a host for a public path and returns the status, 0 without an answer.
func get(address, path string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0
	}
	r.Host = "test.example"
	r.Header.Set("X-Request-Id", probeID)
	r.Header.Set("X-Deadline-Ms", "2000")
	c := http.Client{Timeout: 3 * time.Second}
	defer c.CloseIdleConnections()
	answer, err := c.Do(r)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// probeID is the id of requests that look whether a host works; they aren't judged.
const probeID = "probe"
