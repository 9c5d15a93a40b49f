package driver

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/canary"
	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
	"cicadabeam/core/rollout"
)

// service is the roll-out of a service, as this host knows or drives it. Times are readings of Host.Uptime.
type service struct {
	d       *Driver
	name    string
	done    chan func() // what to do with the result of a call to the store
	calling bool

	driving     bool
	state       rollout.State // that was written or announced last
	revision    freshness.StoreVersion
	confirmedAt time.Duration  // when the last write was sent that is known to have succeeded
	dirty       bool           // state was announced and not written yet
	unresolved  *rollout.State // whether it was written is not known
	completing  bool           // Completed is being written, or may have been, or may yet be

	judge     *canary.Judge
	judgeID   uint64
	verdict   canary.Verdict
	clock     storeClock
	nextTry   time.Duration
	stored    uint64 // ID of the order whose final state the store is known to have
	storedEra uint64
}

// storeClock is a reading of the store's clock.
type storeClock struct {
	ms             int64
	sent, received time.Duration // the clock was read between these
}

// earliest and latest return between which times of the store's clock now is.
func (c storeClock) earliest(now time.Duration) int64 {
	return c.ms + (now - c.received).Milliseconds()
}
func (c storeClock) latest(now time.Duration) int64 { return c.ms + (now - c.sent).Milliseconds() + 1 }

// collect adds the evidence on the current order.
func (s *service) collect(evidence map[string]canary.Report, o rollout.Order, now time.Duration) {
	if o.ID == 0 {
		return
	}
	if s.judge == nil || s.judgeID != o.ID {
		x, _, found := s.d.Table.State(s.name, now)
		if !found || x.ID != o.ID {
			x = rollout.State{}
		}
		s.judge, s.judgeID, s.verdict = canary.NewJudge(o.ID, x.Exposed, x.Bad), o.ID, canary.Verdict{}
	}
	for origin, r := range evidence {
		if x, found := r[s.name]; found {
			s.judge.Merge(origin, x)
		}
	}
}

// step handles the result of a call, and takes the next step.
func (s *service) step(ctx context.Context, o rollout.Order, ordered bool) {
	select {
	case handle := <-s.done:
		s.calling = false
		handle()
	default:
	}
	now := s.d.Uptime()
	if s.driving && now >= s.confirmedAt+rollout.LeaseTime {
		s.stop("lease expired")
	}
	if s.driving {
		s.drive(ctx, s.inputs(o, ordered, now), now)
		return
	}
	if !s.calling && now >= s.nextTry && s.concerns(o, ordered, now) {
		s.load(ctx, func(r records.RolloutRow) { s.consider(ctx, r, o, ordered) })
	}
}

func (s *service) inputs(o rollout.Order, ordered bool, now time.Duration) rollout.Inputs {
	if s.judge != nil {
		s.verdict = s.judge.Verdict()
	}
	p := s.d.Peers
	return rollout.Inputs{
		NowMS: s.clock.earliest(now), Host: s.d.Name, Order: o, Ordered: ordered, Limits: s.d.Limits, Verdict: s.verdict,
		Versions: p.Versions(s.name), Hosts: p.Progress(s.name), Runs: p.UsualDuration(s.name),
		Completing: s.completing,
	}
}

// concerns reports whether this host has to look at the row: the order may have no driver, or the store
// may lack its final state.
func (s *service) concerns(o rollout.Order, ordered bool, now time.Duration) bool {
	known, age, found := s.d.Table.State(s.name, now)
	due := false
	switch {
	case ordered && (!found || known.ID < o.ID):
		due = true
	case found && known.Phase.Final():
		due = s.stored != known.ID || s.storedEra != s.d.Store.Era()
	case found:
		due = age > rollout.PermitTime
	}
	return due && s.d.Peers.ReadsStore()
}

// consider decides on a row that was just read whether this host becomes the driver, or writes again
// what an older copy of the store lacks.
func (s *service) consider(ctx context.Context, r records.RolloutRow, o rollout.Order, ordered bool) {
	now := s.d.Uptime()
	if r.Found {
		s.announce(r.State, s.ageOf(r.State, now))
	}
	known, _, found := s.d.Table.State(s.name, now)
	in := s.inputs(o, ordered, now)
	switch {
	case ordered && (!found || known.ID < o.ID):
		var previous *rollout.State
		if found {
			previous = &known
		}
		s.save(ctx, rollout.Begin(o, previous, in), r.Revision)
	case !found:
	case known.Phase.Final() && r.Found && !known.Supersedes(r.State):
		s.markStored(known)
	case known.Phase.Final():
		s.save(ctx, known, r.Revision)
	case !r.Found:
		s.save(ctx, rollout.TakeOver(known, nil, in), r.Revision)
	case r.State.Driver == s.d.Name || r.State.MayTakeOver(s.clock.earliest(now)) || known.Supersedes(r.State):
		s.save(ctx, rollout.TakeOver(r.State, &known, in), r.Revision)
	default:
		s.retryLater(now)
	}
}

// ageOf returns the time since the driver of a stored state confirmed its lease.
func (s *service) ageOf(x rollout.State, now time.Duration) time.Duration {
	since := s.clock.latest(now) - x.LeaseUntilMS
	return max(0, rollout.LeaseTime+time.Duration(since)*time.Millisecond)
}

func (s *service) markStored(x rollout.State) { s.stored, s.storedEra = x.ID, s.d.Store.Era() }

