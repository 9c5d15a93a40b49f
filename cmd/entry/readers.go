package entry

import (
	"time"
)

const (
	// readAfter is the age of what other nodes tell from which on the second node of
	// a data centre asks the store itself. Each further one waits readEach longer, as
	// all of them at once would be thousands of calls in a minute's outage. readOn is
	// how long it then goes on.
	readAfter = 1800 * time.Millisecond
	readEach  = 250 * time.Millisecond
	readOn    = time.Second
	// lookWait is how long after its start a node waits for the list of the others
	// before it asks the store a second time.
	lookWait = 300 * time.Millisecond
)

// reads tells whether this node asks the store: the first live one of each data
// centre does, and the others, one after the other, when they aren't told enough.
func (n *Node) reads() bool {
	now := time.Now()
	up := uptime()
	if !n.looked.Load() && up-n.started < lookWait {
		return false
	}
	age := n.beliefAge(up)
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	before := n.readersBefore(now)
	if age > readAfter+time.Duration(before-1)*readEach {
		n.peers.readTill = now.Add(readOn)
	}
	return before == 0 || now.Before(n.peers.readTill) || n.draining.Load()
}

// readersBefore counts the live nodes of this data centre that ask the store before
// this one does. Where there are many, those that were just read of count as live, as
// all that start together would ask else.
func (n *Node) readersBefore(now time.Time) int {
	before := 0
	for _, p := range n.peers.all {
		if p.host.DataCentre != n.settings.place.DataCentre || p.host.Name > n.settings.name || p.news.Leaving {
			continue
		}
		if now.Sub(p.heard) < liveWithin || n.many() && now.Sub(p.since) < liveWithin {
			before++
		}
	}
	return before
}

// beliefAge is how long ago what this node believes was proved. Before the operator
// has written a configuration, that of the servers counts.
func (n *Node) beliefAge(up time.Duration) time.Duration {
	configuration, servers := n.configurationFact(up), n.registry.fact(up)
	switch {
	case !servers.Known:
		return up - n.started
	case configuration.Known:
		return max(configuration.Age, servers.Age)
	default:
		return servers.Age
	}
}
