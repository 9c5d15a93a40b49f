package traffic_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/canary"
	"cicadabeam/core/fleet"
	"cicadabeam/core/rollout"
	"cicadabeam/core/rollout/traffic"
)

const service = "x"

// system is a host's traffic with servers of two versions.
type system struct {
	now   time.Duration
	table *rollout.Table
	fleet *fleet.Fleet
	*traffic.Traffic
}

func newSystem() *system {
	s := &system{now: time.Hour, table: rollout.NewTable(rollout.Limits{ExposureShare: 0.1}, nil), fleet: fleet.New(fleet.Topology{DataCentre: "a"})}
	s.Traffic = traffic.New(s.table, canary.NewRecorder(), func() time.Duration { return s.now })
	s.table.SetVersions(service, []string{"v1"}, s.now)
	s.table.SetVersions(service, []string{"v1", "v2"}, s.now)
	for i := range 4 {
		version := []string{"v1", "v2"}[i%2]
		s.fleet.Upsert(fleet.Server{ID: fmt.Sprint("s", i), Service: service, Address: fmt.Sprint(i), DataCentre: "a", Version: version, Slots: 8, StartedMS: 1})
	}
	s.table.SetOrders([]rollout.Order{s.order()}, s.now)
	return s
}

func (s *system) order() rollout.Order {
	return rollout.Order{Service: service, Target: "v2", ID: 5, Length: 12 * time.Second}
}

// announce makes the host know a phase with a lease that was confirmed just now.
func (s *system) announce(p rollout.Phase, seq uint64, share float64) {
	s.table.Merge(rollout.State{Order: s.order(), Term: 1, Seq: seq, Driver: "d", Phase: p, Share: share, LeaseUntilMS: 3000 + s.now.Milliseconds(), Old: []string{"v1"}}, 0, s.now)
}

func (s *system) query() fleet.Query { return fleet.Query{Service: service, Now: time.Unix(1e9, 0)} }

// send sends a request and returns the version that got it, "" if there was no server.
func (s *system) send() string {
	r := s.Begin(service, "r")
	defer r.End()
	m := r.Reserve(s.fleet, s.query())
	if m == nil {
		return ""
	}
	a := r.Attempt(m)
	a.Sent()
	a.Respond(time.Millisecond)
	a.End(traffic.Sound, 0)
	m.Release(s.query(), false)
	return m.Version()
}

func (s *system) sendMany(n int) map[string]int {
	all := make(map[string]int)
	for range n {
		all[s.send()]++
	}
	return all
}

// Guards against a new version that gets more than the host has earned, or nothing.
func TestShareOfRequests(t *testing.T) {
	s := newSystem()
	if got := s.sendMany(200); got["v2"] > 0 {
		t.Errorf("got %v before there was a driver", got)
	}
	s.announce(rollout.Canary, 1, 0.08)
	if got := s.sendMany(500); got["v2"] == 0 || float64(got["v2"]) > 0.1*700 {
		t.Errorf("got %v in the canary phase", got)
	}
	s.now += 2 * rollout.PermitTime
	if got := s.sendMany(100); got["v2"] > 0 {
		t.Errorf("got %v without a permit", got)
	}
	s.announce(rollout.RolledBack, 2, 0)
	if got := s.sendMany(100); got["v1"] != 100 {
		t.Errorf("got %v after it was rolled back", got)
	}
}

// Guards against credit that is lost with requests that were not sent.
func TestUnsentRequestsSpendNothing(t *testing.T) {
	s := newSystem()
	s.sendMany(200)
	s.announce(rollout.Canary, 1, 0.08)
	unsent := 0
	for range 300 {
		r := s.Begin(service, "r")
		m := r.Reserve(s.fleet, s.query())
		if m.Version() == "v2" {
			unsent++
		}
		a := r.Attempt(m)
		a.End(traffic.Unknown, 0)
		m.Release(s.query(), false)
		r.End()
	}
	got := s.sendMany(100)
	if p := s.Progress()[service]; p.OldRuns != 0 || unsent < 20 || got["v2"] < 10 {
		t.Errorf("%d requests for the new version were not sent; after that, got %v and %+v", unsent, got, p)
	}
}

// Guards against retries at the new version, and against a stream that is not counted where it runs.
func TestFurtherAttemptsAndBoundStreams(t *testing.T) {
	s := newSystem()
	s.announce(rollout.Canary, 1, 0.08)
	s.sendMany(500)
	for range 100 {
		r := s.Begin(service, "r")
		q := s.query()
		first := r.Reserve(s.fleet, q)
		r.Attempt(first).End(traffic.Failed, 0)
		second := r.Reserve(s.fleet, q)
		if second.Version() != "v1" {
			t.Fatal("a further attempt went to the new version")
		}
		r.Attempt(second).End(traffic.Unknown, 0)
		r.End()
	}
	r := s.Begin(service, "r")
	q := s.query()
	q.Version = "v1"
	m := r.Reserve(s.fleet, q)
	a := r.Attempt(m)
	a.Sent()
	r.Bind("v1")
	a.End(traffic.Sound, 0)
	if p := s.Progress()[service]; p.OldRuns != 1 {
		t.Errorf("a stream that may go on at an old server counts %d runs", p.OldRuns)
	}
	r.End()
	if p := s.Progress()[service]; p.OldRuns != 0 {
		t.Errorf("after all requests have ended there are %d runs on old servers", p.OldRuns)
	}
}

// Guards against a request at an old server after the host has reported that it has none there.
func TestNothingGoesToOldServersOnceDrained(t *testing.T) {
	s := newSystem()
	s.announce(rollout.Draining, 4, 1)
	if p := s.Progress()[service]; p.OldRuns == 0 {
		t.Error("the host reports at once that it has no runs on old servers")
	}
	q := s.query()
	q.Version = "v1"
	r := s.Begin(service, "r")
	m := r.Reserve(s.fleet, q)
	if m == nil {
		t.Fatal("a stream that was lost a moment ago can't go on")
	}
	a := r.Attempt(m)
	s.now += time.Second
	if p := s.Progress()[service]; p.OldRuns != 1 {
		t.Errorf("got %d runs on old servers, want 1", p.OldRuns)
	}
	a.End(traffic.Sound, 0)
	r.End()
	if p := s.Progress()[service]; p.OldRuns != 0 {
		t.Errorf("got %d runs on old servers, want none", p.OldRuns)
	}
	if m := s.Begin(service, "r").Reserve(s.fleet, q); m != nil {
		t.Error("a request goes to an old server after the host has reported that none does")
	}
	if got := s.sendMany(20); got["v2"] != 20 {
		t.Errorf("got %v while old servers are drained", got)
	}
	s.announce(rollout.RolledBack, 5, 0)
	s.Progress()
	if got := s.sendMany(20); got["v1"] != 20 {
		t.Errorf("got %v after it was rolled back", got)
	}
}

// Guards against a cost for hosts without roll-outs.
func TestDisabledRolloutsAllocateNothing(t *testing.T) {
	var x *traffic.Traffic
	f := fleet.New(fleet.Topology{})
	n := testing.AllocsPerRun(100, func() {
		r := x.Begin(service, "r")
		_ = r.Limit(fleet.Query{})
		a := r.Attempt(nil)
		a.Sent()
		a.Respond(1)
		a.End(traffic.Sound, 0)
		r.Bind("v1")
		r.End()
	})
	if n > 0 || x.Begin(service, "r").Reserve(f, fleet.Query{Service: service}) != nil {
		t.Errorf("got %v allocations", n)
	}
}
