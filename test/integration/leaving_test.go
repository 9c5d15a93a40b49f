package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fault"
	"cicadabeam/test/check"
	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/application"
	"cicadabeam/test/standin/engine"
	"cicadabeam/test/standin/store"
)

// leaveBound is how long a leaving server may get new work.
const leaveBound = 3 * time.Second

// load sends requests through all nodes that are ready, as a balancer does, until
// stopped.
type load struct {
	stop   context.CancelFunc
	work   sync.WaitGroup
	mu     sync.Mutex
	all    []*cluster.Transcript
	buyers []*buyer
}

// startLoad runs one answer after another, and one purchase after another, on each
// node for which in is true.
func startLoad(t *testing.T, c *cluster.Cluster, text string, in func(n *cluster.Node) bool) *load {
	t.Helper()
	ctx, stop := context.WithCancel(testContext(t))
	l := &load{stop: stop}
	for _, n := range c.Nodes() {
		if !in(n) {
			continue
		}
		for range 2 {
			l.work.Go(func() { l.ask(ctx, n, text) })
		}
		if len(c.Apps()) > 0 {
			l.work.Go(func() { l.buy(ctx, n) })
		}
	}
	return l
}

func (l *load) ask(ctx context.Context, n *cluster.Node, text string) {
	for ctx.Err() == nil {
		if !n.Ready() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		// A request that has begun is read to its end.
		x := n.Ask(context.WithoutCancel(ctx), cluster.Prompt{Text: text})
		l.mu.Lock()
		l.all = append(l.all, x)
		l.mu.Unlock()
	}
}

func (l *load) buy(ctx context.Context, n *cluster.Node) {
	for i := 0; ctx.Err() == nil; i++ {
		if !n.Ready() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		b := &buyer{key: fmt.Sprintf("load-%s-%d", n.Name(), i)}
		b.buy(context.WithoutCancel(ctx), n)
		l.mu.Lock()
		l.buyers = append(l.buyers, b)
		l.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// end stops the load and returns what the callers got.
func (l *load) end() []*cluster.Transcript {
	l.stop()
	l.work.Wait()
	return l.all
}

func everyNode(*cluster.Node) bool { return true }

// checkLeft checks that a server got no new work once the bound had passed.
func checkLeft(t *testing.T, e *cluster.Engine, since time.Time) {
	t.Helper()
	log, err := e.Log()
	must(t, err)
	late, before := 0, 0
	for _, r := range log {
		if r.Event != "start" {
			continue
		}
		if r.At > since.Add(leaveBound).UnixMilli() {
			late++
		}
		if r.At < since.UnixMilli() {
			before++
		}
	}
	if before == 0 {
		t.Fatal("the server had no work before it left")
	}
	if late > 0 {
		t.Fatalf("the leaving server got %d new requests after %v", late, leaveBound)
	}
}

func TestLeavingServerGetsNoWork(t *testing.T) {
	t.Parallel()
	ways := map[string]func(c *cluster.Cluster) error{
		"own-word":  func(c *cluster.Cluster) error { return c.Engine(0).Set(engine.Faults{Leaving: true}) },
		"host-list": func(c *cluster.Cluster) error { return c.PublishHosts("engine-1") },
		"own-word-list-lags": func(c *cluster.Cluster) error {
			if err := c.SetPlatform(store.Faults{HostLagMS: 60000}); err != nil {
				return err
			}
			if err := c.PublishHosts("engine-1"); err != nil {
				return err
			}
			return c.Engine(0).Set(engine.Faults{Leaving: true})
		},
		"own-word-platform-away": func(c *cluster.Cluster) error {
			if err := c.SetPlatform(store.Faults{Down: true}); err != nil {
				return err
			}
			return c.Engine(0).Set(engine.Faults{Leaving: true})
		},
		"questionnaire": func(c *cluster.Cluster) error {
			_, err := c.Node(3).Apply(c.Questionnaire()+"[server engine-9]\ndata-centre = dc-1\naddress = http://127.0.0.1:9\nservices = lookup\n", 1, "operator")
			if err != nil {
				return err
			}
			return c.Engine(0).Set(engine.Faults{Leaving: true})
		},
	}
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			c := start(t, cluster.Layout{DataCentres: 2, NodesEach: 2, EnginesEach: 2, Linked: true, TokenMS: 5})
			l := startLoad(t, c, "tokens=20", everyNode)
			await(t, "the server has work", func() bool { return running(t, c.Engine(0)) > 0 })
			must(t, leave(c))
			since := time.Now()
			time.Sleep(leaveBound + 2*time.Second)
			for _, x := range l.end() {
				checkWhole(t, c, x, 20)
			}
			checkLeft(t, c.Engine(0), since)
		})
	}
}

