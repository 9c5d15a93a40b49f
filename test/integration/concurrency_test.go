package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"cicadabeam/core/fault"
	"cicadabeam/test/check"
	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/application"
	"cicadabeam/test/standin/engine"
)

// Hundreds of requests of several organisations run concurrently under idempotency keys
// that the organisations share. One engine delays its first token, one resets one stream,
// and some callers disconnect halfway through an answer. Each caller must receive the
// response to its own request.
func TestConcurrentRequestsGetOwnAnswers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 3, AppsPerDataCentre: 1, Slots: 64, TokenMS: 3})
	must(t, c.Engine(1).SetFaults(engine.Faults{ResetAfter: 10}))
	must(t, c.Engine(2).SetFaults(engine.Faults{PrefillMS: 300}))
	var wg sync.WaitGroup
	transcripts := make([]*cluster.Transcript, 300)
	lengths := make([]int, len(transcripts))
	for i := range transcripts {
		lengths[i] = 10 + i%37
		p := cluster.CompletionRequest{
			Organisation: cluster.Organisations[i%3], Text: fmt.Sprintf("tokens=%d", lengths[i]),
			IdempotencyKey: fmt.Sprintf("shared-key-%d", i/3), NoStream: i%2 == 0,
		}
		wg.Go(func() { transcripts[i] = c.Node(i%4).Complete(testContext(t), p) })
	}
	for i := range 50 {
		wg.Go(func() { disconnectMidAnswer(t, c.Node(i%4)) })
	}
	for i := range 50 {
		wg.Go(func() { checkLookup(t, c.Node(i%4), i) })
	}
	wg.Wait()
	for i, x := range transcripts {
		checkComplete(t, c, x, lengths[i])
	}
}

// disconnectMidAnswer closes the connection after some events of an answer.
func disconnectMidAnswer(t *testing.T, n *cluster.Node) {
	ctx, cancel := contextWithCancel(t)
	n.CompleteWithCallback(ctx, cluster.CompletionRequest{Text: "tokens=40"}, func(x *cluster.Transcript) {
		if len(x.Pieces) > 5 {
			cancel()
		}
	})
}

// checkLookup checks that an idempotent call returns the response to its own body.
func checkLookup(t *testing.T, n *cluster.Node, i int) {
	body := fmt.Sprintf("question-%d", i)
	r := n.CallService(testContext(t), http.MethodPost, "/services/lookup/balance", "", body)
	if r.Status != http.StatusOK || !contains(r.Body, `"body":"`+body+`"`) {
		t.Errorf("response to %s: status %d, body %s", body, r.Status, r.Body)
	}
}

// An organisation can't read the answers of another one, and the same idempotency key
// gives each organisation its own answer.
func TestAnswersIsolatedByOrganisation(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 1})
	answer := c.Node(0).Complete(testContext(t), cluster.CompletionRequest{Organisation: "forge", Text: "tokens=20", IdempotencyKey: "mine"})
	checkComplete(t, c, answer, 20)
	for _, n := range c.Nodes() {
		x := n.ResumeAnswer(testContext(t), "kiosk-north", answer.AnswerID, "")
		if x.Status != http.StatusNotFound || len(x.Pieces) > 0 {
			t.Fatalf("%s: %d %+v", n.Name(), x.Status, x.Failure)
		}
		resumed := n.ResumeAnswer(testContext(t), "forge", answer.AnswerID, answer.Pieces[4].ID)
		if resumed.Status != http.StatusOK {
			t.Fatalf("%s: %d %+v", n.Name(), resumed.Status, resumed.Failure)
		}
		other := n.Complete(testContext(t), cluster.CompletionRequest{Organisation: "kiosk-north", Text: "tokens=20", IdempotencyKey: "mine"})
		checkComplete(t, c, other, 20)
		if other.Text() == answer.Text() {
			t.Fatalf("%s returned the answer of one organisation to another", n.Name())
		}
	}
}

// A request that crashes every server that runs it is sent repeatedly through all entry
// hosts. At most two servers die, and the other requests get complete answers.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	// The last one gets a complete answer the first time: the second server has fewer
	// tokens left to generate than it takes to crash it.
	for _, text := range []string{"crash-engine tokens=50", "crash-engine=3 tokens=50", "crash-engine=30 tokens=200", "crash-engine=30 tokens=50"} {
		t.Run(text, func(t *testing.T) {
			c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 4})
			others := make([]*cluster.Transcript, 16)
			var wg sync.WaitGroup
			for i := range others {
				wg.Go(func() {
					others[i] = c.Node(i%4).Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=300"})
				})
			}
			time.Sleep(500 * time.Millisecond)
			crash := cluster.CompletionRequest{Text: text, IdempotencyKey: "crash"}
			for i := range 8 {
				x := c.Node(i%4).Complete(testContext(t), crash)
				if x.Failure.Code != fault.RequestQuarantined && (i > 0 || !x.Done) {
					t.Errorf("request %d: status %d, %+v", i, x.Status, x.Failure)
				}
				crash.IdempotencyKey = fmt.Sprintf("crash-%d", i)
				crash.Marker = "crash"
			}
			wg.Wait()
			for _, x := range others {
				checkComplete(t, c, x, 300)
				checkOutputGap(t, x)
			}
			if n := countExitedEngines(c); n > 2 {
				t.Fatalf("%d servers died", n)
			}
		})
	}
}

