package entry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
	"cicadabeam/test/standin/store"
)

const (
	firstPart = "5c1e07a2:200"
	badPart   = "9d40c3b1:3000"
	// shareTime is how long hosts may take to tell each other, or a host that has started,
	// which part crashes servers.
	shareTime = 2 * time.Second
	// contactTime is how long after the fifth crash requests with the part may go on.
	contactTime = 4 * time.Second
	// lateRequests is how many requests with the part may reach servers after that.
	lateRequests = 3
)

// crashingEngines are servers that crash after the first event of an answer on badPart. Each
// is replaced by another.
type crashingEngines struct {
	s        *system
	restarts sync.WaitGroup
	mu       sync.Mutex
	closed   bool
	started  int
	crashed  map[string]bool
	crashes  []time.Time
	arrivals []time.Time // of requests with badPart
}

func (s *system) addCrashingEngines(n int) *crashingEngines {
	e := &crashingEngines{s: s, crashed: make(map[string]bool)}
	s.t.Cleanup(e.close)
	for range n {
		e.start()
	}
	return e
}

func (e *crashingEngines) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.restarts.Wait()
}

func (e *crashingEngines) start() {
	e.mu.Lock()
	id := fmt.Sprint("engine-", e.started)
	e.started++
	e.mu.Unlock()
	b, err := backend.Start("127.0.0.1:0", backend.NotExecuted())
	if err != nil {
		e.s.t.Error(err)
		return
	}
	e.s.t.Cleanup(b.Close)
	sound := backend.Stream(6, 0, 10*time.Millisecond, nil)
	crash := backend.OneEvent(10*time.Millisecond, func(*backend.Conn, *http.Request, []byte) bool {
		e.crash(id, b)
		return false
	})
	b.SetSteps(backend.WithCachedPrompts(nil, backend.ForPromptPart(badPart, func(c *backend.Conn, r *http.Request, body []byte) bool {
		e.recordArrival()
		return crash(c, r, body)
	}, sound)))
	e.s.register(id, "llm", b.Address(), "ready")
}

func (e *crashingEngines) recordArrival() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, time.Now())
}

// crash closes a server and starts another a second later.
func (e *crashingEngines) crash(id string, b *backend.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed[id] || e.closed {
		return
	}
	e.crashed[id] = true
	b.Close()
	e.crashes = append(e.crashes, time.Now())
	e.restarts.Add(1)
	time.AfterFunc(time.Second, func() {
		defer e.restarts.Done()
		e.s.store.Remove("servers", id)
		e.start()
	})
}

// arrivalCount returns how many requests with badPart reached servers.
func (e *crashingEngines) arrivalCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.arrivals)
}

// lateArrivals returns the number of crashes and how many requests with badPart reached
// servers later than contactTime after the fifth.
func (e *crashingEngines) lateArrivals() (crashes, late int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.crashes) < 5 {
		return len(e.crashes), 0
	}
	from := e.crashes[4].Add(contactTime)
	i := slices.IndexFunc(e.arrivals, from.Before)
	if i < 0 {
		return len(e.crashes), 0
	}
	return len(e.crashes), len(e.arrivals) - i
}

// ask sends a request whose prompt has the given parts and one of its own. It reports
// whether the stream was complete, and whether the request was refused.
func (n *node) ask(parts ...string) (served, refused bool) {
	return n.askWith(fmt.Sprintf("%08x:800", rand.Uint32()), parts...)
}

// askWith is ask with a given part of its own.
func (n *node) askWith(own string, parts ...string) (served, refused bool) {
	status, header := n.send("/report/1", "key-1", func(r *http.Request) {
		r.Header.Set("X-Request-Id", fmt.Sprintf("id-%d", rand.Uint64()))
		r.Header.Set("X-Prefix-Hash", strings.Join(append(parts, own), ","))
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(own)), int64(len(own))
	})
	return status == http.StatusOK, status == http.StatusServiceUnavailable && header.Get("Retry-After") != ""
}

// refusesPart reports whether a host refuses a request with badPart and serves another.
func (n *node) refusesPart() bool {
	if _, refused := n.ask(firstPart, badPart); !refused {
		return false
	}
	served, _ := n.ask(firstPart)
	return served
}

