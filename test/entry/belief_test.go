package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
	"cicadabeam/test/standin/store"
)

func TestConfigurationIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	s := start(t, 4)
	s.server("s1", "orders", backend.Answer(200, "ok"))
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r1/", "", 200, testWait)
	}
	for revision := 2; revision <= 4; revision++ {
		s.configure(revision, []string{"key-1"})
		changed := time.Now()
		for _, n := range s.nodes {
			s.awaitStatus(n, fmt.Sprintf("/r%d/", revision), "", 200, applyBound-time.Since(changed))
			if status, _ := n.do("/buy/1", "key-2"); status != 401 {
				t.Errorf("%s: a key that was taken away gives %d", n.Name(), status)
			}
		}
	}
	s.configure(2, []string{"key-1", "key-2"}) // an older one must not come back
	time.Sleep(applyBound)
	for _, n := range s.nodes {
		if status, _ := n.do("/r4/", ""); status != 200 {
			t.Errorf("%s went back: %d", n.Name(), status)
		}
	}
}

// Several changes come in one answer of the feed; the newest counts.
func TestChangesDuringOutageAreTaken(t *testing.T) {
	for name, drop := range map[string]bool{"feed": false, "history lost": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 2)
			s.server("s1", "orders", backend.Answer(200, "ok"))
			s.store.Fail(store.Busy)
			time.Sleep(1500 * time.Millisecond)
			for revision := 2; revision <= 5; revision++ {
				s.configure(revision, []string{"key-1"})
			}
			if drop {
				s.store.DropHistory()
			}
			s.store.Fail(store.Well)
			back := time.Now()
			for _, n := range s.nodes {
				s.awaitStatus(n, "/r5/", "", 200, applyBound-time.Since(back))
				s.awaitStatus(n, "/buy/1", "key-2", 401, time.Second)
			}
		})
	}
}

// Without proof that its key is valid no request runs, however the store fails.
func TestKeysNeedProof(t *testing.T) {
	for name, mode := range map[string]store.Mode{"busy": store.Busy, "silent": store.Silent, "reset": store.Reset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 2)
			b := s.server("s1", "orders", backend.Answer(200, "ok"))
			s.awaitStatus(s.nodes[0], "/buy/1", "key-1", 200, testWait)
			s.store.Fail(mode)
			s.configure(2, nil)
			taken := time.Now()
			for time.Since(taken) < revokeBound+2*time.Second {
				for _, n := range s.nodes {
					sent := time.Now()
					runs := len(b.Requests())
					n.do("/buy/1", "key-1")
					if sent.Sub(taken) > revokeBound && len(b.Requests()) > runs {
						t.Fatalf("a request with a key taken away ran %v later", sent.Sub(taken))
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			status, header := s.nodes[0].do("/buy/1", "key-1")
			if status != 503 || header.Get("Retry-After") == "" {
				t.Errorf("without proof the status is %d, Retry-After %q", status, header.Get("Retry-After"))
			}
			s.await("not ready without proof", time.Second, func() bool { return !s.nodes[0].Ready() })
		})
	}
}

// A node that alone is turned away by the store serves on, and learns of changes
// through the others.
func TestNeighboursHelpNodeWithoutStore(t *testing.T) {
	t.Parallel()
	s := start(t, 3)
	s.server("s1", "orders", backend.Answer(200, "ok"))
	time.Sleep(1500 * time.Millisecond) // the nodes read each other's entries
	alone := s.nodes[2]
	alone.front.Fail(store.Silent)
	time.Sleep(time.Second)
	s.configure(2, []string{"key-1"})
	s.awaitStatus(alone, "/r2/", "", 200, applyBound)
	s.awaitStatus(alone, "/buy/1", "key-2", 401, time.Second)
	for began := time.Now(); time.Since(began) < revokeBound+2*time.Second; time.Sleep(200 * time.Millisecond) {
		if status, _ := alone.do("/buy/1", "key-1"); status != 200 {
			t.Fatalf("%v after it lost the store the node gives %d", time.Since(began), status)
		}
	}
	s.server("s2", "orders", backend.Answer(200, "ok"))
	s.store.Remove("servers", "s1")
	time.Sleep(applyBound)
	if status, _ := alone.do("/buy/1", "key-1"); status != 200 {
		t.Errorf("with a server that others know the node gives %d", status)
	}
}

// A node that was frozen believes nothing of what it knew.
func TestFrozenNodeWakes(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	b := s.server("s1", "orders", backend.Answer(200, "ok"))
	n := s.nodes[0]
	s.awaitStatus(n, "/buy/1", "key-1", 200, testWait)
	runs := len(b.Requests())
	n.Freeze()
	s.configure(2, nil)
	time.Sleep(revokeBound + 500*time.Millisecond)
	s.store.Fail(store.Silent)
	done := make(chan int)
	go func() { status, _ := n.do("/buy/1", "key-1"); done <- status }()
	time.Sleep(100 * time.Millisecond)
	n.Thaw()
	if status := <-done; status != 503 && status != 401 {
		t.Errorf("the woken node gives %d", status)
	}
	if len(b.Requests()) != runs {
		t.Error("a request with a key taken away ran")
	}
}

