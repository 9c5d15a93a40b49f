package membership

import "time"

func nodeName(n Node) string { return n.Name }

// Homes returns the nodes of a region that may keep the answer id, in
// rendezvous order: some of each data centre, so that a lost one leaves others.
// Dead and leaving nodes are included; views that differ so agree on more.
func (t *Table) Homes(region, id string) []Node {
	all := t.choose(func(s *state) bool { return s.node.Region == region })
	count := make(map[string]int)
	var homes []Node
	for _, n := range Rank(all, nodeName, id) {
		if count[n.DataCentre] == homesPerDataCentre {
			continue
		}
		count[n.DataCentre]++
		homes = append(homes, n)
	}
	return homes
}

// Replicas returns the nodes to ask for keeping a copy of the answer id, best
// first: live homes in another data centre of the region, then live homes in
// this one, then any live node of this data centre.
func (t *Table) Replicas(id string, now time.Time) []Node {
	var other, same []Node
	chosen := make(map[string]bool)
	for _, n := range t.Homes(t.self.Region, id) {
		if n.Name == t.self.Name || !t.usable(n.Name, now) {
			continue
		}
		chosen[n.Name] = true
		if n.DataCentre == t.self.DataCentre {
			same = append(same, n)
			continue
		}
		other = append(other, n)
	}
	all := append(other, same...)
	for _, n := range Rank(t.LiveHere(now), nodeName, id) {
		if n.Name != t.self.Name && !chosen[n.Name] {
			all = append(all, n)
		}
	}
	return all
}

func (t *Table) usable(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.all[name]
	return found && t.alive(s, now) && !s.leaving
}

// Regions returns the names of the other regions that have nodes.
func (t *Table) Regions() []string {
	var all []string
	seen := map[string]bool{t.self.Region: true}
	for _, n := range t.Nodes() {
		if seen[n.Region] {
			continue
		}
		seen[n.Region] = true
		all = append(all, n.Region)
	}
	return all
}

// HeartbeatTargets returns the nodes that the node sends heartbeats to: all
// others of its data centre, and a few of each other one.
func (t *Table) HeartbeatTargets() []Node {
	targets := t.Neighbours()
	others := t.choose(func(s *state) bool { return s.node.DataCentre != t.self.DataCentre })
	count := make(map[string]int)
	for _, n := range Rank(others, nodeName, t.self.Name) {
		if count[n.DataCentre] == heartbeatsPerDataCentre {
			continue
		}
		count[n.DataCentre]++
		targets = append(targets, n)
	}
	return targets
}

// First returns the live node that does a task for all data centres: the first in
// the rendezvous order of the task's name.
func (t *Table) First(key string, now time.Time) string {
	for _, n := range Rank(t.Nodes(), nodeName, key) {
		if t.usable(n.Name, now) {
			return n.Name
		}
	}
	return t.self.Name
}

const heartbeatsPerDataCentre = 2

// Owns tells whether the node is among the first count live nodes of its data
// centre in the rendezvous order of key, and so does what one or two nodes of a
// data centre do for all.
func (t *Table) Owns(key string, count int, now time.Time) bool {
	for i, n := range Rank(t.LiveHere(now), nodeName, key) {
		if i == count {
			return false
		}
		if n.Name == t.self.Name {
			return true
		}
	}
	return false
}
