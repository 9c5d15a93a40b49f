package fleet_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cicadabeam/core/deferral"
	"cicadabeam/core/fleet"
	"cicadabeam/core/retrybudget"
)

// overload is a service that is asked for more than it can take, over all nodes at once.
// Its servers refuse what exceeds their slots and queue, and want 1 to 10 s of rest from the
// node whose request they refused.
type overload struct {
	nodes, servers, slots, queue int
	load                         float64       // requests in proportion to what the servers can take
	serviceTime                  time.Duration // mean of an exponential distribution
	deadline                     time.Duration // of a caller, over all tries
	tries, attempts              int           // of a caller, and of a node for each try
	duration                     time.Duration
	ignoreWishes                 bool // the nodes do not know of the wishes
}

// overloadResult is what callers got and what the servers saw.
type overloadResult struct {
	requests, served int
	violations       int // pairs of node and server with more than two requests in a rest
	busy             float64
	latencies        []time.Duration // of those served
	worstReturn      int             // most callers that came back within 20 ms
}

type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at.Before(e[b].at) }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

type overloadedServer struct {
	running  int
	queue    []func(now time.Time)
	rests    map[int]rest // by node
	busyTime time.Duration
}

// rest is a time for which a server wants nothing from a node.
type rest struct {
	from, until time.Time
	arrivals    int
}

type overloadRun struct {
	overload
	random  *rand.Rand
	events  events
	fleets  []*fleet.Fleet
	budgets []*retrybudget.Budget
	server  map[string]*overloadedServer
	returns map[int64]int // callers that come back, by 20 ms
	result  overloadResult
}

const oneWay = time.Millisecond

func (o overload) run(seed uint64) overloadResult {
	x := &overloadRun{overload: o, random: rand.New(rand.NewPCG(seed, 1)), server: make(map[string]*overloadedServer), returns: make(map[int64]int)}
	for range o.nodes {
		f := fleet.New(topology)
		addServers(f, o.servers, "orders", "a", o.slots)
		x.fleets = append(x.fleets, f)
		x.budgets = append(x.budgets, retrybudget.New(retrybudget.Limit{Ratio: 0.8, Extra: 150, Window: 10 * time.Second}))
	}
	for _, id := range x.fleets[0].IDs() {
		x.server[id] = &overloadedServer{rests: make(map[int]rest)}
	}
	rate := o.load * float64(o.servers*o.slots) / o.serviceTime.Seconds()
	for at := start; at.Before(start.Add(o.duration)); at = at.Add(x.exponential(time.Duration(float64(time.Second) / rate))) {
		x.schedule(at, func(now time.Time) { x.result.requests++; x.try(now, now, 1) })
	}
	for at := start; at.Before(start.Add(o.duration)); at = at.Add(workReportInterval) {
		x.schedule(at, x.exchangeWork)
	}
	for len(x.events) > 0 {
		e := heap.Pop(&x.events).(event)
		e.do(e.at)
	}
	for _, s := range x.server {
		x.result.busy += s.busyTime.Seconds() / float64(o.servers*o.slots) / o.duration.Seconds()
	}
	for _, n := range x.returns {
		x.result.worstReturn = max(x.result.worstReturn, n)
	}
	slices.Sort(x.result.latencies)
	return x.result
}

func (x *overloadRun) exponential(mean time.Duration) time.Duration {
	return time.Duration(x.random.ExpFloat64() * float64(mean))
}

func (x *overloadRun) schedule(at time.Time, do func(now time.Time)) {
	heap.Push(&x.events, event{at, do})
}

// workReportInterval is the time between the work reports of a node.
const workReportInterval = 200 * time.Millisecond

func (x *overloadRun) exchangeWork(now time.Time) {
	for i, from := range x.fleets {
		w := from.Work()
		for j, to := range x.fleets {
			if i != j {
				to.RecordPeerWork(fmt.Sprint("node-", i), w, now)
			}
		}
	}
}

// try is one try of a caller at a random node.
func (x *overloadRun) try(began, now time.Time, number int) {
	node := x.random.IntN(x.nodes)
	x.budgets[node].Begin(now)
	x.attempt(began, now, number, node, make(map[string]bool))
}

// attempt sends the request to a server, as a node does with one that may be retried.
func (x *overloadRun) attempt(began, now time.Time, number, node int, tried map[string]bool) {
	f := x.fleets[node]
	q := plainQuery(now)
	q.Exclude = tried
	if len(tried) >= x.attempts || len(tried) > 0 && !x.budgets[node].AllowRetry(now, x.nodes, len(tried)) {
		x.refuse(began, now, number, node)
		return
	}
	m := f.Reserve(q)
	if m == nil {
		x.refuse(began, now, number, node)
		return
	}
	tried[m.ID()] = true
	x.schedule(now.Add(oneWay), func(now time.Time) {
		x.arrive(now, node, m.ID(), func(now time.Time, wish time.Duration) {
			if wish > 0 {
				m.RecordFailure(now)
				if !x.ignoreWishes {
					x.fleets[node].Defer(m, wish, now)
				}
				m.Release(q, false)
				x.attempt(began, now, number, node, tried)
				return
			}
			m.RecordSuccess(now.Sub(q.Now), now)
			m.Release(q, false)
			x.budgets[node].End()
			if now.Sub(began) <= x.deadline {
				x.result.served++
				x.result.latencies = append(x.result.latencies, now.Sub(began))
			}
		})
	})
}

