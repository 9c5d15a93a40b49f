package entry

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
	"cicadabeam/test/standin/store"
)

// reregistrationTime is how long servers have to register again after a restore.
const reregistrationTime = 2 * time.Second

// restore takes the store away for some time and brings it back from a copy.
func (s *system) restore(c store.Copy, away time.Duration) {
	if away > 0 {
		s.store.SetMode(store.ResetConnections)
		time.Sleep(away)
	}
	s.store.Restore(c)
	s.store.SetMode(store.Healthy)
}

// eventLines returns the log lines of an event.
func (n *node) eventLines(event string) []string {
	b, _ := os.ReadFile(n.OutputPath())
	var found []string
	for line := range bytes.Lines(b) {
		if bytes.Contains(line, []byte(`message="`+event+`"`)) || bytes.Contains(line, []byte("message="+event+" ")) {
			found = append(found, string(line))
		}
	}
	return found
}

// keepSending sends requests to all nodes for some time and reports statuses other than those
// wanted.
func (s *system) keepSending(path, key string, d time.Duration, want ...int) {
	s.t.Helper()
	began := time.Now()
	for time.Since(began) < d {
		for _, n := range s.nodes {
			sent := time.Since(began)
			if status, _ := n.send(path, key); !slices.Contains(want, status) {
				s.t.Fatalf("%s: %s with %q %v after the restore: got status %d, want one of %v", n.Name(), path, key, sent, status, want)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// A configuration in force, with its revoked keys, stays in force when the store comes back
// without it, and the next one is applied although its store version was given out before.
func TestRestoreDoesNotRevertConfiguration(t *testing.T) {
	for name, away := range map[string]time.Duration{"unnoticed": 0, "after an outage": 700 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 3)
			s.addServer("s1", "orders", backend.Respond(200, "ok"))
			time.Sleep(time.Second)
			older := s.store.Copy()
			s.configure(2, []string{"key-1"})
			for _, n := range s.nodes {
				s.awaitStatus(n, "/r2/", "", 200, applyLimit)
				s.awaitStatus(n, "/buy/1", "key-2", 401, time.Second)
			}
			s.restore(older, away)
			rewritten := time.AfterFunc(1500*time.Millisecond, func() { s.configure(2, []string{"key-1"}) })
			defer rewritten.Stop()
			var g sync.WaitGroup
			g.Go(func() { s.keepSending("/r2/", "", 4*time.Second, 200) })
			g.Go(func() { s.keepSending("/buy/1", "key-1", 7*time.Second, 200) })
			g.Go(func() { s.keepSending("/buy/1", "key-2", 4*time.Second, 401, 503) })
			g.Wait()
			s.configure(3, []string{"key-1"})
			changed := time.Now()
			for _, n := range s.nodes {
				s.awaitStatus(n, "/r3/", "", 200, applyLimit-time.Since(changed))
			}
		})
	}
}

// Guards against requests that run with a key whose revocation the store lost before any node
// had read it: the older configuration must not count as confirmed before the operator had
// time to write again.
func TestRestoreDoesNotConfirmOlderConfiguration(t *testing.T) {
	t.Parallel()
	s := start(t, 2)
	b := s.addServer("s1", "orders", backend.Respond(200, "ok"))
	s.awaitStatus(s.nodes[0], "/buy/1", "key-2", 200, testTimeout)
	older := s.store.Copy()
	for _, n := range s.nodes {
		n.storeEndpoint.SetMode(store.ResetConnections)
	}
	time.Sleep(1200 * time.Millisecond) // queries that were waiting have ended
	s.configure(2, []string{"key-1"})
	revokedAt := time.Now()
	time.Sleep(revokeLimit - 700*time.Millisecond)
	s.store.Restore(older)
	for _, n := range s.nodes {
		n.storeEndpoint.SetMode(store.Healthy)
	}
	rewritten := time.AfterFunc(1500*time.Millisecond, func() { s.configure(2, []string{"key-1"}) })
	defer rewritten.Stop()
	for time.Since(revokedAt) < revokeLimit+4*time.Second {
		for _, n := range s.nodes {
			sent, runs := time.Since(revokedAt), len(b.Requests())
			n.send("/buy/1", "key-2")
			if sent > revokeLimit && len(b.Requests()) > runs {
				t.Fatalf("%s: a request with a revoked key ran %v after the revocation", n.Name(), sent)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, n := range s.nodes {
		s.awaitStatus(n, "/buy/1", "key-1", 200, applyLimit)
	}
}

// As long as the operator has not written again, the hosts serve by the configuration in force
// what needs no key, confirm it to nobody, and don't take turns at reading the store.
func TestRestoreWithoutOperator(t *testing.T) {
	t.Parallel()
	s := start(t, 4)
	s.addServer("s1", "orders", backend.Respond(200, "ok"))
	time.Sleep(time.Second)
	older := s.store.Copy()
	s.configure(2, []string{"key-1"})
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r2/", "", 200, applyLimit)
	}
	s.restore(older, 300*time.Millisecond)
	time.Sleep(revokeLimit)
	before := s.store.RequestCount()
	const observed = 3 * time.Second
	var g sync.WaitGroup
	g.Go(func() { s.keepSending("/r2/", "", observed, 200) })
	g.Go(func() { s.keepSending("/buy/1", "key-1", observed, 503) })
	g.Wait()
	if calls := s.store.RequestCount() - before; calls > 10 {
		t.Errorf("%d calls in %v, want 2 a second", calls, observed)
	}
	s.configure(2, []string{"key-1"})
	for _, n := range s.nodes {
		s.awaitStatus(n, "/buy/1", "key-1", 200, applyLimit)
	}
}

// A server that had left before the restore, and that the copy says is there, gets no
// requests.
func TestRestoreDoesNotBringBackServer(t *testing.T) {
	for name, leave := range map[string]func(s *system, address string){
		"draining": func(s *system, address string) { s.register("s1", "orders", address, "draining") },
		"gone":     func(s *system, _ string) { s.store.Remove("servers", "s1") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 3)
			left := s.addServer("s1", "orders", backend.Respond(200, "ok"))
			s.addServer("s2", "orders", backend.Respond(200, "ok"))
			time.Sleep(time.Second)
			older := s.store.Copy()
			leave(s, left.Address())
			time.Sleep(drainLimit)
			runs := len(left.Requests())
			s.restore(older, 500*time.Millisecond)
			rewritten := time.AfterFunc(3*time.Second, func() { leave(s, left.Address()) })
			defer rewritten.Stop()
			s.keepSending("/buy/1", "key-1", 3*time.Second+drainLimit, 200)
			if n := len(left.Requests()) - runs; n > 0 {
				t.Errorf("a server that had left got %d requests after the restore", n)
			}
		})
	}
}

// A server that the copy lacks is used until it had time to register again, and not longer.
// Servers that register later are found although their store versions were given out before.
func TestRestoreKeepsMissingServer(t *testing.T) {
	for name, away := range map[string]time.Duration{"unnoticed": 0, "after an outage": 700 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 3)
			time.Sleep(time.Second)
			older := s.store.Copy()
			alive := s.addServer("s1", "orders", backend.Respond(200, "ok"))
			dead := s.addServer("s2", "orders", backend.Respond(200, "ok"))
			for _, n := range s.nodes {
				s.awaitStatus(n, "/r1/", "", 200, applyLimit)
			}
			s.restore(older, away)
			rewritten := time.AfterFunc(1200*time.Millisecond, func() { s.register("s1", "orders", alive.Address(), "ready") })
			defer rewritten.Stop()
			s.keepSending("/buy/1", "key-1", reregistrationTime+drainLimit, 200)
			runs := len(dead.Requests())
			s.keepSending("/buy/1", "key-1", time.Second, 200)
			if n := len(dead.Requests()) - runs; n > 0 {
				t.Errorf("a server that did not register again got %d requests", n)
			}
			s.addServer("s3", "orders", backend.Respond(200, "ok"))
			s.store.Remove("servers", "s1")
			time.Sleep(drainLimit)
			runs = len(alive.Requests())
			s.keepSending("/buy/1", "key-1", time.Second, 200)
			if n := len(alive.Requests()) - runs; n > 0 {
				t.Errorf("a server that left after the restore got %d requests", n)
			}
		})
	}
}

