package integration

import (
	"testing"

	"cicadabeam/test/cluster"
)

var twoRegions = cluster.Layout{DataCentres: 3, Regions: 2, NodesEach: 1, EnginesEach: 1, Linked: true}

// Requests stay in their data centre, then in their region, and cross to the other
// one only when nobody else serves them.
func TestRequestsPreferNearServers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, twoRegions)
	ask := func() string {
		x := c.Node(0).Ask(testContext(t), cluster.Prompt{Text: "tokens=20"})
		checkComplete(t, c, x, 20)
		return currentEngine(t, c, x.Marker).DataCentre()
	}
	for _, want := range []string{"dc-1", "dc-2", "dc-3"} {
		if got := ask(); got != want {
			t.Fatalf("served in %s, not %s", got, want)
		}
		firstEngineIn(c, want).Kill()
	}
}

func firstEngineIn(c *cluster.Cluster, dc string) *cluster.Engine {
	for _, e := range c.Engines() {
		if e.DataCentre() == dc {
			return e
		}
	}
	return nil
}

// A caller who comes back in the other region goes on with its answer there, with
// the holder alive and with the holder dead.
func TestAnswerResumesInOtherRegion(t *testing.T) {
	t.Parallel()
	c := startCluster(t, twoRegions)
	p := cluster.Prompt{Text: "tokens=150", Key: "travels"}
	j := readUntil(t, c.Node(0), p, 40, func() {})
	j.parts[0].Pieces = j.parts[0].Pieces[:40]
	resumeByGet(t, c.Node(2), j, p)
	if x := j.last(); x.Err != nil || !x.Done {
		t.Fatalf("status %d, %+v, %v", x.Status, x.Failure, x.Err)
	}
	p.Key = "travels-on"
	j = readUntil(t, c.Node(0), p, 40, c.Node(0).Kill)
	resumeByGet(t, c.Node(2), j, p)
	j.check(t, c, longAnswer)
}

// A caller's cut connection does not end its answer at once: it goes on for the
// one who comes back.
func TestCallerReconnectsToSameNode(t *testing.T) {
	t.Parallel()
	c := startCluster(t, twoRegions)
	ctx, cancel := contextWithCancel(t)
	p := cluster.Prompt{Text: "tokens=150", Key: "cut-off"}
	first := c.Node(1).Watch(ctx, p, func(x *cluster.Transcript) {
		if len(x.Pieces) == 40 {
			cancel()
		}
	})
	j := &joinedAnswer{marker: p.Key, parts: []*cluster.Transcript{first}}
	resumeByPost(t, c.Node(1), j, p)
	j.check(t, c, longAnswer)
	log, err := c.EngineLog()
	must(t, err)
	starts := 0
	for _, r := range log {
		if r.Event == "start" && r.Marker == p.Key {
			starts++
		}
	}
	if starts != 1 {
		t.Fatalf("%d attempts for one answer", starts)
	}
}
