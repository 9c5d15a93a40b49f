package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadabeam/core/fleet"
)

// Scenario describes the engines, the requests of callers and the failures.
type Scenario struct {
	Seed                 uint64
	Nodes                int
	DataCentres          int
	EnginesPerDataCentre int
	Slots                int // per engine
	KVCacheTokens        int // KV cache per engine, in tokens
	RequestsPerSecond    float64
	PromptTokens         int // tokens, on average
	OutputTokens         int // tokens, on average
	Duration             time.Duration
	// OutageInterval is the interval between outages, 0 for none. Each one takes down all
	// engines of a data centre, of each data centre in turn. OutageDuration is the length
	// of an outage.
	OutageInterval time.Duration
	OutageDuration time.Duration
	FirstTokenGoal time.Duration // for the time to the first token
	TokenGapGoal   time.Duration // for the longest pause between two tokens
}

// Result holds what callers got.
type Result struct {
	Requests              int
	Served                int
	WithinGoals           int
	Late                  int
	Refused               int
	RepeatedPrefillTokens int // prompt tokens that were prefilled again
	FirstTokenLatency     *hdrhistogram.Histogram
	LongestTokenGap       *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram of times in milliseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxMS, significantDigits)
}

// GoalRatio returns the fraction of requests that were served within the latency goals.
func (r Result) GoalRatio() float64 { return float64(r.WithinGoals) / float64(max(r.Requests, 1)) }

// run is the state of one request.
type run struct {
	node            int
	query           fleet.Query
	member          *fleet.Member
	backupID        string
	arrivedAt       time.Time
	prefillLeft     float64
	outputTokens    float64
	generated       float64
	prefilled       bool // on this engine
	firstToken      time.Time
	lastToken       time.Time
	lostAt          time.Time
	longestTokenGap time.Duration
}

func (r *run) startDecoding(now time.Time) {
	r.prefilled = true
	r.member.PromptProcessed(r.query, now.Sub(r.query.Now))
	if r.firstToken.IsZero() {
		r.firstToken = now
	}
	if !r.lostAt.IsZero() && !r.lastToken.IsZero() {
		r.longestTokenGap = max(r.longestTokenGap, now.Sub(r.lastToken))
	}
	r.lastToken = now
}

const (
	histogramMaxMS    = 60_000
	significantDigits = 3
)

// resumption is a lost run and the time at which it is to be resumed.
type resumption struct {
	run *run
	at  time.Time
}

// simulation is the state of one simulation.
type simulation struct {
	scenario    Scenario
	policy      Policy
	loadRand    *rand.Rand // for the load; a source of its own, so that the policy does not change the load
	policyRand  *rand.Rand // for random choices of the policy
	now         time.Time
	nodes       []*fleet.Fleet
	engines     map[string]*engine
	order       []*engine
	resumptions []resumption
	result      Result
}

// Simulate simulates a scenario under a policy. The same seed gives the same load.
func Simulate(s Scenario, p Policy) Result {
	x := &simulation{
		scenario: s, policy: p, loadRand: rand.New(rand.NewPCG(s.Seed, 1)), policyRand: rand.New(rand.NewPCG(s.Seed, 2)), now: time.Unix(1_000_000, 0),
		engines: make(map[string]*engine),
		result:  Result{FirstTokenLatency: NewHistogram(), LongestTokenGap: NewHistogram()},
	}
	x.addNodesAndEngines()
	end := x.now.Add(s.Duration)
	nextOutage, failures := x.now.Add(s.OutageInterval), 0
	for ; x.now.Before(end.Add(s.Duration)); x.now = x.now.Add(tick) {
		if x.now.Before(end) {
			x.arrive()
		}
		if s.OutageInterval > 0 && x.now.Before(end) && !x.now.Before(nextOutage) {
			x.failDataCentre(failures % s.DataCentres)
			failures++
			nextOutage = nextOutage.Add(s.OutageInterval)
		}
		x.resumeLostRuns()
		for _, e := range x.order {
			for _, r := range e.step(x.now) {
				x.end(r)
			}
		}
		x.exchangeWork()
	}
	return x.result
}

func (x *simulation) addNodesAndEngines() {
	regions := make(map[string]string)
	for d := range x.scenario.DataCentres {
		regions[fmt.Sprint("dc-", d)] = "region"
	}
	for n := range x.scenario.Nodes {
		x.nodes = append(x.nodes, fleet.New(fleet.Topology{DataCentre: fmt.Sprint("dc-", n%x.scenario.DataCentres), Regions: regions}))
	}
	for d := range x.scenario.DataCentres {
		for i := range x.scenario.EnginesPerDataCentre {
			e := &engine{id: fmt.Sprintf("engine-%d-%d", d, i), dataCentre: fmt.Sprint("dc-", d)}
			x.engines[e.id] = e
			x.order = append(x.order, e)
			for _, f := range x.nodes {
				f.Upsert(fleet.Server{ID: e.id, Service: "llm", Address: e.id, DataCentre: e.dataCentre, Version: "v1", Slots: x.scenario.Slots})
			}
		}
	}
}