// Guards against changes that are missed because the store had given out the version that a
// host asks from again, for another change, before it asked.
func TestRestoreAfterVersionsAreGivenOutAgain(t *testing.T) {
	t.Parallel()
	s := start(t, 3)
	left := s.addServer("s1", "orders", backend.Respond(200, "ok"))
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r1/", "", 200, testTimeout)
	}
	older := s.store.Copy()
	for i := range 10 {
		s.register(fmt.Sprint("other-", i), "none", "127.0.0.1:9", "ready")
	}
	time.Sleep(time.Second)
	s.store.SetMode(store.ResetConnections)
	time.Sleep(300 * time.Millisecond)
	s.store.Restore(older)
	s.addServer("s2", "orders", backend.Respond(200, "ok"))
	s.store.Remove("servers", "s1")
	for i := range 10 {
		s.register(fmt.Sprint("later-", i), "none", "127.0.0.1:9", "ready")
	}
	s.store.SetMode(store.Healthy)
	time.Sleep(reregistrationTime + drainLimit)
	runs := len(left.Requests())
	s.keepSending("/r1/", "", time.Second, 200)
	if n := len(left.Requests()) - runs; n > 0 {
		t.Errorf("a server that left right after the restore got %d requests", n)
	}
}

// A host that registered since the copy registers again, each host at most once for each
// restore, and the store is not flooded.
func TestRestoreRegistersHostsOnce(t *testing.T) {
	t.Parallel()
	s := start(t, 4)
	s.addServer("s1", "orders", backend.Respond(200, "ok"))
	time.Sleep(1500 * time.Millisecond)
	older := s.store.Copy()
	s.nodes = append(s.nodes, s.startNode(4)) // the third of its data centre, which doesn't read the host list
	added := s.nodes[4]
	s.await("the new host is ready", testTimeout, added.Ready)
	row := func() bool { return slices.Contains(s.store.Keys("nodes"), added.Name()) }
	s.await("the new host is registered", testTimeout, row)
	time.Sleep(time.Second)
	s.restore(older, 500*time.Millisecond)
	before, restored := s.store.RequestCounts(), time.Now()
	if row() {
		t.Fatal("the copy has the new host")
	}
	s.keepSending("/buy/1", "key-1", 5*time.Second, 200)
	if !row() {
		t.Error("the new host has not registered again 5 s after the restore")
	}
	s.checkRestoreCalls(before, restored)
	for _, n := range s.nodes {
		if lines := n.eventLines("registered"); len(lines) > 2 {
			t.Errorf("%s registered %d times in all, want at most 2", n.Name(), len(lines))
		}
	}
}

