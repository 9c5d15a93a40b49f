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

// maxLeaveDelay is the maximum time for which a leaving server may receive new requests.
const maxLeaveDelay = 3 * time.Second

// load sends requests through all nodes that are ready, as a load balancer does, until it
// is stopped.
type load struct {
	stop        context.CancelFunc
	wg          sync.WaitGroup
	mu          sync.Mutex
	transcripts []*cluster.Transcript
	purchases   []*purchase
}

// startLoad starts two clients that request answers on each node for which include is
// true, and, if there are application servers, one that sends purchases. Each sends one
// request after another.
func startLoad(t *testing.T, c *cluster.Cluster, text string, include func(n *cluster.Node) bool) *load {
	t.Helper()
	ctx, stop := context.WithCancel(testContext(t))
	l := &load{stop: stop}
	for _, n := range c.Nodes() {
		if !include(n) {
			continue
		}
		for range 2 {
			l.wg.Go(func() { l.sendPrompts(ctx, n, text) })
		}
		if len(c.Apps()) > 0 {
			l.wg.Go(func() { l.sendPurchases(ctx, n) })
		}
	}
	return l
}

func (l *load) sendPrompts(ctx context.Context, n *cluster.Node, text string) {
	for ctx.Err() == nil {
		if !n.Ready() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		// An answer in flight is read to its end.
		x := n.Complete(context.WithoutCancel(ctx), cluster.CompletionRequest{Text: text})
		l.mu.Lock()
		l.transcripts = append(l.transcripts, x)
		l.mu.Unlock()
	}
}

func (l *load) sendPurchases(ctx context.Context, n *cluster.Node) {
	for i := 0; ctx.Err() == nil; i++ {
		if !n.Ready() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		p := &purchase{key: fmt.Sprintf("load-%s-%d", n.Name(), i)}
		p.send(context.WithoutCancel(ctx), n)
		l.mu.Lock()
		l.purchases = append(l.purchases, p)
		l.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// finish stops the load and returns the transcripts of all answers.
func (l *load) finish() []*cluster.Transcript {
	l.stop()
	l.wg.Wait()
	return l.transcripts
}

func everyNode(*cluster.Node) bool { return true }

// checkNoNewRequests checks that a server received no new requests once maxLeaveDelay had
// passed, and some before.
func checkNoNewRequests(t *testing.T, e *cluster.Engine, since time.Time) {
	t.Helper()
	log, err := e.Log()
	must(t, err)
	late, before := 0, 0
	for _, r := range log {
		if r.Event != "start" {
			continue
		}
		if r.At > since.Add(maxLeaveDelay).UnixMilli() {
			late++
		}
		if r.At < since.UnixMilli() {
			before++
		}
	}
	if before == 0 {
		t.Fatal("the server had received no requests before it was announced as leaving")
	}
	if late > 0 {
		t.Fatalf("the leaving server received %d new requests after %v", late, maxLeaveDelay)
	}
}

// A server is announced as leaving by itself, by the host list, or by itself while the
// host list is stale, the platform is down or the configuration changes.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	t.Parallel()
	announcements := map[string]func(c *cluster.Cluster) error{
		"own-notice": func(c *cluster.Cluster) error { return c.Engine(0).SetFaults(engine.Faults{Leaving: true}) },
		"host-list":  func(c *cluster.Cluster) error { return c.PublishHosts("engine-1") },
		"own-notice-list-lags": func(c *cluster.Cluster) error {
			if err := c.SetPlatformFaults(store.Faults{HostLagMS: 60000}); err != nil {
				return err
			}
			if err := c.PublishHosts("engine-1"); err != nil {
				return err
			}
			return c.Engine(0).SetFaults(engine.Faults{Leaving: true})
		},
		"own-notice-platform-unavailable": func(c *cluster.Cluster) error {
			if err := c.SetPlatformFaults(store.Faults{Down: true}); err != nil {
				return err
			}
			return c.Engine(0).SetFaults(engine.Faults{Leaving: true})
		},
		"questionnaire": func(c *cluster.Cluster) error {
			_, err := c.Node(3).Apply(c.Questionnaire()+"[server engine-9]\ndata-centre = dc-1\naddress = http://127.0.0.1:9\nservices = lookup\n", 1, "operator")
			if err != nil {
				return err
			}
			return c.Engine(0).SetFaults(engine.Faults{Leaving: true})
		},
	}
	for name, leave := range announcements {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 2, ProxyNodes: true, TokenMS: 5})
			l := startLoad(t, c, "tokens=20", everyNode)
			await(t, "the server has requests", func() bool { return runningRequests(t, c.Engine(0)) > 0 })
			must(t, leave(c))
			since := time.Now()
			time.Sleep(maxLeaveDelay + 2*time.Second)
			for _, x := range l.finish() {
				checkComplete(t, c, x, 20)
			}
			checkNoNewRequests(t, c.Engine(0), since)
		})
	}
}

