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
)

// fixedSeed gives the same scenarios in each run; make model draws others.
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

// writeFate is what becomes of one write to the store.
type writeFate int

const (
	writeWorks   writeFate = iota
	writeLost              // not applied, no answer
	answerLost             // applied, no answer
	writeLate              // no answer, applied later
	writeRefused           // the platform is down
	writeFates
)

// sendFate is what becomes of one call to the back end.
type sendFate int

const (
	sendWorks sendFate = iota
	notConnected
	lostBeforeRun
	lostAfterRun
	slowRun
	sendFates
)

type event struct {
	at    time.Duration
	node  int
	kind  string // call, crash or pause
	until time.Duration
}

type scenario struct {
	events []event
	writes []writeFate
	sends  []sendFate
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
		s.writes = append(s.writes, writeFate(rapid.IntRange(0, int(writeFates)-1).Draw(t, "write")))
	}
	for range rapid.IntRange(0, 3).Draw(t, "sends") {
		s.sends = append(s.sends, sendFate(rapid.IntRange(0, int(sendFates)-1).Draw(t, "send")))
	}
	return s
}

// world is the store, the back end and the nodes of one scenario.
type world struct {
	mu         sync.Mutex
	scenario   scenario
	row        claim.Row
	revision   uint64
	writes     int
	sends      int
	runs       int
	ranAt      time.Time
	nodes      [nodes]*member
	violations []string
	answers    []string
}

// member is one node through its restarts.
type member struct {
	world       *world
	name        string
	incarnation int
	calls       *claim.Dispatcher
	dead        chan struct{}
	paused      time.Time
}

func (m *member) start() {
	m.incarnation++
	m.dead = make(chan struct{})
	p := &process{member: m, dead: m.dead}
	m.calls = claim.New(m.name, p.name(m.incarnation), p, p, p)
}

// process is one run of a node: the store, peers and sender of its calls. Nothing that
// it does takes effect after its death, and nothing begins during a pause.
type process struct {
	member *member
	dead   chan struct{}
}

func (p *process) name(incarnation int) string { return fmt.Sprint(p.member.name, "#", incarnation) }

var (
	errDead = errors.New("the process is dead")
	errLost = errors.New("no answer")
)

// proceed waits out a pause and tells whether the process still lives.
func (p *process) proceed() error {
	for {
		p.member.world.mu.Lock()
		till := p.member.paused
		p.member.world.mu.Unlock()
		if !time.Now().Before(till) {
			break
		}
		time.Sleep(time.Until(till))
	}
	select {
	case <-p.dead:
		return errDead
	default:
		return nil
	}
}

func (p *process) Away() bool { return false }

func (p *process) Insert(ctx context.Context, _ claim.Key, r claim.Row) (uint64, bool, error) {
	return p.write(ctx, 0, r)
}

func (p *process) Replace(ctx context.Context, _ claim.Key, revision uint64, r claim.Row) (uint64, bool, error) {
	return p.write(ctx, revision, r)
}

func (p *process) write(ctx context.Context, at uint64, r claim.Row) (uint64, bool, error) {
	if err := p.proceed(); err != nil {
		return 0, false, err
	}
	w := p.member.world
	switch w.nextWrite() {
	case writeLost:
		time.Sleep(300 * time.Millisecond)
		return 0, false, errLost
	case answerLost:
		w.apply(at, r)
		time.Sleep(300 * time.Millisecond)
		return 0, false, errLost
	case writeLate:
		time.AfterFunc(4*time.Second, func() { w.apply(at, r) })
		time.Sleep(300 * time.Millisecond)
		return 0, false, errLost
	case writeRefused:
		return 0, false, errLost
	default:
		time.Sleep(5 * time.Millisecond)
		revision, ok := w.apply(at, r)
		time.Sleep(5 * time.Millisecond)
		if err := p.proceed(); err != nil {
			return 0, false, err
		}
		return revision, ok, ctx.Err()
	}
}

func (p *process) Read(ctx context.Context, _ claim.Key) (claim.Stored, bool, error) {
	if err := p.proceed(); err != nil {
		return claim.Stored{}, false, err
	}
	time.Sleep(5 * time.Millisecond)
	w := p.member.world
	w.mu.Lock()
	defer w.mu.Unlock()
	return claim.Stored{Row: w.row, Revision: w.revision}, w.revision > 0, ctx.Err()
}

func (p *process) AskCall(ctx context.Context, node, incarnation string, key claim.Key, claimID string) (claim.Status, error) {
	if err := p.proceed(); err != nil {
		return claim.Status{}, err
	}
	for _, m := range p.member.world.nodes {
		if m.name == node {
			return m.status(ctx, incarnation, key, claimID)
		}
	}
	return claim.Status{}, errLost
}

