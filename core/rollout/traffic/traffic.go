// Package traffic applies roll-outs to the requests of a host: it selects the software version of
// the server for each attempt, and records what was sent, which requests run on which version, and
// the outcomes.
//
// # Usage
//
//	t := traffic.New(table, recorder, uptime)
//	r := t.Begin("orders", "buy")      // a nil *Traffic returns a nil *Request, which limits nothing
//	defer r.End()
//	m := r.Reserve(fleet, query)
//	a := r.Attempt(m)
//	a.Sent()
//	a.Respond(elapsed)
//	a.End(traffic.Sound, 0)
//	p := t.Progress()                  // for the driver
package traffic

import (
	"sync"
	"time"

	"cicadabeam/core/canary"
	"cicadabeam/core/drain"
	"cicadabeam/core/rollout"
)

const (
	// minDraining is how long a host reports runs on old servers after it learnt that they are drained,
	// so that callers whose connection has just been lost can continue their streams there.
	minDraining = 300 * time.Millisecond
	// closedTime is how long after the driver confirmed its lease a host keeps to it that nothing is
	// sent to old servers any more. A driver that was lost before it completed the roll-out would
	// otherwise leave the host without servers.
	closedTime = 5 * time.Second
)

// Traffic is what a host sends to the servers of services, by software version. It is safe for
// concurrent use.
type Traffic struct {
	table    *rollout.Table
	recorder *canary.Recorder
	uptime   func() time.Duration
	usual    drain.Durations // of runs, by service

	mu       sync.Mutex
	runs     map[runKey]int        // requests in progress
	draining map[string]drainState // by service
}

type runKey struct{ service, version string }

// drainState tells since when a host knows that the old servers of an order are drained.
type drainState struct {
	order  uint64
	since  time.Duration
	target string
	closed bool // this host has reported that it has no run there, and sends nothing there any more
}

// New returns the traffic of a host. uptime reads a clock that keeps running while the host is
// suspended.
func New(table *rollout.Table, r *canary.Recorder, uptime func() time.Duration) *Traffic {
	return &Traffic{table: table, recorder: r, uptime: uptime, runs: make(map[runKey]int), draining: make(map[string]drainState)}
}

// UsualDuration returns how long runs of a service usually take at most, 0 if it is not known.
func (t *Traffic) UsualDuration(service string) time.Duration {
	d, _ := t.usual.Usual(service, time.Now())
	return d
}

// Progress returns what this host follows, and its runs on the servers of other versions. Outcomes are
// counted for the roll-outs that were in progress at the last call.
func (t *Traffic) Progress() rollout.Report {
	now := t.uptime()
	watched := make(map[string]uint64)
	for _, a := range t.table.States(now) {
		t.follow(a.State, now)
		if !a.State.Phase.Final() {
			watched[a.State.Service] = a.State.ID
		}
	}
	t.recorder.Watch(watched)
	return t.table.Report(func(service, target string) int { return t.oldRuns(service, target, now) }, now)
}

// follow records since when the old servers of an order are drained.
func (t *Traffic) follow(s rollout.State, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Phase != rollout.Draining && s.Phase != rollout.Completed {
		delete(t.draining, s.Service)
		return
	}
	if x, known := t.draining[s.Service]; !known || x.order != s.ID {
		t.draining[s.Service] = drainState{order: s.ID, since: now, target: s.Target}
	}
}

// oldRuns returns the number of runs on servers of other versions than the target. Once it is 0 while
// these are drained, nothing is sent there any more.
func (t *Traffic) oldRuns(service, target string, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for k, running := range t.runs {
		if k.service == service && k.version != target {
			n += running
		}
	}
	d, found := t.draining[service]
	if !found || d.target != target {
		return n
	}
	if n == 0 && now-d.since < minDraining {
		return 1
	}
	if d.closed = n == 0; d.closed != t.draining[service].closed {
		t.draining[service] = d
	}
	return n
}

// enter counts a run on a version, unless nothing is sent there any more.
func (t *Traffic) enter(service, version string) bool {
	_, age, _ := t.table.State(service, t.uptime())
	t.mu.Lock()
	defer t.mu.Unlock()
	if d := t.draining[service]; d.closed && d.target != version && age < closedTime {
		return false
	}
	t.runs[runKey{service, version}]++
	return true
}

// leave ends a run on a version.
func (t *Traffic) leave(service, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := runKey{service, version}
	if t.runs[k]--; t.runs[k] <= 0 {
		delete(t.runs, k)
	}
}