// arrive is a request at a server. answered gets the server's wish, 0 if it ran.
func (x *overloadRun) arrive(now time.Time, node int, id string, answered func(now time.Time, wish time.Duration)) {
	s := x.server[id]
	if r := s.rests[node]; now.After(r.from.Add(500*time.Millisecond)) && now.Before(r.until) {
		r.arrivals++
		s.rests[node] = r
		if r.arrivals == 3 {
			x.result.violations++
		}
	}
	if s.running >= x.slots && len(s.queue) >= x.queue {
		wish := time.Second + time.Duration(x.random.Float64()*float64(9*time.Second))
		if until := now.Add(wish); until.After(s.rests[node].until) {
			s.rests[node] = rest{from: now, until: until}
		}
		x.schedule(now.Add(oneWay), func(now time.Time) { answered(now, wish) })
		return
	}
	begin := func(now time.Time) {
		s.running++
		took := x.exponential(x.serviceTime)
		if now.Before(start.Add(x.duration)) {
			s.busyTime += took
		}
		x.schedule(now.Add(took), func(now time.Time) {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next(now)
			}
			x.schedule(now.Add(oneWay), func(now time.Time) { answered(now, 0) })
		})
	}
	if s.running < x.slots {
		begin(now)
		return
	}
	s.queue = append(s.queue, begin)
}

// refuse ends a try with 503. The caller comes back after the time that it is told, but
// waits no more than a third of the time that it has left.
func (x *overloadRun) refuse(began, now time.Time, number, node int) {
	x.budgets[node].End()
	at := now.Add(300 * time.Millisecond)
	if earliest, found := x.fleets[node].Relief(fleet.Query{Service: "orders", Now: now}); found {
		at = deferral.RetryAt(earliest, now, x.random.Float64())
	}
	left := began.Add(x.deadline).Sub(now)
	if number >= x.tries || left <= 0 {
		return
	}
	if latest := now.Add(left / 3); at.After(latest) {
		at = latest
	}
	x.returns[at.UnixMilli()/20]++
	x.schedule(at, func(now time.Time) { x.try(began, now, number+1) })
}

func (r overloadResult) percentile(p float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[int(p*float64(len(r.latencies)-1))].Round(time.Millisecond)
}

func (r overloadResult) String() string {
	return fmt.Sprintf("%d requests, %.3f served, p50 %v, p95 %v, servers busy %.3f, %d rests violated, at most %d callers back within 20 ms",
		r.requests, r.servedShare(), r.percentile(0.5), r.percentile(0.95), r.busy, r.violations, r.worstReturn)
}

// The share of requests that callers get served is nearly that of nodes that ignore the
// wishes, no server gets a third request in a rest, and callers don't return together.
func TestOverloadOfServersThatAskForRest(t *testing.T) {
	calls := overload{
		nodes: 8, servers: 6, slots: 6, queue: 4, load: 1.5, serviceTime: 50 * time.Millisecond,
		deadline: 2 * time.Second, tries: 3, attempts: 2, duration: 15 * time.Second,
	}
	manyNodes, withinMeans, runs := calls, calls, calls
	manyNodes.nodes, manyNodes.servers = 24, 6
	withinMeans.load = 0.7
	runs.slots, runs.queue, runs.serviceTime, runs.deadline, runs.attempts, runs.duration = 12, 6, 2*time.Second, 25*time.Second, 5, time.Minute
	for name, o := range map[string]overload{"calls": calls, "many nodes": manyNodes, "within means": withinMeans, "runs": runs} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				ignoring := o
				ignoring.ignoreWishes = true
				before, now := ignoring.run(seed), o.run(seed)
				t.Logf("seed %d, wishes ignored: %v", seed, before)
				t.Logf("seed %d, wishes kept:    %v", seed, now)
				if now.violations > 0 {
					t.Errorf("seed %d: servers got more than two requests in %d rests", seed, now.violations)
				}
				if now.servedShare() < 0.7*before.servedShare() {
					t.Errorf("seed %d: %.3f of the requests are served, %.3f where wishes are ignored", seed, now.servedShare(), before.servedShare())
				}
				if now.worstReturn > max(2*before.worstReturn, 30) {
					t.Errorf("seed %d: %d callers came back within 20 ms, %d where wishes are ignored", seed, now.worstReturn, before.worstReturn)
				}
			}
		})
	}
}

func (r overloadResult) servedShare() float64 { return float64(r.served) / float64(r.requests) }
