package integration

import (
	"testing"

	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/engine"
)

const longAnswer = 150

// currentEngine returns the engine that started the newest attempt of a request.
func currentEngine(t *testing.T, c *cluster.Cluster, marker string) *cluster.Engine {
	t.Helper()
	log, err := c.EngineLog()
	must(t, err)
	var newest engine.Record
	for _, r := range log {
		if r.Event == "start" && r.Marker == marker && r.At >= newest.At && r.From >= newest.From {
			newest = r
		}
	}
	e := c.EngineNamed(newest.Server)
	if e == nil {
		t.Fatalf("no engine started %s", marker)
	}
	return e
}

// watchWithFailure reads an answer and, once it has the given number of tokens, calls fail
// with its engine.
func watchWithFailure(t *testing.T, c *cluster.Cluster, tokens int, fail func(e *cluster.Engine)) *cluster.Transcript {
	t.Helper()
	key := "key-" + t.Name()
	failed := false
	return c.Node(0).CompleteWithCallback(testContext(t), cluster.CompletionRequest{Text: "tokens=150", IdempotencyKey: key}, func(x *cluster.Transcript) {
		if x.TokenCount() < tokens || failed {
			return
		}
		failed = true
		fail(currentEngine(t, c, key))
	})
}

// The engine dies after the first token of an answer, halfway through it, or before its
// last token. The caller gets the complete answer on the same connection.
func TestEngineDies(t *testing.T) {
	t.Parallel()
	for _, tokens := range []int{1, 75, longAnswer - 1} {
		c := startCluster(t, cluster.Layout{NodesPerDataCentre: 2, EnginesPerDataCentre: 3})
		x := watchWithFailure(t, c, tokens, func(e *cluster.Engine) { e.Kill() })
		checkComplete(t, c, x, longAnswer)
		checkOutputGap(t, x)
	}
}

// The engine of an answer dies, and later the engine that resumed it.
func TestTwoEnginesDie(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{NodesPerDataCentre: 2, EnginesPerDataCentre: 4})
	killAfter := []int{30, 100}
	kills := 0
	x := c.Node(0).CompleteWithCallback(testContext(t), cluster.CompletionRequest{Text: "tokens=150", IdempotencyKey: "twice"}, func(x *cluster.Transcript) {
		if kills < len(killAfter) && x.TokenCount() >= killAfter[kills] {
			kills++
			currentEngine(t, c, "twice").Kill()
		}
	})
	checkComplete(t, c, x, longAnswer)
	checkOutputGap(t, x)
}

// A suspended engine is resumed after the next attempt has started. Its late tokens must
// not get into the answer.
func TestEngineSuspendedAndResumed(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{NodesPerDataCentre: 2, EnginesPerDataCentre: 3})
	var suspended *cluster.Engine
	x := c.Node(0).CompleteWithCallback(testContext(t), cluster.CompletionRequest{Text: "tokens=150", IdempotencyKey: "suspended"}, func(x *cluster.Transcript) {
		switch {
		case suspended == nil && len(x.Pieces) >= 40:
			suspended = currentEngine(t, c, "suspended")
			suspended.Suspend()
		case suspended != nil && len(x.Pieces) == 60:
			suspended.Resume()
		}
	})
	checkComplete(t, c, x, longAnswer)
	checkOutputGap(t, x)
}

// Streams are closed, reset, refused or end without a finish reason while the engine stays
// alive.
func TestStreamBreaks(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{NodesPerDataCentre: 2, EnginesPerDataCentre: 2})
	faults := map[string]engine.Faults{
		"closed":              {CloseAfter: 30},
		"closed-before-first": {CloseAfter: -1},
		"reset":               {ResetAfter: 30},
		"reset-before-first":  {ResetAfter: -1},
		"no-finish":           {DropFinish: true},
		"busy":                {Busy: true},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			must(t, c.Engine(0).SetFaults(f))
			defer func() { must(t, c.Engine(0).SetFaults(engine.Faults{})) }()
			// Enough answers for some to start on the engine with the fault.
			for i := range 8 {
				x := c.Node(i%2).Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=50"})
				checkComplete(t, c, x, 50)
				checkOutputGap(t, x)
			}
		})
	}
}

// The connection to an engine is closed in the middle of a token.
func TestStreamCutMidToken(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{NodesPerDataCentre: 1, EnginesPerDataCentre: 2})
	for _, bytes := range []int{700, 1001, 2222} {
		must(t, c.Link("nodes", "engine-1").CloseAfterBytes(bytes))
		for range 4 {
			x := c.Node(0).Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=50"})
			checkComplete(t, c, x, 50)
			checkOutputGap(t, x)
		}
		c.Link("nodes", "engine-1").RemoveFaults()
	}
}

// The link to an engine drops all data in one direction or in both.
func TestEngineUnreachable(t *testing.T) {
	t.Parallel()
	faults := map[string]func(l *cluster.Link) error{
		"requests": (*cluster.Link).DropUpstream,
		"answers":  (*cluster.Link).DropDownstream,
		"both":     (*cluster.Link).DropData,
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, cluster.Layout{NodesPerDataCentre: 2, EnginesPerDataCentre: 2})
			x := watchWithFailure(t, c, 40, func(e *cluster.Engine) { must(t, inject(c.Link("nodes", e.Name()))) })
			checkComplete(t, c, x, longAnswer)
			checkOutputGap(t, x)
		})
	}
}
