package integration

import (
	"testing"

	"cicadabeam/test/cluster"
)

var twoRegions = cluster.Layout{DataCentres: 3, Regions: 2, NodesPerDataCentre: 1, EnginesPerDataCentre: 1, ProxyNodes: true}

// Requests are served in their own data centre, else in their region, and in the other
// region only when no server of their own is left.
func TestRequestsPreferNearServers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, twoRegions)
	servingDataCentre := func() string {
		x := c.Node(0).Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=20"})
		checkComplete(t, c, x, 20)
		return currentEngine(t, c, x.Marker).DataCentre()
	}
	for _, want := range []string{"dc-1", "dc-2", "dc-3"} {
		if got := servingDataCentre(); got != want {
			t.Fatalf("served in %s, not %s", got, want)
		}
		firstEngineIn(c, want).Kill()
	}
}

// firstEngineIn returns the first engine of a data centre.
func firstEngineIn(c *cluster.Cluster, dc string) *cluster.Engine {
	for _, e := range c.Engines() {
		if e.DataCentre() == dc {
			return e
		}
	}
	return nil
}

// A caller that reconnects in the other region resumes its answer there, whether the
// holder is alive or dead.
func TestAnswerResumesInOtherRegion(t *testing.T) {
	t.Parallel()
	c := startCluster(t, twoRegions)
	p := cluster.CompletionRequest{Text: "tokens=150", IdempotencyKey: "other-region"}
	j := readUntil(t, c.Node(0), p, 40, func() {})
	j.parts[0].Pieces = j.parts[0].Pieces[:40]
	resumeByGet(t, c.Node(2), j, p)
	if x := j.last(); x.Err != nil || !x.Done {
		t.Fatalf("status %d, %+v, %v", x.Status, x.Failure, x.Err)
	}
	p.IdempotencyKey = "other-region-holder-dies"
	j = readUntil(t, c.Node(0), p, 40, c.Node(0).Kill)
	resumeByGet(t, c.Node(2), j, p)
	j.check(t, c, longAnswer)
}

// An answer continues for some time after its caller disconnects, so that the caller can
// reconnect without another attempt.
func TestCallerReconnectsToSameNode(t *testing.T) {
	t.Parallel()
	c := startCluster(t, twoRegions)
	ctx, cancel := contextWithCancel(t)
	p := cluster.CompletionRequest{Text: "tokens=150", IdempotencyKey: "disconnects"}
	first := c.Node(1).CompleteWithCallback(ctx, p, func(x *cluster.Transcript) {
		if len(x.Pieces) == 40 {
			cancel()
		}
	})
	j := &joinedAnswer{marker: p.IdempotencyKey, parts: []*cluster.Transcript{first}}
	resumeByPost(t, c.Node(1), j, p)
	j.check(t, c, longAnswer)
	log, err := c.EngineLog()
	must(t, err)
	starts := 0
	for _, r := range log {
		if r.Event == "start" && r.Marker == p.IdempotencyKey {
			starts++
		}
	}
	if starts != 1 {
		t.Fatalf("%d attempts for one answer", starts)
	}
}
