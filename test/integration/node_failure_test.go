package integration

import (
	"context"
	"strings"
	"testing"
	"time"

	"cicadabeam/test/check"
	"cicadabeam/test/cluster"
)

// joinedAnswer is an answer that a caller read on several connections.
type joinedAnswer struct {
	marker string
	parts  []*cluster.Transcript
}

func (j *joinedAnswer) text() string {
	var b strings.Builder
	for _, p := range j.parts {
		b.WriteString(p.Text())
	}
	return b.String()
}

func (j *joinedAnswer) lastEvent() string {
	for i := len(j.parts) - 1; i >= 0; i-- {
		if id := j.parts[i].LastEventID(); id != "" {
			return id
		}
	}
	return ""
}

func (j *joinedAnswer) last() *cluster.Transcript { return j.parts[len(j.parts)-1] }

// check checks that the answer is complete and that output did not pause for longer than
// maxOutputGap, including between connections.
func (j *joinedAnswer) check(t *testing.T, c *cluster.Cluster, length int) {
	t.Helper()
	last := j.last()
	if last.Err != nil || !last.Done {
		t.Fatalf("answer is incomplete: status %d, failure %+v, error %v", last.Status, last.Failure, last.Err)
	}
	log, err := c.EngineLog()
	must(t, err)
	must(t, check.CompleteAnswer(j.text(), length, j.marker, log))
	all := &cluster.Transcript{}
	for _, p := range j.parts {
		all.Pieces = append(all.Pieces, p.Pieces...)
	}
	checkOutputGap(t, all)
	if last.Usage.Completion != length {
		t.Fatalf("usage reports %d completion tokens, not %d", last.Usage.Completion, length)
	}
}

// readUntil reads an answer through a node until it has the given number of tokens, calls
// fail, and continues to read until the connection breaks or the answer ends. The caller
// closes a connection on which nothing arrives for a second.
func readUntil(t *testing.T, n *cluster.Node, p cluster.CompletionRequest, tokens int, fail func()) *joinedAnswer {
	t.Helper()
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	var idleTimer *time.Timer
	failed := false
	x := n.CompleteWithCallback(ctx, p, func(x *cluster.Transcript) {
		if x.TokenCount() < tokens {
			return
		}
		if !failed {
			failed = true
			idleTimer = time.AfterFunc(time.Second, cancel)
			fail()
		}
		idleTimer.Reset(time.Second)
	})
	if !failed {
		t.Fatalf("the answer ended before the failure was injected: %d pieces, failure %+v, error %v", len(x.Pieces), x.Failure, x.Err)
	}
	return &joinedAnswer{marker: p.IdempotencyKey, parts: []*cluster.Transcript{x}}
}

// resumeFunc reconnects to a node and reads the rest of an answer.
type resumeFunc func(t *testing.T, n *cluster.Node, j *joinedAnswer, p cluster.CompletionRequest)

// resumeByGet reads the rest of the answer with GET and the event ID of the last event.
func resumeByGet(t *testing.T, n *cluster.Node, j *joinedAnswer, _ cluster.CompletionRequest) {
	t.Helper()
	j.parts = append(j.parts, n.ResumeAnswer(testContext(t), "", j.parts[0].AnswerID, j.lastEvent()))
}

// resumeByPost sends the POST again with the event ID of the last event.
func resumeByPost(t *testing.T, n *cluster.Node, j *joinedAnswer, p cluster.CompletionRequest) {
	t.Helper()
	p.LastEventID = j.lastEvent()
	j.parts = append(j.parts, n.Complete(testContext(t), p))
}

// The holder dies after the first token of an answer, in the middle of it, or before its
// last token. The caller gets the rest from another node, by GET or by repeating the POST.
func TestHolderDies(t *testing.T) {
	t.Parallel()
	methods := map[string]resumeFunc{"last-event": resumeByGet, "repeat": resumeByPost}
	for name, resume := range methods {
		for _, tokens := range []int{1, 60, longAnswer - 1} {
			t.Run(name, func(t *testing.T) {
				c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 2})
				p := cluster.CompletionRequest{Text: "tokens=150", IdempotencyKey: "holder-dies"}
				j := readUntil(t, c.Node(0), p, tokens, c.Node(0).Kill)
				resume(t, c.Node(3), j, p)
				j.check(t, c, longAnswer)
			})
		}
	}
}

// After the loss of the holder, the caller can reconnect to any of the other nodes, whether
// or not it is the replica.
func TestAnyNodeResumes(t *testing.T) {
	t.Parallel()
	for i := 1; i < 4; i++ {
		c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 2})
		p := cluster.CompletionRequest{Text: "tokens=150", IdempotencyKey: "any-node"}
		j := readUntil(t, c.Node(0), p, 40, c.Node(0).Kill)
		resumeByGet(t, c.Node(i), j, p)
		j.check(t, c, longAnswer)
	}
}

// A holder is suspended, replaced and resumed. The caller that stays connected to it and
// the one that reconnects to another node each receive one complete answer.
func TestHolderSuspendedAndResumed(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 2})
	p := cluster.CompletionRequest{Text: "tokens=150", IdempotencyKey: "holder-suspended"}
	suspended := c.Node(0)
	connected := make(chan *cluster.Transcript, 1)
	go func() { connected <- suspended.Complete(testContext(t), p) }()
	j := readUntil(t, suspended, p, 40, suspended.Suspend)
	ctx := testContext(t)
	reconnected := c.Node(2).CompleteWithCallback(ctx, cluster.CompletionRequest{Text: p.Text, IdempotencyKey: p.IdempotencyKey, LastEventID: j.lastEvent()}, func(x *cluster.Transcript) {
		if len(x.Pieces) == 10 {
			suspended.Resume()
		}
	})
	j.parts = append(j.parts, reconnected)
	j.check(t, c, longAnswer)
	checkComplete(t, c, <-connected, longAnswer)
}

