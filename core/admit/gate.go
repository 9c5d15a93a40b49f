// Package admit decides when a request may start: at once when there is room,
// else in a queue that is fair between organisations. A request that could not
// start before its deadline is refused at once.
//
// # Usage
//
//	g := admit.New()
//	err := g.Acquire(ctx, admit.Request{...})   // nil: Try returned true
//	...
//	g.Wake()                                    // when room came free
package admit

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/fault"
)

// maxQueue bounds the requests that wait for one service on a node.
const maxQueue = 20000

// rateMemory is the time over which starts are averaged.
const rateMemory = 2 * time.Second

// waitMargin is the part of the time until its deadline that a request may be
// expected to wait; the rest is for what the expectation misses.
const waitMargin = 0.75

// Request is a request that wants to start.
type Request struct {
	Organisation string
	Weight       int
	Deadline     time.Time
	// Try takes what the request needs, or returns false. It runs under the
	// gate's lock.
	Try func() bool
	// Urgent requests have begun already and go before all others.
	Urgent bool
}

type waiter struct {
	request Request
	granted chan struct{}
}

type queue struct {
	waiters []*waiter
	passed  float64 // virtual time: starts so far by weight
}

// Gate is the queue before one service.
type Gate struct {
	mu      sync.Mutex
	urgent  []*waiter
	queues  map[string]*queue
	waiting int
	now     float64 // virtual time of the last start
	starts  startRate
}

// New returns a gate with an empty queue.
func New() *Gate {
	return &Gate{queues: make(map[string]*queue)}
}

// Acquire waits until the request's Try returns true. It returns a fault when
// the deadline passes or would pass.
func (g *Gate) Acquire(ctx context.Context, r Request) error {
	w, err := g.enter(r, time.Now())
	if err != nil || w == nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return g.giveUp(w)
	}
}

// enter returns no waiter when the request may start at once.
func (g *Gate) enter(r Request, now time.Time) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if (r.Urgent || g.waiting == 0) && r.Try() {
		return nil, nil
	}
	wait := g.expectedWait(r.Organisation, now)
	left := time.Duration(waitMargin * float64(r.Deadline.Sub(now)))
	if !r.Urgent && (g.waiting >= maxQueue || wait > left) {
		return nil, refuse(now.Add(max(wait, time.Second)))
	}
	w := &waiter{request: r, granted: make(chan struct{})}
	g.waiting++
	if r.Urgent {
		g.urgent = append(g.urgent, w)
		return w, nil
	}
	g.join(w)
	return w, nil
}

func refuse(at time.Time) error {
	return fault.Newf(fault.Overloaded, "queue", "", "no server is free in time").WithRetry(at)
}

func (g *Gate) join(w *waiter) {
	q := g.queues[w.request.Organisation]
	if q == nil {
		q = &queue{}
		g.queues[w.request.Organisation] = q
	}
	if len(q.waiters) == 0 {
		q.passed = max(q.passed, g.now)
	}
	q.waiters = append(q.waiters, w)
}

// expectedWait guesses how long a new request of an organisation waits.
func (g *Gate) expectedWait(organisation string, now time.Time) time.Duration {
	ahead := 0
	if q := g.queues[organisation]; q != nil {
		ahead = len(q.waiters)
	}
	active := 0
	for _, q := range g.queues {
		if len(q.waiters) > 0 {
			active++
		}
	}
	return time.Duration(float64((ahead+1)*max(active, 1)) * float64(g.starts.interval(now)))
}

func (g *Gate) giveUp(w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	default:
	}
	g.remove(w)
	now := time.Now()
	return refuse(now.Add(max(g.expectedWait(w.request.Organisation, now), time.Second)))
}

func (g *Gate) remove(w *waiter) {
	g.waiting--
	if w.request.Urgent {
		g.urgent = without(g.urgent, w)
		return
	}
	q := g.queues[w.request.Organisation]
	q.waiters = without(q.waiters, w)
	g.forgetIdle()
}

func without(all []*waiter, w *waiter) []*waiter {
	for i, x := range all {
		if x == w {
			return append(all[:i:i], all[i+1:]...)
		}
	}
	return all
}

// forgetIdle drops the queues of organisations once nobody waits.
func (g *Gate) forgetIdle() {
	if g.waiting == 0 {
		clear(g.queues)
		g.now = 0
		g.starts = startRate{}
	}
}

// Wake starts the waiting requests for which there is room now.
func (g *Gate) Wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wakeUrgent()
	for g.waiting > 0 && g.startNext() {
		g.starts.count(time.Now())
	}
	g.forgetIdle()
}

func (g *Gate) wakeUrgent() {
	var left []*waiter
	for _, w := range g.urgent {
		if !w.request.Try() {
			left = append(left, w)
			continue
		}
		g.waiting--
		close(w.granted)
	}
	g.urgent = left
}

// startNext starts the first request of the organisation that is furthest
// behind its share. When that one doesn't fit, the next organisation is tried.
func (g *Gate) startNext() bool {
	tried := make(map[*queue]bool)
	for {
		q := g.furthestBehind(tried)
		if q == nil {
			return false
		}
		w := q.waiters[0]
		if w.request.Try() {
			g.grant(q, w)
			return true
		}
		tried[q] = true
	}
}

func (g *Gate) furthestBehind(tried map[*queue]bool) *queue {
	var best *queue
	for _, q := range g.queues {
		if len(q.waiters) == 0 || tried[q] {
			continue
		}
		if best == nil || q.passed < best.passed {
			best = q
		}
	}
	return best
}

func (g *Gate) grant(q *queue, w *waiter) {
	q.waiters = q.waiters[1:]
	g.now = q.passed
	q.passed += 1 / float64(max(w.request.Weight, 1))
	g.waiting--
	close(w.granted)
}

// Waiting returns the number of requests in the queue.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}
