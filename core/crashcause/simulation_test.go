package crashcause_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cicadabeam/core/crashcause"
)

// scenario is a load in virtual time: requests of which some have a part that crashes servers.
type scenario struct {
	nodes, servers, dataCentres int
	soundInterval               time.Duration
	badInterval                 time.Duration
	badParts                    int  // parts that crash servers
	bodyless                    bool // all requests of an organisation have the same fingerprint
	warmUp                      time.Duration
	outages                     bool          // racks are lost now and then
	killedAt                    time.Duration // when all nodes lose what they know, 0 if never
}

const (
	step        = 50 * time.Millisecond
	prefill     = time.Second
	restart     = 2 * time.Second
	contact     = 4 * time.Second
	runTime     = 3 * time.Second
	exchange    = 200 * time.Millisecond
	latency     = 100 * time.Millisecond
	probeDelay  = 300 * time.Millisecond
	evaluateLag = 250 * time.Millisecond
	maxAttempts = 5
	maxHeld     = 2500 * time.Millisecond
)

type simServer struct {
	name       string
	dataCentre int
	backAt     time.Time
	runs       []*simRequest
}

type simRequest struct {
	node     int
	features crashcause.Request
	whole    crashcause.Feature
	bad      bool
	part     int // that crashes servers
	sentAt   time.Time
	attempts int
	sound    bool
	heldAt   time.Time // since when it waits for the outcome of a trial
	counted  bool
}

// partRecord is what happened to the requests with a part that crashes servers.
type partRecord struct {
	crashes   int
	fifthAt   time.Time
	sentAfter int // that reached a server later than contact after the fifth crash
}

type simulation struct {
	scenario
	r           *rand.Rand
	now         time.Time
	start       time.Time
	lists       []*crashcause.List
	fleet       []*simServer
	restarts    int
	lost        map[string]time.Time
	later       map[time.Time][]func()
	byPart      []partRecord
	soundSent   int // sound requests later than two times that
	soundBegun  int // of these, those that a server began to run at the first attempt
	soundDenied int
	convicted   int
	soundHeld   int // that waited for the outcome of a trial
	soundAll    int
}

func (s *simulation) at(d time.Duration, f func()) {
	t := s.now.Add(d).Truncate(step)
	if !t.After(s.now) {
		t = s.now.Add(step)
	}
	s.later[t] = append(s.later[t], f)
}

func newSimulation(x scenario, seed uint64) *simulation {
	start := time.Unix(1e9, 0)
	s := &simulation{scenario: x, r: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, lost: make(map[string]time.Time), later: make(map[time.Time][]func())}
	s.byPart = make([]partRecord, x.badParts)
	for range x.nodes {
		s.lists = append(s.lists, crashcause.New())
	}
	for i := range x.servers {
		s.fleet = append(s.fleet, &simServer{name: fmt.Sprint("s", i), dataCentre: i % x.dataCentres})
	}
	return s
}

func (s *simulation) run(d time.Duration) {
	var soundAt, badAt time.Time
	badAt = s.start.Add(s.warmUp)
	for s.now.Sub(s.start) < d {
		s.now = s.now.Add(step)
		for _, f := range s.later[s.now] {
			f()
		}
		delete(s.later, s.now)
		for !s.now.Before(soundAt) {
			soundAt = s.now.Add(time.Duration(s.r.ExpFloat64() * float64(s.soundInterval)))
			s.send(s.newRequest(false))
		}
		for !s.now.Before(badAt) {
			badAt = s.now.Add(time.Duration(s.r.ExpFloat64() * float64(s.badInterval)))
			s.send(s.newRequest(true))
		}
		if s.outages && s.r.IntN(100) == 0 {
			s.loseRack()
		}
		if s.now.Sub(s.start) == s.killedAt {
			for i := range s.lists {
				s.lists[i] = crashcause.New()
			}
		}
		if s.now.Sub(s.start)%exchange == 0 {
			s.exchange()
		}
	}
}

func (s *simulation) newRequest(bad bool) *simRequest {
	q := &simRequest{node: s.r.IntN(s.nodes), bad: bad}
	organisation := s.r.IntN(6)
	parts := []string{"first", fmt.Sprint("organisation-", organisation), fmt.Sprint("subject-", s.r.IntN(40))}
	if bad {
		q.part = s.r.IntN(s.badParts)
		parts = slices.Insert(parts, 1+s.r.IntN(3), fmt.Sprint("bad-", q.part))
	}
	q.whole = crashcause.WholeRequest(s.r.Uint64())
	if s.bodyless {
		q.whole = crashcause.WholeRequest(uint64(organisation))
	}
	features := []crashcause.Feature{q.whole}
	for _, p := range parts {
		features = append(features, crashcause.PromptPart("m", p))
	}
	q.features = crashcause.NewRequest("m", features...)
	return q
}