// Two failures during one answer: the holder dies, then the engine of the node that took
// over.
func TestHolderThenEngineDies(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 2})
	p := cluster.CompletionRequest{Text: "tokens=150", IdempotencyKey: "both-die"}
	j := readUntil(t, c.Node(0), p, 40, c.Node(0).Kill)
	killed := false
	p.LastEventID = j.lastEvent()
	j.parts = append(j.parts, c.Node(3).CompleteWithCallback(testContext(t), p, func(x *cluster.Transcript) {
		if !killed && len(x.Pieces) >= 40 {
			killed = true
			currentEngine(t, c, p.IdempotencyKey).Kill()
		}
	}))
	j.check(t, c, longAnswer)
}

// The replica dies or is suspended. The answer gets another replica and continues.
func TestReplicaFails(t *testing.T) {
	t.Parallel()
	failures := map[string]func(n *cluster.Node){
		"dies":      func(n *cluster.Node) { n.Kill() },
		"suspended": func(n *cluster.Node) { n.Suspend() },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 2})
			failed := false
			x := c.Node(0).CompleteWithCallback(testContext(t), cluster.CompletionRequest{Text: "tokens=150"}, func(x *cluster.Transcript) {
				if failed || len(x.Pieces) < 40 {
					return
				}
				failed = true
				for _, n := range c.Nodes()[1:] {
					if s, err := n.Status(); err == nil && s.Answers.Copies > 0 {
						fail(n)
					}
				}
			})
			checkComplete(t, c, x, longAnswer)
			checkOutputGap(t, x)
			await(t, "no answer is unprotected", func() bool {
				s, err := c.Node(0).Status()
				return err == nil && s.Unprotected == 0
			})
		})
	}
}

// The nodes on both sides of a partition continue the same answer, which diverges. Each
// caller receives one of the two answers, never a mix of both, and gets the error
// answer_diverged when it resumes on a node that has the other one.
func TestBothSidesOfPartitionContinue(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 2, ProxyNodes: true})
	p := cluster.CompletionRequest{Text: "tokens=300", IdempotencyKey: "both-sides"}
	var second *cluster.Transcript
	done := make(chan struct{})
	first := c.Node(0).CompleteWithCallback(testContext(t), p, func(x *cluster.Transcript) {
		if len(x.Pieces) != 40 {
			return
		}
		partition(t, c, "dc-1", "dc-2")
		last := x.LastEventID()
		go func() {
			defer close(done)
			second = c.Node(2).Complete(testContext(t), cluster.CompletionRequest{Text: p.Text, IdempotencyKey: p.IdempotencyKey, LastEventID: last})
		}()
	})
	checkComplete(t, c, first, 300)
	checkOutputGap(t, first)
	<-done
	j := &joinedAnswer{marker: p.IdempotencyKey, parts: []*cluster.Transcript{{Pieces: first.Pieces[:40]}, second}}
	j.check(t, c, 300)
	if j.text() == first.Text() {
		t.Fatal("both sides have the same answer; the partition had no effect")
	}
	healLinks(c)
	checkResumeAfterDivergence(t, c, first, second)
}

// checkResumeAfterDivergence resumes both answers on all nodes. Each node must return the
// rest of the same answer or the error answer_diverged.
func checkResumeAfterDivergence(t *testing.T, c *cluster.Cluster, first, second *cluster.Transcript) {
	t.Helper()
	marker := first.Marker
	for _, n := range c.Nodes() {
		for _, x := range []*cluster.Transcript{first, second} {
			last := len(x.Pieces) - 50
			rest := n.ResumeAnswer(testContext(t), "", first.AnswerID, x.Pieces[last].ID)
			if rest.Status == 409 {
				if rest.Failure.Code != "answer_diverged" {
					t.Fatalf("%s: %+v", n.Name(), rest.Failure)
				}
				continue
			}
			resumed := &joinedAnswer{marker: marker, parts: []*cluster.Transcript{{Pieces: x.Pieces[:last+1]}, rest}}
			full := &joinedAnswer{marker: marker, parts: []*cluster.Transcript{x}}
			if !strings.HasSuffix(full.text(), resumed.text()) {
				t.Fatalf("%s resumed with another answer", n.Name())
			}
		}
	}
}

// partition drops all data between two data centres in both directions.
func partition(t *testing.T, c *cluster.Cluster, a, b string) {
	t.Helper()
	for _, x := range c.Nodes() {
		for _, y := range c.Nodes() {
			if x.DataCentre() == a && y.DataCentre() == b || x.DataCentre() == b && y.DataCentre() == a {
				must(t, c.Link(x.Name(), y.Name()).DropData())
			}
		}
	}
}

// healLinks removes all faults from the links between nodes and to the platform.
func healLinks(c *cluster.Cluster) {
	for _, x := range c.Nodes() {
		for _, y := range c.Nodes() {
			if l := c.Link(x.Name(), y.Name()); l != nil {
				l.RemoveFaults()
			}
		}
		if l := c.Link(x.Name(), "platform"); l != nil {
			l.RemoveFaults()
		}
	}
}