// checkRestoreCalls checks the calls to the store since a restore, with the counts from before. One
// host reads two tables, with two calls a second for changes. A host that takes over while
// the first one can't reach the store reads them too until it hears that the first one can.
func (s *system) checkRestoreCalls(before map[string]int, restored time.Time) {
	s.t.Helper()
	const tables, lists = 2, 4
	calls := make(map[string]int) // by kind
	for k, n := range s.store.RequestCounts() {
		switch n -= before[k]; {
		case strings.HasPrefix(k, http.MethodPost):
			calls["writes"] += n
		case strings.HasSuffix(k, " nodes"):
			calls["host lists"] += n
		default:
			calls["reads"] += n
		}
	}
	readers := 0
	for _, n := range s.nodes {
		if n.readStoreSince(restored) {
			readers++
		}
	}
	seconds := int(math.Ceil(time.Since(restored).Seconds()))
	for kind, most := range map[string]int{
		"writes":     len(s.nodes) + 1, // each host's row, and the software versions
		"host lists": lists,            // two hosts of each data centre read it
		"reads":      tables*(seconds+2) + 2*tables*max(0, readers-1),
	} {
		if calls[kind] > most {
			s.t.Errorf("%d %s in %v after the restore, want at most %d with %d readers: %v", calls[kind], kind, time.Since(restored), most, readers, s.store.RequestCounts())
		}
	}
	s.t.Logf("%v, %d readers", calls, readers)
}

