package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/backend"
)

const (
	exposureShare     = 0.1
	exposureTolerance = 50
	// rolloutBounds are settings as in the deployments that have roll-outs.
	rolloutBounds  = "exposure-share = 0.1\nexposure-tolerance = 50\nrollback = 5000ms\n"
	rolloutLength  = 12 * time.Second
	rolloutCallers = 12
	workTime       = 100 * time.Millisecond // of a request
	badRollback    = 5 * time.Second
	badResponses   = 50 // from which on a bad version must be left within badRollback
)

// rolloutRun is a service whose servers change to another software version while callers send requests.
type rolloutRun struct {
	*system
	older, newer []*backend.Server
	bad          atomic.Int64 // bad responses of the new version
	lateBad      atomic.Int64 // requests that reached it later than it may get any
	mu           sync.Mutex
	badAt        time.Time // of the response from which the version must be left
	failed       atomic.Int64
	sent         atomic.Int64
	stop         chan struct{}
	callers      sync.WaitGroup
}

// startRollout starts nodes, servers of version v1 and callers.
func startRollout(t *testing.T, nodes int) *rolloutRun {
	r := &rolloutRun{system: startSystem(t, nodes, &system{bounds: rolloutBounds}), stop: make(chan struct{})}
	for i := range 4 {
		r.older = append(r.older, r.addRolloutServer(fmt.Sprint("old-", i), "v1", backend.Delay(workTime, backend.Respond(http.StatusOK, "ok"))))
	}
	for _, n := range r.nodes {
		r.awaitStatus(n, "/buy/1", "key-1", http.StatusOK, testTimeout)
	}
	for i := range rolloutCallers {
		r.callers.Add(1)
		go r.call(i)
	}
	t.Cleanup(r.end)
	return r
}

func (r *rolloutRun) addRolloutServer(id, version string, step backend.Step) *backend.Server {
	r.t.Helper()
	b, err := backend.Start("127.0.0.1:0", step)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(b.Close)
	r.store.Put("servers", id, fmt.Appendf(nil, `{"Service":"orders","Address":%q,"Zone":"a","Version":%q,"Slots":6,"State":"ready","born":5,"Seq":1}`, b.Address(), version))
	return b
}

