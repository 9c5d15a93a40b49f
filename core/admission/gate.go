// Package admission decides, on each host, when a request for a run may go to an engine while
// engines are short, with which class, and which requests are refused. It takes effect only once no
// engine has room: without a shortage requests go where core/fleet sends them.
//
// Each request has a latency goal. The kind with the tightest goal of its service is urgent, and
// room is reserved for it by its recent demand. A request that finds no room waits on its host in
// the order of slack and rank, for as long as it can still begin before its goal. Otherwise it is
// refused with the time at which room is expected, or forwarded with the lowest class if its caller
// has no time to come back.
//
// # Usage
//
//	g := admission.NewGate(4 * time.Second)
//	t := g.Enter(admission.Request{Organisation: o, Goal: goal, ...}, hosts, now)
//	verdict := t.Await(ctx, func(now time.Time, p fleet.Policy) bool {
//		q.Policy, q.Now = p, now
//		m = f.Reserve(q)
//		return m != nil
//	})
//	class := t.Class(time.Now())
package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cicadabeam/core/fleet"
)

// Request is a request for a run that has not begun.
type Request struct {
	Organisation string
	Rank         int  // priority, 0 is the highest
	Urgent       bool // of the kind with the tightest latency goal
	Tokens       int  // of the prompt
	Memory       int  // KV cache tokens that the whole run may need
	Capacity     int  // KV cache tokens of an engine
	Goal         time.Time
	Deadline     time.Time
}

// Verdict is the outcome of a request at the gate.
type Verdict int

// Waiting: the request is to be tried again. Started: a server was reserved. Refused: the request is
// to be refused until Ticket.RetryAt. Unavailable: there is no server, whatever its load. Ended: the
// context of the request has ended.
const (
	Waiting Verdict = iota
	Started
	Refused
	Unavailable
	Ended
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"waiting", "started", "refused", "unavailable", "ended"}[v]
}

const (
	// maxWaiting limits the requests that wait on a host for one service. Each of them holds its body
	// and a caller's connection.
	maxWaiting = 256
	// pollInterval is the time after which the first request that waits is tried again. Hosts report
	// their work every 200 to 600 ms, and this host's own runs end in between.
	pollInterval = 80 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is to return.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 8 * time.Second
	// runFactor is how many times the time for its prompt a run takes on an engine whose KV cache is
	// in use: 13 s of 1 s with nine runs of 8,000 prompt and 1,300 output tokens.
	runFactor = 12
	// beginMargin is kept between the latest start and the goal: the way to the engine, and what its
	// other runs take of its time.
	beginMargin = 300 * time.Millisecond
)

// Gate admits the requests of one service on one host. Its methods may be called by several
// goroutines at once.
type Gate struct {
	tightest time.Duration // latency goal of the urgent kind
	mu       sync.Mutex
	waiting  []*Ticket
	waits    [2]lastWait // of the other kinds and of the urgent one
	shares   shares
	totals   map[string]int64
}

// lastWait is how long the request that began last had waited.
type lastWait struct {
	wait time.Duration
	at   time.Time
}

// NewGate returns a gate at which nothing waits, for a service with a tightest latency goal.
func NewGate(tightest time.Duration) *Gate {
	return &Gate{tightest: tightest, shares: newShares(), totals: make(map[string]int64)}
}

// part returns a part of the tightest latency goal.
func (g *Gate) part(share float64) time.Duration { return time.Duration(share * float64(g.tightest)) }

// Ticket is a request at a gate.
type Ticket struct {
	gate     *Gate
	request  Request
	hosts    int
	entered  time.Time
	waits    bool
	lowest   bool // forwarded with the lowest class
	repeated bool // an attempt was sent before
	view     view // of the servers, at the last attempt to reserve one
	retryAt  time.Time
	prefill  time.Duration
}

// Enter returns a ticket for a request that has arrived at one of a number of hosts.
func (g *Gate) Enter(r Request, hosts int, now time.Time) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares.arrived(r, now)
	return &Ticket{gate: g, request: r, hosts: max(hosts, 1), entered: now}
}

// Await tries to reserve a server until the request has started, is refused or has ended.
func (t *Ticket) Await(ctx context.Context, reserve func(now time.Time, p fleet.Policy) bool) Verdict {
	for {
		v, at := t.Step(time.Now(), reserve)
		if v != Waiting {
			return v
		}
		timer := time.NewTimer(time.Until(at))
		select {
		case <-ctx.Done():
			timer.Stop()
			t.gate.leave(t, Ended, time.Now())
			return Ended
		case <-timer.C:
		}
	}
}

