package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"cicadabeam/core/fault"
	"cicadabeam/test/check"
	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/application"
	"cicadabeam/test/standin/store"
)

// purchase is a call that may run at most once. It is sent repeatedly under one
// idempotency key and records the responses.
type purchase struct {
	key      string
	mu       sync.Mutex
	outcomes []check.ReportedOutcome
	bodies   []string
	codes    []fault.Code
	last     cluster.CallResult
}

const purchasePath = "/services/purchase/tokens"

func (p *purchase) record(r cluster.CallResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = r
	if r.Err != nil {
		return
	}
	p.outcomes = append(p.outcomes, check.ReportedOutcome{Organisation: cluster.Organisations[0], Key: p.key, Ran: r.Failure.Ran, ReportedAt: time.Now().UnixMilli()})
	p.codes = append(p.codes, r.Failure.Code)
	if r.Status == http.StatusOK {
		p.bodies = append(p.bodies, r.Body)
	}
}

func (p *purchase) send(ctx context.Context, n *cluster.Node) cluster.CallResult {
	r := n.CallService(ctx, http.MethodPost, purchasePath, p.key, "litres=20")
	p.record(r)
	return r
}

// checkPurchases checks by the logs of the application servers that no call ran more than
// once and none that was reported as not run, and that all responses to a purchase are
// the same.
func checkPurchases(t *testing.T, c *cluster.Cluster, purchases ...*purchase) {
	t.Helper()
	runs, err := c.AppLog()
	must(t, err)
	must(t, check.AtMostOnce(runs))
	for _, p := range purchases {
		must(t, check.NotRunBeforeReport(p.outcomes, runs))
		for _, body := range p.bodies {
			if body != p.bodies[0] {
				t.Fatalf("%s: responses to the same purchase differ: %s and %s", p.key, p.bodies[0], body)
			}
		}
	}
}

// countRuns returns how often the calls with an idempotency key ran.
func countRuns(t *testing.T, c *cluster.Cluster, key string) int {
	t.Helper()
	runs, err := c.AppLog()
	must(t, err)
	n := 0
	for _, r := range runs {
		if r.Key == key {
			n++
		}
	}
	return n
}

var callLayout = cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 1, AppsPerDataCentre: 2, ProxyNodes: true}

// The same purchase is sent concurrently through all entry hosts, several times through
// each.
func TestSameKeyOnAllNodes(t *testing.T) {
	t.Parallel()
	c := startCluster(t, callLayout)
	var purchases []*purchase
	for i := range 20 {
		p := &purchase{key: fmt.Sprintf("all-nodes-%d", i)}
		purchases = append(purchases, p)
		var wg sync.WaitGroup
		for _, n := range c.Nodes() {
			for range 3 {
				wg.Go(func() { p.send(testContext(t), n) })
			}
		}
		wg.Wait()
		if len(p.bodies) != 12 {
			t.Fatalf("%d of 12 calls returned the response: %v", len(p.bodies), p.codes)
		}
		if countRuns(t, c, p.key) != 1 {
			t.Fatalf("%s ran %d times", p.key, countRuns(t, c, p.key))
		}
	}
	checkPurchases(t, c, purchases...)
}

// A request with the idempotency key of a request that had another body is rejected.
func TestKeyWithOtherBody(t *testing.T) {
	t.Parallel()
	c := startCluster(t, callLayout)
	ctx := testContext(t)
	for i, n := range c.Nodes() {
		r := n.CallService(ctx, http.MethodPost, purchasePath, "reused", fmt.Sprintf("litres=%d", 20+i))
		if i == 0 && r.Status != http.StatusOK {
			t.Fatalf("first request: %+v", r)
		}
		if i > 0 && (r.Status != http.StatusUnprocessableEntity || r.Failure.Code != fault.IdempotencyKeyReused) {
			t.Fatalf("%s: %+v", n.Name(), r)
		}
	}
	if n := countRuns(t, c, "reused"); n != 1 {
		t.Fatalf("the call ran %d times", n)
	}
}