func (x *simulation) arrive() {
	if x.loadRand.Float64() >= x.scenario.RequestsPerSecond*tick.Seconds() {
		return
	}
	spread := 0.5 + x.loadRand.Float64()
	tokens := int(spread * float64(x.scenario.PromptTokens))
	r := &run{
		node: x.loadRand.IntN(x.scenario.Nodes), arrivedAt: x.now, outputTokens: float64(x.scenario.OutputTokens),
		query: fleet.Query{Service: "llm", PromptTokens: tokens, Memory: tokens + x.scenario.OutputTokens, Capacity: x.scenario.KVCacheTokens},
	}
	x.result.Requests++
	x.dispatch(r, nil)
}

// dispatch starts a run on an engine. A node finds out that an engine is down only by
// trying it.
func (x *simulation) dispatch(r *run, exclude map[string]bool) {
	f := x.nodes[r.node]
	tried := make(map[string]bool)
	for id := range exclude {
		tried[id] = true
	}
	for {
		m := x.selectEngine(f, r, tried)
		if m == nil {
			x.result.Refused++
			return
		}
		e := x.engines[m.ID()]
		if !e.isDown(x.now) {
			x.startRun(r, m, e)
			return
		}
		m.Release(r.query, false)
		tried[m.ID()] = true
		if x.policy.DetectOutages {
			f.RecordLoss(m, x.now)
		}
	}
}

func (x *simulation) selectEngine(f *fleet.Fleet, r *run, tried map[string]bool) *fleet.Member {
	r.query.Now = x.now
	r.query.Exclude = tried
	if x.policy.SelectByLatency {
		return f.Reserve(r.query)
	}
	for _, i := range x.policyRand.Perm(len(x.order)) {
		m := f.FindUsable(x.order[i].id, x.now)
		if m != nil && !tried[m.ID()] && m.Reserve(r.query) {
			return m
		}
	}
	return nil
}

func (x *simulation) startRun(r *run, m *fleet.Member, e *engine) {
	r.member, r.prefilled, r.backupID = m, false, ""
	r.prefillLeft = float64(r.query.PromptTokens) + r.generated
	if x.policy.KVCacheBackups {
		if b := x.nodes[r.node].SelectBackup(r.query, m); b != nil {
			r.backupID = b.ID()
		}
	}
	e.prefilling = append(e.prefilling, r)
}

func (x *simulation) failDataCentre(dataCentre int) {
	for _, e := range x.order {
		if e.dataCentre != fmt.Sprint("dc-", dataCentre) {
			continue
		}
		for _, r := range e.fail(x.now, x.scenario.OutageDuration) {
			r.member.Release(r.query, r.prefilled)
			if x.policy.DetectOutages {
				x.nodes[r.node].RecordLoss(r.member, x.now)
			}
			r.lostAt = x.now
			x.resumptions = append(x.resumptions, resumption{r, x.now.Add(detectionDelay)})
		}
	}
}

// resumeLostRuns resumes the lost runs that are due, from their KV cache backups if possible.
func (x *simulation) resumeLostRuns() {
	due := x.resumptions
	x.resumptions = nil
	for _, d := range due {
		if x.now.Before(d.at) {
			x.resumptions = append(x.resumptions, d)
			continue
		}
		r := d.run
		e := x.engines[r.backupID]
		if r.prefilled && e != nil && !e.isDown(x.now) {
			x.resumeFromBackup(r, e)
			continue
		}
		if r.prefilled {
			x.result.RepeatedPrefillTokens += r.query.PromptTokens
		}
		x.dispatch(r, map[string]bool{r.member.ID(): true})
	}
}

func (x *simulation) resumeFromBackup(r *run, e *engine) {
	m := x.nodes[r.node].FindUsable(e.id, x.now)
	if m == nil || !m.Reserve(r.query) {
		x.dispatch(r, nil)
		return
	}
	r.query.Now = x.now
	x.startRun(r, m, e)
	e.prefilling = e.prefilling[:len(e.prefilling)-1] // a run with a backup skips the queue and is not prefilled
	r.prefillLeft = 0
	e.decoding = append(e.decoding, r)
	r.startDecoding(x.now.Add(backupResumeDelay))
}

func (x *simulation) end(r *run) {
	r.member.Release(r.query, true)
	x.result.Served++
	firstToken := r.firstToken.Sub(r.arrivedAt)
	_ = x.result.FirstTokenLatency.RecordValue(min(max(firstToken.Milliseconds(), 1), histogramMaxMS))
	_ = x.result.LongestTokenGap.RecordValue(min(max(r.longestTokenGap.Milliseconds(), 1), histogramMaxMS))
	if firstToken <= x.scenario.FirstTokenGoal && r.longestTokenGap <= x.scenario.TokenGapGoal {
		x.result.WithinGoals++
		return
	}
	x.result.Late++
}

// exchangeInterval is the interval between work reports among nodes.
const exchangeInterval = 20 * time.Millisecond

func (x *simulation) exchangeWork() {
	if !x.policy.ExchangeWork || x.now.UnixNano()%int64(exchangeInterval) != 0 {
		return
	}
	for i, from := range x.nodes {
		w := from.Work()
		for j, to := range x.nodes {
			if i != j {
				to.RecordPeerWork(fmt.Sprint("node-", i), w, x.now)
			}
		}
	}
}