// call sends requests until the run ends, alternately to the routes and over all nodes.
func (r *rolloutRun) call(caller int) {
	defer r.callers.Done()
	for i := 0; ; i++ {
		select {
		case <-r.stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		path := []string{"/buy/1", "/r1/1"}[i%2]
		status, _ := r.nodes[(caller+i)%len(r.nodes)].send(path, "key-1", func(q *http.Request) {
			q.Header.Set("X-Request-Id", fmt.Sprintf("%d-%d-%d", caller, i, time.Now().UnixNano()))
			q.Header.Del("X-Token-Usage")
		})
		r.sent.Add(1)
		if status != http.StatusOK {
			r.failed.Add(1)
		}
	}
}

func (r *rolloutRun) end() {
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
	r.callers.Wait()
}

// order starts servers of version v2 and writes the order for it.
func (r *rolloutRun) order(step backend.Step) {
	for i := range 4 {
		r.newer = append(r.newer, r.addRolloutServer(fmt.Sprint("new-", i), "v2", step))
	}
	r.store.Put("op", "rollout/orders", fmt.Appendf(nil, `{"Service":"orders","To":"v2","DurationS":%v}`, rolloutLength.Seconds()))
}

// recordBad counts a bad response, and requests that come too late after the last that is accepted.
func (r *rolloutRun) recordBad(step backend.Step) backend.Step {
	return func(c *backend.Conn, q *http.Request, body []byte) bool {
		r.mu.Lock()
		if r.bad.Add(1) == badResponses {
			r.badAt = time.Now()
		}
		if !r.badAt.IsZero() && time.Since(r.badAt) > badRollback+time.Second { // a request takes less than a second
			r.lateBad.Add(1)
		}
		r.mu.Unlock()
		return step(c, q, body)
	}
}

// awaitStatusRow waits until the operator reads a state.
func (r *rolloutRun) awaitStatusRow(state string, timeout time.Duration) {
	r.t.Helper()
	want := fmt.Sprintf(`{"State":%q,"To":"v2"}`, state)
	if !cluster.Await(timeout, func() bool { return string(r.store.Value("status", "rollout/orders")) == want }) {
		r.t.Errorf("the operator reads %s after %v, want %s", r.store.Value("status", "rollout/orders"), timeout, want)
	}
}

func countRequests(all []*backend.Server) int {
	n := 0
	for _, b := range all {
		n += len(b.Requests())
	}
	return n
}

// checkExposure checks that a bad version got no more than the bound.
func (r *rolloutRun) checkExposure(oldBefore int) {
	r.t.Helper()
	newer, older := countRequests(r.newer), countRequests(r.older)-oldBefore
	if limit := exposureShare*float64(newer+older) + exposureTolerance; float64(newer) > limit {
		r.t.Errorf("the bad version got %d of %d requests, want at most %.0f", newer, newer+older, limit)
	}
	r.t.Logf("the bad version got %d of %d requests, with %d bad responses, %d after it had to be left", newer, newer+older, r.bad.Load(), r.lateBad.Load())
	if r.lateBad.Load() > 0 {
		r.t.Errorf("%d requests reached the bad version more than %v after its bad response %d", r.lateBad.Load(), badRollback, badResponses)
	}
}

// driver returns the node that drives the roll-out, nil if there is none.
func (r *rolloutRun) driver() *node {
	value := r.store.Value("rollouts", "orders")
	i := slices.IndexFunc(r.nodes, func(n *node) bool { return bytes.Contains(value, fmt.Appendf(nil, `"Driver":%q`, n.Name())) })
	if i < 0 {
		return nil
	}
	return r.nodes[i]
}

// Guards against a sound version that is not completed in time, and against requests at old servers
// once the operator reads that they may stop.
func TestSoundVersionIsCompleted(t *testing.T) {
	r := startRollout(t, 4)
	r.order(backend.Delay(workTime, backend.Respond(http.StatusOK, "ok")))
	r.awaitStatusRow("in_progress", 3*time.Second)
	r.awaitStatusRow("completed", rolloutLength)
	before := countRequests(r.older)
	for _, b := range r.older {
		b.Reset()
	}
	time.Sleep(time.Second)
	if after := countRequests(r.older); after != before {
		t.Errorf("old servers got %d requests after the roll-out was completed", after-before)
	}
	r.end()
	if r.failed.Load() > 0 {
		t.Errorf("%d of %d requests failed", r.failed.Load(), r.sent.Load())
	}
	if n := countRequests(r.newer); n == 0 {
		t.Error("the new servers got no requests")
	}
}

// Guards against a bad version that gets more than its share or is not rolled back in time.
func TestBadVersionIsRolledBack(t *testing.T) {
	for _, x := range []struct {
		name string
		step func(r *rolloutRun) backend.Step
	}{
		{"failing", func(r *rolloutRun) backend.Step {
			var n atomic.Int64
			return func(c *backend.Conn, q *http.Request, body []byte) bool {
				if n.Add(1)%3 == 0 {
					return r.recordBad(backend.Respond(http.StatusInternalServerError, "failed"))(c, q, body)
				}
				return backend.Delay(workTime, backend.Respond(http.StatusOK, "ok"))(c, q, body)
			}
		}},
		{"slow", func(r *rolloutRun) backend.Step {
			return r.recordBad(backend.Delay(4*workTime, backend.Respond(http.StatusOK, "ok")))
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := startRollout(t, 4)
			before := countRequests(r.older)
			r.order(x.step(r))
			r.awaitStatusRow("rolled_back", rolloutLength)
			time.Sleep(time.Second)
			n := countRequests(r.newer)
			time.Sleep(2 * time.Second)
			if later := countRequests(r.newer); later > n {
				t.Errorf("the version got %d requests more than a second after it was rolled back", later-n)
			}
			r.checkExposure(before)
		})
	}
}

// Guards against a roll-out that ends with the host that drives it, and against a driver that was suspended
// and goes on as if it still were the driver.
func TestRolloutSurvivesItsDriver(t *testing.T) {
	for name, lose := range map[string]func(n *node){"killed": func(n *node) { n.Kill() }, "suspended": func(n *node) { n.Suspend() }} {
		t.Run(name, func(t *testing.T) {
			r := startRollout(t, 4)
			r.order(backend.Delay(workTime, backend.Respond(http.StatusOK, "ok")))
			r.awaitStatusRow("in_progress", 3*time.Second)
			time.Sleep(1500 * time.Millisecond)
			d := r.driver()
			if d == nil {
				t.Fatal("no host drives the roll-out")
			}
			lose(d)
			lost := time.Now()
			r.await("another host drives the roll-out", 5*time.Second, func() bool { x := r.driver(); return x != nil && x != d })
			t.Logf("%s took over from %s after %v", r.driver().Name(), d.Name(), time.Since(lost).Round(10*time.Millisecond))
			if name == "suspended" {
				time.Sleep(time.Second)
				d.Resume()
			}
			r.awaitStatusRow("completed", rolloutLength)
			before := countRequests(r.older)
			time.Sleep(500 * time.Millisecond)
			if after := countRequests(r.older); after != before {
				t.Errorf("old servers got %d requests after the roll-out was completed", after-before)
			}
		})
	}
}

// Guards against servers of a new version that get requests before the order for them has arrived.
func TestVersionWithoutOrderWaits(t *testing.T) {
	r := startRollout(t, 2)
	b := r.addRolloutServer("new-0", "v2", backend.Respond(http.StatusOK, "ok"))
	time.Sleep(800 * time.Millisecond)
	if n := len(b.Requests()); n > 0 {
		t.Errorf("a server of a version that had just appeared got %d requests", n)
	}
	r.await("the server gets requests without an order", 5*time.Second, func() bool { return len(b.Requests()) > 0 })
}

// Guards against streams that are cut, or go on at another version, as the service changes versions.
func TestStreamsDuringRollout(t *testing.T) {
	const events, pause = 20, 60 * time.Millisecond
	s := startSystem(t, 3, &system{bounds: rolloutBounds})
	add := func(id, version string) *backend.Server {
		b, err := backend.Start("127.0.0.1:0", backend.StreamOf(version, events, 0, pause, nil))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		s.registerVersion(id, b.Address(), version)
		return b
	}
	var older []*backend.Server
	for i := range 3 {
		older = append(older, add(fmt.Sprint("old-", i), "v1"))
	}
	for _, n := range s.nodes {
		s.await("servers are known", testTimeout, func() bool {
			return (&take{versions: make(map[string]bool)}).attempt(n, fmt.Sprint("first-", time.Now().UnixNano()), "", events) == http.StatusOK
		})
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	var all []*take
	var callers sync.WaitGroup
	for i := range 16 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				x := &take{id: fmt.Sprintf("%04x%04x%08x", i, k, time.Now().Nanosecond()), versions: make(map[string]bool)}
				x.attempt(s.nodes[(i+k)%len(s.nodes)], x.id, "", events)
				mu.Lock()
				all = append(all, x)
				mu.Unlock()
			}
		}()
	}
	for i := range 3 {
		add(fmt.Sprint("new-", i), "v2")
	}
	s.store.Put("op", "rollout/llm", fmt.Appendf(nil, `{"Service":"llm","To":"v2","DurationS":%v}`, rolloutLength.Seconds()))
	want := `{"State":"completed","To":"v2"}`
	s.await("the roll-out is completed", rolloutLength, func() bool { return string(s.store.Value("status", "rollout/llm")) == want })
	before := countRequests(older)
	for _, b := range older {
		b.Reset()
	}
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	if n := countRequests(older); n > before {
		t.Errorf("old servers got %d requests after the roll-out was completed", n-before)
	}
	newer := 0
	for _, x := range all {
		if len(x.versions) != 1 || x.last != events {
			t.Errorf("stream %s got %d of %d events of versions %v", x.id, x.last, events, x.versions)
		}
		if x.versions["v2"] {
			newer++
		}
	}
	t.Logf("%d streams, %d of them at new servers", len(all), newer)
}
