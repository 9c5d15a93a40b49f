package fleet_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"cicadabeam/core/fleet"
)

// deployment is one with many hosts that know the load of servers by stale reports only: 112 engines and
// 6 application servers in 6 data centres of two regions (docs/design/load-and-rollouts.md).
type deployment struct {
	hosts         int
	streams       float64 // a second
	calls, reads  float64 // a second; 14% of the reads are answered 500
	callTime      time.Duration
	burst         float64 // factor on the streams in the first 0.5 s of each 5 s, 0 for none
	swing         float64 // by which the demand in a data centre varies
	lost          float64 // part of a data centre's engines lost for 1.2 s every 6 s
	slow          bool    // 15% of the servers' machines are 2.5 times slower for 0.6 s
	tellsSlowdown bool    // servers report how slow their machine is
	duration      time.Duration
}

var (
	deployment87  = deployment{hosts: 87, streams: 36.2, calls: 143, reads: 100, callTime: 30 * time.Millisecond, burst: 3, lost: 1}
	deployment127 = deployment{hosts: 127, streams: 30, calls: 195, reads: 78, callTime: 15 * time.Millisecond, swing: 0.55, lost: 0.95, slow: true}
)

// calm returns the deployment without losses, slow machines and changes in demand.
func (d deployment) calm() deployment {
	d.burst, d.swing, d.lost, d.slow = 0, 0, 0, false
	return d
}

const (
	engines, engineSlots, engineQueue = 112, 16, 4
	appServers, appSlots, appQueue    = 6, 6, 6
	cacheTokens, prefillTokensPerMS   = 88000, 8.0
	streamEvents, tokensPerEvent      = 130, 10
	engineTick                        = 5 * time.Millisecond
)

var (
	zones      = []string{"a", "b", "c", "d", "e", "f"}
	zoneRegion = map[string]string{"a": "north", "b": "north", "c": "north", "d": "south", "e": "south", "f": "south"}
)

func zoneDelay(a, b string) time.Duration {
	switch {
	case a == b:
		return 250 * time.Microsecond
	case zoneRegion[a] == zoneRegion[b]:
		return time.Millisecond
	default:
		return 20 * time.Millisecond
	}
}

// staleHost is a host, with what it has received from others.
type staleHost struct {
	index      int
	zone       string
	fleet      *fleet.Fleet
	reports    map[int]map[string]fleet.Work // of the hosts of its data centre
	aggregates map[string]staleAggregate
	sentAt     map[int]time.Time // when aggregates were sent to a host
	peers      []*staleHost
}

type staleAggregate struct {
	work map[string]fleet.Work
	at   time.Time
}

// staleServer is an engine or an application server.
type staleServer struct {
	id, zone   string
	downUntil  time.Time
	slowUntil  time.Time
	waiting    []*staleRun
	active     []*staleRun
	pendingRun int // of the calls at an application server
	queue      []func(now time.Time)
}

func (s *staleServer) slowdown(now time.Time) float64 {
	if now.Before(s.slowUntil) {
		return 2.5
	}
	return 1
}

type staleRun struct {
	host               *staleHost
	query              fleet.Query
	member             *fleet.Member
	arrived, began     time.Time // at the host, and at the engine
	prefillLeft        float64   // tokens
	events             float64
	processed, started bool
	attempts           int
	memory             int
	number             int
}

// staleResult is what was seen: samples every 100 ms of the runs and of the prompt tokens at servers, and
// of the callers what they waited for.
type staleResult struct {
	fullest, emptiest, backlog       []float64 // runs on an engine, and the most prompt tokens on one in ms
	spread                           []float64 // standard deviation of the runs on engines
	callsFullest, callsEmptiest      []float64 // calls at an application server
	promptWait, firstEvent           []float64 // ms until the engine begins with the prompt, until the first event
	callWait, callTime               []float64 // ms
	rejected, rejectedFree, noServer int       // streams by engines, of these with slots free elsewhere, and by hosts
	callsRejected                    int       // all with slots free elsewhere
	interrupted, streams             int
	zone, region, dispatched         int // dispatched to servers of the host's data centre, of its region, in all
}

