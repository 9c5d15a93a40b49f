package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
	"cicadabeam/io/relay"
)

// The store may come back from a copy some seconds old. It then begins a new era: what was
// written since the copy is gone until its writers write it again.
const (
	// rewriteTime is how long the operator has to write again before an unchanged
	// configuration counts as confirmed.
	rewriteTime = reregistrationGrace
	// returnedServerHold is how long after a restore a server gets no requests whose entry
	// was gone and is back with the copy. The platform removes the entries of servers
	// that are silent for three heartbeats.
	returnedServerHold = 6 * time.Second
	// minReregistrationWindow, and reregistrationTimePerNode for each known node, is the
	// time over which the hosts' writes are spread.
	minReregistrationWindow   = time.Second
	reregistrationTimePerNode = 20 * time.Millisecond
	// settleMargin is by how much a query ends after the configuration can be confirmed.
	settleMargin = 20 * time.Millisecond
)

// handleRise records that the store came back from an older copy. It must not block.
func (n *Node) handleRise(r freshness.Rise) {
	n.recorder.Record("store restored", relay.Fields{"old_era": r.Old, "new_era": r.New, "from": r.From})
	n.streamVersions.MarkRestored()
	go n.rewriteCauses()
	select {
	case n.restored <- struct{}{}:
	default:
	}
}

// reregistrationEnd returns the time until which servers may be missing from the store
// because it was unavailable or came back from an older copy. It is used by serverWatcher only.
func (n *Node) reregistrationEnd(now time.Time) time.Time {
	end := n.restoreGraceEnd(now)
	if recoveredAt := n.serverWatcher.recoveredAt; !recoveredAt.IsZero() && recoveredAt.Add(reregistrationGrace).After(end) {
		end = recoveredAt.Add(reregistrationGrace)
	}
	return end
}

// restoreGraceEnd returns the time until which servers may be missing because of a restore,
// now if there was none.
func (n *Node) restoreGraceEnd(now time.Time) time.Time {
	at, risen := n.eras.RisenAt()
	if !risen {
		return now
	}
	return now.Add(max(0, at+reregistrationGrace-uptime()))
}

// enterEra prepares the servers for a list of a newer era than the known one: those that
// have left don't come back because the copy is older.
func (n *Node) enterEra(version freshness.StoreVersion, now time.Time) {
	if known, at := n.serverFreshness.at(); known && version.Era > at.Era {
		n.fleet.HoldDeparted(now, now.Add(returnedServerHold))
	}
}

// fetchMissingServers adds the servers that a peer knows and that have yet to register again.
// A node that has started since the restore finds them in no table.
func (n *Node) fetchMissingServers(p *peer) error {
	x, err := p.client.Servers(freshness.StoreVersion{}, time.Now().Add(fetchTimeout))
	if err != nil {
		n.peers.mu.Lock()
		n.peers.riseMissed = true // the next report of a peer is another occasion
		n.peers.mu.Unlock()
		return err
	}
	n.serversMu.Lock()
	defer n.serversMu.Unlock()
	now := time.Now()
	registerUntil := n.restoreGraceEnd(now)
	for _, c := range x.Changes {
		pending := c.Gone && c.In > 0
		if n.fleet.Knows(c.Server.ID) || c.Gone && !pending || !pending && x.Fact.Era == n.eras.Current() {
			continue
		}
		at := registerUntil // the peer has yet to read the table of this era
		if pending {
			at = now.Add(c.In)
		}
		n.upsertServer(c.Server, x.Fact.At(), p.host.Name)
		n.deregisterServer(c.Server.ID, x.Fact.At(), at)
	}
	return nil
}

// settled reports whether a configuration that the store had at uptime asOf is the newest:
// after a restore, the operator must have had time to write again.
func (n *Node) settled(asOf time.Duration) bool {
	at, risen := n.eras.RisenAt()
	return !risen || asOf >= at+rewriteTime || n.rewrittenIn == n.eras.Current()
}

// confirmStored confirms the configuration in force if the store has it. After a restore,
// the store may have an older one.
func (n *Node) confirmStored(asOf time.Duration) {
	c := n.tracker.Catalog()
	if c == nil || n.configurationInvalid.Load() || !n.settled(asOf) {
		return
	}
	if _, risen := n.eras.RisenAt(); risen && n.storedRevision < c.Revision() {
		return
	}
	n.tracker.Confirm(c.Revision(), asOf)
}

// configurationPollWait returns how long a query for changes of the configuration may wait.
func (n *Node) configurationPollWait() time.Duration {
	wait := n.readTiming().PollWait()
	if at, risen := n.eras.RisenAt(); risen {
		if left := at + rewriteTime + settleMargin - uptime(); left > 0 {
			wait = min(wait, max(left, settleMargin))
		}
	}
	return wait
}

// confirmedSinceRise reports whether a confirmation at uptime at is of the current era.
func (n *Node) confirmedSinceRise(at time.Duration) bool {
	risenAt, risen := n.eras.RisenAt()
	return !risen || at >= risenAt
}

// awaitRestore sleeps until the store comes back from an older copy, or for a time. It
// reports whether this node's row may have been lost.
func (n *Node) awaitRestore(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-n.restored:
		return uptime()-max(n.registeredAt, n.started) < records.MaxCopyAge
	}
	return false
}

// awaitReregistration sleeps for a random part of the time over which the hosts' writes after
// a restore are spread.
func (n *Node) awaitReregistration(ctx context.Context) {
	sleep(ctx, rand.N(n.reregistrationWindow()))
	select {
	case <-n.restored: // another restore in the meantime needs no write of its own
	default:
	}
}

func (n *Node) reregistrationWindow() time.Duration {
	return minReregistrationWindow + time.Duration(n.directory.KnownCount())*reregistrationTimePerNode
}

// hostsReregister reports whether hosts may still be missing from the store because it came
// back from an older copy.
func (n *Node) hostsReregister() bool {
	at, risen := n.eras.RisenAt()
	return risen && uptime() < at+n.reregistrationWindow()+registrationDelay
}
