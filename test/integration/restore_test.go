package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cicadabeam/test/cluster"
)

// The platform's store comes back from a copy that lacks purchases and a change of the
// configuration. Repeated purchases don't run again, the change stays in force and in the
// audit trail, and the next one is applied.
func TestRestoreOfPlatform(t *testing.T) {
	t.Parallel()
	c := startCluster(t, callLayout)
	must(t, c.CopyPlatform())
	_, err := c.Node(0).Apply(withModel(c, "newer"), 1, "operator")
	must(t, err)
	awaitRevision(t, 2, c.Nodes()...)
	var purchases []*purchase
	for i := range 40 {
		p := &purchase{key: fmt.Sprint("before-", i)}
		purchases = append(purchases, p)
		if r := p.send(testContext(t), c.Node(i%3)); r.Status != http.StatusOK {
			t.Fatalf("%s: status %d, %v", p.key, r.Status, r.Err)
		}
	}
	must(t, c.RestorePlatform())
	for _, p := range purchases {
		deadline := time.Now().Add(10 * time.Second)
		for p.send(testContext(t), c.Node(3)).Status != http.StatusOK && time.Now().Before(deadline) {
			time.Sleep(100 * time.Millisecond)
		}
		if p.last.Status != http.StatusOK {
			t.Errorf("%s: status %d 10 s after the restore, %+v", p.key, p.last.Status, p.last.Failure)
		}
	}
	checkPurchases(t, c, purchases...)
	for _, n := range c.Nodes() {
		if r := n.Revision(); r != 2 {
			t.Errorf("%s: revision %d is in force, not 2", n.Name(), r)
		}
	}
	trail, err := c.Node(3).Audit(10)
	must(t, err)
	if len(trail) != 2 || trail[0].By != "operator" {
		t.Errorf("audit trail: %+v", trail)
	}
	if !cluster.Await(5*time.Second, func() bool { _, err = c.Node(1).Apply(withModel(c, "newest"), 2, "operator"); return err == nil }) {
		t.Fatal(err)
	}
	awaitRevision(t, 3, c.Nodes()...)
}

// The node that had written a change since the copy is gone. The change stays in force, is
// written again by another node, and the audit trail says that its entry is lost.
func TestRestoreAfterLossOfAuthor(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 1})
	must(t, c.CopyPlatform())
	_, err := c.Node(0).Apply(withModel(c, "newer"), 1, "operator")
	must(t, err)
	awaitRevision(t, 2, c.Nodes()...)
	c.Node(0).Kill()
	must(t, c.RestorePlatform())
	if !cluster.Await(10*time.Second, func() bool {
		_, err = c.Node(1).Apply(withModel(c, "newest"), 2, "operator")
		return err == nil
	}) {
		t.Fatal(err)
	}
	awaitRevision(t, 3, c.Nodes()[1:]...)
	trail, err := c.Node(2).Audit(10)
	must(t, err)
	if len(trail) != 3 || trail[1].Revision != 2 || trail[1].By != "" || trail[1].Note == "" {
		t.Errorf("audit trail: %+v", trail)
	}
}