func (m *member) status(ctx context.Context, incarnation string, key claim.Key, claimID string) (claim.Status, error) {
	m.world.mu.Lock()
	d, paused := m.calls, time.Now().Before(m.paused)
	m.world.mu.Unlock()
	if paused {
		<-ctx.Done()
		return claim.Status{}, ctx.Err()
	}
	return d.Status(ctx, incarnation, key, claimID), nil
}

func (p *process) Send(ctx context.Context, _ claim.Call, _ uint64) (claim.Response, string, bool, error) {
	if err := p.proceed(); err != nil {
		return claim.Response{}, "", false, err
	}
	w := p.member.world
	switch w.nextSend() {
	case notConnected:
		return claim.Response{}, "", false, fault.New(fault.ServerFailed, "send", "server")
	case lostBeforeRun:
		return claim.Response{}, "server", true, errLost
	case lostAfterRun:
		w.run()
		return claim.Response{}, "server", true, errLost
	case slowRun:
		time.Sleep(2 * time.Second)
	}
	n := w.run()
	time.Sleep(10 * time.Millisecond)
	if err := p.proceed(); err != nil {
		return claim.Response{}, "server", true, err
	}
	return claim.Response{Status: 200, Body: []byte(fmt.Sprint("run ", n))}, "server", true, ctx.Err()
}

func (w *world) nextWrite() writeFate {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes++
	if w.writes > len(w.scenario.writes) {
		return writeWorks
	}
	return w.scenario.writes[w.writes-1]
}

func (w *world) nextSend() sendFate {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends++
	if w.sends > len(w.scenario.sends) {
		return sendWorks
	}
	return w.scenario.sends[w.sends-1]
}

func (w *world) apply(at uint64, r claim.Row) (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision != at {
		return 0, false
	}
	w.revision++
	w.row = r
	return w.revision, true
}

func (w *world) run() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs++
	if w.runs == 1 {
		w.ranAt = time.Now()
	} else {
		w.violations = append(w.violations, fmt.Sprintf("the call ran %d times", w.runs))
	}
	return w.runs
}

// call is one caller's request. Its node's death ends it without an answer.
func (w *world) call(m *member) {
	w.mu.Lock()
	d, dead := m.calls, m.dead
	w.mu.Unlock()
	c := claim.Call{Key: claim.Key{Organisation: "o", Service: "s", Name: "k"}, BodyHash: 1, Deadline: time.Now().Add(8 * time.Second)}
	r, err := d.Do(context.Background(), c)
	select {
	case <-dead:
		return
	default:
	}
	w.judge(r, err)
}

func (w *world) judge(r claim.Response, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.answers = append(w.answers, string(r.Body))
		if w.answers[0] != string(r.Body) {
			w.violations = append(w.violations, "a repeat got another answer")
		}
		return
	}
	if fault.From(err).Ran() == fault.NotRun && w.runs > 0 {
		w.violations = append(w.violations, "told not_run of a call that ran: "+err.Error())
	}
}

func play(s scenario) []string {
	w := &world{scenario: s}
	for i := range w.nodes {
		w.nodes[i] = &member{world: w, name: fmt.Sprint("n", i)}
		w.nodes[i].start()
	}
	var work sync.WaitGroup
	for _, e := range s.events {
		work.Go(func() {
			time.Sleep(e.at)
			w.happen(e)
		})
	}
	work.Wait()
	time.Sleep(time.Minute)
	for _, m := range w.nodes {
		done, cancel := context.WithCancel(context.Background())
		cancel()
		m.calls.Close(done)
	}
	time.Sleep(time.Minute)
	return w.violations
}

func (w *world) happen(e event) {
	m := w.nodes[e.node]
	switch e.kind {
	case "call":
		w.call(m)
	case "pause":
		w.mu.Lock()
		m.paused = time.Now().Add(e.until - e.at)
		w.mu.Unlock()
	case "crash":
		w.mu.Lock()
		close(m.dead)
		old := m.calls
		m.start()
		w.mu.Unlock()
		done, cancel := context.WithCancel(context.Background())
		cancel()
		old.Close(done)
	}
}

// Whatever is lost, late, repeated, paused or killed: a call runs at most once,
// nobody is told not_run of a call that ran, and all answers are one.
func TestAtMostOnceInAllScenarios(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawScenario(r)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = play(s) })
		if len(violations) > 0 {
			r.Fatalf("%v in %+v", violations, s)
		}
	})
}
