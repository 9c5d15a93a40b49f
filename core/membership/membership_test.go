package membership_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/membership"
)

func node(i, dataCentres int) membership.Node {
	dc := i % dataCentres
	return membership.Node{Name: fmt.Sprint("n", i), DataCentre: fmt.Sprint("dc", dc), Region: fmt.Sprint("r", dc/4), Address: fmt.Sprint("10.0.0.1:", i)}
}

// largeCluster returns the table of node self in a cluster of 410 nodes in 7 data
// centres of 2 regions, and all its nodes.
func largeCluster(self int) (*membership.Table, []membership.Node) {
	var all []membership.Node
	for i := range 410 {
		all = append(all, node(i, 7))
	}
	t := membership.New(all[self])
	t.SetListed(all, time.Now())
	return t, all
}

// All nodes of a region compute the same candidates for an answer, with the same
// number in each data centre. The first replica is in another data centre of the
// region, and no node is the replica of many more answers than average.
func TestCandidates(t *testing.T) {
	a, all := largeCluster(0)
	b, _ := largeCluster(5)
	count := make(map[string]int)
	const answers = 2000
	for i := range answers {
		id := fmt.Sprint("answer-", i)
		candidates := a.Candidates("r0", id)
		other := b.Candidates("r0", id)
		if len(candidates) != 8 {
			t.Fatalf("%d candidates", len(candidates))
		}
		for j, n := range candidates {
			if other[j].Name != n.Name {
				t.Fatalf("two nodes disagree on the candidates of %s", id)
			}
		}
		r := a.Replicas(id, time.Now())[0]
		if r.DataCentre == all[0].DataCentre || r.Region != all[0].Region {
			t.Fatalf("the replica is in %s", r.DataCentre)
		}
		count[r.Name]++
	}
	for name, n := range count {
		if n > 5*answers/(len(all)/7*3) {
			t.Errorf("%s is replica of %d answers", name, n)
		}
	}
}

func TestLiveness(t *testing.T) {
	self := node(0, 2)
	near, far := node(2, 2), node(1, 2)
	now := time.Now()
	x := membership.New(self)
	x.SetListed([]membership.Node{self, near, far}, now)
	check := func(step string, name string, want bool) {
		t.Helper()
		if x.Alive(name, now) != want {
			t.Errorf("%s: %s alive is %v", step, name, !want)
		}
	}
	check("listed", near.Name, true)
	now = now.Add(membership.SuspectAfter + time.Millisecond)
	check("no heartbeat", near.Name, false)
	check("no heartbeat from another data centre", far.Name, true)
	x.RecordHeartbeat(near.Name, 3, false, now)
	check("after a heartbeat", near.Name, true)
	x.RecordFailure(far.Name, now)
	check("after a failed call", far.Name, false)
	check("after a failed call, checked again", far.Name, false)
	now = now.Add(10 * time.Second)
	check("10 s after a failed call", far.Name, true)
	x.SetListed([]membership.Node{self, far}, now.Add(time.Minute))
	check("no longer listed", near.Name, false)
}

// Exactly two of the nodes of a data centre own a task for which two owners are
// requested.
func TestIsTaskOwner(t *testing.T) {
	now := time.Now()
	owners := 0
	for i := 0; i < 410; i += 7 {
		x, _ := largeCluster(i)
		if x.IsTaskOwner("config", 2, now) {
			owners++
		}
	}
	if owners != 2 {
		t.Errorf("%d nodes own the task", owners)
	}
}

// The number of heartbeat targets grows with the size of the data centre, not of
// the whole cluster: 58 nodes of the same one and 2 of each of the 6 others.
func TestHeartbeatTargets(t *testing.T) {
	x, _ := largeCluster(0)
	if n := len(x.HeartbeatTargets()); n != 58+2*6 {
		t.Errorf("%d targets", n)
	}
}
