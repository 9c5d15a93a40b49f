package claim

import "sync"

// callGroup runs calls until it is closed, and waits for those that were started.
type callGroup struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// start runs a call, unless the group is closed. It reports whether it did.
func (g *callGroup) start(call func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running.Go(call)
	return true
}

// closeAndWait lets no further call start and waits until all have ended.
func (g *callGroup) closeAndWait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}