func (s *service) retryLater(now time.Duration) { s.nextTry = now + retryDelay + rand.N(retryDelay) }

// drive advances a roll-out of which this host is the driver.
func (s *service) drive(ctx context.Context, in rollout.Inputs, now time.Duration) {
	next, decision := rollout.Next(s.state, in)
	if decision == rollout.AnnounceNow {
		s.state, s.dirty = next, true
		s.announce(next, now-s.confirmedAt)
		s.log(next)
	}
	switch {
	case s.calling || now < s.nextTry:
	case s.unresolved != nil:
		s.load(ctx, s.resolve)
	case decision == rollout.WriteFirst:
		s.save(ctx, rollout.Renew(next, s.clock.latest(now)), s.revision)
	case s.dirty || now >= s.confirmedAt+renewInterval(next.Phase):
		s.state = next
		s.save(ctx, rollout.Renew(next, s.clock.latest(now)), s.revision)
	}
}

// renewInterval returns the time between two renewals of the lease. While old servers are drained, a
// host whose permit ends can send to neither version, so that the lease is renewed twice as often.
func renewInterval(p rollout.Phase) time.Duration {
	if p == rollout.Draining {
		return rollout.RenewInterval / 2
	}
	return rollout.RenewInterval
}

// resolve finds out from the row whether a write without a response succeeded. If the row is as it was
// before, the next write settles it: only one of the two can succeed.
func (s *service) resolve(r records.RolloutRow) {
	x := s.unresolved
	s.unresolved = nil
	switch {
	case r.Found && r.State.Driver == x.Driver && r.State.Term == x.Term && r.State.Seq == x.Seq && r.State.LeaseUntilMS == x.LeaseUntilMS:
		s.saved(*x, r.Revision, s.d.Uptime()-s.ageOf(*x, s.d.Uptime()))
	case r.Revision != s.revision:
		s.stop("the row was written by another host")
	}
}

// saved records that a state was written by a call that was sent at a time.
func (s *service) saved(x rollout.State, revision freshness.StoreVersion, sent time.Duration) {
	s.completing = false
	advanced := !s.driving || x.Phase != s.state.Phase || x.Share != s.state.Share || x.ID != s.state.ID
	if s.driving && s.state.Supersedes(x) { // it was announced since
		s.revision, s.confirmedAt = revision, sent
		return
	}
	s.state, s.revision, s.confirmedAt, s.dirty = x, revision, sent, false
	s.driving = !x.Phase.Final()
	if x.Phase.Final() {
		s.markStored(x)
	}
	s.announce(x, s.d.Uptime()-sent)
	if advanced {
		s.log(x)
	}
}

// announce makes a state known to this host and, if it is news, to the others at once.
func (s *service) announce(x rollout.State, age time.Duration) {
	s.d.Table.Merge(x, age, s.d.Uptime())
	if s.driving || x.Phase.Final() {
		s.d.Peers.Notify()
	}
}

// stop ends the driving.
func (s *service) stop(reason string) {
	s.driving, s.unresolved, s.dirty, s.completing = false, nil, false, false
	s.retryLater(s.d.Uptime())
	s.d.Log("rollout driver stopped", map[string]any{"service": s.name, "order": s.state.ID, "term": s.state.Term, "reason": reason})
}

func (s *service) log(x rollout.State) {
	s.d.Log("rollout", map[string]any{
		"service": x.Service, "to": x.Target, "order": x.ID, "term": x.Term, "seq": x.Seq, "phase": x.Phase.String(), "share": x.Share, "reason": x.Reason,
		"exposed": x.Exposed, "bad": x.Bad, "weight": s.verdict.Weight, "verdict_reason": s.verdict.Reason, "lease_age_ms": (s.d.Uptime() - s.confirmedAt).Milliseconds(),
	})
}

// call makes a call to the store in the background. f returns what to do with the result.
func (s *service) call(ctx context.Context, f func(ctx context.Context) func()) {
	s.calling = true
	go func() {
		ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callTimeout))
		defer cancel()
		s.done <- f(ctx)
		select {
		case s.d.wake <- struct{}{}:
		default:
		}
	}()
}

func (s *service) load(ctx context.Context, handle func(r records.RolloutRow)) {
	sent := s.d.Uptime()
	s.call(ctx, func(ctx context.Context) func() {
		r, err := s.d.Store.Load(ctx, s.name)
		received := s.d.Uptime()
		return func() {
			if err != nil {
				s.retryLater(s.d.Uptime())
				return
			}
			s.clock = storeClock{ms: r.NowMS, sent: sent, received: received}
			handle(r)
		}
	})
}

func (s *service) save(ctx context.Context, x rollout.State, revision freshness.StoreVersion) {
	sent := s.d.Uptime()
	s.completing = s.completing || x.Phase == rollout.Completed
	s.call(ctx, func(ctx context.Context) func() {
		v, err := s.d.Store.Save(ctx, x, revision)
		var conflict *records.ConflictError
		return func() {
			switch {
			case err == nil:
				s.saved(x, v, sent)
			case errors.As(err, &conflict):
				if s.driving {
					s.stop("conflict")
				}
				s.nextTry = 0
			case s.driving:
				s.unresolved = &x
				s.retryLater(s.d.Uptime())
			default:
				s.retryLater(s.d.Uptime())
			}
		}
	})
}