type staleWorld struct {
	deployment
	random  *rand.Rand
	events  events
	hosts   []*staleHost
	engines []*staleServer
	apps    []*staleServer
	server  map[string]*staleServer
	result  staleResult
	number  int
}

func (d deployment) run(seed uint64, prepare func(*fleet.Fleet)) staleResult {
	x := &staleWorld{deployment: d, random: rand.New(rand.NewPCG(seed, 7)), server: make(map[string]*staleServer)}
	x.addServers()
	x.addHosts(prepare)
	x.every(engineTick, x.stepEngines)
	x.every(100*time.Millisecond, x.sample)
	if d.lost > 0 {
		zone := 0
		x.every(6*time.Second, func(now time.Time) { x.loseEngines(zones[zone%len(zones)], now); zone++ })
	}
	if d.slow {
		x.every(100*time.Millisecond, x.slowDown)
	}
	x.arrivals(d.streams, func(now time.Time, h *staleHost) {
		x.number++
		tokens := int(min(14400, max(1000, 8000*(1+0.3*x.random.NormFloat64()))))
		r := &staleRun{host: h, arrived: now, memory: tokens + streamEvents*tokensPerEvent, number: x.number}
		r.query = fleet.Query{Service: "llm", PromptTokens: tokens, Memory: r.memory, Capacity: cacheTokens, Prompt: fmt.Sprint("prompt-", x.number), Nodes: d.hosts}
		x.result.streams++
		x.dispatch(r, now, nil)
	}, func(now time.Time) float64 {
		if d.burst > 0 && now.Sub(start)%(5*time.Second) < 500*time.Millisecond {
			return d.burst
		}
		return 1
	})
	steady := func(time.Time) float64 { return 1 }
	x.arrivals(d.calls, func(now time.Time, h *staleHost) { x.call(h, now, now, false, nil) }, steady)
	x.arrivals(d.reads, func(now time.Time, h *staleHost) { x.call(h, now, now, true, nil) }, steady)
	for len(x.events) > 0 {
		e := heap.Pop(&x.events).(event)
		if e.at.After(start.Add(d.duration)) {
			break
		}
		e.do(e.at)
	}
	return x.result
}

func (x *staleWorld) schedule(at time.Time, do func(now time.Time)) {
	heap.Push(&x.events, event{at, do})
}

func (x *staleWorld) every(interval time.Duration, do func(now time.Time)) {
	var again func(now time.Time)
	again = func(now time.Time) {
		x.schedule(now.Add(interval), again)
		do(now)
	}
	x.schedule(start.Add(time.Duration(x.random.Float64()*float64(interval))), again)
}

func (x *staleWorld) addServers() {
	add := func(all []*staleServer, id string, i int) []*staleServer {
		s := &staleServer{id: id, zone: zones[i%len(zones)]}
		x.server[id] = s
		return append(all, s)
	}
	for i := range engines {
		x.engines = add(x.engines, fmt.Sprint("engine-", i), i)
	}
	for i := range appServers {
		x.apps = add(x.apps, fmt.Sprint("app-", i), i)
	}
}