// Step tries to reserve a server if it is the request's turn. If the request is to wait, it returns
// when Step is to be called again.
func (t *Ticket) Step(now time.Time, reserve func(now time.Time, p fleet.Policy) bool) (Verdict, time.Time) {
	g := t.gate
	if g.mayTry(t, now) {
		t.view = view{}
		if reserve(now, t) {
			return g.leave(t, Started, now), now
		}
		if t.view.usable == 0 {
			return g.leave(t, Unavailable, now), now
		}
	}
	if at, ok := g.mayWait(t, now); ok {
		return Waiting, at
	}
	if at := g.expected(t, now); at.Add(runFactor * t.prefill).Before(t.request.Deadline) {
		t.retryAt = at
		return g.leave(t, Refused, now), now
	}
	t.lowest = true
	if reserve(now, nil) {
		return g.leave(t, Started, now), now
	}
	return g.leave(t, Unavailable, now), now
}

// Repeat returns the policy for an attempt after the first. It refuses nothing: it only spreads
// attempts over the servers with room, as the runs of a data centre may be lost at once.
func (t *Ticket) Repeat() fleet.Policy {
	t.repeated = true
	return t
}

// Class returns the class of the next attempt of the request.
func (t *Ticket) Class(now time.Time) int {
	if t.lowest && !t.repeated {
		return lowestClass
	}
	return t.request.Class(t.repeated, t.prefill, now)
}

// RetryAt returns when the caller of a refused request is to return.
func (t *Ticket) RetryAt() time.Time { return t.retryAt }

// Waited returns how long the request waited, and whether it was forwarded with the lowest class.
func (t *Ticket) Waited(now time.Time) (wait time.Duration, lowest bool) {
	if t.waits {
		wait = now.Sub(t.entered)
	}
	return wait, t.lowest
}

// mayTry reports whether it is the request's turn: no other one with a tighter slack or a higher rank
// waits.
func (g *Gate) mayTry(t *Ticket, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range g.waiting {
		if x != t && x.before(t, now) {
			return false
		}
	}
	return true
}

// before reports whether x comes before y: by class, of which the slack is a part, so that a
// request rises as it waits, then by goal.
func (x *Ticket) before(y *Ticket, now time.Time) bool {
	a, b := x.order(now), y.order(now)
	if a != b {
		return a < b
	}
	return x.request.Goal.Before(y.request.Goal)
}

// order is the class, or the lowest while others are to be served before the organisation.
func (x *Ticket) order(now time.Time) int {
	if x.gate.shares.exceeded(x.request.Organisation, now) {
		return lowestClass
	}
	return x.request.Class(false, x.prefill, now)
}

// mayWait reports whether the request may wait, and when it is tried again: as long as it can begin
// before its goal, and while the wait of the others says that it will.
func (g *Gate) mayWait(t *Ticket, now time.Time) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	latest := t.request.Goal.Add(-t.prefill - beginMargin)
	next := now.Add(pollInterval/2 + rand.N(pollInterval))
	if next.After(latest) {
		return next, false
	}
	if t.waits {
		return next, true
	}
	if len(g.waiting) >= maxWaiting || now.Add(g.wait(t.request.Urgent, now)).After(latest) {
		return next, false
	}
	t.waits = true
	g.waiting = append(g.waiting, t)
	g.totals["waited"]++
	return next, true
}

// wait returns how long a request of a kind is expected to wait: as long as the last one that began,
// or as the one that has waited longest. Both are known to predict the wait in a queue whose
// servers' speed is not known.
func (g *Gate) wait(urgent bool, now time.Time) time.Duration {
	l := g.waits[kind(urgent)]
	wait := max(0, l.wait-now.Sub(l.at))
	for _, x := range g.waiting {
		if x.request.Urgent == urgent {
			wait = max(wait, now.Sub(x.entered))
		}
	}
	return wait
}

// expected returns when room is expected for a request that is refused, with jitter, so that callers
// don't return together.
func (g *Gate) expected(t *Ticket, now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := max(g.wait(t.request.Urgent, now), t.view.excess)
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return now.Add(wait + rand.N(wait))
}

// leave removes a ticket and counts its outcome.
func (g *Gate) leave(t *Ticket, v Verdict, now time.Time) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := time.Duration(0)
	if t.waits {
		wait = now.Sub(t.entered)
		for i, x := range g.waiting {
			if x == t {
				g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
				break
			}
		}
	}
	if v == Started && !t.lowest {
		g.shares.started(t.request, now)
		g.waits[kind(t.request.Urgent)] = lastWait{wait, now}
	}
	switch {
	case t.lowest:
		g.totals["lowest class"]++
	case t.waits || v != Started:
		g.totals[v.String()]++
	}
	return v
}

func kind(urgent bool) int {
	if urgent {
		return 1
	}
	return 0
}