// awaitQuarantine sends requests with badPart to the hosts in turn until one refuses them.
func (s *system) awaitQuarantine(timeout time.Duration) bool {
	var wg sync.WaitGroup
	defer wg.Wait()
	done := make(chan struct{})
	var once sync.Once
	deadline := time.After(timeout)
	for i := 0; ; i++ {
		wg.Go(func() {
			if s.nodes[i%len(s.nodes)].refusesPart() {
				once.Do(func() { close(done) })
			}
		})
		select {
		case <-done:
			return true
		case <-deadline:
			return false
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// checkRefusesPart checks that a host refuses requests with badPart and that none of them
// reaches a server.
func (e *crashingEngines) checkRefusesPart(n *node) {
	e.s.t.Helper()
	before := e.arrivalCount()
	for range 3 {
		if !n.refusesPart() {
			e.s.t.Errorf("%s does not refuse the part, or refuses requests without it", n.Name())
		}
	}
	if reached := e.arrivalCount() - before; reached > 0 {
		e.s.t.Errorf("%d requests with the part at %s reached servers", reached, n.Name())
	}
}

// Guards against a part of a prompt that crashes servers again at each host that has not
// seen it, or has restarted.
func TestHostsShareKnowledgeOfCrashingPart(t *testing.T) {
	t.Parallel()
	s := start(t, 3)
	e := s.addCrashingEngines(12)
	for _, n := range s.nodes {
		s.await(n.Name()+" serves streams", testTimeout, func() bool { served, _ := n.ask(firstPart); return served })
	}
	if !s.awaitQuarantine(12 * time.Second) {
		t.Errorf("no host refuses the part")
	}
	time.Sleep(shareTime)
	for _, n := range s.nodes {
		e.checkRefusesPart(n)
	}
	s.nodes[0].restart(t)
	s.nodes = append(s.nodes, s.startNode(len(s.nodes)))
	restarted, added := s.nodes[0], s.nodes[len(s.nodes)-1]
	for _, n := range []*node{restarted, added} {
		s.await(n.Name()+" is ready", testTimeout, n.Ready)
	}
	time.Sleep(shareTime)
	e.checkRefusesPart(restarted)
	e.checkRefusesPart(added)
	if crashes, late := e.lateArrivals(); late > lateRequests {
		t.Errorf("%d requests with the part reached servers later than %v after the fifth crash, want at most %d; %d crashes", late, contactTime, lateRequests, crashes)
	}
}

// Guards against a cause of crashes that is forgotten when all hosts end at once, also after the
// store came back from a copy without it.
func TestCauseOfCrashesOutlivesAllHosts(t *testing.T) {
	t.Parallel()
	s := start(t, 3)
	older := s.store.Copy()
	e := s.addCrashingEngines(12)
	for _, n := range s.nodes {
		s.await(n.Name()+" serves streams", testTimeout, func() bool { served, _ := n.ask(firstPart); return served })
	}
	if !s.awaitQuarantine(12 * time.Second) {
		t.Errorf("no host refuses the part")
	}
	time.Sleep(shareTime)
	lost := s.store.Copy()
	s.store.Restore(older)
	for _, id := range append(older.Keys("servers"), lost.Keys("servers")...) {
		s.store.Rewrite("servers", id, lost, older)
	}
	time.Sleep(shareTime)
	for _, n := range s.nodes {
		n.Kill()
	}
	for _, n := range s.nodes {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range s.nodes {
		s.await(n.Name()+" is ready", testTimeout, n.Ready)
	}
	time.Sleep(shareTime)
	for _, n := range s.nodes {
		e.checkRefusesPart(n)
	}
}

// Guards against a request that is found anew when all hosts end before a server was there to try it.
func TestSuspicionOutlivesAllHosts(t *testing.T) {
	for name, outage := range map[string]bool{"the store is there": false, "the store is back after the start": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkSuspicionOutlivesHosts(t, outage)
		})
	}
}

func checkSuspicionOutlivesHosts(t *testing.T, outage bool) {
	t.Helper()
	s := start(t, 3)
	e := s.addCrashingEngines(12)
	const own = "77aa01b2:800"
	s.await("servers crash", testTimeout, func() bool {
		for _, n := range s.nodes {
			go n.askWith(own, firstPart, badPart)
		}
		time.Sleep(300 * time.Millisecond)
		return e.arrivalCount() > 0
	})
	s.await("what is suspected is stored", testTimeout, func() bool {
		return slices.ContainsFunc(s.store.Keys("nodes"), func(key string) bool { return strings.HasPrefix(key, "crash-suspicion/") })
	})
	for _, n := range s.nodes {
		n.Kill()
	}
	time.Sleep(2 * time.Second) // the servers are back
	if outage {
		s.store.SetMode(store.Unavailable)
	}
	for _, n := range s.nodes {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	before := e.arrivalCount()
	var g sync.WaitGroup
	ask := func() {
		for _, n := range s.nodes {
			g.Go(func() { n.askWith(own, firstPart, badPart) })
		}
	}
	if outage {
		time.Sleep(time.Second)
		ask()
		s.store.SetMode(store.Healthy)
	}
	for _, n := range s.nodes {
		s.await(n.Name()+" is ready", testTimeout, n.Ready)
	}
	for range 4 {
		ask()
	}
	g.Wait()
	if reached := e.arrivalCount() - before; reached == 0 || reached > 6 {
		t.Errorf("%d requests reached servers after the start, want 1 to 6 trials", reached)
	}
}