func countExitedEngines(c *cluster.Cluster) int {
	n := 0
	for _, e := range c.Engines() {
		select {
		case <-e.Exited():
			n++
		default:
		}
	}
	return n
}

// Several servers die at once, as when a rack fails, and then another one on which their
// answers may have been resumed. No request must be quarantined for that.
func TestRackFailure(t *testing.T) {
	t.Parallel()
	for _, size := range []int{2, 3, 4} {
		t.Run(fmt.Sprint(size, " servers"), func(t *testing.T) {
			t.Parallel()
			testRackFailure(t, size)
		})
	}
}

func testRackFailure(t *testing.T, size int) {
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 5})
	answers := make([]*cluster.Transcript, 40)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			answers[i] = c.Node(i%4).Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=300"})
		})
	}
	time.Sleep(700 * time.Millisecond)
	for i := range size {
		c.Engine(i).Kill()
	}
	time.Sleep(300 * time.Millisecond)
	c.Engine(5).Kill()
	wg.Wait()
	for _, x := range answers {
		checkComplete(t, c, x, 300)
		checkOutputGap(t, x)
	}
	for _, n := range c.Nodes() {
		s, err := n.Status()
		must(t, err)
		if s.Quarantined != 0 {
			t.Fatalf("%s has %d requests in quarantine", n.Name(), s.Quarantined)
		}
	}
}

// Each data centre is isolated from the platform and all others. It still serves answers
// and idempotent calls, and immediately refuses calls that may run at most once.
func TestIsolatedDataCentresServe(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 3, Regions: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 2, AppsPerDataCentre: 1, ProxyNodes: true})
	for i := range 3 {
		isolate(t, c, fmt.Sprintf("dc-%d", i+1))
	}
	var wg sync.WaitGroup
	for i, n := range c.Nodes() {
		wg.Go(func() {
			x := n.Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=100", IdempotencyKey: fmt.Sprintf("isolated-%d", i)})
			checkComplete(t, c, x, 100)
			r := n.CallService(testContext(t), http.MethodGet, "/services/lookup/stock", "", "")
			if r.Status != http.StatusOK {
				t.Errorf("%s: lookup %+v", n.Name(), r)
			}
			p := &purchase{key: fmt.Sprintf("isolated-%d", i)}
			r = p.send(testContext(t), n)
			if r.Failure.Code != fault.PlatformUnavailable || r.Failure.Attempt != fault.NotRun || r.Header.Get("Retry-After") == "" {
				t.Errorf("%s: purchase %+v", n.Name(), r)
			}
		})
	}
	wg.Wait()
	runs, err := c.AppLog()
	must(t, err)
	must(t, check.AtMostOnce(keyedRuns(runs)))
	if n := len(keyedRuns(runs)); n != 0 {
		t.Fatalf("%d purchases ran", n)
	}
}

// keyedRuns returns the runs of calls with an idempotency key.
func keyedRuns(runs []application.Record) []application.Record {
	var keyed []application.Record
	for _, r := range runs {
		if r.Key != "" {
			keyed = append(keyed, r)
		}
	}
	return keyed
}

// While no engine is reachable, a request is refused immediately and reported as not run,
// with Retry-After, and no engine has started it.
func TestNoEngineMeansNotRun(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{NodesPerDataCentre: 2, EnginesPerDataCentre: 2})
	for _, e := range c.Engines() {
		c.Link("nodes", e.Name()).Disable()
	}
	await(t, "request refused with Retry-After", func() bool {
		x := c.Node(0).Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=20"})
		if x.Failure.Ran != fault.NotRun || x.Header.Get("Retry-After") == "" {
			return false
		}
		log, err := c.EngineLog()
		must(t, err)
		must(t, check.NotStarted(x.Marker, log))
		return true
	})
}

// Three of eight engines die at once. The others have enough capacity for the answers in
// flight, though one data centre barely so. Output resumes within maxOutputGap for all
// callers.
func TestThreeOfEightEnginesDie(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 4, Slots: 32, TokenMS: 20})
	answers := make([]*cluster.Transcript, 120)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			answers[i] = c.Node(i%4).Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=300"})
		})
	}
	time.Sleep(2 * time.Second)
	for _, i := range []int{0, 3, 6} {
		c.Engine(i).Kill()
	}
	wg.Wait()
	for _, x := range answers {
		checkComplete(t, c, x, 300)
		checkOutputGap(t, x)
	}
}
