package membership

import "time"

func nodeName(n Node) string { return n.Name }

// Candidates returns the candidate nodes of a region for storing the answer id, in
// rendezvous order. There are some in each data centre, so that the loss of one
// data centre leaves others. Dead and leaving nodes are included, so that nodes
// with different views of who is alive agree on more candidates.
func (t *Table) Candidates(region, id string) []Node {
	all := t.filter(func(s *nodeState) bool { return s.node.Region == region })
	perDataCentre := make(map[string]int)
	var candidates []Node
	for _, n := range RendezvousOrder(all, nodeName, id) {
		if perDataCentre[n.DataCentre] == candidatesPerDataCentre {
			continue
		}
		perDataCentre[n.DataCentre]++
		candidates = append(candidates, n)
	}
	return candidates
}

// Replicas returns the nodes to ask to store a copy of the answer id, most
// preferred first: live candidates in other data centres of the region, then live
// candidates in this data centre, then any other live node of this data centre.
func (t *Table) Replicas(id string, now time.Time) []Node {
	var other, same []Node
	chosen := make(map[string]bool)
	for _, n := range t.Candidates(t.self.Region, id) {
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
	for _, n := range RendezvousOrder(t.LocalLive(now), nodeName, id) {
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
	var regions []string
	seen := map[string]bool{t.self.Region: true}
	for _, n := range t.Nodes() {
		if seen[n.Region] {
			continue
		}
		seen[n.Region] = true
		regions = append(regions, n.Region)
	}
	return regions
}

// HeartbeatTargets returns the nodes that this node sends heartbeats to: all other
// nodes of its data centre and a few of each other data centre.
func (t *Table) HeartbeatTargets() []Node {
	targets := t.LocalPeers()
	others := t.filter(func(s *nodeState) bool { return s.node.DataCentre != t.self.DataCentre })
	perDataCentre := make(map[string]int)
	for _, n := range RendezvousOrder(others, nodeName, t.self.Name) {
		if perDataCentre[n.DataCentre] == heartbeatsPerDataCentre {
			continue
		}
		perDataCentre[n.DataCentre]++
		targets = append(targets, n)
	}
	return targets
}

// TaskLeader returns the live node that runs a task on behalf of all data centres: the
// first one in the rendezvous order of the task's key.
func (t *Table) TaskLeader(key string, now time.Time) string {
	for _, n := range RendezvousOrder(t.Nodes(), nodeName, key) {
		if t.usable(n.Name, now) {
			return n.Name
		}
	}
	return t.self.Name
}

const heartbeatsPerDataCentre = 2

// IsTaskOwner reports whether this node is one of the first count live nodes of its data
// centre in the rendezvous order of key. Those nodes run the task named by key on
// behalf of the whole data centre.
func (t *Table) IsTaskOwner(key string, count int, now time.Time) bool {
	for i, n := range RendezvousOrder(t.LocalLive(now), nodeName, key) {
		if i == count {
			return false
		}
		if n.Name == t.self.Name {
			return true
		}
	}
	return false
}