func (x *staleWorld) addHosts(prepare func(*fleet.Fleet)) {
	for i := range x.deployment.hosts {
		zone := zones[i%len(zones)]
		f := fleet.New(fleet.Topology{DataCentre: zone, Node: fmt.Sprintf("host-%03d", i), Regions: zoneRegion})
		for _, s := range x.engines {
			f.Upsert(fleet.Server{ID: s.id, Service: "llm", Address: s.id, DataCentre: s.zone, Version: "v1", Slots: engineSlots})
		}
		for _, s := range x.apps {
			f.Upsert(fleet.Server{ID: s.id, Service: "orders", Address: s.id, DataCentre: s.zone, Version: "v1", Slots: appSlots})
		}
		if prepare != nil {
			prepare(f)
		}
		x.hosts = append(x.hosts, &staleHost{index: i, zone: zone, fleet: f, reports: make(map[int]map[string]fleet.Work), aggregates: make(map[string]staleAggregate), sentAt: make(map[int]time.Time)})
	}
	gateway := func(h *staleHost) bool { return h.index < 2*len(zones) }
	for _, h := range x.hosts {
		for _, o := range x.hosts {
			if o != h && (o.zone == h.zone || gateway(h) && gateway(o)) {
				h.peers = append(h.peers, o)
			}
		}
		interval := min(200+30*time.Duration(max(0, len(h.peers)-8)), 600) * time.Millisecond
		x.every(interval, func(now time.Time) {
			for _, o := range h.peers {
				if o.index < h.index {
					x.report(h, o, now)
					x.report(o, h, now)
				}
			}
		})
	}
}

// report sends a report as cmd/entry does (peers.go, gateways.go).
func (x *staleWorld) report(from, to *staleHost, now time.Time) {
	work := from.fleet.Work()
	if from.zone == to.zone {
		to.reports[from.index] = work
		to.fleet.RecordPeerWork(fmt.Sprint("host-", from.index), work, now)
	}
	if now.Sub(from.sentAt[to.index]) < 500*time.Millisecond {
		return
	}
	from.sentAt[to.index] = now
	if from.zone != to.zone {
		all := from.fleet.Work()
		for _, w := range from.reports {
			for id, more := range w {
				s := all[id]
				s.Running, s.Prompts, s.Memory = s.Running+more.Running, s.Prompts+more.Prompts, s.Memory+more.Memory
				all[id] = s
			}
		}
		to.apply(from.zone, staleAggregate{all, now})
		return
	}
	for zone, a := range from.aggregates {
		if now.Sub(a.at) < 3*time.Second {
			to.apply(zone, a)
		}
	}
}

func (h *staleHost) apply(zone string, a staleAggregate) {
	if zone != h.zone && a.at.After(h.aggregates[zone].at) {
		h.aggregates[zone] = a
		h.fleet.RecordPeerWork("data centre "+zone, a.work, a.at)
	}
}

// arrivals schedules Poisson arrivals at random hosts. The demand of data centres swings out of phase.
func (x *staleWorld) arrivals(rate float64, arrive func(time.Time, *staleHost), factor func(time.Time) float64) {
	const peak = 3.0
	for at := start; at.Before(start.Add(x.duration)); {
		at = at.Add(time.Duration(x.random.ExpFloat64() / (rate * peak) * float64(time.Second)))
		h := x.hosts[x.random.IntN(len(x.hosts))]
		phase := 2 * math.Pi * (at.Sub(start).Seconds()/20 + float64(h.index%len(zones))/float64(len(zones)))
		if x.random.Float64()*peak < factor(at)*(1+x.swing*math.Sin(phase)) {
			x.schedule(at, func(now time.Time) { arrive(now, h) })
		}
	}
}

func (x *staleWorld) dispatch(r *staleRun, now time.Time, exclude map[string]bool) {
	q := r.query
	q.Exclude, q.Now = exclude, now
	m := r.host.fleet.Reserve(q)
	if m == nil || r.attempts >= 5 {
		x.result.noServer++
		return
	}
	r.query, r.member = q, m
	r.query.CachedOn = m.ID() // for further attempts, as cmd/entry knows it
	r.processed = false
	r.attempts++
	s := x.server[m.ID()]
	x.result.recordDistance(r.host.zone, s.zone)
	delay := zoneDelay(r.host.zone, s.zone)
	x.schedule(now.Add(delay), func(now time.Time) {
		again := func(now time.Time) {
			m.Release(r.query, false)
			tried := map[string]bool{m.ID(): true}
			for id := range exclude {
				tried[id] = true
			}
			x.dispatch(r, now, tried)
		}
		switch {
		case now.Before(s.downUntil):
			r.attempts-- // a server that was not reached doesn't count
			x.schedule(now.Add(delay), func(now time.Time) { r.host.fleet.RecordLoss(m, now); again(now) })
		case len(s.active)+len(s.waiting) >= engineSlots+engineQueue:
			x.result.rejected++
			if x.anyFree(now) {
				x.result.rejectedFree++
			}
			x.schedule(now.Add(delay), func(now time.Time) { m.RecordFailure(now); again(now) })
		default:
			r.began, r.prefillLeft = now, float64(r.query.PromptTokens)
			s.waiting = append(s.waiting, r)
		}
	})
}

