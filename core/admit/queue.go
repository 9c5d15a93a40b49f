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
func (q *Queue) Acquire(ctx context.Context, r Request) error {
	w, err := q.enter(r, time.Now())
	if err != nil || w == nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return q.cancelWait(w)
	}
}

// enter starts the request or queues it. It returns no waiter if the request has
// started.
func (q *Queue) enter(r Request, now time.Time) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if (r.Urgent || q.waiting == 0) && r.TryAcquire() {
		return nil, nil
	}
	wait := q.expectedWait(r.Organisation, now)
	maxWait := time.Duration(maxWaitFraction * float64(r.Deadline.Sub(now)))
	if !r.Urgent && (q.waiting >= maxQueueLength || wait > maxWait) {
		return nil, overloaded(now.Add(max(wait, time.Second)))
	}
	w := &waiter{request: r, granted: make(chan struct{})}
	q.waiting++
	if r.Urgent {
		q.urgent = append(q.urgent, w)
		return w, nil
	}
	q.enqueue(w)
	return w, nil
}

func overloaded(at time.Time) error {
	return fault.Newf(fault.Overloaded, "queue", "", "no server available before the deadline of the request").WithRetryAt(at)
}

// enqueue appends the waiter to the queue of its organisation. A queue that was empty
// continues from the current virtual time, so that it earns no credit while idle.
func (q *Queue) enqueue(w *waiter) {
	o := q.queues[w.request.Organisation]
	if o == nil {
		o = &organisationQueue{}
		q.queues[w.request.Organisation] = o
	}
	if len(o.waiters) == 0 {
		o.startTag = max(o.startTag, q.virtualTime)
	}
	o.waiters = append(o.waiters, w)
}

// expectedWait estimates how long a new request of an organisation waits.
func (q *Queue) expectedWait(organisation string, now time.Time) time.Duration {
	ahead := 0
	if o := q.queues[organisation]; o != nil {
		ahead = len(o.waiters)
	}
	active := 0
	for _, o := range q.queues {
		if len(o.waiters) > 0 {
			active++
		}
	}
	return time.Duration(float64((ahead+1)*max(active, 1)) * float64(q.starts.meanInterval(now)))
}

// cancelWait removes a waiter whose context has ended and returns a fault, or nil if the
// request was granted in the meantime.
func (q *Queue) cancelWait(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	default:
	}
	q.remove(w)
	now := time.Now()
	return overloaded(now.Add(max(q.expectedWait(w.request.Organisation, now), time.Second)))
}

func (q *Queue) remove(w *waiter) {
	q.waiting--
	if w.request.Urgent {
		q.urgent = removeWaiter(q.urgent, w)
		return
	}
	o := q.queues[w.request.Organisation]
	o.waiters = removeWaiter(o.waiters, w)
	q.resetIfIdle()
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
func (q *Queue) resetIfIdle() {
	if q.waiting == 0 {
		clear(q.queues)
		q.virtualTime = 0
		q.starts = startRate{}
	}
}

// Dispatch starts the waiting requests for which there is capacity now.
func (q *Queue) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startUrgent()
	for q.waiting > 0 && q.startNext() {
		q.starts.record(time.Now())
	}
	q.resetIfIdle()
}

func (q *Queue) startUrgent() {
	var blocked []*waiter
	for _, w := range q.urgent {
		if !w.request.TryAcquire() {
			blocked = append(blocked, w)
			continue
		}
		q.waiting--
		close(w.granted)
	}
	q.urgent = blocked
}

// startNext starts the first request of the organisation with the lowest start
// tag, and reports whether it started one. If the request can't start, the next
// organisation is tried.
func (q *Queue) startNext() bool {
	tried := make(map[*organisationQueue]bool)
	for {
		o := q.nextQueue(tried)
		if o == nil {
			return false
		}
		w := o.waiters[0]
		if w.request.TryAcquire() {
			q.grant(o, w)
			return true
		}
		tried[o] = true
	}
}

// nextQueue returns the non-empty queue with the lowest start tag that has not been tried,
// or nil.
func (q *Queue) nextQueue(tried map[*organisationQueue]bool) *organisationQueue {
	var best *organisationQueue
	for _, o := range q.queues {
		if len(o.waiters) == 0 || tried[o] {
			continue
		}
		if best == nil || o.startTag < best.startTag {
			best = o
		}
	}
	return best
}

func (q *Queue) grant(o *organisationQueue, w *waiter) {
	o.waiters = o.waiters[1:]
	q.virtualTime = o.startTag
	o.startTag += 1 / float64(max(w.request.Weight, 1))
	q.waiting--
	close(w.granted)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}
