package driver_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cicadabeam/core/records"
	"cicadabeam/core/rollout"
)

// Guards against a sound version that is not completed by the deadline.
func TestSoundVersionIsCompleted(t *testing.T) {
	run(t, 3, func(e *env) {
		e.awaitPhase(rollout.Canary, time.Second)
		time.Sleep(2 * time.Second)
		e.checkExposure()
		if e.sentTo("v2") == 0 {
			t.Error("the new version got no requests")
		}
		e.awaitPhase(rollout.Completed, orderLength-2*time.Second)
		for _, h := range e.all() {
			e.await(h.name+" follows", time.Second, func() bool { return h.state().Phase == rollout.Completed })
		}
		before := e.sentTo("v1")
		time.Sleep(5 * time.Second)
		if n := e.sentTo("v1"); n > before {
			t.Errorf("the old servers got %d requests after the roll-out was completed", n-before)
		}
	})
}

// Guards against a bad version that is not rolled back.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, from := range map[string]time.Duration{"early": 0, "late": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			run(t, 3, func(e *env) {
				turns := time.Now().Add(from)
				e.setBad(func() bool { return time.Now().After(turns) && rand.N(10) < 4 })
				e.awaitPhase(rollout.RolledBack, orderLength)
				e.checkExposure()
				time.Sleep(time.Second)
				n := e.sentTo("v2")
				time.Sleep(3 * time.Second)
				if later := e.sentTo("v2"); later > n {
					t.Errorf("the version got %d requests after it was rolled back", later-n)
				}
			})
		})
	}
}

// Guards against a roll-out that ends with its driver, and against permits that outlive it.
func TestDriverIsKilled(t *testing.T) {
	run(t, 3, func(e *env) {
		e.awaitPhase(rollout.Canary, time.Second)
		time.Sleep(2 * time.Second)
		d, term := e.driver(), e.store.state().Term
		d.kill()
		time.Sleep(1700 * time.Millisecond)
		before := e.sentTo("v2")
		time.Sleep(250 * time.Millisecond) // the lease lasts longer
		if n := e.sentTo("v2"); n > before {
			t.Errorf("%d requests went to the new version more than 1.7 s after the driver was killed", n-before)
		}
		took := e.await("there is no other driver", 2*time.Second, func() bool { return e.store.state().Term > term })
		t.Logf("another host took over %v after the driver was killed", took+1950*time.Millisecond)
		e.awaitPhase(rollout.Completed, orderLength)
	})
}

// Guards against a driver that goes on while it reaches neither the store nor the other hosts, or that
// announces after it is back.
func TestDriverIsPartitioned(t *testing.T) {
	run(t, 3, func(e *env) {
		e.awaitPhase(rollout.Canary, time.Second)
		time.Sleep(time.Second)
		d, term := e.driver(), e.store.state().Term
		d.setCutOff(true)
		time.Sleep(1600 * time.Millisecond)
		sent := d.sentTo("v2")
		e.await("there is no other driver", 3*time.Second, func() bool { return e.store.state().Term > term })
		time.Sleep(time.Second)
		if n := d.sentTo("v2"); n > sent {
			t.Errorf("the former driver sent %d requests to the new version without a lease", n-sent)
		}
		d.setCutOff(false)
		e.await("the former driver does not follow", time.Second, func() bool { return d.state().Term == e.store.state().Term })
		e.awaitPhase(rollout.Completed, 2*orderLength)
	})
}

// Guards against two hosts that both advance a roll-out: of all writes, each follows the one before.
func TestOnlyOneHostDrives(t *testing.T) {
	run(t, 8, func(e *env) {
		e.store.set(func(s *fakeStore) { s.delay = 150 * time.Millisecond })
		for range 3 {
			time.Sleep(2 * time.Second)
			d := e.driver()
			if d == nil {
				continue
			}
			d.setCutOff(true)
			time.Sleep(3 * time.Second)
			d.setCutOff(false)
		}
		e.awaitPhase(rollout.Completed, 2*orderLength)
		e.store.mu.Lock()
		defer e.store.mu.Unlock()
		for i, s := range e.store.written[1:] {
			before := e.store.written[i]
			if s.Term < before.Term || s.Term == before.Term && (s.Driver != before.Driver || s.Seq < before.Seq) {
				t.Errorf("%+v was written after %+v", s, before)
			}
		}
	})
}

