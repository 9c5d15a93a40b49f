package claim_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"cicadabeam/core/claim"
	"cicadabeam/core/fault"
	"cicadabeam/core/freshness"
)

// fixedSeed makes every run use the same scenarios. "make model" uses random ones.
const (
	fixedSeed   = "20261204"
	fixedChecks = "5000"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("MODEL") == "" {
		_ = flag.Set("rapid.seed", fixedSeed)
		_ = flag.Set("rapid.checks", fixedChecks)
	}
	os.Exit(m.Run())
}

// writeResult is the simulated result of one write to the store.
type writeResult int

const (
	writeSucceeds writeResult = iota
	writeLost                 // not applied, no response
	responseLost              // applied, no response
	writeDelayed              // no response, applied later
	writeRefused              // the platform is down
	writeResultCount
)

// sendResult is the simulated result of one call to the backend server.
type sendResult int

const (
	sendSucceeds sendResult = iota
	notConnected
	lostBeforeRun
	lostAfterRun
	slowRun
	sendResultCount
)

type event struct {
	at    time.Duration
	node  int
	kind  string // call, crash or pause
	until time.Duration
}

type scenario struct {
	events []event
	writes []writeResult
	sends  []sendResult
}

const nodes = 3

func drawScenario(t *rapid.T) scenario {
	var s scenario
	for range rapid.IntRange(2, 10).Draw(t, "events") {
		e := event{
			at:   time.Duration(rapid.IntRange(0, 3000).Draw(t, "at")) * time.Millisecond,
			node: rapid.IntRange(0, nodes-1).Draw(t, "node"),
			kind: rapid.SampledFrom([]string{"call", "call", "call", "crash", "pause"}).Draw(t, "kind"),
		}
		e.until = e.at + time.Duration(rapid.IntRange(1, 9000).Draw(t, "pause"))*time.Millisecond
		s.events = append(s.events, e)
	}
	for range rapid.IntRange(0, 8).Draw(t, "writes") {
		s.writes = append(s.writes, writeResult(rapid.IntRange(0, int(writeResultCount)-1).Draw(t, "write")))
	}
	for range rapid.IntRange(0, 3).Draw(t, "sends") {
		s.sends = append(s.sends, sendResult(rapid.IntRange(0, int(sendResultCount)-1).Draw(t, "send")))
	}
	return s
}

// simulation is the store, the backend server and the nodes of one scenario.
type simulation struct {
	mu         sync.Mutex
	scenario   scenario
	row        claim.Row
	revision   freshness.StoreVersion
	writes     int
	sends      int
	runs       int
	ranAt      time.Time
	nodes      [nodes]*testNode
	violations []string
	responses  []string
}

// testNode is one node through its restarts.
type testNode struct {
	simulation  *simulation
	name        string
	incarnation int
	dispatcher  *claim.Dispatcher
	killed      chan struct{}
	pausedUntil time.Time
}

func (n *testNode) start() {
	n.incarnation++
	n.killed = make(chan struct{})
	p := &process{testNode: n, killed: n.killed}
	n.dispatcher = claim.New(n.name, p.name(n.incarnation), p, p, p)
}

// process is one run of a node between two restarts. It implements the store, the
// peers and the sender of the node's dispatcher. None of its operations takes effect
// after the process was killed, and none starts during a pause.
type process struct {
	testNode *testNode
	killed   chan struct{}
}

func (p *process) name(incarnation int) string { return fmt.Sprint(p.testNode.name, "#", incarnation) }

var (
	errKilled     = errors.New("the process was killed")
	errNoResponse = errors.New("no response")
)

// checkAlive waits until a pause has ended, and returns errKilled if the process was
// killed.
func (p *process) checkAlive() error {
	for {
		p.testNode.simulation.mu.Lock()
		until := p.testNode.pausedUntil
		p.testNode.simulation.mu.Unlock()
		if !time.Now().Before(until) {
			break
		}
		time.Sleep(time.Until(until))
	}
	select {
	case <-p.killed:
		return errKilled
	default:
		return nil
	}
}

func (p *process) Unavailable() bool { return false }

func (p *process) Insert(ctx context.Context, _ claim.Key, r claim.Row) (freshness.StoreVersion, bool, error) {
	return p.write(ctx, freshness.StoreVersion{}, r)
}

func (p *process) Replace(ctx context.Context, _ claim.Key, revision freshness.StoreVersion, r claim.Row) (freshness.StoreVersion, bool, error) {
	return p.write(ctx, revision, r)
}

func (p *process) write(ctx context.Context, at freshness.StoreVersion, r claim.Row) (freshness.StoreVersion, bool, error) {
	if err := p.checkAlive(); err != nil {
		return freshness.StoreVersion{}, false, err
	}
	s := p.testNode.simulation
	switch s.nextWrite() {
	case writeLost:
		time.Sleep(300 * time.Millisecond)
		return freshness.StoreVersion{}, false, errNoResponse
	case responseLost:
		s.apply(at, r)
		time.Sleep(300 * time.Millisecond)
		return freshness.StoreVersion{}, false, errNoResponse
	case writeDelayed:
		time.AfterFunc(4*time.Second, func() { s.apply(at, r) })
		time.Sleep(300 * time.Millisecond)
		return freshness.StoreVersion{}, false, errNoResponse
	case writeRefused:
		return freshness.StoreVersion{}, false, errNoResponse
	default:
		time.Sleep(5 * time.Millisecond)
		revision, ok := s.apply(at, r)
		time.Sleep(5 * time.Millisecond)
		if err := p.checkAlive(); err != nil {
			return freshness.StoreVersion{}, false, err
		}
		return revision, ok, ctx.Err()
	}
}