// A server announces that it is leaving in a data centre that is isolated from all others
// and from the platform.
func TestLeavingServerInIsolatedDataCentre(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 2, ProxyNodes: true, TokenMS: 5})
	isolate(t, c, "dc-1")
	l := startLoad(t, c, "tokens=20", func(n *cluster.Node) bool { return n.DataCentre() == "dc-1" })
	await(t, "the server has requests", func() bool { return runningRequests(t, c.Engine(0)) > 0 })
	must(t, c.Engine(0).SetFaults(engine.Faults{Leaving: true}))
	since := time.Now()
	time.Sleep(maxLeaveDelay + 2*time.Second)
	for _, x := range l.finish() {
		checkComplete(t, c, x, 20)
	}
	checkNoNewRequests(t, c.Engine(0), since)
}

// All entry hosts are terminated and restarted one after the other under load with long
// answers and purchases. No request in flight is interrupted.
func TestRollingNodeReplacement(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 2, AppsPerDataCentre: 1, ProxyNodes: true})
	must(t, setAppFaults(c, application.Faults{BeforeMS: 30, AfterMS: 30}))
	l := startLoad(t, c, "tokens=300", everyNode)
	for _, n := range c.Nodes() {
		time.Sleep(500 * time.Millisecond)
		n.Terminate()
		<-n.Exited()
		if code := n.ExitCode(); code != 0 {
			t.Fatalf("%s exited with code %d", n.Name(), code)
		}
		must(t, n.Restart())
	}
	checkNothingInterrupted(t, c, l, 300)
}

// checkNothingInterrupted checks that each request of a load was completed, was reported
// as not run, or was refused a connection.
func checkNothingInterrupted(t *testing.T, c *cluster.Cluster, l *load, length int) {
	t.Helper()
	completed := 0
	log, err := c.EngineLog()
	must(t, err)
	for _, x := range l.finish() {
		switch {
		case errors.Is(x.Err, syscall.ECONNREFUSED):
		case x.Status == http.StatusServiceUnavailable && x.Failure.Ran == fault.NotRun:
			must(t, check.NotStarted(x.Marker, log))
		default:
			checkComplete(t, c, x, length)
			completed++
		}
	}
	if completed == 0 {
		t.Fatal("no request was completed")
	}
	checkPurchases(t, c, l.purchases...)
	for _, p := range l.purchases {
		if p.last.Err != nil && !errors.Is(p.last.Err, syscall.ECONNREFUSED) || p.last.Failure.Ran == fault.RanUnknown {
			t.Fatalf("%s was interrupted: %+v", p.key, p.last)
		}
	}
}

// All engines are replaced one after the other: each announces that it is leaving,
// finishes its requests, and is killed and restarted.
func TestRollingEngineReplacement(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 2, AppsPerDataCentre: 1, ProxyNodes: true})
	l := startLoad(t, c, "tokens=50", everyNode)
	for _, e := range c.Engines() {
		await(t, e.Name()+" has requests", func() bool { return runningRequests(t, e) > 0 })
		must(t, e.SetFaults(engine.Faults{Leaving: true}))
		since := time.Now()
		time.Sleep(maxLeaveDelay)
		await(t, e.Name()+" has no requests", func() bool { return runningRequests(t, e) == 0 })
		checkNoNewRequests(t, e, since)
		e.Kill()
		must(t, e.Restart())
	}
	checkNothingInterrupted(t, c, l, 50)
}

