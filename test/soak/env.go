package soak

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"cicadabeam/test/cluster"
	"cicadabeam/test/entryhost"
	"cicadabeam/test/standin/backend"
	"cicadabeam/test/standin/store"
)

const (
	organisation = "ndox"
	revokeLimit  = entryhost.RevokeLimit
	drainLimit   = entryhost.DrainLimit
	// settleTime is the time without a fault that must precede a period for it to count as
	// fault-free.
	settleTime = 4 * time.Second
	// recoveryTimeout is the time within which all hosts serve after the last fault.
	recoveryTimeout = 12 * time.Second
	// initialKeys is the number of keys valid at the start; up to maxRevokedKeys are revoked.
	initialKeys    = 12
	maxRevokedKeys = 6
	// addressReuseDelay is the time after which another server may use an address.
	addressReuseDelay = 2 * time.Second
	pollPeriod        = 300 * time.Millisecond
)

// serviceOf maps a request kind to its service.
var serviceOf = map[string]string{buy: "orders", read: "orders", report: "llm", once: "llm"}

// host is an entry host with its own endpoint of the store.
type host struct {
	*entryhost.Host
	storeEndpoint *store.Endpoint
	faultMu       sync.Mutex // held by its current fault
	disruptionMu  sync.Mutex
	disruptions   []time.Time // when it was started, suspended or resumed
	outputSize    int64       // size of its output when it was started last
}

// Start starts the process and records it.
func (h *host) Start() error {
	h.recordDisruption()
	h.outputSize = 0
	if f, err := os.Stat(h.OutputPath()); err == nil {
		h.outputSize = f.Size()
	}
	return h.Host.Start()
}

// hasStarted reports whether the process has logged that it started. Before that it may not
// handle signals yet, which then end it.
func (h *host) hasStarted() bool {
	b, err := os.ReadFile(h.OutputPath())
	return err != nil || bytes.Contains(b[h.outputSize:], []byte("message=started "))
}

// serverAddress is an address at which backend servers run, one at a time.
type serverAddress struct {
	listen  string // where servers listen, behind the link
	link    *cluster.Link
	faultMu sync.Mutex // held by its current fault
	current *incarnation

	unframed     bool   // its servers send responses without length or chunks
	version      string // of its servers, "" for that of their number
	disruptionMu sync.Mutex
	disruptions  []span // of the link or the connections
}

// span is a period in which a fault was active.
type span struct {
	from, to time.Time
	harmless bool
}

// testEnv is the system under test: the store, entry hosts and backend servers.
type testEnv struct {
	dir       string
	seed      uint64
	random    *rand.Rand // for the fault schedule
	restores  *rand.Rand // for the restores of the store
	restoring []span     // restores, until all have written again; under mu
	store     *store.Store
	hosts     []*host
	addresses []*serverAddress
	unframed  []*serverAddress // without links and faults
	arrivals  *arrivalLog
	results   *resultLog
	stalls    stallMeter

	mu           sync.Mutex
	readyHosts   []string // addresses of the hosts that are ready
	revision     int
	keys         []string
	revoked      map[string]time.Time
	draining     map[string]time.Time // start of draining or deregistration, by server ID
	faultSpans   []span
	incarnations int // number of servers started
	violations   []string
	faultLog     []string
	startTime    time.Time
	addressOf    map[string]*serverAddress // by server ID
	whole        map[string]bool           // complete responses without length, by request ID
	crashes      []time.Time               // by the part that crashes servers
	quietEnd     time.Time                 // end of the time without other faults
	restarts     sync.WaitGroup            // of servers that crashed
	rolloutState string                    // at its end, and the time of that
	rolloutEnd   time.Time
}

func newTestEnv(binary, dir string, seed uint64, hosts int) (*testEnv, error) {
	x, err := store.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &testEnv{
		dir: dir, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), restores: rand.New(rand.NewPCG(seed, 9)), store: x, arrivals: &arrivalLog{}, results: &resultLog{},
		revoked: make(map[string]time.Time), draining: make(map[string]time.Time), startTime: time.Now(),
		addressOf: make(map[string]*serverAddress), whole: make(map[string]bool),
	}
	for i := range initialKeys {
		e.keys = append(e.keys, fmt.Sprint("key-", i))
	}
	e.configure()
	for i, service := range []string{"orders", "orders", "orders", "llm", "llm", "llm", "llm"} {
		if err := e.addServer(service, seed*100+uint64(i)); err != nil {
			return e, err
		}
	}
	if seed >= firstSeedWithParts {
		if err := e.addUnframedServers(seed); err != nil {
			return e, err
		}
	}
	for i := range hosts {
		if err := e.addHost(binary, i); err != nil {
			return e, err
		}
	}
	return e, nil
}