// A node whose row is gone registers again: another one took it for lost.
func TestNodeRegistersAgain(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	row := func() bool { return slices.Contains(s.store.Keys("nodes"), "node-0") }
	s.await("registered", testWait, row)
	time.Sleep(1500 * time.Millisecond) // the nodes were read twice
	s.store.Remove("nodes", "node-0")
	s.await("registered again", 40*time.Second, row)
}

// A node that has just started reads what it needs before it refuses anything.
func TestRequestsWaitForTheStart(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	s.server("s1", "orders", backend.Answer(200, "ok"))
	n := s.nodes[0]
	s.awaitStatus(n, "/buy/1", "key-1", 200, testWait)
	s.store.Delay(100 * time.Millisecond)
	n.Kill()
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	status := 0
	s.await("an answer", testWait, func() bool { status, _ = n.do("/buy/1", "key-1"); return status != 0 })
	if status != 200 {
		t.Errorf("the first request after a start gives %d", status)
	}
}

func TestLeavingServerGetsNoWork(t *testing.T) {
	for name, leave := range map[string]func(s *system, address string){
		"draining": func(s *system, address string) { s.register("s1", "orders", address, "draining") },
		"gone":     func(s *system, _ string) { s.store.Remove("servers", "s1") },
		"damaged":  func(s *system, _ string) { s.store.Put("servers", "s1", []byte("\x00{")) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 2)
			first := s.server("s1", "orders", backend.Answer(200, "ok"))
			for _, n := range s.nodes {
				s.awaitStatus(n, "/r1/", "", 200, testWait)
			}
			s.server("s2", "orders", backend.Answer(200, "ok"))
			time.Sleep(time.Second)
			leave(s, first.Address())
			time.Sleep(drainBound)
			runs := len(first.Requests())
			for range 20 {
				for _, n := range s.nodes {
					if status, _ := n.do("/buy/1", "key-1"); status != 200 {
						t.Errorf("%s gives %d", n.Name(), status)
					}
				}
			}
			if len(first.Requests()) != runs {
				t.Error("a leaving server got work")
			}
		})
	}
}

// Entries that lapse while the store is away come back with it; servers that are
// missing then for two seconds are gone.
func TestEntriesThatLapsedInOutage(t *testing.T) {
	t.Parallel()
	s := start(t, 2)
	alive := s.server("s1", "orders", backend.Answer(200, "ok"))
	dead := s.server("s2", "orders", backend.Answer(200, "ok"))
	s.awaitStatus(s.nodes[0], "/buy/1", "key-1", 200, testWait)
	time.Sleep(500 * time.Millisecond)
	s.store.Fail(store.Busy)
	time.Sleep(time.Second)
	s.store.Remove("servers", "s1")
	s.store.Remove("servers", "s2")
	s.store.Fail(store.Well)
	back := time.Now()
	for time.Since(back) < time.Second {
		if status, _ := s.nodes[0].do("/buy/1", "key-1"); status != 200 {
			t.Fatalf("%v after the store's return the status is %d", time.Since(back), status)
		}
	}
	s.register("s1", "orders", alive.Address(), "ready")
	time.Sleep(drainBound)
	runs := len(dead.Requests())
	for range 20 {
		if status, _ := s.nodes[0].do("/buy/1", "key-1"); status != 200 {
			t.Fatalf("the status is %d", status)
		}
	}
	if len(dead.Requests()) != runs {
		t.Error("a server that did not come back got work")
	}
}

// A stop cuts nothing that can end in time, and ends in time.
// A stream that outlasts the stop is cut so that its caller can go on elsewhere.
// A standard output that nobody reads doesn't delay requests.

// Where there are many nodes, gateways hand on what the nodes of a data centre know. One
// that lost the store as a whole learns of changes and proofs from the other.
func TestGatewaysHandOn(t *testing.T) {
	t.Parallel()
	const nodes = 28 // more than talk all with all
	s := start(t, nodes)
	s.server("s1", "orders", backend.Answer(200, "ok"))
	time.Sleep(2 * time.Second) // the nodes read each other's entries a second time
	var cut []*node
	for i, n := range s.nodes {
		if i%2 == 1 {
			n.front.Fail(store.Silent)
			cut = append(cut, n)
		}
	}
	time.Sleep(time.Second)
	s.configure(2, []string{"key-1"})
	changed := time.Now()
	for _, n := range cut {
		s.awaitStatus(n, "/r2/", "", 200, applyBound-time.Since(changed))
	}
	for time.Since(changed) < revokeBound+2*time.Second {
		for _, n := range cut {
			if status, _ := n.do("/buy/1", "key-1"); status != 200 {
				t.Fatalf("%v after its data centre lost the store %s gives %d", time.Since(changed), n.Name(), status)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}
