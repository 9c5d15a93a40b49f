package crashcause

import (
	"slices"
	"time"

	"cicadabeam/core/probation"
)

// maxTrialCrashes limits the requests of trials that are kept.
const maxTrialCrashes = 8

// suspicion is a cause on probation: what has it runs as a trial, one request at a time.
type suspicion struct {
	*probation.Probation
	held     bool // by a trial of this node
	trial    Request
	trialAt  time.Time // when it began
	trialEnd time.Time // until when its outcome is awaited
	// retry is set if the trial is a request that was sent before the suspicion arose.
	retry   bool
	crashed []Request // in trials
	// comparable is set if other requests of the class had run well when the suspicion arose.
	comparable bool
}

func newSuspicion(now time.Time) *suspicion { return &suspicion{Probation: probation.New(now)} }

// needsTrial reports whether a cause is tried before it is quarantined. One that some requests on
// crashed servers don't have, while others of the class ran well without it, rests on evidence that
// a trial would hardly add to, and trials cost servers.
func (l *List) needsTrial(c Cause) bool {
	return l.trials && (!c.comparable || l.inAllRequests(c.Features, c.class))
}

func (s *suspicion) begin(r Request, now time.Time) {
	s.trialEnd = s.Begin(now)
	s.held, s.trial, s.trialAt, s.retry = true, r, now, false
}

// awaits reports whether this node awaits the outcome of a trial.
func (s *suspicion) awaits(now time.Time) bool { return s.held && now.Before(s.trialEnd) }

func (s *suspicion) holds(r Request) bool { return s.held && s.trial.equal(r) }

// endedBy reports whether a crash is the outcome of the trial of this node: its request was on the
// server, and not in an attempt of before the trial.
func (s *suspicion) endedBy(x *crash) bool {
	return s.held && !x.At.Before(s.trialAt) && slices.ContainsFunc(x.Requests, s.trial.equal)
}

// maySend reports whether a request is the trial, and is sent to its first server since it is.
func (s *suspicion) maySend(r Request, again bool) bool {
	if !s.holds(r) {
		return false
	}
	may := !again || s.retry
	s.retry = false
	return may
}

// RefusesRetry is like Refuses for a request that was sent before. One that is a trial, or has a
// cause that is not only suspected, is not refused: MaySend decides.
func (l *List) RefusesRetry(r Request, now time.Time) (x Refusal, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.causesWith(r)
	if slices.ContainsFunc(all, func(c *cause) bool { return c.suspicion == nil || c.suspicion.holds(r) }) {
		return Refusal{}, false
	}
	if x, refused = l.admit(r, now); refused {
		return x, true
	}
	for _, c := range all {
		c.suspicion.retry = true
	}
	return Refusal{}, false
}

// otherTrial returns until when a trial of another suspected cause than some is awaited, or the zero
// time if none is or none of these is suspected. Two trials on one server would tell nothing.
func (l *List) otherTrial(all []*cause, now time.Time) time.Time {
	if !slices.ContainsFunc(all, func(c *cause) bool { return c.suspicion != nil }) {
		return time.Time{}
	}
	var until time.Time
	for _, c := range l.causes {
		if c.suspicion != nil && len(c.remaining) > 0 && c.suspicion.awaits(now) && !slices.Contains(all, c) && c.suspicion.trialEnd.After(until) {
			until = c.suspicion.trialEnd
		}
	}
	return until
}

// OnTrial reports whether a request is a trial, which runs on one server only.
func (l *List) OnTrial(r Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.causesWith(r), func(c *cause) bool { return c.suspicion != nil && c.suspicion.holds(r) })
}

// EndTrial records that a request has ended. sent is set if it was sent to a server.
func (l *List) EndTrial(r Request, sent bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.causes {
		if c.suspicion != nil && c.suspicion.holds(r) {
			c.suspicion.trialEnd = c.suspicion.End(sent, now)
			l.notify()
		}
	}
}

// Changed returns a channel that is closed when a request that was refused because of a suspicion
// may be let through.
func (l *List) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting == nil {
		l.waiting = make(chan struct{})
	}
	return l.waiting
}

func (l *List) notify() {
	if l.waiting != nil {
		close(l.waiting)
		l.waiting = nil
	}
}

// TakeReleased reports whether a feature was taken out of a cause since the last call. The crashes
// may then have another cause.
func (l *List) TakeReleased() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	released := l.released
	l.released = false
	return released
}

