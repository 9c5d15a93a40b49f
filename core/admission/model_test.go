package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cicadabeam/core/admission"
	"cicadabeam/core/fleet"
)

// Engines as docs/design/load-and-rollouts.md describes them.
const (
	slots, queueLength, cacheTokens = 16, 33, 88000
	chunk                           = 512 // prompt tokens between two steps
	prefillRate                     = 8   // tokens per ms
	outputTokens                    = 1300
	eventTokens                     = 10
	hop                             = 2 * time.Millisecond
	maxAttempts                     = 5
	urgentGoal                      = 4 * time.Second
)

var epoch = time.Unix(1_700_000_000, 0)

type action struct {
	at time.Time
	do func(now time.Time)
}

type actions []action

func (e actions) Len() int           { return len(e) }
func (e actions) Less(a, b int) bool { return e[a].at.Before(e[b].at) }
func (e actions) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *actions) Push(x any)        { *e = append(*e, x.(action)) }
func (e *actions) Pop() any          { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// scenario is a load on engines, over all hosts at once.
type scenario struct {
	hosts, engines int
	duration       time.Duration
	urgent, other  func(t time.Duration) float64 // arrivals a second
	greedy         float64                       // further arrivals a second of the other kind, all of one organisation
	lossAt         time.Duration                 // when a data centre's engines are lost for 1.2 s, 0 for never
	gated          bool
}

// outcome is what the callers of one kind got.
type outcome struct{ asked, inTime, late, lost, refusals int }

func (o outcome) String() string {
	return fmt.Sprintf("%d asked, %.3f in time, %d late, %d lost, %d refusals", o.asked, o.share(), o.late, o.lost, o.refusals)
}

func (o outcome) share() float64 { return float64(o.inTime) / float64(max(o.asked, 1)) }

type result struct {
	kinds                     map[string]*outcome
	vain, preempted, rejected int // prompt tokens processed in vain, runs, requests
	waited, tries             int
	selected                  []string // servers, in the order of the attempts
	firstEvents               map[string][]time.Duration
}

func (r *result) String() string {
	b := &strings.Builder{}
	for _, k := range []string{"urgent", "other", "greedy"} {
		if o := r.kinds[k]; o != nil {
			slices.Sort(r.firstEvents[k])
			p := func(q float64) time.Duration {
				if len(r.firstEvents[k]) == 0 {
					return 0
				}
				return r.firstEvents[k][int(q*float64(len(r.firstEvents[k])-1))].Round(10 * time.Millisecond)
			}
			fmt.Fprintf(b, "%s: %v, first event p50 %v p99 %v; ", k, o, p(0.5), p(0.99))
		}
	}
	fmt.Fprintf(b, "%.2f M tokens in vain, %d preempted, %d rejected", float64(r.vain)/1e6, r.preempted, r.rejected)
	return b.String()
}

// call is a caller's request over all its tries.
type call struct {
	kind, organisation string
	urgent             bool
	prompt             int
	began              time.Time
	goal               time.Duration
	tries, attempts    int
	firstAt            time.Time // first event
	done               bool
}

func (c *call) deadline() time.Time { return c.began.Add(25 * time.Second) }

// run is one attempt on an engine.
type run struct {
	c                *call
	class, read, out int
	need             int // prompt tokens to be processed, more than the prompt after a preemption
	arrived          time.Time
	first            func(now time.Time)
	ended            func(now time.Time, outcome string)
}

type engine struct {
	id, dataCentre  string
	running, queued []*run
	busy, down      bool
}

type host struct {
	fleet *fleet.Fleet
	gate  *admission.Gate
	dc    int
}

type model struct {
	scenario
	random  *rand.Rand
	queue   actions
	hosts   []host
	engines map[string]*engine
	ids     []string // of engines
	result  *result
}

const dataCentres = 6

func dcName(i int) string { return string(rune('a' + i)) }

func (s scenario) run(seed uint64) *result {
	m := &model{scenario: s, random: rand.New(rand.NewPCG(seed, 7)), engines: make(map[string]*engine), result: &result{kinds: make(map[string]*outcome), firstEvents: make(map[string][]time.Duration)}}
	regions := make(map[string]string)
	for i := range dataCentres {
		regions[dcName(i)] = []string{"r1", "r2"}[i%2]
	}
	for i := range s.engines {
		id := fmt.Sprint("e", i)
		m.engines[id] = &engine{id: id, dataCentre: dcName(i % dataCentres)}
		m.ids = append(m.ids, id)
	}
	for i := range s.hosts {
		f := fleet.New(fleet.Topology{DataCentre: dcName(i % dataCentres), Node: fmt.Sprint("n", i), Regions: regions})
		for _, id := range m.ids {
			e := m.engines[id]
			f.Upsert(fleet.Server{ID: e.id, Service: "chat", Address: "10.0.0.1:" + e.id[1:], DataCentre: e.dataCentre, Slots: slots})
		}
		m.hosts = append(m.hosts, host{f, admission.NewGate(rand.New(rand.NewPCG(seed, uint64(i)))), i % dataCentres})
		m.at(epoch.Add(time.Duration(i)*4*time.Millisecond), func(now time.Time) { m.report(i, now) })
	}
	for d := range dataCentres {
		m.at(epoch.Add(time.Duration(d)*70*time.Millisecond), func(now time.Time) { m.aggregate(d, now) })
	}
	m.arrivals("urgent", s.urgent, urgentGoal)
	m.arrivals("other", s.other, 10*time.Second)
	if s.greedy > 0 {
		m.arrivals("greedy", func(time.Duration) float64 { return s.greedy }, 10*time.Second)
	}
	if s.lossAt > 0 {
		m.at(epoch.Add(s.lossAt), m.lose)
	}
	for len(m.queue) > 0 {
		a := heap.Pop(&m.queue).(action)
		if a.at.After(epoch.Add(s.duration + 26*time.Second)) {
			break
		}
		a.do(a.at)
	}
	return m.result
}

func (m *model) at(t time.Time, do func(now time.Time)) { heap.Push(&m.queue, action{t, do}) }

// report tells the other hosts of the data centre of a host's work every 400 ms, 0.1 s late.
func (m *model) report(i int, now time.Time) {
	from := m.hosts[i]
	w := from.fleet.Work()
	m.at(now.Add(100*time.Millisecond), func(now time.Time) {
		for j, to := range m.hosts {
			if j != i && to.dc == from.dc {
				to.fleet.RecordPeerWork(fmt.Sprint("n", i), w, now)
			}
		}
	})
	m.at(now.Add(400*time.Millisecond), func(now time.Time) { m.report(i, now) })
}

// aggregate tells the hosts of other data centres of one's work every 500 ms, 0.2 to 0.9 s late.
func (m *model) aggregate(d int, now time.Time) {
	sum := make(map[string]fleet.Work)
	for _, h := range m.hosts {
		if h.dc == d {
			for id, w := range h.fleet.Work() {
				sum[id] = sum[id].Add(w)
			}
		}
	}
	for _, h := range m.hosts {
		if h.dc != d {
			m.at(now.Add(200*time.Millisecond+time.Duration(m.random.Float64()*0.7*float64(time.Second))), func(now time.Time) { h.fleet.RecordPeerWork(dcName(d), sum, now) })
		}
	}
	m.at(now.Add(500*time.Millisecond), func(now time.Time) { m.aggregate(d, now) })
}

func (m *model) arrivals(kind string, rate func(time.Duration) float64, goal time.Duration) {
	const most = 200.0
	m.result.kinds[kind] = &outcome{}
	for t := time.Duration(0); t < m.duration; t += time.Duration(m.random.ExpFloat64() / most * float64(time.Second)) {
		if m.random.Float64() > rate(t)/most {
			continue
		}
		c := &call{kind: kind, organisation: fmt.Sprint("o", m.random.IntN(24)), urgent: kind == "urgent", began: epoch.Add(t), goal: goal}
		if kind == "greedy" {
			c.organisation = kind
		}
		c.prompt = min(max(int(8000*(1+0.3*m.random.NormFloat64())), 1000), 14400)
		m.result.kinds[kind].asked++
		m.at(c.began, func(now time.Time) { m.try(c, now) })
		m.at(c.deadline(), func(time.Time) { m.settle(c) })
	}
}

// settle ends a call: it is lost unless its last event arrived.
func (m *model) settle(c *call) {
	if !c.done {
		c.done = true
		m.result.kinds[c.kind].lost++
	}
}

// try is one try of a caller at a random host. The host counts the goal from its arrival.
func (m *model) try(c *call, now time.Time) {
	if c.done {
		return
	}
	c.tries++
	h := m.hosts[m.random.IntN(len(m.hosts))]
	r := admission.Request{
		Organisation: c.organisation, Rank: 2, Urgent: c.urgent, Tokens: c.prompt, Memory: c.prompt + outputTokens, Capacity: cacheTokens,
		Goal: now.Add(c.goal), Deadline: c.deadline(),
		Hosts: len(m.hosts), Informed: h.fleet.PeerWorkKnown(len(m.hosts), now),
	}
	if c.urgent {
		r.Rank = 0
	}
	var t *admission.Ticket
	if m.gated {
		t = h.gate.Enter(urgentGoal, r, now)
	}
	m.result.tries++
	m.step(c, h, r, t, nil, now)
}

func (m *model) step(c *call, h host, r admission.Request, t *admission.Ticket, tried map[string]bool, now time.Time) {
	if c.done {
		if t != nil {
			t.Cancel(now)
		}
		return
	}
	q := fleet.Query{Service: "chat", PromptTokens: c.prompt, Memory: r.Memory, Capacity: cacheTokens, Prompt: fmt.Sprint(c.began.UnixNano()), Nodes: len(m.hosts), Urgent: c.urgent, Exclude: tried, Now: now}
	var s *fleet.Member
	if t != nil {
		q.Policy = t
	}
	reserve := func(now time.Time) bool {
		q.Now = now
		s = h.fleet.Reserve(q)
		return s != nil
	}
	class := r.Rank
	if t == nil || len(tried) > 0 {
		reserve(now)
	} else {
		switch v, at := t.Step(now, reserve); v {
		case admission.Waiting:
			m.result.waited++
			m.at(at, func(now time.Time) { m.step(c, h, r, t, tried, now) })
			return
		case admission.Refused:
			m.refuse(c, t.RetryAt(), now)
			return
		}
	}
	if t != nil {
		class = t.Class(len(tried) > 0)
	}
	if s == nil {
		m.refuse(c, now.Add(300*time.Millisecond), now)
		return
	}
	m.send(c, h, r, t, tried, s, q, class, now)
}

func (m *model) send(c *call, h host, r admission.Request, t *admission.Ticket, tried map[string]bool, s *fleet.Member, q fleet.Query, class int, now time.Time) {
	m.result.selected = append(m.result.selected, s.ID())
	processed := false
	excluded := map[string]bool{s.ID(): true}
	for id := range tried {
		excluded[id] = true
	}
	c.attempts++
	again := func(now time.Time) {
		s.Release(q, processed)
		if len(excluded) >= maxAttempts {
			m.refuse(c, now.Add(300*time.Millisecond), now)
			return
		}
		m.step(c, h, r, t, excluded, now)
	}
	x := &run{c: c, class: class, need: c.prompt, first: func(now time.Time) {
		s.RecordContact(now)
		processed = true
		s.PromptProcessed(q, now.Sub(q.Now))
		if c.firstAt.IsZero() {
			c.firstAt = now
			m.result.firstEvents[c.kind] = append(m.result.firstEvents[c.kind], now.Sub(c.began))
		}
	}}
	x.ended = func(now time.Time, outcome string) {
		switch outcome {
		case "whole":
			s.RecordSuccess(now.Sub(q.Now), now)
			s.Release(q, true)
			if !c.done {
				c.done = true
				m.result.vain -= c.prompt
				if c.firstAt.Sub(c.began) <= c.goal {
					m.result.kinds[c.kind].inTime++
				} else {
					m.result.kinds[c.kind].late++
				}
			}
		case "given up":
			s.Release(q, processed)
		case "rejected":
			m.result.rejected++
			s.RecordFailure(now)
			m.at(now.Add(50*time.Millisecond), again)
		case "lost":
			if h.fleet.RecordLoss(s, now) {
				m.at(now.Add(50*time.Millisecond), func(now time.Time) {
					for _, o := range m.hosts {
						if o.fleet != h.fleet {
							o.fleet.MergeLosses(map[string]time.Duration{s.ID(): 50 * time.Millisecond}, now)
						}
					}
				})
			}
			again(now)
		}
	}
	e := m.engines[s.ID()]
	m.at(now.Add(hop), func(now time.Time) { m.arrive(e, x, now) })
}

// refuse ends a try. The caller comes back at the time that it is told, if it has time.
func (m *model) refuse(c *call, at, now time.Time) {
	if c.done {
		return
	}
	m.result.kinds[c.kind].refusals++
	if at = at.Add(hop); at.Before(c.deadline()) {
		m.at(at, func(now time.Time) { m.try(c, now) })
	}
}

func (m *model) arrive(e *engine, x *run, now time.Time) {
	reply := func(outcome string) { m.at(now.Add(hop), func(now time.Time) { x.ended(now, outcome) }) }
	switch {
	case e.down:
		reply("lost")
	case len(e.queued) >= queueLength:
		reply("rejected")
	default:
		x.arrived = now
		e.queued = append(e.queued, x)
		m.work(e, now)
	}
}

// lose ends the engines of a data centre, which are back 1.2 s later.
func (m *model) lose(now time.Time) {
	for _, id := range m.ids {
		e := m.engines[id]
		if e.dataCentre != dcName(0) {
			continue
		}
		e.down = true
		for _, x := range append(e.running, e.queued...) {
			m.at(now.Add(hop), func(now time.Time) { x.ended(now, "lost") })
		}
		e.running, e.queued = nil, nil
		m.at(now.Add(1200*time.Millisecond), func(time.Time) { e.down = false })
	}
}

// work begins the next part of an engine's work, if it is idle.
func (m *model) work(e *engine, now time.Time) {
	if !e.busy && len(e.running)+len(e.queued) > 0 {
		e.busy = true
		m.at(now.Add(m.iterate(e, now)), func(now time.Time) { e.busy = false; m.work(e, now) })
	}
}

func (e *engine) used() int {
	n := 0
	for _, x := range e.running {
		n += x.c.prompt + x.out
	}
	return n
}

// iterate admits runs and processes a chunk of a prompt and a step of all other runs, or a number of
// steps if there is no prompt. It returns how long that takes.
func (m *model) iterate(e *engine, now time.Time) time.Duration {
	givenUp := func(x *run) bool {
		if x.c.done {
			m.at(now, func(now time.Time) { x.ended(now, "given up") })
		}
		return x.c.done
	}
	e.running = slices.DeleteFunc(e.running, givenUp)
	e.queued = slices.DeleteFunc(e.queued, givenUp)
	slices.SortStableFunc(e.queued, func(a, b *run) int { return a.class - b.class })
	for len(e.queued) > 0 && len(e.running) < slots && e.used()+e.queued[0].c.prompt+e.queued[0].out <= cacheTokens {
		e.running = append(e.running, e.queued[0])
		e.queued = e.queued[1:]
	}
	took, steps := time.Duration(0), eventTokens
	for _, x := range e.running {
		if x.read < x.need {
			n := min(chunk, x.need-x.read)
			x.read += n
			m.result.vain += n
			took, steps = time.Duration(n)*time.Millisecond/prefillRate, 1
			break
		}
	}
	decoding := slices.DeleteFunc(slices.Clone(e.running), func(x *run) bool { return x.read < x.need })
	took += time.Duration(steps) * (2600 + time.Duration(len(decoding))*120) * time.Microsecond
	for _, x := range decoding {
		before := x.out
		x.out += steps
		if before < eventTokens && x.out >= eventTokens {
			m.at(now.Add(took+hop), x.first)
		}
		if x.out >= outputTokens {
			e.running = slices.DeleteFunc(e.running, func(y *run) bool { return y == x })
			m.at(now.Add(took+hop), func(now time.Time) { x.ended(now, "whole") })
		}
	}
	for e.used() > cacheTokens {
		m.preempt(e)
	}
	return took
}

// preempt puts the newest of the least urgent runs back into the queue. Its prompt and output are
// processed again.
func (m *model) preempt(e *engine) {
	v := e.running[0]
	for _, x := range e.running {
		if x.class > v.class || x.class == v.class && x.arrived.After(v.arrived) {
			v = x
		}
	}
	m.result.preempted++
	e.running = slices.DeleteFunc(e.running, func(x *run) bool { return x == v })
	v.need, v.read = v.c.prompt+v.out, 0
	e.queued = append([]*run{v}, e.queued...)
}
