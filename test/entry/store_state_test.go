package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
	"cicadabeam/test/standin/store"
)

// Every node applies a new configuration, with its routes and revoked keys, within
// applyLimit, and none applies an older revision.
func TestConfigurationReachesAllNodes(t *testing.T) {
	t.Parallel()
	s := start(t, 4)
	s.addServer("s1", "orders", backend.Respond(200, "ok"))
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r1/", "", 200, testTimeout)
	}
	for revision := 2; revision <= 4; revision++ {
		s.configure(revision, []string{"key-1"})
		changed := time.Now()
		for _, n := range s.nodes {
			s.awaitStatus(n, fmt.Sprintf("/r%d/", revision), "", 200, applyLimit-time.Since(changed))
			if status, _ := n.send("/buy/1", "key-2"); status != 401 {
				t.Errorf("%s: a request with a revoked key got status %d", n.Name(), status)
			}
		}
	}
	s.configure(2, []string{"key-1", "key-2"}) // an older revision must not be applied
	time.Sleep(applyLimit)
	for _, n := range s.nodes {
		if status, _ := n.send("/r4/", ""); status != 200 {
			t.Errorf("%s applied an older revision: status %d", n.Name(), status)
		}
	}
}

// Several changes arrive in one response of the change feed; the newest must be applied.
func TestChangesDuringStoreOutageAreApplied(t *testing.T) {
	for name, drop := range map[string]bool{"feed": false, "history lost": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 2)
			s.addServer("s1", "orders", backend.Respond(200, "ok"))
			s.store.SetMode(store.Unavailable)
			time.Sleep(1500 * time.Millisecond)
			for revision := 2; revision <= 5; revision++ {
				s.configure(revision, []string{"key-1"})
			}
			if drop {
				s.store.DiscardHistory()
			}
			s.store.SetMode(store.Healthy)
			recoveredAt := time.Now()
			for _, n := range s.nodes {
				s.awaitStatus(n, "/r5/", "", 200, applyLimit-time.Since(recoveredAt))
				s.awaitStatus(n, "/buy/1", "key-2", 401, time.Second)
			}
		})
	}
}

// No request runs without a recent confirmation that its key is valid, however the store
// fails.
func TestKeysNeedRecentConfirmation(t *testing.T) {
	for name, mode := range map[string]store.Mode{"busy": store.Unavailable, "silent": store.NoResponse, "reset": store.ResetConnections} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 2)
			b := s.addServer("s1", "orders", backend.Respond(200, "ok"))
			s.awaitStatus(s.nodes[0], "/buy/1", "key-1", 200, testTimeout)
			s.store.SetMode(mode)
			s.configure(2, nil)
			revokedAt := time.Now()
			for time.Since(revokedAt) < revokeLimit+2*time.Second {
				for _, n := range s.nodes {
					sent := time.Now()
					runs := len(b.Requests())
					n.send("/buy/1", "key-1")
					if sent.Sub(revokedAt) > revokeLimit && len(b.Requests()) > runs {
						t.Fatalf("a request with a revoked key ran %v after the revocation", sent.Sub(revokedAt))
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			status, header := s.nodes[0].send("/buy/1", "key-1")
			if status != 503 || header.Get("Retry-After") == "" {
				t.Errorf("without confirmation: got status %d, Retry-After %q", status, header.Get("Retry-After"))
			}
			s.await("not ready without confirmation", time.Second, func() bool { return !s.nodes[0].Ready() })
		})
	}
}