// claimantFailure is a point in the course of a purchase at which the node that executes
// it fails.
type claimantFailure struct {
	name    string
	inject  func(c *cluster.Cluster) error // called before the purchase is sent
	reached func(c *cluster.Cluster, key string) bool
}

func setAppFaults(c *cluster.Cluster, f application.Faults) error {
	for _, a := range c.Apps() {
		if err := a.SetFaults(f); err != nil {
			return err
		}
	}
	return nil
}

func claimantFailures(t *testing.T) []claimantFailure {
	ran := func(c *cluster.Cluster, key string) bool { return countRuns(t, c, key) > 0 }
	firstPoll := time.Time{}
	after := func(d time.Duration) func(*cluster.Cluster, string) bool {
		return func(*cluster.Cluster, string) bool {
			if firstPoll.IsZero() {
				firstPoll = time.Now()
			}
			if time.Since(firstPoll) < d {
				return false
			}
			firstPoll = time.Time{}
			return true
		}
	}
	delayPlatform := func(c *cluster.Cluster) error { return c.SetPlatformFaults(store.Faults{DelayMS: 300}) }
	return []claimantFailure{
		{name: "while-claiming", inject: delayPlatform, reached: after(150 * time.Millisecond)},
		{name: "before-the-run", inject: func(c *cluster.Cluster) error { return setAppFaults(c, application.Faults{BeforeMS: 600}) }, reached: after(300 * time.Millisecond)},
		{name: "after-the-run", inject: func(c *cluster.Cluster) error { return setAppFaults(c, application.Faults{AfterMS: 600}) }, reached: ran},
		{name: "while-recording", inject: delayPlatform, reached: ran},
	}
}

// The node that executes a purchase is killed or suspended at each point while the caller
// retries through the other nodes.
func TestClaimantFails(t *testing.T) {
	t.Parallel()
	for _, f := range claimantFailures(t) {
		for _, suspended := range []bool{false, true} {
			name := f.name + "-killed"
			if suspended {
				name = f.name + "-suspended"
			}
			t.Run(name, func(t *testing.T) { testClaimantFailure(t, f, suspended) })
		}
	}
}

func testClaimantFailure(t *testing.T, f claimantFailure, suspended bool) {
	c := startCluster(t, callLayout)
	must(t, f.inject(c))
	p := &purchase{key: f.name}
	ctx, cancel := context.WithTimeout(testContext(t), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { p.send(ctx, c.Node(0)) })
	await(t, "point of the failure", func() bool { return f.reached(c, p.key) })
	if suspended {
		c.Node(0).Suspend()
	} else {
		c.Node(0).Kill()
	}
	for i := range 6 {
		p.send(ctx, c.Node(1+i%3))
	}
	must(t, c.SetPlatformFaults(store.Faults{}))
	must(t, setAppFaults(c, application.Faults{}))
	if suspended {
		c.Node(0).Resume()
	} else {
		must(t, c.Node(0).Restart())
	}
	for _, n := range c.Nodes() {
		p.send(ctx, n)
	}
	wg.Wait()
	checkPurchases(t, c, p)
	if len(p.bodies) == 0 && suspended {
		t.Fatalf("no call returned a response after the node was resumed: %v", p.codes)
	}
}