func (x *staleWorld) anyFree(now time.Time) bool {
	return slices.ContainsFunc(x.engines, func(s *staleServer) bool {
		return !now.Before(s.downUntil) && len(s.waiting) == 0 && len(s.active) < engineSlots
	})
}

// stepEngines lets engines work for a tick: on the first prompt, or, if there is none, on the next tokens
// of all runs.
func (x *staleWorld) stepEngines(now time.Time) {
	for _, s := range x.engines {
		s.admit()
		tick := float64(engineTick) / float64(time.Millisecond) / s.slowdown(now)
		var prompt *staleRun
		for _, r := range s.active {
			if !r.processed {
				prompt = r
				break
			}
		}
		if prompt != nil {
			if prompt.prefillLeft == float64(prompt.query.PromptTokens) {
				x.result.promptWait = append(x.result.promptWait, ms(now.Sub(prompt.began)))
			}
			if prompt.prefillLeft -= tick * prefillTokensPerMS; prompt.prefillLeft <= 0 {
				x.promptProcessed(s, prompt, now)
			}
			continue
		}
		kept := s.active[:0]
		for _, r := range s.active {
			r.events += tick / (30 + float64(len(s.active)))
			r.member.RecordContact(now)
			if r.events < streamEvents {
				kept = append(kept, r)
				continue
			}
			r.member.RecordSuccess(now.Sub(r.query.Now), now)
			r.member.Release(r.query, true)
		}
		s.active = kept
	}
}

func (s *staleServer) admit() {
	memory := 0
	for _, r := range s.active {
		memory += r.memory
	}
	for len(s.waiting) > 0 && len(s.active) < engineSlots && memory+s.waiting[0].memory <= cacheTokens {
		memory += s.waiting[0].memory
		s.active, s.waiting = append(s.active, s.waiting[0]), s.waiting[1:]
	}
}

func (x *staleWorld) promptProcessed(s *staleServer, r *staleRun, now time.Time) {
	r.processed = true
	r.member.PromptProcessed(r.query, now.Sub(r.query.Now))
	r.member.RecordLoad(x.load(s, len(s.active), len(s.waiting), engineSlots, now), now)
	if !r.started {
		r.started = true
		x.result.firstEvent = append(x.result.firstEvent, ms(now.Sub(r.arrived)))
	}
}

func (x *staleWorld) load(s *staleServer, running, waiting, slots int, now time.Time) fleet.Load {
	l := fleet.Load{Running: running, Waiting: waiting, Slots: slots}
	if x.tellsSlowdown {
		l.Slowdown = s.slowdown(now)
	}
	return l
}

// loseEngines takes engines of a data centre down. All hosts hear of it within 50 ms.
func (x *staleWorld) loseEngines(zone string, now time.Time) {
	losses := make(map[string]time.Duration)
	for _, s := range x.engines {
		if s.zone != zone || x.random.Float64() >= x.lost {
			continue
		}
		s.downUntil = now.Add(1200 * time.Millisecond)
		losses[s.id] = 50 * time.Millisecond
		for _, r := range append(s.active, s.waiting...) {
			x.result.interrupted++
			r.host.fleet.RecordLoss(r.member, now)
			r.member.Release(r.query, r.processed)
			x.schedule(now.Add(zoneDelay(r.host.zone, zone)), func(now time.Time) { x.dispatch(r, now, map[string]bool{r.member.ID(): true}) })
		}
		s.active, s.waiting = nil, nil
	}
	x.schedule(now.Add(50*time.Millisecond), func(now time.Time) {
		for _, h := range x.hosts {
			h.fleet.MergeLosses(losses, now)
		}
	})
}

