package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/backend"
)

const (
	// maxOverlap is how long a server may work on after its run has lost the host that it is for.
	maxOverlap = 400 * time.Millisecond
	// maxStreamPause is the most time in which a stream that was broken off goes on.
	maxStreamPause = 3 * time.Second
	tunnelEvents   = 200
	tunnelPause    = 20 * time.Millisecond
	tunnelStreams  = 12
	// maxTunnelMoves is how often these go on elsewhere at most: for the host between, and for a moment in
	// which servers and one in which the first host stand still, as they do on a busy machine.
	maxTunnelMoves = 3 * tunnelStreams
	tunnelRepeats  = 1000 // enough for these moves at one of four hosts
)

// streamRun is a run of a stream at a server, which ended once the server could not write any more.
type streamRun struct {
	request, from string
	began, ended  time.Time
}

// streamRuns are the runs at some servers.
type streamRuns struct {
	mu  sync.Mutex
	all []*streamRun
}

// step returns a server's step that records its runs.
func (x *streamRuns) step() backend.Step {
	stream := backend.StreamOf("piece", tunnelEvents, 0, tunnelPause, nil)
	return func(c *backend.Conn, r *http.Request, body []byte) bool {
		ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		n := &streamRun{request: r.Header.Get("X-Request-Id"), from: ip, began: time.Now()}
		x.mu.Lock()
		x.all = append(x.all, n)
		x.mu.Unlock()
		defer func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			n.ended = time.Now()
		}()
		return stream(c, r, body)
	}
}

// running returns copies of the runs that were sent by others than a host and that go on.
func (x *streamRuns) running(except string) []streamRun {
	x.mu.Lock()
	defer x.mu.Unlock()
	var all []streamRun
	for _, n := range x.all {
		if n.from != except && n.ended.IsZero() {
			all = append(all, *n)
		}
	}
	return all
}

// overlaps returns how long runs of one request went on beside a later run of it, if that is more
// than a time.
func (x *streamRuns) overlaps(most time.Duration) []time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	var all []time.Duration
	for _, n := range x.all {
		for _, later := range x.all {
			if later.request == n.request && later.began.After(n.began) && n.ended.Sub(later.began) > most {
				all = append(all, n.ended.Sub(later.began))
			}
		}
	}
	return all
}

// startTunnelled starts hosts, of which the first reaches no server itself, and streams of its
// callers, which go through the other hosts. done returns how many of them ended whole.
func startTunnelled(t *testing.T) (s *system, runs *streamRuns, done func() int) {
	t.Helper()
	s = startSystem(t, 4, &system{repeats: tunnelRepeats})
	runs = &streamRuns{}
	var servers []*backend.Server
	for i := range 4 {
		servers = append(servers, s.addServer(fmt.Sprint("e", i), "llm", runs.step()))
	}
	for i := range 3 {
		servers = append(servers, s.addServer(fmt.Sprint("s", i), "orders", backend.Respond(http.StatusOK, "ok")))
	}
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r1/x", "", http.StatusOK, testTimeout)
	}
	first := s.nodes[0]
	for _, b := range servers {
		b.SetPartition(backend.Hang, ipOf(first))
	}
	s.await("the first host is partitioned", testTimeout, func() bool {
		for _, n := range s.nodes {
			go n.send("/r1/x", "")
		}
		time.Sleep(20 * time.Millisecond)
		return len(first.eventLines("partitioned from servers")) > 0
	})
	var g sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	for i := range tunnelStreams {
		g.Go(func() {
			id := fmt.Sprintf("stream-%d", i)
			status, _ := first.send("/report/1", "key-1", func(r *http.Request) { r.Header.Set("X-Request-Id", id) })
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				whole++
			}
		})
	}
	if !cluster.Await(testTimeout, func() bool { return len(runs.running(ipOf(first))) == tunnelStreams }) {
		t.Fatalf("%d of %d streams run through other hosts", len(runs.running(ipOf(first))), tunnelStreams)
	}
	return s, runs, func() int { g.Wait(); mu.Lock(); defer mu.Unlock(); return whole }
}

// Guards against servers that work for a host which stands still.
func TestRunsThroughOtherHostsEndWithTheirHost(t *testing.T) {
	t.Parallel()
	s, runs, done := startTunnelled(t)
	first := s.nodes[0]
	time.Sleep(200 * time.Millisecond)
	first.Suspend()
	time.Sleep(maxOverlap + 100*time.Millisecond)
	if left := runs.running(ipOf(first)); len(left) > 0 {
		t.Errorf("%v after their host stood still, %d of %d runs go on", maxOverlap+100*time.Millisecond, len(left), tunnelStreams)
	}
	first.Resume()
	if n := done(); n != tunnelStreams {
		t.Errorf("%d of %d streams ended whole", n, tunnelStreams)
	}
	if x := runs.overlaps(maxOverlap); len(x) > 0 {
		t.Errorf("runs went on beside a later run of their request: %v", x)
	}
}

// Guards against streams that go on elsewhere beside a run through a host that stands still.
func TestStreamsGoOnAfterHostBetweenStops(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name       string
		stop       func(n *node)
		standstill time.Duration // of the first host, later
	}{
		{"killed", func(n *node) { n.Kill() }, 0},
		{"stands still", func(n *node) { n.Suspend() }, 0},
		{"terminated", func(n *node) { n.Terminate() }, 0},
		{"killed, and the first host stands still", func(n *node) { n.Kill() }, 700 * time.Millisecond},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s, runs, done := startTunnelled(t)
			time.Sleep(200 * time.Millisecond)
			between := s.nodes[1]
			for _, n := range s.nodes[2:] {
				if count(runs.running(ipOf(s.nodes[0])), ipOf(n)) > count(runs.running(ipOf(s.nodes[0])), ipOf(between)) {
					between = n
				}
			}
			x.stop(between)
			if x.standstill > 0 {
				time.Sleep(1500 * time.Millisecond)
				s.nodes[0].Suspend()
				time.Sleep(x.standstill)
				s.nodes[0].Resume()
			}
			if n := done(); n != tunnelStreams {
				t.Errorf("%d of %d streams ended whole", n, tunnelStreams)
			}
			if n := len(s.nodes[0].eventLines("resumed")); n > maxTunnelMoves {
				t.Errorf("streams went on elsewhere %d times, want %d at most", n, maxTunnelMoves)
			}
			between.Resume()
			s.await("all streams are logged", testTimeout, func() bool { return len(pauses(s.nodes[0])) >= tunnelStreams })
			for _, p := range pauses(s.nodes[0]) {
				if p > maxStreamPause {
					t.Errorf("a stream paused for %v", p)
				}
			}
		})
	}
}

// pauses returns the longest pauses of the streams that a host answered.
func pauses(n *node) []time.Duration {
	var all []time.Duration
	for _, line := range n.eventLines("answered") {
		var ms int
		if _, rest, found := strings.Cut(line, "pause_ms="); found {
			_, _ = fmt.Sscan(rest, &ms)
			all = append(all, time.Duration(ms)*time.Millisecond)
		}
	}
	return all
}

func count(runs []streamRun, from string) int {
	n := 0
	for _, x := range runs {
		if x.from == from {
			n++
		}
	}
	return n
}