// endTrials ends the trials of this node whose server has crashed, and draws the conclusion. If crashes of
// other servers ended them, their requests would be sent to a second server.
func (l *List) endTrials(x *crash) {
	var ended []*cause
	for _, c := range l.causesOf(x) {
		if s := c.suspicion; s != nil && s.endedBy(x) {
			s.held = false
			s.Release()
			s.Restart(x.At)
			l.notify()
			ended = append(ended, c)
		}
	}
	if !x.judged {
		l.judgeAmong(x, ended)
	}
}

// judge draws the conclusion from a crash of a server on which a request with a suspected cause was
// known at a time when such requests ran as trials.
func (l *List) judge(x *crash) {
	var all []*cause
	for _, c := range l.causes {
		if !x.judged && c.suspicion != nil && x.At.After(c.suspicion.OpensAt()) && slices.ContainsFunc(x.Requests, c.matches) {
			all = append(all, c)
		}
	}
	l.judgeAmong(x, all)
}

// judgeAmong takes a crash for evidence against the likeliest one of some suspected causes.
func (l *List) judgeAmong(x *crash, all []*cause) {
	likeliest := l.likeliest(all)
	for _, c := range all {
		x.judged = true
		if c == likeliest {
			l.recordTrialCrash(c, x.Requests[slices.IndexFunc(x.Requests, c.matches)], x.At)
			continue
		}
		c.suspicion.Restart(x.At)
	}
}

// recordTrialCrash records that a server crashed under a request with a suspected cause. It convicts
// narrower causes that explain the crash, if there are any, or else the suspected one if nothing
// speaks against it.
func (l *List) recordTrialCrash(c *cause, r Request, at time.Time) {
	s := c.suspicion
	if s.comparable || l.sound.Since(c.class, at.Add(-soundMemory)) {
		l.convict(c, at)
		l.convicted = append(l.convicted, c)
		return
	}
	narrower := l.narrower(c, r, at)
	for _, features := range narrower {
		if !l.quarantines(features) {
			x := newConvicted(features, r.Class, at)
			l.addCause(x)
			l.markChanged(x)
			l.convicted = append(l.convicted, x)
		}
	}
	explained := len(narrower) > 0 || len(s.crashed) == 0
	if len(s.crashed) < maxTrialCrashes && !slices.ContainsFunc(s.crashed, r.equal) {
		s.crashed = append(s.crashed, r)
	}
	if s.Crashed(explained, at) {
		l.convict(c, at)
		l.convicted = append(l.convicted, c)
	}
	l.updateStored(c)
	l.notify()
}

// likeliest returns the one of the suspected causes that explains the most crashes, and of these the
// narrowest, or nil if there is none.
func (l *List) likeliest(all []*cause) *cause {
	var best *cause
	most := 0
	for _, c := range all {
		n := 0
		for x := range l.allCrashes() {
			if slices.ContainsFunc(x.Requests, c.matches) {
				n++
			}
		}
		if best == nil || n > most || n == most && len(c.remaining) > len(best.remaining) {
			best, most = c, n
		}
	}
	return best
}

// narrower returns the sets of features that explain a crash in a trial better than the suspected
// cause does: what the request has in common with that of another trial, and what came with three
// crashes.
func (l *List) narrower(c *cause, r Request, at time.Time) [][]Feature {
	var all [][]Feature
	add := func(keep func(Feature) bool) {
		features := slices.DeleteFunc(slices.Clone(r.Features), func(f Feature) bool {
			return !slices.Contains(c.remaining, f) && (l.sound.Since(f, at.Add(-soundMemory)) || !keep(f))
		})
		if len(features) > len(c.remaining) {
			all = append(all, features)
		}
	}
	for _, x := range c.suspicion.crashed {
		if !x.equal(r) {
			add(x.has)
		}
	}
	add(func(f Feature) bool { return l.crashesWith(f) >= crashThreshold })
	return all
}

func (l *List) crashesWith(f Feature) int {
	n := 0
	for c := range l.allCrashes() {
		if c.has(f) {
			n++
		}
	}
	return n
}

// quarantines reports whether all requests with the features are quarantined.
func (l *List) quarantines(features []Feature) bool {
	return slices.ContainsFunc(l.causesWith(Request{Features: features}), func(x *cause) bool { return x.suspicion == nil })
}

// takeConvicted returns the causes that trials have convicted since the last call.
func (l *List) takeConvicted() []Cause {
	var all []Cause
	for _, c := range l.convicted {
		x := Cause{Features: slices.Clone(c.remaining), Until: c.until}
		for crash := range l.allCrashes() {
			if slices.ContainsFunc(crash.Requests, c.matches) {
				x.Servers = append(x.Servers, crash.Server)
			}
		}
		all = append(all, x)
	}
	l.convicted = nil
	return all
}