// The platform is down, slow or loses the responses to committed writes while purchases
// are in flight.
func TestPlatformFailsDuringCalls(t *testing.T) {
	t.Parallel()
	faults := map[string]store.Faults{
		"down":           {Down: true},
		"slow":           {DelayMS: 400},
		"lost-responses": {LoseAnswers: 5},
		"lost-and-slow":  {LoseAnswers: 8, DelayMS: 200},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, callLayout)
			must(t, c.SetPlatformFaults(f))
			var purchases []*purchase
			var wg sync.WaitGroup
			for i := range 8 {
				p := &purchase{key: fmt.Sprintf("%s-%d", name, i)}
				purchases = append(purchases, p)
				for j := range 3 {
					wg.Go(func() { p.send(testContext(t), c.Node((i+j)%4)) })
				}
			}
			wg.Wait()
			must(t, c.SetPlatformFaults(store.Faults{}))
			for _, p := range purchases {
				for _, n := range c.Nodes() {
					p.send(testContext(t), n)
				}
				if len(p.bodies) == 0 || countRuns(t, c, p.key) != 1 {
					t.Fatalf("%s: %d responses, %d runs, codes %v", p.key, len(p.bodies), countRuns(t, c, p.key), p.codes)
				}
			}
			checkPurchases(t, c, purchases...)
		})
	}
}

// While the platform is unavailable, a call that may run at most once is refused with
// Retry-After and is not run.
func TestPlatformDownRefusesCalls(t *testing.T) {
	t.Parallel()
	c := startCluster(t, callLayout)
	must(t, c.SetPlatformFaults(store.Faults{Down: true}))
	p := &purchase{key: "outage"}
	r := p.send(testContext(t), c.Node(0))
	if r.Failure.Attempt != fault.NotRun {
		t.Fatalf("%+v", r)
	}
	if r.Status != http.StatusServiceUnavailable || r.Failure.Code != fault.PlatformUnavailable || r.Header.Get("Retry-After") == "" {
		t.Fatalf("%+v", r)
	}
	if n := countRuns(t, c, p.key); n != 0 {
		t.Fatalf("the call ran %d times", n)
	}
}

// Servers close the connection before or after they run the call, or exit after it. The
// caller gets an error that says that it is unknown whether the call ran.
func TestServerFailsDuringCalls(t *testing.T) {
	t.Parallel()
	faults := map[string]application.Faults{
		"drops-before": {DropBefore: true},
		"drops-after":  {DropAfter: true},
		"exits-after":  {DieAfter: true},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, callLayout)
			must(t, setAppFaults(c, f))
			p := &purchase{key: name}
			for _, n := range c.Nodes() {
				r := p.send(testContext(t), n)
				if r.Status == http.StatusOK || r.Failure.Ran != fault.RanUnknown {
					t.Fatalf("%+v", r)
				}
			}
			checkPurchases(t, c, p)
		})
	}
}

// While no server is reachable, a call is reported as not run, with Retry-After. Once the
// links are restored, a retry runs it once.
func TestNoServerMeansNotRun(t *testing.T) {
	t.Parallel()
	c := startCluster(t, callLayout)
	for _, a := range c.Apps() {
		c.Link("nodes", a.Name()).Disable()
	}
	p := &purchase{key: "no-server"}
	r := p.send(testContext(t), c.Node(0))
	if r.Failure.Ran != fault.NotRun || r.Header.Get("Retry-After") == "" {
		t.Fatalf("%+v", r)
	}
	for _, a := range c.Apps() {
		must(t, c.Link("nodes", a.Name()).Enable())
	}
	await(t, "purchase completed through another node", func() bool {
		return p.send(testContext(t), c.Node(3)).Status == http.StatusOK
	})
	checkPurchases(t, c, p)
	if n := countRuns(t, c, p.key); n != 1 {
		t.Fatalf("the call ran %d times", n)
	}
}

// An idempotent call is retried on another server when one fails.
func TestLookupRetriedOnOtherServer(t *testing.T) {
	t.Parallel()
	c := startCluster(t, callLayout)
	must(t, c.App(0).SetFaults(application.Faults{DropAfter: true}))
	c.App(1).Kill()
	for i := range 12 {
		r := c.Node(i%4).CallService(testContext(t), http.MethodGet, "/services/lookup/stock", "", "")
		if r.Status != http.StatusOK {
			t.Fatalf("%+v", r)
		}
	}
}
