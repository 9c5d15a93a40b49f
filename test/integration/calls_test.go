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

// buyer repeats one purchase until it has an answer, as a caller would, and keeps
// what it was told.
type buyer struct {
	key   string
	mu    sync.Mutex
	told  []check.Told
	bodys []string
	codes []fault.Code
	last  cluster.Result
}

const purchasePath = "/services/purchase/tokens"

func (b *buyer) note(r cluster.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last = r
	if r.Err != nil {
		return
	}
	b.told = append(b.told, check.Told{Organisation: cluster.Organisations[0], Key: b.key, Ran: r.Failure.Ran, At: time.Now().UnixMilli()})
	b.codes = append(b.codes, r.Failure.Code)
	if r.Status == http.StatusOK {
		b.bodys = append(b.bodys, r.Body)
	}
}

func (b *buyer) buy(ctx context.Context, n *cluster.Node) cluster.Result {
	r := n.Call(ctx, http.MethodPost, purchasePath, b.key, "litres=20")
	b.note(r)
	return r
}

// checkCalls judges all purchases by the application servers' logs.
func checkCalls(t *testing.T, c *cluster.Cluster, buyers ...*buyer) {
	t.Helper()
	runs, err := c.Runs()
	must(t, err)
	must(t, check.AtMostOnce(runs))
	for _, b := range buyers {
		must(t, check.NotRun(b.told, runs))
		for _, body := range b.bodys {
			if body != b.bodys[0] {
				t.Fatalf("%s: a repeat got another answer: %s and %s", b.key, b.bodys[0], body)
			}
		}
	}
}

func runsOf(t *testing.T, c *cluster.Cluster, key string) int {
	t.Helper()
	runs, err := c.Runs()
	must(t, err)
	n := 0
	for _, r := range runs {
		if r.Key == key {
			n++
		}
	}
	return n
}

var callLayout = cluster.Layout{DataCentres: 2, NodesEach: 2, EnginesEach: 1, AppsEach: 2, Linked: true}

// One purchase is sent at once through all entry hosts, again and again.
func TestSameKeyEverywhere(t *testing.T) {
	t.Parallel()
	c := start(t, callLayout)
	var buyers []*buyer
	for i := range 20 {
		b := &buyer{key: fmt.Sprintf("everywhere-%d", i)}
		buyers = append(buyers, b)
		var work sync.WaitGroup
		for _, n := range c.Nodes() {
			for range 3 {
				work.Go(func() { b.buy(testContext(t), n) })
			}
		}
		work.Wait()
		if len(b.bodys) != 12 {
			t.Fatalf("%d of 12 got the answer: %v", len(b.bodys), b.codes)
		}
		if runsOf(t, c, b.key) != 1 {
			t.Fatalf("%s ran %d times", b.key, runsOf(t, c, b.key))
		}
	}
	checkCalls(t, c, buyers...)
}

// A key that is used with another body is refused.
func TestKeyWithOtherBody(t *testing.T) {
	t.Parallel()
	c := start(t, callLayout)
	ctx := testContext(t)
	for i, n := range c.Nodes() {
		r := n.Call(ctx, http.MethodPost, purchasePath, "reused", fmt.Sprintf("litres=%d", 20+i))
		if i == 0 && r.Status != http.StatusOK {
			t.Fatalf("first: %+v", r)
		}
		if i > 0 && (r.Status != http.StatusUnprocessableEntity || r.Failure.Code != fault.IdempotencyKeyReused) {
			t.Fatalf("%s: %+v", n.Name(), r)
		}
	}
	if n := runsOf(t, c, "reused"); n != 1 {
		t.Fatalf("it ran %d times", n)
	}
}

// holderFailure brings about the loss of the node that runs a purchase at a point
// of its way.
type holderFailure struct {
	name  string
	set   func(c *cluster.Cluster) error // before the purchase
	ready func(c *cluster.Cluster, key string) bool
}

func setApps(c *cluster.Cluster, f application.Faults) error {
	for _, a := range c.Apps() {
		if err := a.Set(f); err != nil {
			return err
		}
	}
	return nil
}

func holderFailures(t *testing.T) []holderFailure {
	ran := func(c *cluster.Cluster, key string) bool { return runsOf(t, c, key) > 0 }
	at := time.Time{}
	after := func(d time.Duration) func(*cluster.Cluster, string) bool {
		return func(*cluster.Cluster, string) bool {
			if at.IsZero() {
				at = time.Now()
			}
			if time.Since(at) < d {
				return false
			}
			at = time.Time{}
			return true
		}
	}
	slow := func(c *cluster.Cluster) error { return c.SetPlatform(store.Faults{DelayMS: 300}) }
	return []holderFailure{
		{name: "while-claiming", set: slow, ready: after(150 * time.Millisecond)},
		{name: "before-the-run", set: func(c *cluster.Cluster) error { return setApps(c, application.Faults{BeforeMS: 600}) }, ready: after(300 * time.Millisecond)},
		{name: "after-the-run", set: func(c *cluster.Cluster) error { return setApps(c, application.Faults{AfterMS: 600}) }, ready: ran},
		{name: "while-recording", set: slow, ready: ran},
	}
}

// The node that runs a purchase is killed or frozen at each point, while the
// caller repeats it through the others.
func TestClaimantFails(t *testing.T) {
	t.Parallel()
	for _, x := range holderFailures(t) {
		for _, frozen := range []bool{false, true} {
			name := x.name + "-killed"
			if frozen {
				name = x.name + "-frozen"
			}
			t.Run(name, func(t *testing.T) { claimantFails(t, x, frozen) })
		}
	}
}

