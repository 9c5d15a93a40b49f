// Package membership holds what a node knows about the other nodes: who is
// listed, who is heard from, who leaves, and who keeps the copies of an answer.
//
// # Usage
//
//	t := membership.New(self)
//	t.SetListed(nodes)                 // from the platform's host list
//	t.Heard(name, revision, now)       // for each heartbeat or answer
//	for _, n := range t.Homes(id, now) { ... }
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
	Address    string // of the listener for peers, IP number and port
	Leaving    bool
}

// SuspectAfter is how long a node of the same data centre may be silent before
// it counts as dead.
const SuspectAfter = 2500 * time.Millisecond

// homesPerDataCentre is the number of nodes of each data centre of the region
// that may keep a given answer.
const homesPerDataCentre = 2

// forgetAfter is how long a node that is not listed stays known after it was heard
// from: the list lags.
const forgetAfter = 10 * time.Second

// retryFailedAfter is how long a node counts as dead after a failed call, unless
// it is heard from before.
const retryFailedAfter = 5 * time.Second

type state struct {
	node     Node
	heard    time.Time
	failed   time.Time
	listed   time.Time
	revision uint64
	leaving  bool
}

// Table is a node's knowledge of the others.
type Table struct {
	self Node
	mu   sync.Mutex
	all  map[string]*state
}

// New returns a table that knows only the node itself.
func New(self Node) *Table {
	t := &Table{self: self, all: make(map[string]*state)}
	t.all[self.Name] = &state{node: self, listed: time.Now()}
	return t
}

// Self returns the node itself.
func (t *Table) Self() Node { return t.self }

// SetListed takes over the platform's list. Nodes that are no longer listed are
// forgotten, unless they are heard from.
func (t *Table) SetListed(nodes []Node, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(nodes))
	for _, n := range nodes {
		listed[n.Name] = true
		t.put(n, now)
	}
	for name := range t.all {
		if !listed[name] && name != t.self.Name && now.Sub(t.all[name].heard) > forgetAfter {
			delete(t.all, name)
		}
	}
}

// Add makes a node known that is not on the list yet.
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
		t.all[n.Name] = &state{node: n, listed: now, leaving: n.Leaving}
		return
	}
	if s.node.Address != n.Address {
		s.failed = time.Time{}
	}
	s.node = n
	s.leaving = s.leaving || n.Leaving
}

// Heard notes a sign of life.
func (t *Table) Heard(name string, revision uint64, leaving bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.all[name]
	if !found {
		return
	}
	s.heard = now
	s.failed = time.Time{}
	s.revision = max(s.revision, revision)
	s.leaving = leaving || s.node.Leaving
}

// Failed notes that a call to a node failed.
func (t *Table) Failed(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.all[name]
	if found && name != t.self.Name {
		s.failed = now
	}
}

// alive is optimistic about nodes of other data centres, from which only some
// nodes hear: a failed call is what tells.
func (t *Table) alive(s *state, now time.Time) bool {
	if s.node.Name == t.self.Name {
		return true
	}
	if !s.failed.IsZero() && now.Sub(s.failed) < retryFailedAfter {
		return false
	}
	if s.node.DataCentre != t.self.DataCentre {
		return true
	}
	last := s.heard
	if s.listed.After(last) {
		last = s.listed
	}
	return now.Sub(last) < SuspectAfter
}

// Alive tells whether a node is listed and not known to be dead.
func (t *Table) Alive(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.all[name]
	return found && t.alive(s, now)
}

// Find returns a listed node.
func (t *Table) Find(name string) (Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.all[name]
	if !found {
		return Node{}, false
	}
	return s.node, true
}

// Nodes returns the listed nodes, itself included, in the order of their names.
func (t *Table) Nodes() []Node {
	return t.choose(func(*state) bool { return true })
}

// Neighbours returns the other nodes of the data centre, dead ones included.
func (t *Table) Neighbours() []Node {
	return t.choose(func(s *state) bool {
		return s.node.DataCentre == t.self.DataCentre && s.node.Name != t.self.Name
	})
}

// LiveHere returns the live nodes of the data centre, itself included.
func (t *Table) LiveHere(now time.Time) []Node {
	return t.choose(func(s *state) bool {
		return s.node.DataCentre == t.self.DataCentre && t.alive(s, now) && !s.leaving
	})
}

// Accepting returns the number of nodes that take requests as far as is known,
// itself included.
func (t *Table) Accepting(now time.Time) int {
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

func (t *Table) choose(keep func(*state) bool) []Node {
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

// Status is one line of the table for operators.
type Status struct {
	Node     Node
	Alive    bool
	Leaving  bool
	Revision uint64
	Heard    time.Time
}

// Statuses returns what is known about each node.
func (t *Table) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Status
	for _, s := range t.all {
		all = append(all, Status{Node: s.node, Alive: t.alive(s, now), Leaving: s.leaving, Revision: s.revision, Heard: s.heard})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Node.Name < all[j].Node.Name })
	return all
}

// Reached notes that a call to a node was answered.
func (t *Table) Reached(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.all[name]
	if !found {
		return
	}
	s.heard = now
	s.failed = time.Time{}
}
