package streamversion

import (
	"context"
	"sync"
	"time"
)

// refreshTimeout limits how long a stream waits for a refresh once that may begin.
const refreshTimeout = 500 * time.Millisecond

// refresher asks the peers to refresh what is known of versions, once for all streams that wait.
type refresher struct {
	mu      sync.Mutex
	next    *refresh // has yet to begin, nil if none is wanted
	begunAt time.Time
}

type refresh struct {
	done chan struct{}
	ok   bool
}

// await waits for a refresh that begins after the call and reports whether it succeeded.
func (r *refresher) await(ctx context.Context, p Peers) bool {
	interval := p.RefreshInterval()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(interval+refreshTimeout))
	defer cancel()
	x := r.join(p, interval)
	select {
	case <-x.done:
		return x.ok
	case <-ctx.Done():
		return false
	}
}

// join returns the next refresh.
func (r *refresher) join(p Peers, interval time.Duration) *refresh {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &refresh{done: make(chan struct{})}
		time.AfterFunc(time.Until(r.begunAt.Add(interval)), func() { r.run(p) })
	}
	return r.next
}

func (r *refresher) run(p Peers) {
	now := time.Now()
	r.mu.Lock()
	x := r.next
	r.next, r.begunAt = nil, now
	r.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(refreshTimeout))
	defer cancel()
	x.ok = p.Refresh(ctx)
	close(x.done)
}

// Only returns the version of a service if it has had no other one for as long as streams last.
// A node that is out of step would take the version that it knows for the only one, so that
// the versions are refreshed first.
func (x *Index) Only(ctx context.Context, service string) (string, bool) {
	version, found := x.only(service)
	if !found || x.peers == nil {
		return version, found
	}
	if !x.refresher.await(ctx, x.peers) {
		return "", false
	}
	return x.only(service)
}
