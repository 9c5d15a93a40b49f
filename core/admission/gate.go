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
//	gates := admission.NewGates()
//	t := gates.Enter("chat", tightest, admission.Request{Organisation: o, Goal: goal, ...}, now)
//	verdict := t.Await(ctx, func(now time.Time) bool {
//		q.Policy, q.Now = t, now
//		m = f.Reserve(q)
//		return m != nil
//	})
//	class := t.Class(false)
package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Request is a request for a run that has not begun.
type Request struct {
	Organisation string
	Rank         int       // priority, 0 is the highest
	Urgent       bool      // of the kind with the tightest latency goal
	Tokens       int       // of the prompt
	Memory       int       // KV cache tokens that the whole run may need
	Capacity     int       // KV cache tokens of an engine
	Goal         time.Time // of the first event
	Deadline     time.Time
	Hosts        int  // that send to the engines
	Informed     bool // the work of all hosts on the engines is known
	Resumed      bool // the caller has received a part of the response
	Cached       bool // a server that has processed the prompt is known
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
	// their work every 200 to 600 ms, and this host's own runs end in between. Requests behind it are
	// looked at less often, up to maxPollFactor times the interval.
	pollInterval  = 80 * time.Millisecond
	maxPollFactor = 8
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is to return. It
	// waits here again then, so that retryShare of the expected wait is enough: with the whole of it
	// callers came back too late to be served.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 8 * time.Second
	retryShare    = 0.125
	// runFactor is how many times the time for its prompt a run takes on an engine with others.
	runFactor = 8
	// beginMargin is kept between the latest start and the goal: the way to the engine, and what its
	// other runs take of its time.
	beginMargin = 300 * time.Millisecond
	// defaultPrefill is assumed until an engine was looked at.
	defaultPrefill = time.Second
)

// Gate admits the requests of one service on one host. Its methods may be called by several
// goroutines at once.
type Gate struct {
	mu         sync.Mutex
	tightest   time.Duration // latency goal of the urgent kind
	random     *rand.Rand
	waiting    []*Ticket
	waits      [2]lastWait // of the other kinds and of the urgent one
	shares     shares
	credit     credit
	shortUntil time.Time
	totals     map[string]int64
}

// lastWait is how long the request that began last had waited.
type lastWait struct {
	wait time.Duration
	at   time.Time
}

// NewGate returns a gate at which nothing waits.
func NewGate(r *rand.Rand) *Gate {
	return &Gate{random: r, shares: newShares(), totals: make(map[string]int64)}
}

// part returns a part of the tightest latency goal.
func (g *Gate) part(share float64) time.Duration { return time.Duration(share * float64(g.tightest)) }

// Ticket is a request at a gate. It implements fleet.Policy for each of its attempts.
type Ticket struct {
	gate     *Gate
	request  Request
	entered  time.Time
	began    time.Time // when a server was reserved
	waits    bool
	lowest   bool // only for the lowest class
	admitted bool // nothing holds it back any more
	view     view // of the servers, at the last attempt to reserve one
	retryAt  time.Time
	prefill  time.Duration
}

// Enter returns a ticket for a request that has arrived. tightest is the tightest latency goal of the
// service.
func (g *Gate) Enter(tightest time.Duration, r Request, now time.Time) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tightest = tightest
	if r.Deadline.Before(r.Goal) {
		r.Goal = r.Deadline
	}
	g.shares.arrived(r, now)
	return &Ticket{gate: g, request: r, entered: now, prefill: defaultPrefill, admitted: r.Resumed || !r.Informed}
}

// Await calls reserve, which tries to reserve a server with the ticket as its policy, until the
// request has started, is refused or has ended.
func (t *Ticket) Await(ctx context.Context, reserve func(now time.Time) bool) Verdict {
	for {
		v, at := t.Step(time.Now(), reserve)
		if v != Waiting {
			return v
		}
		timer := time.NewTimer(time.Until(at))
		select {
		case <-ctx.Done():
			timer.Stop()
			return t.Cancel(time.Now())
		case <-timer.C:
		}
	}
}