// late reports whether more than a time has passed since the fifth crash under a part.
func (s *simulation) late(part int, d time.Duration) bool {
	fifthAt := s.byPart[part].fifthAt
	return !fifthAt.IsZero() && s.now.Sub(fifthAt) > d
}

// admitted reports whether a request may be sent now. One that waits for the outcome of a trial is
// sent later.
func (s *simulation) admitted(q *simRequest) bool {
	l := s.lists[q.node]
	check := l.Refuses
	switch {
	case q.attempts > 0:
		check = l.RefusesRetry
	case !q.heldAt.IsZero():
		check = l.StillRefuses
	}
	x, refused := check(q.features, s.now)
	if !refused {
		may := q.attempts == 0 || l.MaySend(q.features, true, s.now)
		if !may {
			l.EndTrial(q.features, true, s.now)
		}
		return may
	}
	if q.heldAt.IsZero() {
		q.heldAt = s.now
		if !q.bad && q.attempts == 0 {
			s.soundHeld++
		}
	}
	if x.Suspected && s.now.Sub(q.heldAt) < maxHeld {
		s.at(step, func() { s.send(q) })
		return false
	}
	if !q.bad {
		s.soundDenied++
	}
	return false
}

func (s *simulation) send(q *simRequest) {
	first := q.attempts == 0
	if !q.bad && first && q.heldAt.IsZero() {
		s.soundAll++
	}
	if !q.bad && first && q.heldAt.IsZero() && s.late(0, 2*contact) {
		q.counted = true
		s.soundSent++
	}
	if !s.admitted(q) {
		return
	}
	if s.lists[q.node].OnTrial(q.features) {
		s.reportFrom(q.node)
	}
	q.heldAt = time.Time{}
	var up []*simServer
	for _, x := range s.fleet {
		if !s.now.Before(x.backAt) {
			up = append(up, x)
		}
	}
	if q.attempts == maxAttempts || len(up) == 0 {
		s.lists[q.node].EndTrial(q.features, false, s.now)
		return
	}
	if q.bad && s.late(q.part, contact) {
		s.byPart[q.part].sentAfter++
	}
	if q.counted && first {
		s.soundBegun++
	}
	q.attempts++
	q.sentAt = s.now
	q.sound = false
	x := up[s.r.IntN(len(up))]
	x.runs = append(x.runs, q)
	name, sent := x.name, s.now
	current := func() bool { return x.name == name && q.sentAt.Equal(sent) && slices.Contains(x.runs, q) }
	s.at(prefill+time.Duration(s.r.IntN(300))*time.Millisecond, func() {
		if !current() {
			return
		}
		if q.bad {
			p := &s.byPart[q.part]
			if p.crashes++; p.crashes == 5 {
				p.fifthAt = s.now
			}
			s.crash([]*simServer{x})
			return
		}
		s.at(time.Second, func() {
			if current() {
				q.sound = true
				s.recordSound(q)
			}
		})
		s.at(runTime, func() {
			if current() {
				x.runs = slices.DeleteFunc(x.runs, func(r *simRequest) bool { return r == q })
				s.recordSound(q)
			}
		})
	})
}

func (s *simulation) recordSound(q *simRequest) {
	l := s.lists[q.node]
	l.RecordSound(q.features, s.now)
	l.EndTrial(q.features, true, s.now)
	if l.TakeReleased() {
		s.evaluate(q.node)
	}
}

// crash ends servers at the same moment.
func (s *simulation) crash(all []*simServer) {
	for _, x := range all {
		s.lost[x.name] = s.now
	}
	for _, x := range all {
		name, runs := x.name, x.runs
		s.restarts++
		x.runs, x.backAt = nil, s.now.Add(restart)
		x.name = fmt.Sprint(name, "'", s.restarts)
		for _, q := range runs {
			s.at(probeDelay, func() { s.report(q, name, x.dataCentre) })
			s.send(q)
		}
	}
}

func (s *simulation) report(q *simRequest, server string, dataCentre int) {
	r := q.features
	if q.sound {
		r.Features = []crashcause.Feature{q.whole}
	}
	c := crashcause.Crash{Server: server, At: s.now, Requests: []crashcause.Request{r}}
	for other, at := range s.lost {
		if other != server && at.Sub(s.lost[server]).Abs() <= 500*time.Millisecond && s.dataCentreOf(other) == dataCentre {
			c.LostWith = append(c.LostWith, other)
		}
	}
	s.lists[q.node].RecordCrash(c)
	s.at(evaluateLag, func() { s.evaluate(q.node) })
}

