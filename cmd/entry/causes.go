package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cicadabeam/core/crashcause"
	"cicadabeam/core/records"
	"cicadabeam/io/relay"
)

const (
	// storeAgainInterval is the mean time between two tries to store a cause, and storeAgainFor how
	// long these go on.
	storeAgainInterval = time.Second
	storeAgainFor      = 10 * time.Minute
	// firstCausesTimeout limits the time for which requests wait for the causes that are stored.
	firstCausesTimeout = 500 * time.Millisecond
)

// storedCauses are the causes of crashes that this node has just written to the store.
type storedCauses struct {
	mu  sync.Mutex
	all map[string]storedCause // by name
}

type storedCause struct {
	cause crashcause.StoredCause
	at    time.Duration // uptime
}

// add adds a cause and removes those that each copy of the store has by now.
func (s *storedCauses) add(c crashcause.StoredCause, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[string]storedCause)
	}
	for name, x := range s.all {
		if now-x.at > records.MaxCopyAge {
			delete(s.all, name)
		}
	}
	s.all[c.Name()] = storedCause{cause: c, at: now}
}

// recent returns the causes that an older copy of the store may lack.
func (s *storedCauses) recent(now time.Duration) []crashcause.StoredCause {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []crashcause.StoredCause
	for _, x := range s.all {
		if now-x.at <= records.MaxCopyAge {
			all = append(all, x.cause)
		}
	}
	return all
}

// newest reports whether a cause is the last version that was added.
func (s *storedCauses) newest(c crashcause.StoredCause) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, found := s.all[c.Name()]
	return !found || x.cause.Since <= c.Since && len(x.cause.Remaining) >= len(c.Remaining)
}

// storeCauses stores causes of crashes, so that they outlive all hosts, or removes those that need
// not be known any more.
func (n *Node) storeCauses(all []crashcause.StoredCause) {
	for _, c := range all {
		n.causes.add(c, uptime())
		if !n.storeCause(c) {
			go n.storeAgain(c)
		}
	}
}

// storeCause stores a cause and reports whether the store took it.
func (n *Node) storeCause(c crashcause.StoredCause) bool {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(hostStoreTimeout))
	defer cancel()
	err := n.hosts.PutCause(ctx, c)
	if err != nil {
		n.recorder.Record("crash cause not stored", relay.Fields{"name": c.Name(), "error": err.Error()})
	}
	return err == nil
}

// storeAgain stores a cause once the store takes it, unless there is a newer version.
func (n *Node) storeAgain(c crashcause.StoredCause) {
	until := uptime() + storeAgainFor
	for uptime() < until {
		time.Sleep(storeAgainInterval/2 + rand.N(storeAgainInterval))
		if !n.causes.newest(c) || n.storeCause(c) {
			return
		}
	}
}

// syncWithCauses closes n.synced once the causes of crashes were read, which come with the hosts. A store
// that is back may have told the servers before, and requests that crash them wait at each host.
func (n *Node) syncWithCauses() {
	if n.directory.Freshness(uptime()).Known {
		close(n.synced)
		return
	}
	go func() {
		defer close(n.synced)
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(firstCausesTimeout))
		defer cancel()
		n.listHosts(ctx)
	}()
}

// rewriteCauses writes again, some time after a restore, the causes that the store may have lost.
func (n *Node) rewriteCauses() {
	if all := n.causes.recent(uptime()); len(all) > 0 {
		time.Sleep(rand.N(n.reregistrationWindow()))
		n.storeCauses(all)
	}
}