func (e *testEnv) addHost(binary string, i int) error {
	endpoint, err := e.store.AddEndpoint()
	if err != nil {
		return err
	}
	h, err := entryhost.New(binary, e.dir, fmt.Sprint("node-", i), []string{"a", "b"}[i%2], endpoint.Address())
	if err != nil {
		return err
	}
	if hasRollout(e.seed) {
		e.recordError(h.ChangeSetting("[bounds]\n", "[bounds]\nexposure-share = 0.1\n"))
	}
	x := &host{Host: h, storeEndpoint: endpoint}
	e.hosts = append(e.hosts, x)
	return x.Start()
}

// addServer starts a server at a new address behind its own link.
func (e *testEnv) addServer(service string, seed uint64) error {
	return e.addServerOf(service, "", seed)
}

// addServerOf is like addServer for servers of a software version.
func (e *testEnv) addServerOf(service, version string, seed uint64) error {
	ip := entryhost.NextAddress()
	link, err := cluster.NewLink("server-"+ip, ip+":9001", ip+":9000")
	if err != nil {
		return err
	}
	a := &serverAddress{listen: ip + ":9000", link: link, version: version}
	e.addresses = append(e.addresses, a)
	return e.startServer(a, service, seed)
}

// startServer starts a server at an address and registers it.
func (e *testEnv) startServer(a *serverAddress, service string, seed uint64) error {
	e.mu.Lock()
	e.incarnations++
	id := fmt.Sprintf("i-%d", e.incarnations)
	version := cmp.Or(a.version, softwareVersion(e.seed, e.incarnations))
	e.addressOf[id] = a
	e.mu.Unlock()
	s := &incarnation{id: id, service: service, version: version, address: a.address(), unframed: a.unframed, recordWhole: e.recordWhole, born: time.Now(), arrivals: e.arrivals, addViolation: e.addViolation, random: rand.New(rand.NewPCG(seed, 3))}
	s.crash = sync.OnceFunc(func() { e.crashOnPart(s, a) })
	b, err := backend.Start(a.listen, s.handleWithNotices)
	if err != nil {
		return err
	}
	s.backend = b
	a.current = s
	e.store.Put("servers", id, s.registryEntry("ready"))
	return nil
}

// close stops all hosts, servers, links and the store.
func (e *testEnv) close() {
	for _, h := range e.hosts {
		h.Kill()
	}
	e.restarts.Wait()
	for _, a := range slices.Concat(e.addresses, e.unframed) {
		if a.current != nil {
			a.current.backend.Close()
		}
		if a.link != nil {
			a.link.Disable()
		}
	}
	e.store.Close()
}

// configure writes the next configuration.
func (e *testEnv) configure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision++
	routes := []map[string]any{
		{"Name": buy, "Host": "test.example", "Prefix": "/buy/", "Type": "unsafe", "TimeoutMs": 2000, "GoalMs": 250, "Service": "orders", "MaxAttempts": 1},
		{"Name": read, "Host": "test.example", "Prefix": "/read/", "Type": "safe", "TimeoutMs": 2000, "GoalMs": 250, "Service": "orders", "MaxAttempts": 2},
		{"Name": report, "Host": "test.example", "Prefix": "/report/", "Type": "stream", "Resumable": true, "TimeoutMs": 6000, "GoalMs": 1000, "Service": "llm", "MaxAttempts": 5},
		{"Name": once, "Host": "test.example", "Prefix": "/once/", "Type": "stream", "TimeoutMs": 6000, "GoalMs": 1000, "Service": "llm", "MaxAttempts": 5},
		{"Name": "newest", "Host": "test.example", "Prefix": revisionPrefix(e.revision), "Type": "safe", "TimeoutMs": 2000, "GoalMs": 250, "Service": "orders", "MaxAttempts": 2, "Public": true},
	}
	value, _ := json.Marshal(map[string]any{
		"Version": e.revision, "Routes": routes,
		"Services": []map[string]any{
			{"Name": "orders", "MaxConns": 100},
			{"Name": "llm", "MaxConns": 100, "Engine": map[string]any{"Slots": 12, "KvCapacity": 88000, "Backups": true, "HandleS": 4}},
		},
		"Limits": map[string]any{"MaxBodyBytes": 1 << 20}, "Tenants": []map[string]any{{"Name": organisation, "ApiKeys": e.keys}},
	})
	e.store.Put("op", "config", value)
}