// A node that is the only one to lose the store continues to serve and learns of changes
// from the other nodes.
func TestNodeWithoutStoreLearnsFromPeers(t *testing.T) {
	t.Parallel()
	s := start(t, 3)
	s.addServer("s1", "orders", backend.Respond(200, "ok"))
	time.Sleep(1500 * time.Millisecond) // the nodes read each other's entries
	withoutStore := s.nodes[2]
	withoutStore.storeEndpoint.SetMode(store.NoResponse)
	time.Sleep(time.Second)
	s.configure(2, []string{"key-1"})
	s.awaitStatus(withoutStore, "/r2/", "", 200, applyLimit)
	s.awaitStatus(withoutStore, "/buy/1", "key-2", 401, time.Second)
	for began := time.Now(); time.Since(began) < revokeLimit+2*time.Second; time.Sleep(200 * time.Millisecond) {
		if status, _ := withoutStore.send("/buy/1", "key-1"); status != 200 {
			t.Fatalf("%v after the node lost the store: got status %d", time.Since(began), status)
		}
	}
	s.addServer("s2", "orders", backend.Respond(200, "ok"))
	s.store.Remove("servers", "s1")
	time.Sleep(applyLimit)
	if status, _ := withoutStore.send("/buy/1", "key-1"); status != 200 {
		t.Errorf("with a server known from other nodes: got status %d", status)
	}
}

// Guards against requests accepted with revoked keys after a node was suspended: its state
// is stale when it resumes.
func TestSuspendedNodeDiscardsStaleState(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	b := s.addServer("s1", "orders", backend.Respond(200, "ok"))
	n := s.nodes[0]
	s.awaitStatus(n, "/buy/1", "key-1", 200, testTimeout)
	runs := len(b.Requests())
	n.Suspend()
	s.configure(2, nil)
	time.Sleep(revokeLimit + 500*time.Millisecond)
	s.store.SetMode(store.NoResponse)
	done := make(chan int)
	go func() { status, _ := n.send("/buy/1", "key-1"); done <- status }()
	time.Sleep(100 * time.Millisecond)
	n.Resume()
	if status := <-done; status != 503 && status != 401 {
		t.Errorf("the resumed node responds with %d", status)
	}
	if len(b.Requests()) != runs {
		t.Error("a request with a revoked key ran")
	}
}

// A node whose row was removed registers again. Another node removes the row if it
// considers the node lost.
func TestNodeReregisters(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	row := func() bool { return slices.Contains(s.store.Keys("nodes"), "node-0") }
	s.await("registered", testTimeout, row)
	time.Sleep(1500 * time.Millisecond) // the node table has been read twice
	s.store.Remove("nodes", "node-0")
	s.await("registered again", 40*time.Second, row)
}

// A node that has just started holds requests until it has read its initial state, rather
// than refusing them.
func TestRequestsWaitForInitialState(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	s.addServer("s1", "orders", backend.Respond(200, "ok"))
	n := s.nodes[0]
	s.awaitStatus(n, "/buy/1", "key-1", 200, testTimeout)
	s.store.SetDelay(100 * time.Millisecond)
	n.Kill()
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	status := 0
	s.await("the node responds", testTimeout, func() bool { status, _ = n.send("/buy/1", "key-1"); return status != 0 })
	if status != 200 {
		t.Errorf("the first request after a start got status %d", status)
	}
}

// A server gets no requests from drainLimit after its registry entry is marked as draining,
// removed or damaged.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	for name, deregister := range map[string]func(s *system, address string){
		"draining": func(s *system, address string) { s.register("s1", "orders", address, "draining") },
		"gone":     func(s *system, _ string) { s.store.Remove("servers", "s1") },
		"damaged":  func(s *system, _ string) { s.store.Put("servers", "s1", []byte("\x00{")) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 2)
			first := s.addServer("s1", "orders", backend.Respond(200, "ok"))
			for _, n := range s.nodes {
				s.awaitStatus(n, "/r1/", "", 200, testTimeout)
			}
			s.addServer("s2", "orders", backend.Respond(200, "ok"))
			time.Sleep(time.Second)
			deregister(s, first.Address())
			time.Sleep(drainLimit)
			runs := len(first.Requests())
			for range 20 {
				for _, n := range s.nodes {
					if status, _ := n.send("/buy/1", "key-1"); status != 200 {
						t.Errorf("%s responds with %d", n.Name(), status)
					}
				}
			}
			if len(first.Requests()) != runs {
				t.Error("a leaving server got requests")
			}
		})
	}
}