func claimantFails(t *testing.T, x holderFailure, frozen bool) {
	c := start(t, callLayout)
	must(t, x.set(c))
	b := &buyer{key: x.name}
	ctx, cancel := context.WithTimeout(testContext(t), 20*time.Second)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { b.buy(ctx, c.Node(0)) })
	await(t, "the point of the failure", func() bool { return x.ready(c, b.key) })
	if frozen {
		c.Node(0).Freeze()
	} else {
		c.Node(0).Kill()
	}
	for i := range 6 {
		b.buy(ctx, c.Node(1+i%3))
	}
	must(t, c.SetPlatform(store.Faults{}))
	must(t, setApps(c, application.Faults{}))
	if frozen {
		c.Node(0).Thaw()
	} else {
		must(t, c.Node(0).Restart())
	}
	for _, n := range c.Nodes() {
		b.buy(ctx, n)
	}
	work.Wait()
	checkCalls(t, c, b)
	if len(b.bodys) == 0 && frozen {
		t.Fatalf("the node woke and nobody got the answer: %v", b.codes)
	}
}

// The platform is down, slow, or loses the answers to writes that took effect,
// while purchases go on.
func TestPlatformFailsUnderCalls(t *testing.T) {
	t.Parallel()
	faults := map[string]store.Faults{
		"down":          {Down: true},
		"slow":          {DelayMS: 400},
		"lost-answers":  {LoseAnswers: 5},
		"lost-and-slow": {LoseAnswers: 8, DelayMS: 200},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			c := start(t, callLayout)
			must(t, c.SetPlatform(f))
			var buyers []*buyer
			var work sync.WaitGroup
			for i := range 8 {
				b := &buyer{key: fmt.Sprintf("%s-%d", name, i)}
				buyers = append(buyers, b)
				for j := range 3 {
					work.Go(func() { b.buy(testContext(t), c.Node((i+j)%4)) })
				}
			}
			work.Wait()
			must(t, c.SetPlatform(store.Faults{}))
			for _, b := range buyers {
				for _, n := range c.Nodes() {
					b.buy(testContext(t), n)
				}
				if len(b.bodys) == 0 || runsOf(t, c, b.key) != 1 {
					t.Fatalf("%s: %d answers, %d runs, %v", b.key, len(b.bodys), runsOf(t, c, b.key), b.codes)
				}
			}
			checkCalls(t, c, buyers...)
		})
	}
}

// While the platform is away, a call that must not be repeated is refused with
// when to come back; none is run.
func TestPlatformDownRefusesCalls(t *testing.T) {
	t.Parallel()
	c := start(t, callLayout)
	must(t, c.SetPlatform(store.Faults{Down: true}))
	b := &buyer{key: "outage"}
	r := b.buy(testContext(t), c.Node(0))
	if r.Failure.Attempt != fault.NotRun {
		t.Fatalf("%+v", r)
	}
	if r.Status != http.StatusServiceUnavailable || r.Failure.Code != fault.PlatformUnavailable || r.Header.Get("Retry-After") == "" {
		t.Fatalf("%+v", r)
	}
	if n := runsOf(t, c, b.key); n != 0 {
		t.Fatalf("it ran %d times", n)
	}
}

// Servers that drop connections before and after the run, die after it, or can't
// be reached.
func TestServerFailsUnderCalls(t *testing.T) {
	t.Parallel()
	faults := map[string]application.Faults{
		"drops-before": {DropBefore: true},
		"drops-after":  {DropAfter: true},
		"dies-after":   {DieAfter: true},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			c := start(t, callLayout)
			must(t, setApps(c, f))
			b := &buyer{key: name}
			for _, n := range c.Nodes() {
				r := b.buy(testContext(t), n)
				if r.Status == http.StatusOK || r.Failure.Ran != fault.RanUnknown {
					t.Fatalf("%+v", r)
				}
			}
			checkCalls(t, c, b)
		})
	}
}

func TestNoServerMeansNotRun(t *testing.T) {
	t.Parallel()
	c := start(t, callLayout)
	for _, a := range c.Apps() {
		c.Link("nodes", a.Name()).Break()
	}
	b := &buyer{key: "nobody"}
	r := b.buy(testContext(t), c.Node(0))
	if r.Failure.Ran != fault.NotRun || r.Header.Get("Retry-After") == "" {
		t.Fatalf("%+v", r)
	}
	for _, a := range c.Apps() {
		must(t, c.Link("nodes", a.Name()).Mend())
	}
	await(t, "the purchase through another node", func() bool {
		return b.buy(testContext(t), c.Node(3)).Status == http.StatusOK
	})
	checkCalls(t, c, b)
	if n := runsOf(t, c, b.key); n != 1 {
		t.Fatalf("it ran %d times", n)
	}
}

// Idempotent calls are repeated on another server when one fails.
func TestLookupSurvivesServer(t *testing.T) {
	t.Parallel()
	c := start(t, callLayout)
	must(t, c.App(0).Set(application.Faults{DropAfter: true}))
	c.App(1).Kill()
	for i := range 12 {
		r := c.Node(i%4).Call(testContext(t), http.MethodGet, "/services/lookup/stock", "", "")
		if r.Status != http.StatusOK {
			t.Fatalf("%+v", r)
		}
	}
}
