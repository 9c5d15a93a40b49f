package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadabeam/core/fleet"
)

// Load is what callers ask for and what fails.
type Load struct {
	Seed        uint64
	Nodes       int
	DataCentres int
	EnginesEach int     // in a data centre
	Slots       int     // of an engine
	Memory      int     // of an engine, in tokens
	Rate        float64 // requests a second
	Prompt      int     // tokens, on average
	Output      int     // tokens, on average
	Length      time.Duration
	// Deaths is the time between two deaths of a data centre's engines, each in turn;
	// 0 for none. Down is how long they stay away.
	Deaths time.Duration
	Down   time.Duration
	Goal   time.Duration // until the first token
	Gap    time.Duration // the longest pause in time
}

// Result is what callers got.
type Result struct {
	Asked      int
	Served     int
	OnTime     int
	Late       int
	Refused    int
	ReadInVain int // prompt tokens that were read again
	First      *hdrhistogram.Histogram
	Pause      *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram of times in milliseconds.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMost, figures) }

// InGoal is the share of requests served in time.
func (r Result) InGoal() float64 { return float64(r.OnTime) / float64(max(r.Asked, 1)) }

// run is a request.
type run struct {
	node      int
	query     fleet.Query
	member    *fleet.Member
	copyAt    string
	asked     time.Time
	toRead    float64
	output    float64
	made      float64
	begun     bool // on this engine
	first     time.Time
	lastToken time.Time
	lostAt    time.Time
	longest   time.Duration
}

func (r *run) begin(now time.Time) {
	r.begun = true
	r.member.PromptProcessed(r.query, now.Sub(r.query.Now))
	if r.first.IsZero() {
		r.first = now
	}
	if !r.lostAt.IsZero() && !r.lastToken.IsZero() {
		r.longest = max(r.longest, now.Sub(r.lastToken))
	}
	r.lastToken = now
}

const (
	histogramMost = 60_000 // ms
	figures       = 3
)

// resumption is a run that was lost and goes on at a time.
type resumption struct {
	run *run
	at  time.Time
}

// play is a load under way.
type play struct {
	load    Load
	policy  Policy
	random  *rand.Rand // draws the load
	choices *rand.Rand // draws what a policy leaves to chance
	now     time.Time
	nodes   []*fleet.Fleet
	engines map[string]*engine
	order   []*engine
	waiting []resumption
	result  Result
}

// Play plays a load against a policy. The same seed gives the same load.
func Play(l Load, p Policy) Result {
	x := &play{
		load: l, policy: p, random: rand.New(rand.NewPCG(l.Seed, 1)), choices: rand.New(rand.NewPCG(l.Seed, 2)), now: time.Unix(1_000_000, 0),
		engines: make(map[string]*engine),
		result:  Result{First: NewHistogram(), Pause: NewHistogram()},
	}
	x.build()
	end := x.now.Add(l.Length)
	nextDeath, victim := x.now.Add(l.Deaths), 0
	for ; x.now.Before(end.Add(l.Length)); x.now = x.now.Add(tick) {
		if x.now.Before(end) {
			x.arrive()
		}
		if l.Deaths > 0 && x.now.Before(end) && !x.now.Before(nextDeath) {
			x.kill(victim % l.DataCentres)
			victim++
			nextDeath = nextDeath.Add(l.Deaths)
		}
		x.goOn()
		for _, e := range x.order {
			for _, r := range e.step(x.now) {
				x.end(r)
			}
		}
		x.tell()
	}
	return x.result
}

func (x *play) build() {
	regions := make(map[string]string)
	for d := range x.load.DataCentres {
		regions[fmt.Sprint("dc-", d)] = "region"
	}
	for n := range x.load.Nodes {
		x.nodes = append(x.nodes, fleet.New(fleet.Topology{DataCentre: fmt.Sprint("dc-", n%x.load.DataCentres), Regions: regions}))
	}
	for d := range x.load.DataCentres {
		for i := range x.load.EnginesEach {
			e := &engine{id: fmt.Sprintf("engine-%d-%d", d, i), dataCentre: fmt.Sprint("dc-", d)}
			x.engines[e.id] = e
			x.order = append(x.order, e)
			for _, f := range x.nodes {
				f.Upsert(fleet.Server{ID: e.id, Service: "llm", Address: e.id, DataCentre: e.dataCentre, Slots: x.load.Slots})
			}
		}
	}
}