// Step calls reserve if it is the request's turn. If the request is to wait, Step returns when it is to
// be called again.
func (t *Ticket) Step(now time.Time, reserve func(now time.Time) bool) (Verdict, time.Time) {
	g := t.gate
	ahead := g.ahead(t, now)
	if ahead == 0 {
		if reserve(now) {
			return g.leave(t, Started, now), now
		}
		if t.view.usable == 0 || t.admitted {
			return g.leave(t, Unavailable, now), now
		}
	}
	if at, ok := g.mayWait(t, ahead, now); ok {
		return Waiting, at
	}
	if t.retryAt = g.expected(t, now); !t.retryAt.Add(runFactor * t.prefill).Before(t.request.Deadline) {
		t.lowest = true
		if reserve(now) {
			return g.leave(t, Started, now), now
		}
	}
	return g.leave(t, Refused, now), now
}

// Cancel ends the wait of a request that is given up.
func (t *Ticket) Cancel(now time.Time) Verdict { return t.gate.leave(t, Ended, now) }

// Class returns the class of an attempt of the request; repeated is set if an engine worked on an
// earlier one.
func (t *Ticket) Class(repeated bool) int {
	if t.lowest && !repeated && !t.request.Resumed {
		return lowestClass
	}
	return t.request.Class()
}

// Urgent reports whether the request is of the urgent kind.
func (t *Ticket) Urgent() bool { return t != nil && t.request.Urgent }

// RetryAt returns when the caller of a refused request is to return.
func (t *Ticket) RetryAt() time.Time { return t.retryAt }

// Held reports whether the request waited, was refused or may run with the lowest class only.
func (t *Ticket) Held() bool { return t.waits || t.lowest || !t.retryAt.IsZero() }

// Fields returns what the decision about the request was made by, for the log.
func (t *Ticket) Fields(now time.Time) map[string]any {
	wait := now.Sub(t.entered)
	if !t.began.IsZero() {
		wait = t.began.Sub(t.entered)
	}
	return map[string]any{
		"urgent": t.request.Urgent, "wait_ms": wait.Milliseconds(), "lowest": t.lowest, "servers": t.view.usable, "rooms": t.view.rooms,
		"reserved": t.view.reserved, "backlog_ms": t.view.mean.Milliseconds(), "goal_ms": t.request.Goal.Sub(now).Milliseconds(),
	}
}

// ahead returns how many requests that wait come before one.
func (g *Gate) ahead(t *Ticket, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	own := t.order(now)
	for _, x := range g.waiting {
		if o := x.order(now); x != t && (o < own || o == own && x.request.Goal.Before(t.request.Goal)) {
			n++
		}
	}
	return n
}

// order is the place, of which the slack is a part, so that a request rises as it waits. It is the
// last while others are to be served before the organisation.
func (t *Ticket) order(now time.Time) int {
	if t.admitted {
		return -1
	}
	if t.gate.shares.exceeded(t.request.Organisation, now) {
		return lowestClass
	}
	return t.request.Place(t.prefill, now)
}

// mayWait reports whether the request may wait, and when it is tried again: as long as it can begin
// before its goal, and while the wait of the others says that it will.
func (g *Gate) mayWait(t *Ticket, ahead int, now time.Time) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	latest := t.request.Goal.Add(-t.prefill - beginMargin)
	interval := pollInterval * time.Duration(min(1+ahead, maxPollFactor))
	next := now.Add(interval/2 + time.Duration(g.random.Int64N(int64(interval))))
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
	return next, true
}

// wait returns how long a request of a kind is expected to wait: as long as the last one that began,
// or as the one that has waited longest. Both predict the wait without knowing the speed of the
// servers.
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

// expected returns when the caller of a request that is refused is to return, with jitter, so that
// callers don't return together.
func (g *Gate) expected(t *Ticket, now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := time.Duration(retryShare * float64(max(g.wait(t.request.Urgent, now), t.view.mean)))
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return now.Add(wait + time.Duration(g.random.Int64N(int64(wait))))
}

// leave removes a ticket and counts its outcome.
func (g *Gate) leave(t *Ticket, v Verdict, now time.Time) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = slices.DeleteFunc(g.waiting, func(x *Ticket) bool { return x == t })
	switch {
	case t.lowest && v == Started:
		g.totals["lowest class"]++
	case t.waits && v == Started:
		g.totals["waited"]++
	case v != Started:
		g.totals[v.String()]++
	}
	if v != Started {
		return v
	}
	t.began, t.admitted, t.retryAt = now, true, time.Time{}
	g.shares.started(t.request, now)
	if !t.lowest {
		wait := time.Duration(0)
		if t.waits {
			wait = now.Sub(t.entered)
		}
		g.waits[kind(t.request.Urgent)] = lastWait{wait, now}
	}
	return v
}

func kind(urgent bool) int {
	if urgent {
		return 1
	}
	return 0
}
