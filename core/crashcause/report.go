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
		r.Causes = append(r.Causes, CauseReport{
			Features: slices.Clone(c.features), Remaining: slices.Clone(c.remaining), Age: now.Sub(c.since), Left: c.until.Sub(now), Crashes: c.crashes,
		})
		for _, f := range c.features {
			reported[f] = true
		}
	}
	for f := range reported {
		if at, known := l.sound[f]; known && now.Sub(at) < soundMemory && len(r.Sound) < maxReportedSound {
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
		r.Features = slices.DeleteFunc(slices.Clone(r.Features), func(f Feature) bool { return l.soundSince(f, c.At.Add(-soundMemory)) })
		if len(r.Features) > 0 {
			all = append(all, r)
		}
	}
	return all
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
			causes = append(causes, Cause{Features: slices.Clone(x.remaining), Until: x.until})
		}
	}
	return causes, crashed
}

// mergeCause applies a cause that another node reported and returns it if it is new or was
// renewed. Of two versions of a cause the newer one holds; of two that nodes found together, the
// features that remain in both.
func (l *List) mergeCause(r CauseReport, now time.Time) *cause {
	if len(r.Features) == 0 || len(r.Features) > maxFeatures {
		return nil
	}
	x := &cause{features: r.Features, remaining: slices.Clone(r.Remaining), since: now.Add(-r.Age), crashes: r.Crashes}
	x.until = now.Add(r.Left + trialHeadStart + time.Duration(quarantineSpread*rand.Float64()*float64(firstQuarantine)))
	if x.expired(now) {
		return nil
	}
	known := l.causes[x.key()]
	switch {
	case known == nil:
		for f, at := range l.sound {
			x.acquit(f, at)
		}
		l.addCause(x)
		return x
	case x.since.Sub(known.since) > foundTogetherWindow:
		*known = *x
		return known
	case known.since.Sub(x.since) <= foundTogetherWindow:
		known.remaining = slices.DeleteFunc(known.remaining, func(f Feature) bool { return !slices.Contains(r.Remaining, f) })
	}
	return nil
}
