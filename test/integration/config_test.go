package integration

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fault"
	"cicadabeam/io/operator"
	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/store"
)

// maxActivationDelay is the maximum time until an accepted configuration is in force on
// all connected nodes.
const maxActivationDelay = 7 * time.Second

// awaitRevision waits until a revision or a newer one is in force on the nodes, for
// maxActivationDelay at most.
func awaitRevision(t *testing.T, revision uint64, nodes ...*cluster.Node) {
	t.Helper()
	if cluster.Await(maxActivationDelay, func() bool {
		for _, n := range nodes {
			if n.Revision() < revision {
				return false
			}
		}
		return true
	}) {
		return
	}
	for _, n := range nodes {
		t.Errorf("%s is at revision %d after %v, not %d", n.Name(), n.Revision(), maxActivationDelay, revision)
	}
}

// withModel returns the questionnaire with one more service, so that each name gives
// another configuration.
func withModel(c *cluster.Cluster, name string) string {
	return c.Questionnaire() + fmt.Sprintf("[service extra]\nmodel = %s\n", name)
}

// Operators apply changes to the same base revision through all nodes at once. One change
// is accepted; the others get a conflict that names it.
func TestConcurrentApply(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 1, ProxyNodes: true})
	base := uint64(1)
	for round := range 5 {
		var mu sync.Mutex
		accepted := []string{}
		conflicting := []string{}
		var wg sync.WaitGroup
		for _, n := range c.Nodes() {
			wg.Go(func() {
				by := fmt.Sprintf("%s-%d", n.Name(), round)
				_, err := n.Apply(withModel(c, by), base, by)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					accepted = append(accepted, by)
					return
				}
				var x *operator.Error
				if !errors.As(err, &x) || x.Code() != fault.Conflict || x.ConflictingEntry() == nil {
					t.Errorf("%s: %v", by, err)
					return
				}
				conflicting = append(conflicting, x.ConflictingEntry().By)
			})
		}
		wg.Wait()
		if len(accepted) != 1 || len(conflicting) != 3 {
			t.Fatalf("round %d: %d changes accepted and %d conflicts, want 1 and 3", round, len(accepted), len(conflicting))
		}
		for _, reported := range conflicting {
			if reported != accepted[0] {
				t.Fatalf("a conflict names the change of %s as accepted, not that of %s", reported, accepted[0])
			}
		}
		base++
		awaitRevision(t, base, c.Nodes()...)
	}
	trail, err := c.Node(3).Audit(10)
	must(t, err)
	if len(trail) != 6 || trail[0].Revision != 6 || len(trail[0].Changes) == 0 {
		t.Fatalf("audit trail: %+v", trail)
	}
}

// The response to the write of a change is lost. The change is still reported as accepted
// and appears in the audit trail once.
func TestApplyResponseLost(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{NodesPerDataCentre: 2, EnginesPerDataCentre: 1})
	must(t, c.SetPlatformFaults(store.Faults{LoseAnswers: 2}))
	a, err := c.Node(0).Apply(withModel(c, "lost"), 1, "operator")
	must(t, err)
	if a.Revision != 2 {
		t.Fatalf("revision %d", a.Revision)
	}
	awaitRevision(t, 2, c.Nodes()...)
	trail, err := c.Node(1).Audit(10)
	must(t, err)
	if len(trail) != 2 {
		t.Fatalf("%d entries in the audit trail", len(trail))
	}
}

// A node that starts while the platform is unavailable takes the newest revision of its
// peers.
func TestRestartWhilePlatformUnavailable(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 1})
	_, err := c.Node(0).Apply(withModel(c, "newer"), 1, "operator")
	must(t, err)
	awaitRevision(t, 2, c.Nodes()...)
	must(t, c.SetPlatformFaults(store.Faults{Down: true}))
	c.Node(3).Kill()
	must(t, c.Node(3).Restart())
	if r := c.Node(3).Revision(); r != 2 {
		t.Fatalf("revision %d is in force, not 2", r)
	}
	checkComplete(t, c, c.Node(3).Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=20"}), 20)
}

// A data centre is isolated from the others and from the platform while the configuration
// changes. It applies the changes once the links are restored, and no node ever reverts to
// an older revision.
func TestIsolatedDataCentreCatchesUp(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 1, ProxyNodes: true})
	isolate(t, c, "dc-2")
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	regressions := watchRevisions(ctx, c)
	for r := uint64(1); r < 4; r++ {
		_, err := c.Node(0).Apply(withModel(c, fmt.Sprintf("isolated-%d", r)), r, "operator")
		must(t, err)
	}
	awaitRevision(t, 4, c.Node(0), c.Node(1))
	if r := c.Node(2).Revision(); r != 1 {
		t.Fatalf("the data centre is not isolated: revision %d", r)
	}
	healLinks(c)
	awaitRevision(t, 4, c.Nodes()...)
	c.Node(2).Suspend()
	_, err := c.Node(0).Apply(withModel(c, "isolated-5"), 4, "operator")
	must(t, err)
	awaitRevision(t, 5, c.Node(0), c.Node(1), c.Node(3))
	c.Node(2).Resume()
	awaitRevision(t, 5, c.Nodes()...)
	cancel()
	for _, x := range <-regressions {
		t.Error(x)
	}
}

// watchRevisions polls all nodes until ctx is done and then sends a message for each time
// a node reverted to an older revision.
func watchRevisions(ctx context.Context, c *cluster.Cluster) <-chan []string {
	result := make(chan []string, 1)
	go func() {
		var regressions []string
		seen := make(map[string]uint64)
		for ctx.Err() == nil {
			for _, n := range c.Nodes() {
				s, err := n.StatusWithin(ctx, 500*time.Millisecond)
				if err != nil {
					continue
				}
				if s.Revision < seen[n.Name()] {
					regressions = append(regressions, fmt.Sprintf("%s reverted from revision %d to %d", n.Name(), seen[n.Name()], s.Revision))
				}
				seen[n.Name()] = max(seen[n.Name()], s.Revision)
			}
			time.Sleep(20 * time.Millisecond)
		}
		result <- regressions
	}()
	return result
}

// isolate partitions a data centre from all others and from the platform.
func isolate(t *testing.T, c *cluster.Cluster, dc string) {
	t.Helper()
	seen := make(map[string]bool)
	for _, n := range c.Nodes() {
		if n.DataCentre() != dc && !seen[n.DataCentre()] {
			seen[n.DataCentre()] = true
			partition(t, c, dc, n.DataCentre())
		}
		if n.DataCentre() == dc {
			must(t, c.Link(n.Name(), "platform").DropData())
		}
	}
}

// Requests are served according to the revision in force: all nodes reject a model that
// was removed and serve it when it is added again.
func TestRequestsUseRevisionInForce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{NodesPerDataCentre: 3, EnginesPerDataCentre: 1})
	renamed := strings.Replace(c.Questionnaire(), "model = ledger", "model = quotes", 1)
	_, err := c.Node(1).Apply(renamed, 1, "operator")
	must(t, err)
	awaitRevision(t, 2, c.Nodes()...)
	for _, n := range c.Nodes() {
		x := n.Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=20"})
		if x.Status != 404 || x.Failure.Ran != fault.NotRun {
			t.Fatalf("%s still serves the model: %d %+v", n.Name(), x.Status, x.Failure)
		}
	}
	_, err = c.Node(2).Apply(c.Questionnaire(), 2, "operator")
	must(t, err)
	awaitRevision(t, 3, c.Nodes()...)
	for _, n := range c.Nodes() {
		checkComplete(t, c, n.Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=20"}), 20)
	}
}
