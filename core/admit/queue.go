// Package admit implements admission control. A request starts immediately if there
// is capacity and otherwise waits in a queue that is weighted-fair between
// organisations. A request that isn't expected to start well before its deadline is
// refused immediately. The package also limits the number of concurrent requests
// and the request rate of each organisation.
//
// # Usage
//
//	q := admit.New()
//	err := q.Acquire(ctx, admit.Request{...})   // nil: TryAcquire returned true
//	...
//	q.Dispatch()                                // when capacity is released
package admit

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/fault"
)

// maxQueueLength is the maximum number of requests that wait for one service on a node.
const maxQueueLength = 20000

// rateTimeConstant is the time constant of the moving average of the start rate.
const rateTimeConstant = 2 * time.Second

// maxWaitFraction is the maximum expected wait of a request, as a fraction of the time
// until its deadline. The rest allows for errors of the estimate.
const maxWaitFraction = 0.75

// Request is a request for admission.
type Request struct {
	Organisation string
	Weight       int
	Deadline     time.Time
	// TryAcquire acquires the resources that the request needs and reports whether it
	// did. It is called with the lock of the queue held.
	TryAcquire func() bool
	// Urgent marks a request that has already started. It is never refused on entry
	// and starts before all others.
	Urgent bool
}

type waiter struct {
	request Request
	granted chan struct{}
}

type organisationQueue struct {
	waiters  []*waiter
	startTag float64 // of the first waiter; advances by 1/weight with each start
}

// Queue is the admission queue of one service. It applies start-time fair queueing
// between organisations, where each request has a cost of 1/weight.
type Queue struct {
	mu          sync.Mutex
	urgent      []*waiter
	queues      map[string]*organisationQueue
	waiting     int
	virtualTime float64 // start tag of the request that was started last
	starts      startRate
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{queues: make(map[string]*organisationQueue)}
}

// Acquire waits until the request's TryAcquire returns true. It returns a fault when the
// deadline passes, or immediately if the request isn't expected to start in time.
func (g *Queue) Acquire(ctx context.Context, r Request) error {
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
		return g.cancelWait(w)
	}
}

// enter starts the request or queues it. It returns no waiter if the request has
// started.
func (g *Queue) enter(r Request, now time.Time) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if (r.Urgent || g.waiting == 0) && r.TryAcquire() {
		return nil, nil
	}
	wait := g.expectedWait(r.Organisation, now)
	maxWait := time.Duration(maxWaitFraction * float64(r.Deadline.Sub(now)))
	if !r.Urgent && (g.waiting >= maxQueueLength || wait > maxWait) {
		return nil, overloaded(now.Add(max(wait, time.Second)))
	}
	w := &waiter{request: r, granted: make(chan struct{})}
	g.waiting++
	if r.Urgent {
		g.urgent = append(g.urgent, w)
		return w, nil
	}
	g.enqueue(w)
	return w, nil
}

func overloaded(at time.Time) error {
	return fault.Newf(fault.Overloaded, "queue", "", "no server available before the deadline of the request").WithRetryAt(at)
}

// enqueue appends the waiter to the queue of its organisation. A queue that was empty
// continues from the current virtual time, so that it earns no credit while idle.
func (g *Queue) enqueue(w *waiter) {
	q := g.queues[w.request.Organisation]
	if q == nil {
		q = &organisationQueue{}
		g.queues[w.request.Organisation] = q
	}
	if len(q.waiters) == 0 {
		q.startTag = max(q.startTag, g.virtualTime)
	}
	q.waiters = append(q.waiters, w)
}

// expectedWait estimates how long a new request of an organisation waits.
func (g *Queue) expectedWait(organisation string, now time.Time) time.Duration {
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
	return time.Duration(float64((ahead+1)*max(active, 1)) * float64(g.starts.meanInterval(now)))
}

// cancelWait removes a waiter whose context has ended and returns a fault, or nil if the
// request was granted in the meantime.
func (g *Queue) cancelWait(w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	default:
	}
	g.remove(w)
	now := time.Now()
	return overloaded(now.Add(max(g.expectedWait(w.request.Organisation, now), time.Second)))
}

func (g *Queue) remove(w *waiter) {
	g.waiting--
	if w.request.Urgent {
		g.urgent = removeWaiter(g.urgent, w)
		return
	}
	q := g.queues[w.request.Organisation]
	q.waiters = removeWaiter(q.waiters, w)
	g.resetIfIdle()
}

func removeWaiter(all []*waiter, w *waiter) []*waiter {
	for i, x := range all {
		if x == w {
			return append(all[:i:i], all[i+1:]...)
		}
	}
	return all
}

// resetIfIdle resets the queues, the virtual time and the start rate if no request is
// waiting.
func (g *Queue) resetIfIdle() {
	if g.waiting == 0 {
		clear(g.queues)
		g.virtualTime = 0
		g.starts = startRate{}
	}
}

// Dispatch starts the waiting requests for which there is capacity now.
func (g *Queue) Dispatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startUrgent()
	for g.waiting > 0 && g.startNext() {
		g.starts.record(time.Now())
	}
	g.resetIfIdle()
}

func (g *Queue) startUrgent() {
	var blocked []*waiter
	for _, w := range g.urgent {
		if !w.request.TryAcquire() {
			blocked = append(blocked, w)
			continue
		}
		g.waiting--
		close(w.granted)
	}
	g.urgent = blocked
}

// startNext starts the first request of the organisation with the lowest start
// tag, and reports whether it started one. If the request can't start, the next
// organisation is tried.
func (g *Queue) startNext() bool {
	tried := make(map[*organisationQueue]bool)
	for {
		q := g.nextQueue(tried)
		if q == nil {
			return false
		}
		w := q.waiters[0]
		if w.request.TryAcquire() {
			g.grant(q, w)
			return true
		}
		tried[q] = true
	}
}

// nextQueue returns the non-empty queue with the lowest start tag that has not been tried,
// or nil.
func (g *Queue) nextQueue(tried map[*organisationQueue]bool) *organisationQueue {
	var best *organisationQueue
	for _, q := range g.queues {
		if len(q.waiters) == 0 || tried[q] {
			continue
		}
		if best == nil || q.startTag < best.startTag {
			best = q
		}
	}
	return best
}

func (g *Queue) grant(q *organisationQueue, w *waiter) {
	q.waiters = q.waiters[1:]
	g.virtualTime = q.startTag
	q.startTag += 1 / float64(max(w.request.Weight, 1))
	g.waiting--
	close(w.granted)
}

// Len returns the number of waiting requests.
func (g *Queue) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}