// slowDown makes 2.5% of the machines slower for 0.6 s, ten times a second.
func (x *staleWorld) slowDown(now time.Time) {
	for _, s := range x.server {
		if !now.Before(s.slowUntil) && x.random.Float64() < 0.15/(0.85*6) {
			s.slowUntil = now.Add(600 * time.Millisecond)
		}
	}
}

// call is a call of an application server, one attempt or, for reads, two.
func (x *staleWorld) call(h *staleHost, arrived, now time.Time, read bool, exclude map[string]bool) {
	q := fleet.Query{Service: "orders", Exclude: exclude, Nodes: x.deployment.hosts, Now: now}
	m := h.fleet.Reserve(q)
	if m == nil {
		x.result.noServer++
		return
	}
	s := x.server[m.ID()]
	delay := zoneDelay(h.zone, s.zone)
	x.schedule(now.Add(delay), func(at time.Time) {
		begin := func(now time.Time) {
			s.pendingRun++
			x.result.callWait = append(x.result.callWait, ms(now.Sub(at)))
			took := time.Duration(x.random.ExpFloat64() * float64(x.callTime) * s.slowdown(now))
			x.schedule(now.Add(took), func(now time.Time) {
				s.pendingRun--
				if len(s.queue) > 0 {
					next := s.queue[0]
					s.queue = s.queue[1:]
					next(now)
				}
				load := x.load(s, s.pendingRun, len(s.queue), appSlots, now)
				failed := read && x.random.Float64() < 0.14
				x.schedule(now.Add(delay), func(now time.Time) {
					m.RecordLoad(load, now)
					m.Release(q, false)
					if failed {
						m.RecordFailure(now)
						if exclude == nil {
							x.call(h, arrived, now, true, map[string]bool{m.ID(): true})
							return
						}
					} else {
						m.RecordSuccess(now.Sub(q.Now), now)
					}
					x.result.callTime = append(x.result.callTime, ms(now.Sub(arrived)))
				})
			})
		}
		switch {
		case s.pendingRun < appSlots:
			begin(at)
		case len(s.queue) < appQueue:
			s.queue = append(s.queue, begin)
		default:
			if slices.ContainsFunc(x.apps, func(s *staleServer) bool { return s.pendingRun < appSlots }) {
				x.result.callsRejected++
			}
			x.schedule(at.Add(delay), func(now time.Time) { m.RecordFailure(now); m.Release(q, false) })
		}
	})
}