// runningRequests returns the number of requests that an engine has started and not ended.
func runningRequests(t *testing.T, e *cluster.Engine) int {
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

// A node that drains while the platform is unavailable keeps the outcomes of its calls
// until they are written to the platform.
func TestDrainKeepsOutcomes(t *testing.T) {
	t.Parallel()
	c := startCluster(t, callLayout)
	must(t, setAppFaults(c, application.Faults{AfterMS: 1500}))
	p := &purchase{key: "drain"}
	var wg sync.WaitGroup
	wg.Go(func() { p.send(testContext(t), c.Node(0)) })
	await(t, "purchase has run", func() bool { return countRuns(t, c, p.key) == 1 })
	must(t, c.SetPlatformFaults(store.Faults{Down: true}))
	c.Node(0).Terminate()
	wg.Wait()
	if len(p.bodies) != 1 {
		t.Fatalf("%+v", p.last)
	}
	time.Sleep(2 * time.Second)
	must(t, c.SetPlatformFaults(store.Faults{}))
	<-c.Node(0).Exited()
	for _, n := range c.Nodes()[1:] {
		if r := p.send(testContext(t), n); r.Status != http.StatusOK {
			t.Fatalf("%s: %+v", n.Name(), r)
		}
	}
	checkPurchases(t, c, p)
}

// A drain ends while calls and answers are still in progress.
func TestDrainAnswersRequestsThatCannotFinish(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{EnginesPerDataCentre: 1, AppsPerDataCentre: 1, ExtraSettings: "[drain]\ngrace = 200ms\nwait = 1s\n"})
	must(t, setAppFaults(c, application.Faults{BeforeMS: 3000}))
	must(t, c.Engine(0).SetFaults(engine.Faults{PrefillMS: 5000}))
	n := c.Node(0)
	requests := map[string]func() (int, error){
		"purchase": func() (int, error) {
			r := n.CallService(testContext(t), http.MethodPost, purchasePath, "late", "litres=20")
			return r.Status, r.Err
		},
		"lookup": func() (int, error) {
			r := n.CallService(testContext(t), http.MethodPost, "/services/lookup/1", "", "")
			return r.Status, r.Err
		},
		"completion": func() (int, error) {
			x := n.Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=5", NoStream: true})
			return x.Status, x.Err
		},
		"stream": func() (int, error) {
			x := n.Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=5"})
			return x.Status, x.Err
		},
	}
	var wg sync.WaitGroup
	for name, send := range requests {
		wg.Go(func() {
			if status, err := send(); err != nil || status != http.StatusBadGateway {
				t.Errorf("%s: got status %d, error %v; want status 502", name, status, err)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	n.Terminate()
	wg.Wait()
	<-n.Exited()
}

// A node that stops is asked for calls that may outlast it.
func TestDrainRefusesCallsThatMayNotFinish(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{EnginesPerDataCentre: 1, AppsPerDataCentre: 1, ExtraSettings: "[drain]\ngrace = 3s\nwait = 4s\n"})
	n := c.Node(0)
	lookup := func() cluster.CallResult {
		return n.CallService(testContext(t), http.MethodPost, "/services/lookup/1", "", "")
	}
	if r := lookup(); r.Status != http.StatusOK {
		t.Fatalf("%+v", r)
	}
	n.Terminate()
	time.Sleep(300 * time.Millisecond)
	if r := lookup(); r.Status != http.StatusOK {
		t.Errorf("a call that usually ends in time: %+v", r)
	}
	must(t, setAppFaults(c, application.Faults{BeforeMS: 6000}))
	began := time.Now()
	r := n.CallService(testContext(t), http.MethodPost, purchasePath, "late", "litres=20")
	if r.Status != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" || time.Since(began) > time.Second {
		t.Errorf("a purchase that may not end in time: %+v after %v, want status 503 at once", r, time.Since(began))
	}
	<-n.Exited()
	if runs := countRuns(t, c, "late"); runs != 0 {
		t.Errorf("the purchase that was refused ran %d times", runs)
	}
}
