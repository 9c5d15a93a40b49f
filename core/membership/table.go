// Package membership tracks the nodes of the cluster as seen from one node: which
// nodes are listed, alive or leaving, and which of them store copies of an answer.
//
// # Usage
//
//	t := membership.New(self)
//	t.SetListed(nodes, now)                          // from the platform's host list
//	t.RecordHeartbeat(name, revision, leaving, now)  // for each heartbeat and each reply to one
//	for _, n := range t.Candidates(region, id) { ... }
package membership

import (
	"sort"
	"sync"
	"time"
)

// Node is an entry host as the platform lists it.
type Node struct {
	Name       string
	DataCentre string
	Region     string
	Address    string // of the peer listener, IP address and port
	Leaving    bool
}

// SuspectAfter is how long a node of the same data centre may go without a
// heartbeat or a reply before it counts as dead.
const SuspectAfter = 2500 * time.Millisecond

// candidatesPerDataCentre is the number of candidate nodes for storing an answer in
// each data centre of the region.
const candidatesPerDataCentre = 2

// unlistedRetention is how long a node that is missing from the host list is kept
// after the last contact with it, since the list may lag behind.
const unlistedRetention = 10 * time.Second

// failedRetryDelay is how long a node counts as dead after a failed call, unless it
// makes contact earlier.
const failedRetryDelay = 5 * time.Second

type nodeState struct {
	node        Node
	lastContact time.Time
	failed      time.Time
	listed      time.Time
	revision    uint64
	leaving     bool
}

// Table holds one node's view of the cluster.
type Table struct {
	self Node
	mu   sync.Mutex
	all  map[string]*nodeState
}

// New returns a table that contains only the node itself.
func New(self Node) *Table {
	t := &Table{self: self, all: make(map[string]*nodeState)}
	t.all[self.Name] = &nodeState{node: self, listed: time.Now()}
	return t
}

// Self returns the node itself.
func (t *Table) Self() Node { return t.self }

// SetListed applies the platform's host list. Nodes that are not on it are removed,
// unless there was contact with them within unlistedRetention.
func (t *Table) SetListed(nodes []Node, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(nodes))
	for _, n := range nodes {
		listed[n.Name] = true
		t.put(n, now)
	}
	for name := range t.all {
		if !listed[name] && name != t.self.Name && now.Sub(t.all[name].lastContact) > unlistedRetention {
			delete(t.all, name)
		}
	}
}

// Add adds a node that is not on the host list yet. A known node or one without an
// address is ignored.
func (t *Table) Add(n Node, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, found := t.all[n.Name]; !found && n.Address != "" {
		t.put(n, now)
	}
}

func (t *Table) put(n Node, now time.Time) {
	if n.Name == t.self.Name {
		return
	}
	s, found := t.all[n.Name]
	if !found {
		t.all[n.Name] = &nodeState{node: n, listed: now, leaving: n.Leaving}
		return
	}
	if s.node.Address != n.Address {
		s.failed = time.Time{}
	}
	s.node = n
	s.leaving = s.leaving || n.Leaving
}

// RecordHeartbeat records a heartbeat of a node, or the reply to one, with its configuration
// revision and whether the node is leaving.
func (t *Table) RecordHeartbeat(name string, revision uint64, leaving bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.all[name]
	if !found {
		return
	}
	s.lastContact = now
	s.failed = time.Time{}
	s.revision = max(s.revision, revision)
	s.leaving = leaving || s.node.Leaving
}

// RecordFailure records that a call to a node failed.
func (t *Table) RecordFailure(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.all[name]
	if found && name != t.self.Name {
		s.failed = now
	}
}

// alive reports whether a node counts as alive. Only some nodes receive heartbeats
// from a given node of another data centre, so such a node counts as alive unless a
// call to it has failed lately.
func (t *Table) alive(s *nodeState, now time.Time) bool {
	if s.node.Name == t.self.Name {
		return true
	}
	if !s.failed.IsZero() && now.Sub(s.failed) < failedRetryDelay {
		return false
	}
	if s.node.DataCentre != t.self.DataCentre {
		return true
	}
	last := s.lastContact
	if s.listed.After(last) {
		last = s.listed
	}
	return now.Sub(last) < SuspectAfter
}

// Alive reports whether a node is known and does not count as dead.
func (t *Table) Alive(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.all[name]
	return found && t.alive(s, now)
}

// Find returns a known node.
func (t *Table) Find(name string) (Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.all[name]
	if !found {
		return Node{}, false
	}
	return s.node, true
}

// Nodes returns all known nodes, this node included, sorted by name.
func (t *Table) Nodes() []Node {
	return t.filter(func(*nodeState) bool { return true })
}

// LocalPeers returns the other nodes of this data centre, including dead ones.
func (t *Table) LocalPeers() []Node {
	return t.filter(func(s *nodeState) bool {
		return s.node.DataCentre == t.self.DataCentre && s.node.Name != t.self.Name
	})
}

// LocalLive returns the live nodes of this data centre that are not leaving, this
// node included.
func (t *Table) LocalLive(now time.Time) []Node {
	return t.filter(func(s *nodeState) bool {
		return s.node.DataCentre == t.self.DataCentre && t.alive(s, now) && !s.leaving
	})
}

// AcceptingCount returns the number of nodes that accept requests as far as is known,
// but at least 1.
func (t *Table) AcceptingCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.all {
		if t.alive(s, now) && !s.leaving {
			n++
		}
	}
	return max(n, 1)
}

func (t *Table) filter(keep func(*nodeState) bool) []Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Node
	for _, s := range t.all {
		if keep(s) {
			all = append(all, s.node)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Status is the state of one node as shown to operators.
type Status struct {
	Node        Node
	Alive       bool
	Leaving     bool
	Revision    uint64
	LastContact time.Time
}

// Statuses returns the state of each known node, sorted by name.
func (t *Table) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Status
	for _, s := range t.all {
		all = append(all, Status{Node: s.node, Alive: t.alive(s, now), Leaving: s.leaving, Revision: s.revision, LastContact: s.lastContact})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Node.Name < all[j].Node.Name })
	return all
}

// RecordSuccess records that a call to a node was answered.
func (t *Table) RecordSuccess(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.all[name]
	if !found {
		return
	}
	s.lastContact = now
	s.failed = time.Time{}
}