// readStoreSince reports whether the node read the store at some time since.
func (n *node) readStoreSince(since time.Time) bool {
	reads := false
	for _, line := range n.eventLines("store reader") {
		now := strings.Contains(line, "reads=true")
		if now && lineTime(line).After(since) {
			return true
		}
		if lineTime(line).Before(since) {
			reads = now
		}
	}
	return reads
}

// lineTime returns the time of a log line.
func lineTime(line string) time.Time {
	text, _, _ := strings.Cut(strings.TrimPrefix(line, "timestamp="), " ")
	at, _ := time.Parse(time.RFC3339Nano, text)
	return at
}

// Two restores in a row are two rises of the era at each host, each logged once, and the
// state is right after them.
func TestTwoRestores(t *testing.T) {
	t.Parallel()
	s := start(t, 3)
	s.addServer("s1", "orders", backend.Respond(200, "ok"))
	time.Sleep(time.Second)
	first := s.store.Copy()
	second := s.addServer("s2", "orders", backend.Respond(200, "ok"))
	s.configure(2, []string{"key-1"})
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r2/", "", 200, applyLimit)
	}
	later := s.store.Copy()
	s.configure(3, []string{"key-1"})
	s.restore(later, 300*time.Millisecond)
	time.Sleep(1300 * time.Millisecond)
	s.restore(first, 300*time.Millisecond)
	time.AfterFunc(time.Second, func() {
		s.configure(3, []string{"key-1"})
		s.register("s2", "orders", second.Address(), "ready")
		s.store.Remove("servers", "s1")
	})
	s.keepSending("/buy/1", "key-1", 6*time.Second, 200)
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r3/", "", 200, time.Second)
		if status, _ := n.send("/buy/1", "key-2"); status != 401 {
			t.Errorf("%s: a request with a revoked key got status %d", n.Name(), status)
		}
		lines := n.eventLines("store restored")
		if len(lines) != 2 || !strings.Contains(lines[0], "old_era=1") || !strings.Contains(lines[0], "new_era=2") || !strings.Contains(lines[1], "new_era=3") {
			t.Errorf("%s: got lines %q, want one for each of two rises", n.Name(), lines)
		}
		for _, want := range []string{"cicadabeam_store_era 3", `cicadabeam_decisions{event="store_restored"} 2`} {
			if !strings.Contains(n.Metrics(), want) {
				t.Errorf("%s: the metrics lack %s", n.Name(), want)
			}
		}
	}
	runs := len(second.Requests())
	s.keepSending("/buy/1", "key-1", 500*time.Millisecond, 200)
	if len(second.Requests()) == runs {
		t.Error("the only registered server gets no requests")
	}
}

// A host that is cut off from the store during the restore learns of the restored state from
// the other hosts, and goes on by itself when it reaches the store again.
func TestRestoreWhileHostIsCutOff(t *testing.T) {
	t.Parallel()
	s := start(t, 3)
	left := s.addServer("s1", "orders", backend.Respond(200, "ok"))
	time.Sleep(1500 * time.Millisecond)
	cutOff := s.nodes[2]
	older := s.store.Copy()
	for i := range 5 { // versions that are given out again
		s.configure(2+i, []string{"key-1"})
	}
	s.awaitStatus(cutOff, "/r6/", "", 200, applyLimit)
	cutOff.storeEndpoint.SetMode(store.NoResponse)
	time.Sleep(500 * time.Millisecond)
	s.restore(older, 500*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	s.configure(6, []string{"key-1"})
	s.addServer("s2", "orders", backend.Respond(200, "ok"))
	s.store.Remove("servers", "s1")
	s.keepSending("/buy/1", "key-1", reregistrationTime+drainLimit, 200)
	runs := len(left.Requests())
	s.keepSending("/buy/1", "key-1", 3*time.Second, 200)
	if n := len(left.Requests()) - runs; n > 0 {
		t.Errorf("a server that left after the restore got %d requests", n)
	}
	cutOff.storeEndpoint.SetMode(store.Healthy)
	for _, n := range s.nodes[:2] {
		n.storeEndpoint.SetMode(store.ResetConnections)
	}
	s.configure(7, []string{"key-1"})
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r7/", "", 200, revokeLimit)
		if lines := n.eventLines("store restored"); len(lines) != 1 {
			t.Errorf("%s: got lines %q, want one", n.Name(), lines)
		}
	}
}