// revisionPrefix returns the prefix of the route that exists only in the given revision.
func revisionPrefix(revision int) string { return fmt.Sprintf("/newest-%d/", revision) }

// pickKey draws a key for a caller: usually a valid one, otherwise a revoked one.
func (e *testEnv) pickKey(r *rand.Rand) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.IntN(8) == 0 {
		for k := range e.revoked {
			return k
		}
	}
	return e.keys[r.IntN(len(e.keys))]
}

// revokeKey revokes a key, unless maxRevokedKeys are revoked already, and writes the next
// configuration.
func (e *testEnv) revokeKey() {
	e.mu.Lock()
	if len(e.revoked) < maxRevokedKeys {
		k := e.keys[0]
		e.keys = e.keys[1:]
		defer func() {
			e.mu.Lock()
			e.revoked[k] = time.Now()
			e.mu.Unlock()
		}()
	}
	e.mu.Unlock()
	e.configure()
}

func (e *testEnv) revokedAt(key string) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, found := e.revoked[key]
	return t, found
}

func (e *testEnv) recordDraining(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining[id] = time.Now()
}

func (e *testEnv) drainingSince(id string) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, found := e.draining[id]
	return t, found
}

// faultFree reports whether no fault was active in a period.
func (e *testEnv) faultFree(from, to time.Time) bool {
	return !e.anyFault(from, to, func(span) bool { return true })
}

// onlyHarmlessFaults reports whether no fault other than harmless ones was active in a
// period.
func (e *testEnv) onlyHarmlessFaults(from, to time.Time) bool {
	return !e.anyFault(from, to, func(s span) bool { return !s.harmless })
}

// anyFault reports whether a fault that counts was active in a period.
func (e *testEnv) anyFault(from, to time.Time, counts func(span) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.faultSpans {
		if s.from.Before(to) && s.to.After(from) && counts(s) {
			return true
		}
	}
	return false
}

func (e *testEnv) recordFault(f fault, from time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultSpans = append(e.faultSpans, span{from: from, to: time.Now(), harmless: f.isHarmless()})
}

// addViolation records a violation found while faults are injected.
func (e *testEnv) addViolation(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.violations = append(e.violations, fmt.Sprintf(format, args...))
}

func (e *testEnv) logFault(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultLog = append(e.faultLog, fmt.Sprintf("%6.2f %s", time.Since(e.startTime).Seconds(), fmt.Sprintf(format, args...)))
}

// pollReadiness keeps readyHosts current, as the load balancer of the platform does.
func (e *testEnv) pollReadiness(stop <-chan struct{}) {
	for {
		var ready []string
		for _, h := range e.hosts {
			if h.Ready() {
				ready = append(ready, h.CallerAddress())
			}
		}
		e.mu.Lock()
		e.readyHosts = ready
		e.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(pollPeriod):
		}
	}
}

// pickHost draws a ready host, or any host if none is ready.
func (e *testEnv) pickHost(r *rand.Rand) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.readyHosts) == 0 {
		return e.hosts[r.IntN(len(e.hosts))].CallerAddress()
	}
	return e.readyHosts[r.IntN(len(e.readyHosts))]
}

// checkRecovery records a violation for each host that does not serve the newest
// configuration within recoveryTimeout.
func (e *testEnv) checkRecovery() {
	start := time.Now()
	e.mu.Lock()
	path := revisionPrefix(e.revision)
	e.mu.Unlock()
	for _, h := range e.hosts {
		serving := func() bool { return h.Ready() && probe(h.CallerAddress(), path) == http.StatusOK }
		if !cluster.Await(time.Until(start.Add(recoveryTimeout)), serving) {
			e.addViolation("%s does not serve the newest configuration %v after the last fault: ready %v, status %d", h.Name(), recoveryTimeout, h.Ready(), probe(h.CallerAddress(), path))
		}
	}
}

// probe requests a public path from a host and returns the status, 0 without a response.
func probe(address, path string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0
	}
	r.Host = "test.example"
	r.Header.Set("X-Request-Id", probeID)
	r.Header.Set("X-Deadline-Ms", "2000")
	c := http.Client{Timeout: 3 * time.Second}
	defer c.CloseIdleConnections()
	response, err := c.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// probeID is the request ID of health probes, which are not checked.
const probeID = "probe"
