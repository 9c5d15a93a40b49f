package crashcause

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// reportWindow is how long crashes are reported to other nodes after they were noticed.
	reportWindow = 2 * time.Second
	// foundTogetherWindow is the time between two findings of a cause that nodes make from the
	// same crashes, including the age of reports.
	foundTogetherWindow = 3 * time.Second
	maxReportedCrashes  = 32
	maxReportedSound    = 32
)

// Report is what a node reports to others. Times are ages, as clocks differ.
type Report struct {
	Crashes []CrashReport
	Sound   []SoundReport
	Causes  []CauseReport
}

// CrashReport reports a crash.
type CrashReport struct {
	Server   string
	Age      time.Duration // of the crash
	Noticed  time.Duration // since the reporting node noticed it
	Requests []Request
	LostWith []string
}

// SoundReport reports when a request with a feature last ran well.
type SoundReport struct {
	Feature Feature
	Age     time.Duration
}

// CauseReport reports a cause. Remaining are those of its features that no request has that
// ran well.
type CauseReport struct {
	Features  []Feature
	Remaining []Feature
	Age       time.Duration
	Left      time.Duration // until the cause is tried again, negative if it is being tried
	Crashes   int
	Class     Feature
	Probation *ProbationReport // nil if the cause is not on probation
}

// ProbationReport reports the state of a cause that is on probation.
type ProbationReport struct {
	Awaited bool // the outcome of a trial of this node
	Crashes int  // in trials, that did not convict
	// Comparable is set if other requests of the class had run well when the suspicion arose.
	Comparable bool
	Stored     bool // the suspicion outlives all nodes
}

// Report returns what this node tells others: the requests that it had on servers that have just
// crashed, without the features that it knows to be no cause, and all causes. For the features of
// both it tells when requests with them last ran well.
func (l *List) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r Report
	reported := make(map[Feature]bool)
	for c := range l.allCrashes() {
		if now.Sub(c.Noticed) > reportWindow {
			continue
		}
		for f := range c.features {
			reported[f] = true
		}
		own := l.unproven(c)
		if len(own) == 0 || len(r.Crashes) == maxReportedCrashes {
			continue
		}
		r.Crashes = append(r.Crashes, CrashReport{
			Server: c.Server, Age: now.Sub(c.At), Noticed: now.Sub(c.Noticed), Requests: own, LostWith: slices.Clone(c.LostWith),
		})
		for _, x := range own {
			reported[x.Class] = true
		}
	}
	for _, c := range l.causes {
		x := CauseReport{
			Features: slices.Clone(c.features), Remaining: slices.Clone(c.remaining), Age: now.Sub(c.since), Left: c.until.Sub(now), Crashes: c.crashes, Class: c.class,
		}
		if c.suspicion != nil {
			x.Left = c.suspicion.OpensAt().Sub(now)
			x.Probation = &ProbationReport{Awaited: c.suspicion.awaits(now), Crashes: c.suspicion.Crashes(), Comparable: c.suspicion.comparable, Stored: c.stored}
		}
		r.Causes = append(r.Causes, x)
		if x.Age < soundMemory {
			for _, f := range c.features {
				reported[f] = true
			}
		}
	}
	for f := range reported {
		if at, known := l.sound.Last(f); known && now.Sub(at) < soundMemory && len(r.Sound) < maxReportedSound {
			r.Sound = append(r.Sound, SoundReport{Feature: f, Age: now.Sub(at)})
		}
	}
	return r
}

// unproven returns the requests that this node had on a server, with those of their features
// that may have caused its crash.
func (l *List) unproven(c *crash) []Request {
	var all []Request
	for _, r := range c.own {
		r.Features = slices.DeleteFunc(slices.Clone(r.Features), func(f Feature) bool { return l.sound.Since(f, c.At.Add(-soundMemory)) })
		if len(r.Features) > 0 {
			all = append(all, r)
		}
	}
	return all
}

// Recent returns the report with those crashes only that were noticed within age, and all causes.
func (r Report) Recent(age time.Duration) Report {
	r.Crashes = slices.DeleteFunc(slices.Clone(r.Crashes), func(c CrashReport) bool { return c.Noticed > age })
	return r
}