// Guards against a roll-out that begins again, or exceeds its share, after all hosts were lost.
func TestAllHostsAreLost(t *testing.T) {
	run(t, 2, func(e *env) {
		e.awaitPhase(rollout.Canary, time.Second)
		time.Sleep(2 * time.Second)
		before := e.store.state()
		for _, h := range e.all() {
			h.kill()
		}
		time.Sleep(1600 * time.Millisecond)
		h := e.addHost("later")
		time.Sleep(300 * time.Millisecond)
		if n := h.sentTo("v2"); n > 0 {
			t.Errorf("a host sent %d requests to the new version without a driver", n)
		}
		e.await("there is no driver", 4*time.Second, func() bool { return e.store.state().Driver == "later" })
		if s := e.store.state(); s.Term <= before.Term || s.StartedMS != before.StartedMS || s.DeadlineMS != before.DeadlineMS {
			t.Errorf("after the loss of all hosts: %+v, before %+v", s, before)
		}
		e.awaitPhase(rollout.Completed, orderLength)
		e.addHost("last")
		time.Sleep(time.Second)
		last := e.all()[len(e.all())-1]
		if p := last.state().Phase; p != rollout.Completed {
			t.Errorf("a host that starts later has phase %v", p)
		}
	})
}

// Guards against a bad version that is kept because the store can't be written.
func TestRolledBackWithoutStore(t *testing.T) {
	run(t, 3, func(e *env) {
		e.awaitPhase(rollout.Canary, time.Second)
		time.Sleep(time.Second)
		e.store.set(func(s *fakeStore) { s.down = true })
		e.setBad(func() bool { return rand.N(10) < 7 })
		for _, h := range e.all() {
			e.await(h.name+" has not rolled back", 4*time.Second, func() bool { return h.state().Phase == rollout.RolledBack })
		}
		if p := e.store.state().Phase; p != rollout.Canary {
			t.Fatalf("the store has phase %v although it is down", p)
		}
		time.Sleep(5 * time.Second)
		e.store.set(func(s *fakeStore) { s.down = false })
		e.awaitPhase(rollout.RolledBack, 2*time.Second)
	})
}

// Guards against an advance that is announced although it was not written.
func TestAdvanceWaitsForStore(t *testing.T) {
	run(t, 3, func(e *env) {
		e.awaitPhase(rollout.Canary, time.Second)
		time.Sleep(orderLength / 2) // before the shift begins
		e.store.set(func(s *fakeStore) { s.down = true })
		time.Sleep(orderLength / 2)
		for _, h := range e.all() {
			if p := h.state().Phase; p != rollout.Canary {
				t.Errorf("%s has phase %v, which is not in the store", h.name, p)
			}
		}
		before := e.sentTo("v2")
		time.Sleep(time.Second)
		if n := e.sentTo("v2"); n > before {
			t.Errorf("%d requests went to the new version without a lease", n-before)
		}
		e.store.set(func(s *fakeStore) { s.down = false })
	})
}

// Guards against a driver that takes a write without a response for one that failed, or for one that
// succeeded.
func TestResponsesOfStoreAreLost(t *testing.T) {
	run(t, 3, func(e *env) {
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			e.store.set(func(s *fakeStore) { s.loseNext = rand.N(2) })
		}
		e.store.set(func(s *fakeStore) { s.loseNext = 0 })
		e.awaitPhase(rollout.Completed, orderLength)
	})
}