// Registry entries may expire during an outage of the store, and live servers register
// again after it. Servers still missing after two seconds are treated as deregistered.
func TestEntriesExpiredDuringStoreOutage(t *testing.T) {
	t.Parallel()
	s := start(t, 2)
	alive := s.addServer("s1", "orders", backend.Respond(200, "ok"))
	dead := s.addServer("s2", "orders", backend.Respond(200, "ok"))
	s.awaitStatus(s.nodes[0], "/buy/1", "key-1", 200, testTimeout)
	time.Sleep(500 * time.Millisecond)
	s.store.SetMode(store.Unavailable)
	time.Sleep(time.Second)
	s.store.Remove("servers", "s1")
	s.store.Remove("servers", "s2")
	s.store.SetMode(store.Healthy)
	recoveredAt := time.Now()
	for time.Since(recoveredAt) < time.Second {
		if status, _ := s.nodes[0].send("/buy/1", "key-1"); status != 200 {
			t.Fatalf("%v after the store recovered: got status %d", time.Since(recoveredAt), status)
		}
	}
	s.register("s1", "orders", alive.Address(), "ready")
	time.Sleep(drainLimit)
	runs := len(dead.Requests())
	for range 20 {
		if status, _ := s.nodes[0].send("/buy/1", "key-1"); status != 200 {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	if len(dead.Requests()) != runs {
		t.Error("a server that did not register again got requests")
	}
}

// With many nodes, the gateways of a data centre exchange its state with other data
// centres. A data centre that has lost the store as a whole learns of configuration changes
// and confirmations from the other one.
func TestGatewaysForwardState(t *testing.T) {
	t.Parallel()
	const nodes = 28 // more than the limit up to which every node contacts every other
	s := start(t, nodes)
	s.addServer("s1", "orders", backend.Respond(200, "ok"))
	time.Sleep(2 * time.Second) // the nodes read each other's entries a second time
	var withoutStore []*node
	for i, n := range s.nodes {
		if i%2 == 1 {
			n.storeEndpoint.SetMode(store.NoResponse)
			withoutStore = append(withoutStore, n)
		}
	}
	time.Sleep(time.Second)
	s.configure(2, []string{"key-1"})
	changed := time.Now()
	for _, n := range withoutStore {
		s.awaitStatus(n, "/r2/", "", 200, applyLimit-time.Since(changed))
	}
	for time.Since(changed) < revokeLimit+2*time.Second {
		for _, n := range withoutStore {
			if status, _ := n.send("/buy/1", "key-1"); status != 200 {
				t.Fatalf("%v after the configuration change, in a data centre without the store, %s responds with %d", time.Since(changed), n.Name(), status)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// Calls to the store must not grow with the nodes: in each region one node reads it, and
// nodes that start get what they can from the others. Two tables are read with queries that
// wait 1 s, the part of applyLimit that readers.NewTiming allows.
func TestStoreCallsAreSharedByNodes(t *testing.T) {
	t.Parallel()
	const nodes, callsPerStart, observed = 8, 4, 5 * time.Second
	s := start(t, nodes)
	s.addServer("s1", "orders", backend.Respond(200, "ok"))
	time.Sleep(3 * time.Second)
	before := s.store.RequestCount()
	if before > nodes*callsPerStart+3*2+8 {
		t.Errorf("%d calls to start %d nodes and in the 3 s after it, want %d a node and 2 a second", before, nodes, callsPerStart)
	}
	time.Sleep(observed)
	if calls := s.store.RequestCount() - before; calls < 8 || calls > 13 {
		t.Errorf("%d calls in %v, want 2 a second", calls, observed)
	}
	s.configure(2, []string{"key-1"})
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r2/", "", 200, applyLimit)
	}
	reader := s.nodes[0]
	reader.storeEndpoint.SetMode(store.ResetConnections)
	time.Sleep(200 * time.Millisecond)
	s.configure(3, []string{"key-1"})
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r3/", "", 200, applyLimit)
	}
}