func (s *simulation) dataCentreOf(server string) int {
	n := 0
	_, _ = fmt.Sscanf(server, "s%d", &n)
	return n % s.dataCentres
}

func (s *simulation) loseRack() {
	d := s.r.IntN(s.dataCentres)
	var all []*simServer
	for _, x := range s.fleet {
		if x.dataCentre == d && !s.now.Before(x.backAt) && len(all) < 1+s.servers/s.dataCentres/3 {
			all = append(all, x)
		}
	}
	s.crash(all)
}

func (s *simulation) exchange() {
	for a := range s.lists {
		s.reportFrom(a)
	}
}

// reportFrom sends the report of a node to all others.
func (s *simulation) reportFrom(a int) {
	never := func(string, time.Time) bool { return false }
	r := s.lists[a].Report(s.now)
	s.at(latency, func() {
		for b := range s.lists {
			if b == a {
				continue
			}
			if _, crashed := s.lists[b].Merge(r, s.now, never); crashed {
				s.at(evaluateLag, func() { s.evaluate(b) })
			}
		}
	})
}

func TestPartThatCrashesServersIsFoundUnderLoad(t *testing.T) {
	base := scenario{nodes: 5, servers: 18, dataCentres: 3, soundInterval: 300 * time.Millisecond, badInterval: 400 * time.Millisecond, badParts: 1, warmUp: 10 * time.Second}
	cases := map[string]func(x *scenario){
		"some hosts": func(*scenario) {},
		"one host":   func(x *scenario) { x.nodes = 1 },
		"many hosts": func(x *scenario) {
			x.nodes, x.servers, x.dataCentres, x.soundInterval = 24, 100, 6, 40*time.Millisecond
		},
		"requests without bodies": func(x *scenario) { x.bodyless = true },
		"from the start":          func(x *scenario) { x.warmUp = 0 },
		"few sound requests":      func(x *scenario) { x.soundInterval = 3 * time.Second },
		"many requests with it":   func(x *scenario) { x.badInterval = 80 * time.Millisecond },
		"few servers":             func(x *scenario) { x.servers, x.dataCentres = 4, 1 },
		"beside outages":          func(x *scenario) { x.outages = true },
		"two parts":               func(x *scenario) { x.badParts = 2 },
		"two parts, no traffic":   func(x *scenario) { x.badParts, x.warmUp, x.soundInterval = 2, 0, 10*time.Second },
		"hosts are killed":        func(x *scenario) { x.killedAt = x.warmUp + 1500*time.Millisecond },
		"killed beside outages":   func(x *scenario) { x.killedAt, x.outages = x.warmUp+1500*time.Millisecond, true },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				x := base
				change(&x)
				s := newSimulation(x, seed)
				s.run(60 * time.Second)
				for _, p := range s.byPart {
					if p.sentAfter > 3 {
						t.Errorf("seed %d: %d requests with the part were sent later than %v after the fifth crash, of %d", seed, p.sentAfter, contact, p.crashes)
					}
				}
				if s.soundSent >= 20 && 2*s.soundBegun < s.soundSent {
					t.Errorf("seed %d: %d of %d sound requests began at the first attempt", seed, s.soundBegun, s.soundSent)
				}
				if s.soundDenied > 0 {
					t.Logf("seed %d: %d sound requests refused, crashes %v", seed, s.soundDenied, s.byPart)
				}
			}
		})
	}
}

func TestOutagesQuarantineNoPart(t *testing.T) {
	for seed := range uint64(8) {
		s := newSimulation(scenario{nodes: 5, servers: 18, dataCentres: 3, soundInterval: 200 * time.Millisecond, badInterval: time.Hour, badParts: 1, warmUp: time.Hour, outages: true}, seed)
		s.run(60 * time.Second)
		if s.convicted > 0 || s.soundDenied > 0 || 50*s.soundHeld > s.soundAll {
			t.Errorf("seed %d: %d causes were convicted, %d sound requests refused, and %d of %d had to wait", seed, s.convicted, s.soundDenied, s.soundHeld, s.soundAll)
		}
	}
}

func (s *simulation) evaluate(node int) {
	for _, c := range s.lists[node].Evaluate(s.now) {
		if !c.Suspected {
			s.convicted++
		}
	}
}
