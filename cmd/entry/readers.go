package entry

import (
	"time"
)

const (
	// readTakeoverAge is the age of the state from peers at which the second node of a
	// data centre reads the store itself. Each further node waits readTakeoverStagger
	// longer: all nodes at once would make thousands of calls during an outage of one
	// minute. readTakeoverHold is how long such a node then continues to read.
	readTakeoverAge     = 1800 * time.Millisecond
	readTakeoverStagger = 250 * time.Millisecond
	readTakeoverHold    = time.Second
	// hostListStartupWait is how long after its start a node waits for the host list before
	// it reads the store a second time.
	hostListStartupWait = 300 * time.Millisecond
)

// readsStore reports whether this node is to read the store. In each data centre the live
// node with the lowest name does. Further nodes do, one after another, while the state
// that they get from peers is out of date. A draining node always does.
func (n *Node) readsStore() bool {
	now := time.Now()
	up := uptime()
	if !n.hostListTried.Load() && up-n.started < hostListStartupWait {
		return false
	}
	age := n.stateAge(up)
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	ahead := n.readersAhead(now)
	if age > readTakeoverAge+time.Duration(ahead-1)*readTakeoverStagger {
		n.peers.readUntil = now.Add(readTakeoverHold)
	}
	return ahead == 0 || now.Before(n.peers.readUntil) || n.draining.Load()
}

// readersAhead returns the number of live nodes of this data centre that precede this one
// in reading the store. If there are many nodes, newly listed ones count as live, or else
// all nodes that start at the same time would read.
func (n *Node) readersAhead(now time.Time) int {
	ahead := 0
	for _, p := range n.peers.all {
		if p.host.DataCentre != n.settings.topology.DataCentre || p.host.Name > n.settings.name || p.report.Leaving {
			continue
		}
		if now.Sub(p.reportedAt) < livenessTimeout || n.usesGateways() && now.Sub(p.addedAt) < livenessTimeout {
			ahead++
		}
	}
	return ahead
}

// stateAge returns the time since this node's state was last confirmed. Before the
// operator has written a configuration, only the servers count.
func (n *Node) stateAge(up time.Duration) time.Duration {
	configuration, servers := n.configurationFreshness(up), n.serverFreshness.freshness(up)
	switch {
	case !servers.Known:
		return up - n.started
	case configuration.Known:
		return max(configuration.Age, servers.Age)
	default:
		return servers.Age
	}
}