// Add adds the crashes of another node's report that was received some time ago.
func (r *Report) Add(x Report, age time.Duration) {
	for _, c := range x.Crashes {
		c.Age += age
		if c.Noticed += age; c.Noticed <= reportWindow && len(r.Crashes) < maxReportedCrashes {
			r.Crashes = append(r.Crashes, c)
		}
	}
}

// Merge applies another node's report. contacted reports whether a server has sent this node
// anything since a time; crashes of such servers are not recorded. Merge returns the causes that
// are new or were renewed, and whether a crash is new.
func (l *List) Merge(r Report, now time.Time, contacted func(server string, since time.Time) bool) (causes []Cause, crashed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range r.Crashes {
		at := now.Add(-c.Age)
		if c.Age > crashRetention || contacted(c.Server, at) {
			continue
		}
		known := l.find(c.Server, at)
		crashed = crashed || known == nil || slices.ContainsFunc(c.Requests, known.lacks)
		l.mergeCrash(Crash{Server: c.Server, At: at, Noticed: now.Add(-c.Noticed), Requests: c.Requests, LostWith: c.LostWith})
	}
	for _, s := range r.Sound {
		l.recordSound(s.Feature, now.Add(-s.Age))
	}
	for _, c := range r.Causes {
		if x := l.mergeCause(c, now); x != nil && len(x.remaining) > 0 {
			causes = append(causes, Cause{Features: slices.Clone(x.remaining), Until: x.until, Suspected: x.suspicion != nil})
		}
	}
	return causes, crashed || l.released
}

// mergeCause applies a cause that another node reported and returns it if it is new or was
// renewed. Of two versions of a cause the newer one holds; of two that nodes found together, the
// features that remain in both. A suspicion that gave way to a wider one has none left, which says
// nothing against a conviction.
func (l *List) mergeCause(r CauseReport, now time.Time) *cause {
	if len(r.Features) == 0 || len(r.Features) > maxFeatures {
		return nil
	}
	x := &cause{features: r.Features, remaining: slices.Clone(r.Remaining), class: r.Class, since: now.Add(-r.Age), crashes: r.Crashes}
	x.until = now.Add(r.Left + trialHeadStart + time.Duration(quarantineSpread*rand.Float64()*float64(firstQuarantine)))
	if r.Probation != nil {
		x.stored = r.Probation.Stored
		x.suspicion = newSuspicion(now)
		x.suspicion.Postpone(now.Add(max(r.Left, 0)))
		x.until = x.suspicion.OpensAt()
	}
	if x.expired(now) {
		return nil
	}
	known := l.causes[x.key()]
	if known == nil {
		l.acquitSound(x)
		l.addCause(x)
		known = x
		l.mergeProbation(known, r, now)
		return x
	}
	l.mergeProbation(known, r, now)
	together := x.since.Sub(known.since).Abs() <= foundTogetherWindow
	convicted := x.suspicion == nil && known.suspicion != nil && len(x.remaining) > 0
	suspected := x.suspicion != nil && known.suspicion == nil && now.Before(known.until)
	switch {
	case convicted, !together && !suspected && x.since.After(known.since):
		x.stored, x.ownStored = known.stored || x.stored, known.ownStored
		if x.suspicion != nil && known.suspicion != nil && known.suspicion.awaits(now) {
			x.suspicion = known.suspicion
		}
		*known = *x
		l.acquitSound(known)
		l.notify()
		return known
	case together && (x.suspicion == nil || known.suspicion != nil):
		n := len(known.remaining)
		known.remaining = slices.DeleteFunc(known.remaining, func(f Feature) bool { return !slices.Contains(r.Remaining, f) })
		if len(known.remaining) < n {
			l.updateStored(known)
			l.released = true
			l.notify()
		}
	}
	return nil
}

// acquitSound takes the features of requests that have run well out of a cause.
func (l *List) acquitSound(c *cause) {
	for f, at := range l.sound.All() {
		c.acquit(f, at)
	}
}

// mergeProbation applies what another node tells of the trials of a cause.
func (l *List) mergeProbation(c *cause, r CauseReport, now time.Time) {
	if c.suspicion == nil || r.Probation == nil {
		return
	}
	c.stored = c.stored || r.Probation.Stored
	if r.Probation.Awaited {
		c.suspicion.BegunElsewhere(now)
	}
	c.suspicion.comparable = c.suspicion.comparable || r.Probation.Comparable
	c.suspicion.CrashedElsewhere(r.Probation.Crashes, now.Add(r.Left))
}