// Guards against a phase that goes back because the store came back from an older copy.
func TestStoreIsRestored(t *testing.T) {
	for _, final := range []bool{false, true} {
		run(t, 3, func(e *env) {
			e.awaitPhase(rollout.Canary, time.Second)
			var copied records.RolloutRow
			e.store.set(func(s *fakeStore) { copied = s.row })
			phase := rollout.Shifting
			if final {
				phase = rollout.Completed
			}
			e.awaitPhase(phase, orderLength)
			time.Sleep(100 * time.Millisecond)
			e.store.restore(copied)
			e.await("the store does not have the phase again", 4*time.Second, func() bool { return e.store.state().Phase >= phase })
			for _, h := range e.all() {
				if p := h.state().Phase; p < phase || p > rollout.Completed {
					t.Errorf("%s went back to phase %v", h.name, p)
				}
			}
			e.awaitPhase(rollout.Completed, orderLength)
		})
	}
}

// Guards against the target of an order that was replaced, which gets nothing any more.
func TestOrderIsReplaced(t *testing.T) {
	run(t, 3, func(e *env) {
		e.awaitPhase(rollout.Canary, time.Second)
		time.Sleep(2 * time.Second)
		e.mu.Lock()
		e.versions["v3"] = 4
		e.mu.Unlock()
		for _, h := range e.all() {
			h.table.SetVersions(serviceName, e.versionNames(), e.uptime())
		}
		e.setOrders(rollout.Order{Service: serviceName, Target: "v3", ID: 9, Length: orderLength})
		e.await("the new order has no state", 3*time.Second, func() bool { return e.store.state().ID == 9 })
		s := e.store.state()
		if s.Target != "v3" || !slices.Contains(s.Excluded, "v2") {
			t.Errorf("got %+v, want the target of the earlier order in Excluded", s)
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range e.all() {
			if c := h.table.Fallback(serviceName, e.uptime()); c.Allows("v2") {
				t.Errorf("%s allows the target of the earlier order", h.name)
			}
		}
	})
}

// Guards against a withdrawn order whose target goes on to get requests.
func TestOrderIsWithdrawn(t *testing.T) {
	run(t, 3, func(e *env) {
		e.awaitPhase(rollout.Canary, time.Second)
		time.Sleep(2 * time.Second)
		e.setOrders()
		e.awaitPhase(rollout.Withdrawn, 3*time.Second)
		time.Sleep(500 * time.Millisecond)
		before := e.sentTo("v2")
		time.Sleep(3 * time.Second)
		if n := e.sentTo("v2"); n > before {
			t.Errorf("the target of a withdrawn order got %d requests", n-before)
		}
	})
}

// Guards against new servers that never appear: the roll-out ends at its deadline.
func TestNewServersDoNotAppear(t *testing.T) {
	run(t, 1, func(e *env) {
		e.mu.Lock()
		e.versions["v2"] = 0
		e.mu.Unlock()
		e.awaitPhase(rollout.Canary, time.Second)
		e.awaitPhase(rollout.RolledBack, orderLength+time.Second)
	})
}

// Guards against an order for the version that already serves alone, which needs no roll-out.
func TestTargetServesAlone(t *testing.T) {
	run(t, 0, func(e *env) {
		e.versions = map[string]int{"v2": 4}
		e.addHost("host")
		e.awaitPhase(rollout.Completed, 2*time.Second)
	})
}

// Guards against a host that starts during a roll-out and sends to the new version before it knows the
// driver's state.
func TestHostStartsDuringRollout(t *testing.T) {
	run(t, 2, func(e *env) {
		e.awaitPhase(rollout.Canary, time.Second)
		time.Sleep(time.Second)
		h := e.addHost("later")
		h.setCutOff(true)
		h.mu.Lock()
		h.reader = false
		h.mu.Unlock()
		time.Sleep(time.Second)
		if n := h.sentTo("v2"); n > 0 {
			t.Errorf("a host without a state sent %d requests to the new version", n)
		}
		h.setCutOff(false)
		e.awaitPhase(rollout.Completed, orderLength)
	})
}
