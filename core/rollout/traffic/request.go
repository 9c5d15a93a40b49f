package traffic

import (
	"time"

	"cicadabeam/core/canary"
	"cicadabeam/core/fleet"
	"cicadabeam/core/rollout"
)

// Request is a caller's request. It is used by one goroutine; its attempts may be used by others.
type Request struct {
	t       *Traffic
	service string
	route   string
	chosen  bool // the first attempt has been selected
	pending *Attempt
	bound   bool // it has to go on at the servers of version
	version string
	began   time.Duration
	served  bool // a server was reserved
}

// Attempt is one attempt of a request on a server. It is used by one goroutine at a time.
type Attempt struct {
	t       *Traffic
	service string
	route   string
	member  *fleet.Member
	choice  rollout.Choice
	spends  bool // the choice took credit
	sent    bool
	ended   bool
	count   *canary.Attempt
}

// Outcome is what became of an attempt.
type Outcome int

// The outcomes of attempts.
const (
	Unknown Outcome = iota // it says nothing about the server's software
	Sound
	Failed
)

// Begin begins a request. It returns nil if roll-outs are disabled.
func (t *Traffic) Begin(service, route string) *Request {
	if t == nil {
		return nil
	}
	return &Request{t: t, service: service, route: route, began: t.uptime()}
}

// versions applies a choice to a query.
type versions struct{ choice rollout.Choice }

// Allows implements fleet.Versions.
func (v versions) Allows(version string) bool { return v.choice.Allows(version) }

// LastResort implements fleet.Versions.
func (v versions) LastResort(version string) bool { return v.choice.LastResort(version) }

// Subset implements fleet.Versions.
func (v versions) Subset(_ string, ids []string) []string {
	if v.choice.New() {
		return v.choice.Servers(ids)
	}
	return ids
}

func limited(q fleet.Query, c rollout.Choice) fleet.Query {
	q.Versions = nil
	if !c.Any() {
		q.Versions = versions{c}
	}
	return q
}

// Reserve reserves a server as fleet.Reserve does, of the version that is selected for the request. A
// query that asks for a version itself is not limited further.
func (r *Request) Reserve(f *fleet.Fleet, q fleet.Query) *fleet.Member {
	if r == nil {
		return f.Reserve(q)
	}
	if q.Version != "" {
		return r.reserve(f, q, rollout.Choice{}, false)
	}
	if !r.chosen {
		r.chosen = true
		c := r.t.table.Choose(r.service, r.route, r.t.uptime())
		if m := r.reserve(f, limited(q, c), c, c.New()); m != nil {
			return m
		}
	}
	c := r.t.table.Fallback(r.service, r.t.uptime())
	return r.reserve(f, limited(q, c), c, false)
}

// reserve reserves a server and counts the run there. Credit that is not spent is given back.
func (r *Request) reserve(f *fleet.Fleet, q fleet.Query, c rollout.Choice, spends bool) *fleet.Member {
	m := f.Reserve(q)
	if m != nil && !r.t.enter(r.service, m.Version()) {
		m.Release(q, false)
		m = nil
	}
	if m == nil {
		if spends {
			r.t.table.Release(c)
		}
		return nil
	}
	r.pending = &Attempt{t: r.t, service: r.service, route: r.route, member: m, choice: c, spends: spends}
	return m
}

// Limit returns a query for a given server with the limits of an attempt after the first one.
func (r *Request) Limit(q fleet.Query) fleet.Query {
	if r == nil || q.Version != "" {
		return q
	}
	return limited(q, r.t.table.Fallback(r.service, r.t.uptime()))
}

// Attempt begins an attempt on a server that was reserved, by Reserve or otherwise.
func (r *Request) Attempt(m *fleet.Member) *Attempt {
	if r == nil {
		return nil
	}
	a := r.pending
	r.pending, r.served = nil, true
	if a == nil || a.member != m {
		a = &Attempt{t: r.t, service: r.service, route: r.route, member: m}
		r.t.mu.Lock()
		r.t.runs[runKey{r.service, m.Version()}]++
		r.t.mu.Unlock()
	}
	return a
}

// Bind records that the request has to go on at the servers of a version.
func (r *Request) Bind(version string) {
	if r == nil || r.bound {
		return
	}
	r.bound, r.version = true, version
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	r.t.runs[runKey{r.service, version}]++
}

// End ends the request.
func (r *Request) End() {
	if r == nil {
		return
	}
	if r.served {
		r.t.usual.Record(r.service, r.t.uptime()-r.began, time.Now())
	}
	if r.bound {
		r.t.leave(r.service, r.version)
	}
}

// Sent records that the request was sent, at least in part.
func (a *Attempt) Sent() {
	if a == nil {
		return
	}
	a.sent = true
	now := a.t.uptime()
	version := a.member.Version()
	a.t.table.Sent(a.service, version, now)
	ms, timed := a.t.table.StoreMS(a.service, now)
	if s, _, found := a.t.table.State(a.service, now); timed && found && !s.Phase.Final() {
		a.count = a.t.recorder.Begin(canary.Request{Service: a.service, Route: a.route, Server: a.member.ID(), DataCentre: a.member.DataCentre(), New: version == s.Target}, ms)
	}
}

// Respond records the time to the response or the first event, 0 if it says nothing about the server's
// software.
func (a *Attempt) Respond(took time.Duration) {
	if a != nil {
		a.count.Respond(took)
	}
}

// End ends the attempt. gap is the mean time between the events of a stream, 0 if it is not known.
// Only the first call has an effect.
func (a *Attempt) End(o Outcome, gap time.Duration) {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	a.t.leave(a.service, a.member.Version())
	if !a.sent && a.spends {
		a.t.table.Release(a.choice)
	}
	if o == Unknown {
		a.count.Cancel()
		return
	}
	a.count.End(o == Failed, gap)
}