func (x *play) arrive() {
	if x.random.Float64() >= x.load.Rate*tick.Seconds() {
		return
	}
	spread := 0.5 + x.random.Float64()
	tokens := int(spread * float64(x.load.Prompt))
	r := &run{
		node: x.random.IntN(x.load.Nodes), asked: x.now, output: float64(x.load.Output),
		query: fleet.Query{Service: "llm", PromptTokens: tokens, Memory: tokens + x.load.Output, Capacity: x.load.Memory},
	}
	x.result.Asked++
	x.place(r, nil)
}

// place puts a run on an engine. Engines that are down are found by trying.
func (x *play) place(r *run, exclude map[string]bool) {
	f := x.nodes[r.node]
	tried := make(map[string]bool)
	for id := range exclude {
		tried[id] = true
	}
	for {
		m := x.choose(f, r, tried)
		if m == nil {
			x.result.Refused++
			return
		}
		e := x.engines[m.ID()]
		if !e.down(x.now) {
			x.start(r, m, e)
			return
		}
		m.Release(r.query, false)
		tried[m.ID()] = true
		if x.policy.Outages {
			f.RecordLoss(m, x.now)
		}
	}
}

func (x *play) choose(f *fleet.Fleet, r *run, tried map[string]bool) *fleet.Member {
	r.query.Now = x.now
	r.query.Exclude = tried
	if x.policy.Choose {
		return f.Reserve(r.query)
	}
	for _, i := range x.choices.Perm(len(x.order)) {
		m := f.FindUsable(x.order[i].id, x.now)
		if m != nil && !tried[m.ID()] && m.Reserve(r.query) {
			return m
		}
	}
	return nil
}

func (x *play) start(r *run, m *fleet.Member, e *engine) {
	r.member, r.begun, r.copyAt = m, false, ""
	r.toRead = float64(r.query.PromptTokens) + r.made
	if x.policy.Copies {
		if b := x.nodes[r.node].SelectBackup(r.query, m); b != nil {
			r.copyAt = b.ID()
		}
	}
	e.reading = append(e.reading, r)
}

func (x *play) kill(dataCentre int) {
	for _, e := range x.order {
		if e.dataCentre != fmt.Sprint("dc-", dataCentre) {
			continue
		}
		for _, r := range e.die(x.now, x.load.Down) {
			r.member.Release(r.query, r.begun)
			if x.policy.Outages {
				x.nodes[r.node].RecordLoss(r.member, x.now)
			}
			r.lostAt = x.now
			x.waiting = append(x.waiting, resumption{r, x.now.Add(noticeTime)})
		}
	}
}

// goOn lets lost runs go on, from their copies if they can.
func (x *play) goOn() {
	due := x.waiting
	x.waiting = nil
	for _, w := range due {
		if x.now.Before(w.at) {
			x.waiting = append(x.waiting, w)
			continue
		}
		r := w.run
		e := x.engines[r.copyAt]
		if r.begun && e != nil && !e.down(x.now) {
			x.takeCopy(r, e)
			continue
		}
		if r.begun {
			x.result.ReadInVain += r.query.PromptTokens
		}
		x.place(r, map[string]bool{r.member.ID(): true})
	}
}

func (x *play) takeCopy(r *run, e *engine) {
	m := x.nodes[r.node].FindUsable(e.id, x.now)
	if m == nil || !m.Reserve(r.query) {
		x.place(r, nil)
		return
	}
	r.query.Now = x.now
	x.start(r, m, e)
	e.reading = e.reading[:len(e.reading)-1] // a copy is admitted first and not read
	r.toRead = 0
	e.running = append(e.running, r)
	r.begin(x.now.Add(copyTime))
}

func (x *play) end(r *run) {
	r.member.Release(r.query, true)
	x.result.Served++
	first := r.first.Sub(r.asked)
	_ = x.result.First.RecordValue(min(max(first.Milliseconds(), 1), histogramMost))
	_ = x.result.Pause.RecordValue(min(max(r.longest.Milliseconds(), 1), histogramMost))
	if first <= x.load.Goal && r.longest <= x.load.Gap {
		x.result.OnTime++
		return
	}
	x.result.Late++
}

// tellPeriod is between two times that nodes hear each other.
const tellPeriod = 20 * time.Millisecond

func (x *play) tell() {
	if !x.policy.Tell || x.now.UnixNano()%int64(tellPeriod) != 0 {
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