func (p *process) Read(ctx context.Context, _ claim.Key) (claim.VersionedRow, bool, error) {
	if err := p.checkAlive(); err != nil {
		return claim.VersionedRow{}, false, err
	}
	time.Sleep(5 * time.Millisecond)
	s := p.testNode.simulation
	s.mu.Lock()
	defer s.mu.Unlock()
	return claim.VersionedRow{Row: s.row, Revision: s.revision}, !s.revision.IsZero(), ctx.Err()
}

func (p *process) CallStatus(ctx context.Context, node, incarnation string, key claim.Key, claimID string) (claim.Status, error) {
	if err := p.checkAlive(); err != nil {
		return claim.Status{}, err
	}
	for _, n := range p.testNode.simulation.nodes {
		if n.name == node {
			return n.status(ctx, incarnation, key, claimID)
		}
	}
	return claim.Status{}, errNoResponse
}

func (n *testNode) status(ctx context.Context, incarnation string, key claim.Key, claimID string) (claim.Status, error) {
	n.simulation.mu.Lock()
	d, paused := n.dispatcher, time.Now().Before(n.pausedUntil)
	n.simulation.mu.Unlock()
	if paused {
		<-ctx.Done()
		return claim.Status{}, ctx.Err()
	}
	return d.Status(ctx, incarnation, key, claimID), nil
}

func (p *process) Send(ctx context.Context, _ claim.Call, _ uint64) (claim.Response, string, bool, error) {
	if err := p.checkAlive(); err != nil {
		return claim.Response{}, "", false, err
	}
	s := p.testNode.simulation
	switch s.nextSend() {
	case notConnected:
		return claim.Response{}, "", false, fault.New(fault.ServerFailed, "send", "server")
	case lostBeforeRun:
		return claim.Response{}, "server", true, errNoResponse
	case lostAfterRun:
		s.run()
		return claim.Response{}, "server", true, errNoResponse
	case slowRun:
		time.Sleep(2 * time.Second)
	}
	n := s.run()
	time.Sleep(10 * time.Millisecond)
	if err := p.checkAlive(); err != nil {
		return claim.Response{}, "server", true, err
	}
	return claim.Response{Status: 200, Body: []byte(fmt.Sprint("run ", n))}, "server", true, ctx.Err()
}

func (s *simulation) nextWrite() writeResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.writes > len(s.scenario.writes) {
		return writeSucceeds
	}
	return s.scenario.writes[s.writes-1]
}

func (s *simulation) nextSend() sendResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends++
	if s.sends > len(s.scenario.sends) {
		return sendSucceeds
	}
	return s.scenario.sends[s.sends-1]
}

func (s *simulation) apply(at freshness.StoreVersion, r claim.Row) (freshness.StoreVersion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision != at {
		return freshness.StoreVersion{}, false
	}
	s.revision.Version++
	s.row = r
	return s.revision, true
}

func (s *simulation) run() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	if s.runs == 1 {
		s.ranAt = time.Now()
	} else {
		s.violations = append(s.violations, fmt.Sprintf("the call ran %d times", s.runs))
	}
	return s.runs
}

// call makes one caller's request. It gets no response if its node is killed.
func (s *simulation) call(n *testNode) {
	s.mu.Lock()
	d, killed := n.dispatcher, n.killed
	s.mu.Unlock()
	c := claim.Call{Key: claim.Key{Organisation: "o", Service: "s", Name: "k"}, BodyHash: 1, Deadline: time.Now().Add(8 * time.Second)}
	r, err := d.Do(context.Background(), c)
	select {
	case <-killed:
		return
	default:
	}
	s.checkResponse(r, err)
}

func (s *simulation) checkResponse(r claim.Response, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.responses = append(s.responses, string(r.Body))
		if s.responses[0] != string(r.Body) {
			s.violations = append(s.violations, "a repeated call got a different response")
		}
		return
	}
	if fault.From(err).Ran() == fault.NotRun && s.runs > 0 {
		s.violations = append(s.violations, "not_run was reported for a call that ran: "+err.Error())
	}
}

func runScenario(c scenario) []string {
	s := &simulation{scenario: c}
	for i := range s.nodes {
		s.nodes[i] = &testNode{simulation: s, name: fmt.Sprint("n", i)}
		s.nodes[i].start()
	}
	var wg sync.WaitGroup
	for _, e := range c.events {
		wg.Go(func() {
			time.Sleep(e.at)
			s.applyEvent(e)
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	for _, n := range s.nodes {
		done, cancel := context.WithCancel(context.Background())
		cancel()
		n.dispatcher.Close(done)
	}
	time.Sleep(time.Minute)
	return s.violations
}

func (s *simulation) applyEvent(e event) {
	n := s.nodes[e.node]
	switch e.kind {
	case "call":
		s.call(n)
	case "pause":
		s.mu.Lock()
		n.pausedUntil = time.Now().Add(e.until - e.at)
		s.mu.Unlock()
	case "crash":
		s.mu.Lock()
		close(n.killed)
		old := n.dispatcher
		n.start()
		s.mu.Unlock()
		done, cancel := context.WithCancel(context.Background())
		cancel()
		old.Close(done)
	}
}

// With lost and delayed writes, failed sends, repeated calls, paused and killed
// nodes, a call must run at most once, not_run may not be reported for a call
// that ran, and all responses to the same key must be identical.
func TestAtMostOnceInAllScenarios(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawScenario(r)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runScenario(s) })
		if len(violations) > 0 {
			r.Fatalf("%v in %+v", violations, s)
		}
	})
}