func (r *staleResult) recordDistance(host, server string) {
	r.dispatched++
	if host == server {
		r.zone++
	}
	if zoneRegion[host] == zoneRegion[server] {
		r.region++
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (x *staleWorld) sample(now time.Time) {
	if now.Before(start.Add(3 * time.Second)) {
		return
	}
	var runs []float64
	sum, squares, backlog := 0.0, 0.0, 0.0
	for _, s := range x.engines {
		if now.Before(s.downUntil.Add(2 * time.Second)) {
			continue
		}
		n := float64(len(s.active) + len(s.waiting))
		runs, sum, squares = append(runs, n), sum+n, squares+n*n
		tokens := 0.0
		for _, r := range append(slices.Clone(s.active), s.waiting...) {
			if !r.processed {
				tokens += r.prefillLeft
			}
		}
		backlog = max(backlog, tokens/prefillTokensPerMS)
	}
	n := float64(len(runs))
	x.result.fullest, x.result.emptiest = append(x.result.fullest, slices.Max(runs)), append(x.result.emptiest, slices.Min(runs))
	x.result.spread = append(x.result.spread, math.Sqrt(squares/n-sum/n*sum/n))
	x.result.backlog = append(x.result.backlog, backlog)
	runs = runs[:0]
	for _, s := range x.apps {
		runs = append(runs, float64(s.pendingRun+len(s.queue)))
	}
	x.result.callsFullest, x.result.callsEmptiest = append(x.result.callsFullest, slices.Max(runs)), append(x.result.callsEmptiest, slices.Min(runs))
}

func mean(all []float64) float64 {
	sum := 0.0
	for _, v := range all {
		sum += v
	}
	return sum / float64(max(len(all), 1))
}

func percentile(all []float64, p float64) float64 {
	if len(all) == 0 {
		return 0
	}
	all = slices.Sorted(slices.Values(all))
	return all[int(p*float64(len(all)-1))]
}

func share(all []float64, above float64) float64 {
	n := 0
	for _, v := range all {
		if v > above {
			n++
		}
	}
	return float64(n) / float64(max(len(all), 1))
}

// distances returns the shares of the streams that went to servers of their host's data centre and region.
func (r staleResult) distances() (inZone, inRegion float64) {
	return float64(r.zone) / float64(r.dispatched), float64(r.region) / float64(r.dispatched)
}

func (r staleResult) String() string {
	inZone, inRegion := r.distances()
	return fmt.Sprintf("engines: fullest %.2f (p99 %.0f), emptiest %.2f, deviation %.3f, longest backlog %.0f ms (p99 %.0f); prompt waits %.0f ms (p95 %.0f, p99 %.0f), first event p50 %.0f, p95 %.0f, p99 %.0f, above 4 s %.4f; "+
		"calls: fullest %.2f (p99 %.0f), emptiest %.2f, wait %.2f ms (p99 %.0f), time p50 %.0f, p95 %.0f, p99 %.0f, above 250 ms %.4f, rejected %d; rejected %d (%d with slots free), no server %d, interrupted %d of %d; %.2f within the data centre, %.2f within the region",
		mean(r.fullest), percentile(r.fullest, 0.99), mean(r.emptiest), mean(r.spread), mean(r.backlog), percentile(r.backlog, 0.99), mean(r.promptWait), percentile(r.promptWait, 0.95), percentile(r.promptWait, 0.99),
		percentile(r.firstEvent, 0.5), percentile(r.firstEvent, 0.95), percentile(r.firstEvent, 0.99), share(r.firstEvent, 4000),
		mean(r.callsFullest), percentile(r.callsFullest, 0.99), mean(r.callsEmptiest), mean(r.callWait), percentile(r.callWait, 0.99), percentile(r.callTime, 0.5), percentile(r.callTime, 0.95), percentile(r.callTime, 0.99), share(r.callTime, 250), r.callsRejected,
		r.rejected, r.rejectedFree, r.noServer, r.interrupted, r.streams, inZone, inRegion)
}

// Guards against hosts that know servers by stale reports choosing the same idle ones. Compares even load
// with the selection of other services; if MODEL is set, over as many seeds of a minute, and in calm too.
func TestStaleReports(t *testing.T) {
	duration, seeds := 10*time.Second, uint64(1)
	telling := deployment127
	telling.tellsSlowdown = true
	deployments := map[string]deployment{"87 hosts": deployment87, "127 hosts, servers report slowdowns": telling}
	if n, err := strconv.ParseUint(os.Getenv("MODEL"), 10, 64); err == nil {
		duration, seeds = time.Minute, n
		deployments["127 hosts"], deployments["87 hosts, calm"], deployments["127 hosts, calm"] = deployment127, deployment87.calm(), deployment127.calm()
	}
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d.duration = duration
			for seed := range seeds {
				before := d
				before.tellsSlowdown = false
				usual, even := before.run(seed, nil), d.run(seed, func(f *fleet.Fleet) { f.SetEvenLoad(!d.tellsSlowdown) })
				t.Logf("seed %d, usual: %v", seed, usual)
				t.Logf("seed %d, even:  %v", seed, even)
				if mean(even.promptWait) > 0.6*mean(usual.promptWait) {
					t.Errorf("seed %d: prompts wait %.0f ms with even load, %.0f without", seed, mean(even.promptWait), mean(usual.promptWait))
				}
				if mean(even.backlog) > 0.85*mean(usual.backlog) {
					t.Errorf("seed %d: the longest queue of prompts takes %.0f ms with even load, %.0f without", seed, mean(even.backlog), mean(usual.backlog))
				}
				if even.rejectedFree > even.streams/500 {
					t.Errorf("seed %d: %d streams rejected with slots free", seed, even.rejectedFree)
				}
				if percentile(even.callTime, 0.99) > 1.2*percentile(usual.callTime, 0.99) {
					t.Errorf("seed %d: calls take up to %.0f ms with even load, %.0f without", seed, percentile(even.callTime, 0.99), percentile(usual.callTime, 0.99))
				}
				if inZone, inRegion := even.distances(); inZone < 0.6 || inRegion < 0.8 {
					t.Errorf("seed %d: %.2f of the requests go to servers of their data centre, %.2f of their region", seed, inZone, inRegion)
				}
			}
		})
	}
}