// A host that starts after the restore and before the operator and the servers have written
// again takes what is newer from the other hosts.
func TestHostStartsAfterRestore(t *testing.T) {
	for name, index := range map[string]int{"reader": 0, "other": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 3)
			time.Sleep(time.Second)
			started := s.nodes[index]
			older := s.store.Copy()
			b := s.addServer("s1", "orders", backend.Respond(200, "ok"))
			s.configure(2, []string{"key-1"})
			for _, n := range s.nodes {
				s.awaitStatus(n, "/r2/", "", 200, applyLimit)
			}
			started.Kill()
			s.restore(older, 500*time.Millisecond)
			if err := started.Start(); err != nil {
				t.Fatal(err)
			}
			rewritten := time.AfterFunc(1500*time.Millisecond, func() {
				s.configure(2, []string{"key-1"})
				s.register("s1", "orders", b.Address(), "ready")
			})
			defer rewritten.Stop()
			s.await("the host is ready", time.Second, started.Ready)
			s.awaitStatus(started, "/r2/", "", 200, 500*time.Millisecond)
			s.nodes = []*node{started}
			var g sync.WaitGroup
			g.Go(func() { s.keepSending("/buy/1", "key-2", 4*time.Second, 401, 503) })
			g.Go(func() { s.keepSending("/r2/", "", 4*time.Second, 200) })
			g.Wait()
			s.keepSending("/buy/1", "key-1", time.Second, 200)
			s.checkRestoresSeen(started)
		})
	}
}

// checkRestoresSeen checks that a node that started after a restore does not take it for one of its
// time. Only a node that others told of the era before, and that sees the new one first, does.
func (s *system) checkRestoresSeen(started *node) {
	s.t.Helper()
	lines := started.eventLines("store restored")
	if len(lines) == 0 {
		return
	}
	first := lineTime(lines[0])
	for _, n := range s.started {
		for _, line := range n.eventLines("store restored") {
			if n != started && lineTime(line).Before(first) {
				s.t.Errorf("%s started after the restore and logged it although %s had before: %s", started.Name(), n.Name(), line)
			}
		}
	}
	if len(lines) > 1 || !strings.Contains(lines[0], "from=store ") || !strings.Contains(lines[0], "new_era=2 ") || !strings.Contains(lines[0], "old_era=1") {
		s.t.Errorf("%s started after the restore and logged %q", started.Name(), lines)
	}
}

// A store that sends no eras is in era 0, and nothing counts as a restore.
func TestStoreWithoutEras(t *testing.T) {
	t.Parallel()
	s := start(t, 2)
	s.store.HideEra()
	for _, n := range s.nodes {
		n.Kill()
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	s.addServer("s1", "orders", backend.Respond(200, "ok"))
	for _, n := range s.nodes {
		s.awaitStatus(n, "/buy/1", "key-1", 200, testTimeout)
	}
	s.configure(2, []string{"key-1"})
	s.store.DiscardHistory()
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r2/", "", 200, applyLimit)
		if lines := n.eventLines("store restored"); len(lines) != 0 {
			t.Errorf("%s: got lines %q", n.Name(), lines)
		}
	}
}