// A server leaves in a data centre that is cut off from all others and the
// platform.
func TestLeavingServerInCutOffDataCentre(t *testing.T) {
	t.Parallel()
	c := start(t, cluster.Layout{DataCentres: 2, NodesEach: 2, EnginesEach: 2, Linked: true, TokenMS: 5})
	cutOff(t, c, "dc-1")
	l := startLoad(t, c, "tokens=20", func(n *cluster.Node) bool { return n.DataCentre() == "dc-1" })
	await(t, "the server has work", func() bool { return running(t, c.Engine(0)) > 0 })
	must(t, c.Engine(0).Set(engine.Faults{Leaving: true}))
	since := time.Now()
	time.Sleep(leaveBound + 2*time.Second)
	for _, x := range l.end() {
		checkWhole(t, c, x, 20)
	}
	checkLeft(t, c.Engine(0), since)
}

// All entry hosts are replaced one after the other under load with long answers
// and purchases; nothing that was begun is cut.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	c := start(t, cluster.Layout{DataCentres: 2, NodesEach: 2, EnginesEach: 2, AppsEach: 1, Linked: true})
	must(t, setApps(c, application.Faults{BeforeMS: 30, AfterMS: 30}))
	l := startLoad(t, c, "tokens=300", everyNode)
	for _, n := range c.Nodes() {
		time.Sleep(500 * time.Millisecond)
		n.Terminate()
		<-n.Exited()
		if code := n.ExitCode(); code != 0 {
			t.Fatalf("%s ended with %d", n.Name(), code)
		}
		must(t, n.Restart())
	}
	checkNothingCut(t, c, l, 300)
}

// checkNothingCut checks that each request of a load was either answered whole or
// told that it was not run, or found nobody listening.
func checkNothingCut(t *testing.T, c *cluster.Cluster, l *load, length int) {
	t.Helper()
	whole := 0
	log, err := c.EngineLog()
	must(t, err)
	for _, x := range l.end() {
		switch {
		case errors.Is(x.Err, syscall.ECONNREFUSED):
		case x.Status == http.StatusServiceUnavailable && x.Failure.Ran == fault.NotRun:
			must(t, check.NoGeneration(x.Marker, log))
		default:
			checkWhole(t, c, x, length)
			whole++
		}
	}
	if whole == 0 {
		t.Fatal("no answer at all")
	}
	checkCalls(t, c, l.buyers...)
	for _, b := range l.buyers {
		if b.last.Err != nil && !errors.Is(b.last.Err, syscall.ECONNREFUSED) || b.last.Failure.Ran == fault.RanUnknown {
			t.Fatalf("%s was cut: %+v", b.key, b.last)
		}
	}
}

// Engines are replaced one after the other: each says that it leaves, finishes
// what it has, and is started anew.
func TestRollingServers(t *testing.T) {
	t.Parallel()
	c := start(t, cluster.Layout{DataCentres: 2, NodesEach: 2, EnginesEach: 2, AppsEach: 1, Linked: true})
	l := startLoad(t, c, "tokens=50", everyNode)
	for _, e := range c.Engines() {
		await(t, e.Name()+" has work", func() bool { return running(t, e) > 0 })
		must(t, e.Set(engine.Faults{Leaving: true}))
		since := time.Now()
		time.Sleep(leaveBound)
		await(t, e.Name()+" has no work", func() bool { return running(t, e) == 0 })
		checkLeft(t, e, since)
		e.Kill()
		must(t, e.Restart())
	}
	checkNothingCut(t, c, l, 50)
}

// running returns the number of requests that a server has not ended.
func running(t *testing.T, e *cluster.Engine) int {
	t.Helper()
	log, err := e.Log()
	must(t, err)
	n := 0
	for _, r := range log {
		if r.Event == "start" {
			n++
		} else {
			n--
		}
	}
	return n
}

// A node that drains while the platform is away keeps the outcomes of its calls
// until the platform takes them.
func TestDrainKeepsOutcomes(t *testing.T) {
	t.Parallel()
	c := start(t, callLayout)
	must(t, setApps(c, application.Faults{AfterMS: 1500}))
	b := &buyer{key: "drain"}
	var work sync.WaitGroup
	work.Go(func() { b.buy(testContext(t), c.Node(0)) })
	await(t, "the purchase has run", func() bool { return runsOf(t, c, b.key) == 1 })
	must(t, c.SetPlatform(store.Faults{Down: true}))
	c.Node(0).Terminate()
	work.Wait()
	if len(b.bodys) != 1 {
		t.Fatalf("%+v", b.last)
	}
	time.Sleep(2 * time.Second)
	must(t, c.SetPlatform(store.Faults{}))
	<-c.Node(0).Exited()
	for _, n := range c.Nodes()[1:] {
		if r := b.buy(testContext(t), n); r.Status != http.StatusOK {
			t.Fatalf("%s: %+v", n.Name(), r)
		}
	}
	checkCalls(t, c, b)
}