// Guards against a prompt that comes again going elsewhere than where it is cached, and against new prompts
// going where they would be if their requests were not spread: each host chooses the best server.
func TestEvenLoadKeepsPromptsWhereTheyAre(t *testing.T) {
	f := fleet.New(fleet.Topology{DataCentre: "a", Regions: zoneRegion})
	for _, zone := range zones {
		addServers(f, 19, "llm", zone, 16)
	}
	f.SetEvenLoad(true)
	work := make(map[string]fleet.Work)
	for i, id := range f.IDs() {
		work[id] = fleet.Work{Running: i % 3, Prompts: 4000 * (i % 3), Memory: 9300 * (i % 3)}
	}
	f.RecordPeerWork("others", work, start.Add(-500*time.Millisecond))
	same, seen := 0, make(map[string]bool)
	for i := range 200 {
		q := promptQuery(start)
		q.Prompt = fmt.Sprint("prompt-", i)
		first := f.Reserve(q)
		seen[first.ID()] = true
		q.CachedOn = first.ID()
		if m := f.Reserve(q); m != first {
			t.Fatalf("prompt %d is sent to %s, and then to %s", i, first.ID(), m.ID())
		}
		first.Release(q, false)
		first.Release(q, false)
		q.CachedOn = ""
		again := f.Reserve(q)
		if again == first {
			same++
		}
		again.Release(q, false)
	}
	if same < 150 || len(seen) < 12 {
		t.Errorf("%d of 200 prompts that come again go to the same server, want most; they use %d servers, want many", same, len(seen))
	}
}

// Guards against services getting even load whose servers don't report their speed: the best server gets
// the next request there.
func TestOnlyServersThatReportSlowdownsGetEvenLoad(t *testing.T) {
	for slowdown, want := range map[float64]bool{0: false, 1: true} {
		f := fleet.New(topology)
		addServers(f, 10, "llm", "a", 16)
		addServers(f, 10, "other", "a", 16)
		work := make(map[string]fleet.Work)
		for _, id := range f.IDs() {
			work[id] = fleet.Work{Running: 4, Memory: 36000}
		}
		delete(work, "llm-a-3")
		delete(work, "other-a-3")
		f.RecordPeerWork("others", work, start.Add(-500*time.Millisecond))
		f.Find("llm-a-5").RecordLoad(fleet.Load{Running: 4, Slots: 16, Slowdown: slowdown}, start)
		for service, even := range map[string]bool{"llm": want, "other": false} {
			elsewhere := 0
			for range 50 {
				q := promptQuery(start)
				q.Service = service
				m := f.Reserve(q)
				if m.ID() != service+"-a-3" {
					elsewhere++
				}
				m.Release(q, false)
			}
			if even != (elsewhere > 0) {
				t.Errorf("slowdown %v: %d of 50 requests for %s don't go to the idle server, even load wanted: %v", slowdown, elsewhere, service, even)
			}
		}
	}
}
