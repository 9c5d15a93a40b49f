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

// storeCauses stores causes of crashes, so that they outlive all hosts, or removes those that need
// not be known any more.
func (n *Node) storeCauses(all []crashcause.StoredCause) {
	for _, c := range all {
		n.causes.add(c, uptime())
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(hostStoreTimeout))
		err := n.hosts.PutCause(ctx, c)
		cancel()
		if err != nil {
			n.recorder.Record("crash cause not stored", relay.Fields{"name": c.Name(), "error": err.Error()})
		}
	}
}

// rewriteCauses writes again, some time after a restore, the causes that the store may have lost.
func (n *Node) rewriteCauses() {
	if all := n.causes.recent(uptime()); len(all) > 0 {
		time.Sleep(rand.N(n.reregistrationWindow()))
		n.storeCauses(all)
	}
}
