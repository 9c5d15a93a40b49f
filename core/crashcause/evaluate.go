package crashcause

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspect is a feature of requests that were starting on servers as these crashed.
type suspect struct {
	feature Feature
	class   Feature
	crashes []*crash // in order of time
	// shielded are the crashes that may have the cause that other servers were lost for.
	shielded []*crash
	// beside are the shielded crashes of a suspect that has enough others.
	beside   []*crash
	requests int
	// unexplained counts the crashes that no known cause explains.
	unexplained int
}

// nextCause returns the likeliest cause that no known cause covers. It returns false if there is
// none.
func (l *List) nextCause(now time.Time) (Cause, bool) {
	var broad *Cause
	for _, s := range l.suspects(now) {
		if !l.narrowedInVain(s) {
			s = l.narrowest(s)
		}
		c := l.causeOf(s, l.share())
		if l.trials && (l.covered(c.Features) || l.hasNarrower(s.feature)) && s.withoutCause(l) >= refutedThreshold {
			c = l.causeOf(s, 1)
			c.Suspected = c.Suspected && !(c.comparable && l.widensConvicted(c.Features))
		}
		switch {
		case l.covered(c.Features) || s.unexplained == 0 && !l.unites(c):
		case c.comparable || !l.inAllRequests(c.Features, s.class):
			return c, true
		case broad == nil && s.unexplained >= crashThreshold:
			broad = &c
		}
	}
	if broad == nil {
		return Cause{}, false
	}
	return *broad, true
}

// share returns the share of the requests with a feature from which another one belongs to the same
// cause. A suspicion that is too wide is refuted by one run, while one that is too narrow lets the
// requests through that it misses.
func (l *List) share() float64 {
	if l.trials {
		return 1
	}
	return commonShare
}

// causeOf returns the cause that a suspect stands for: its feature and those that a share of the
// requests with it have in common.
func (l *List) causeOf(s suspect, share float64) Cause {
	return Cause{
		Features: l.inCommon(s, share), Servers: s.servers(), class: s.class, comparable: l.comparable(s), Suspected: !s.ranAlone(),
	}
}

// widensConvicted reports whether a trial has convicted a cause that has the features and others.
func (l *List) widensConvicted(features []Feature) bool {
	for _, x := range l.causes {
		if x.suspicion == nil && x.crashes > 0 && len(x.remaining) > len(features) && (Request{Features: x.remaining}).hasAll(features) {
			return true
		}
	}
	return false
}

// hasNarrower reports whether a known cause has a feature and others.
func (l *List) hasNarrower(f Feature) bool {
	for _, x := range l.causes {
		if len(x.remaining) > 1 && slices.Contains(x.remaining, f) {
			return true
		}
	}
	return false
}

// withoutCause counts the crashes that no known cause explains, suspected ones included.
func (s suspect) withoutCause(l *List) int {
	n := 0
	for _, c := range slices.Concat(s.crashes, s.beside) {
		if len(l.causesOf(c)) == 0 {
			n++
		}
	}
	return n
}

// within returns the other features of the requests with the feature of a suspect, with those of
// its crashes that they were in. That other servers were lost says nothing between them: on these
// some request with the more frequent feature is likely to be known.
func (l *List) within(s suspect) []suspect {
	all := make(map[Feature]*suspect)
	for _, c := range s.crashes {
		for _, r := range c.Requests {
			if !r.has(s.feature) {
				continue
			}
			for _, f := range r.Features {
				if f != s.feature && !l.acquitted(f, c) {
					all[f] = all[f].with(f, r.Class, c)
				}
			}
		}
	}
	var found []suspect
	for _, f := range slices.Sorted(maps.Keys(all)) {
		x := all[f]
		x.shielded, x.unexplained = x.crashes, s.unexplained
		found = append(found, *x)
	}
	return found
}

// with adds a request that was on a server as it crashed.
func (s *suspect) with(f, class Feature, c *crash) *suspect {
	if s == nil {
		s = &suspect{feature: f, class: class}
	}
	if !s.contains(c) {
		s.crashes = append(s.crashes, c)
	}
	s.requests++
	return s
}

// isAccompanied reports whether other requests with a feature were on at least half of the servers
// that crashed.
func (s suspect) isAccompanied(f Feature) bool {
	n := 0
	for _, c := range s.crashes {
		if slices.ContainsFunc(c.Requests, func(r Request) bool { return r.has(f) && !r.has(s.feature) }) {
			n++
		}
	}
	return 2*n >= len(s.crashes)
}

// ranAlone returns whether one and the same request was alone on three of the servers as these
// crashed, none of them beside another loss. These were trials already.
func (s suspect) ranAlone() bool {
	var alone []*crash
	for _, c := range s.crashes {
		if len(c.Requests) == 1 && len(c.LostWith) == 0 && (len(alone) == 0 || alone[0].Requests[0].equal(c.Requests[0])) {
			alone = append(alone, c)
		}
	}
	return len(alone) >= crashThreshold && moments(alone) >= crashThreshold
}

// isShared reports whether different requests have the feature.
func (s suspect) isShared() bool {
	var first *Request
	for _, c := range s.crashes {
		for i, r := range c.Requests {
			switch {
			case !r.has(s.feature):
			case first == nil:
				first = &c.Requests[i]
			case !first.equal(r):
				return true
			}
		}
	}
	return false
}

func (s suspect) servers() []string {
	var all []string
	for _, c := range s.crashes {
		all = append(all, c.Server)
	}
	return all
}

// suspects returns the features with enough crashes, the likeliest ones first: those with the
// most crashes, of these the ones with the most beside other losses, and then those that the fewest
// requests have.
func (l *List) suspects(now time.Time) []suspect {
	crashes := make(map[Feature]int)
	for c := range l.allCrashes() {
		for f := range c.features {
			crashes[f]++
		}
	}
	all := make(map[Feature]*suspect)
	for c := range l.allCrashes() {
		if now.Sub(c.At) > crashRetention {
			continue
		}
		explained := slices.ContainsFunc(l.causesOf(c), func(x *cause) bool { return x.suspicion == nil })
		for _, r := range c.Requests {
			for _, f := range r.Features {
				if crashes[f] >= crashThreshold {
					l.addSuspicion(all, f, r.Class, c, explained)
				}
			}
		}
	}
	var ranked []suspect
	for _, s := range all {
		sortByTime(s.crashes)
		switch {
		case len(s.crashes) >= crashThreshold && span(s.crashes) >= minCrashSpan, len(s.crashes) >= outageThreshold && s.totalSpan() >= minCrashSpan:
			s.beside, s.shielded = s.shielded, nil
			ranked = append(ranked, *s)
		case l.outlastsOutages(s, now):
			ranked = append(ranked, *s)
		}
	}
	slices.SortFunc(ranked, func(a, b suspect) int {
		return cmp.Or(
			cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(len(b.beside), len(a.beside)), cmp.Compare(a.requests, b.requests), cmp.Compare(a.feature, b.feature),
		)
	})
	return ranked
}

// span returns the time from the first to the last of some crashes in order of time.
func span(all []*crash) time.Duration { return all[len(all)-1].At.Sub(all[0].At) }

// totalSpan returns the time from the first to the last crash of a suspect, shielded or not.
func (s *suspect) totalSpan() time.Duration {
	all := append(slices.Clone(s.crashes), s.shielded...)
	sortByTime(all)
	return span(all)
}

func sortByTime(all []*crash) {
	slices.SortFunc(all, func(a, b *crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server)) })
}

// outlastsOutages reports whether a suspect had servers crash at so many different moments that
// it is unlikely to be there by chance, although other servers were lost at each of them. While
// nothing of its class runs well, any crashes are enough, as a trial can refute the suspicion.
// outlastsOutages adds these crashes to the others of the suspect.
func (l *List) outlastsOutages(s *suspect, now time.Time) bool {
	all := append(slices.Clone(s.crashes), s.shielded...)
	sortByTime(all)
	untested := l.trials && len(all) >= crashThreshold && !l.sound.Since(s.class, now.Add(-soundMemory))
	if !untested && moments(all) < outageThreshold {
		return false
	}
	s.crashes = all
	return untested || l.comparable(*s)
}

// moments returns the number of times, more than lostTogetherWindow apart, at which servers
// crashed.
func moments(all []*crash) int {
	n := 0
	var last time.Time
	for _, c := range all {
		if n == 0 || c.At.Sub(last) > lostTogetherWindow {
			n++
			last = c.At
		}
	}
	return n
}

func (l *List) addSuspicion(all map[Feature]*suspect, f, class Feature, c *crash, explained bool) {
	s := all[f]
	if s == nil {
		s = &suspect{feature: f, class: class}
		all[f] = s
	}
	if !s.contains(c) {
		if l.acquitted(f, c) {
			return
		}
		if l.shielded(f, c) {
			s.shielded = append(s.shielded, c)
		} else {
			s.crashes = append(s.crashes, c)
		}
		if !explained {
			s.unexplained++
		}
	}
	s.requests++
}

// contains reports whether the crash that was added last is c.
func (s *suspect) contains(c *crash) bool {
	isLast := func(all []*crash) bool { return len(all) > 0 && all[len(all)-1] == c }
	return isLast(s.crashes) || isLast(s.shielded)
}

// acquitted reports whether a request with a feature has run well since shortly before a crash.
func (l *List) acquitted(f Feature, c *crash) bool { return l.sound.Since(f, c.At.Add(-soundMemory)) }

// shielded reports whether other servers were lost with one that crashed, and no requests with a
// feature are known to have been starting on them.
func (l *List) shielded(f Feature, c *crash) bool {
	for _, id := range c.LostWith {
		other := l.find(id, c.At)
		if other == nil || !other.has(f) {
			return true
		}
	}
	return false
}

// Suspects reports whether one more crash may be enough for a feature of a request to be taken
// for a cause. Under requests with some features, unrecorded, a server may just have crashed.
func (l *List) Suspects(r Request, now time.Time, unrecorded ...Feature) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(r.Features, func(f Feature) bool {
		n := 0
		for c := range l.allCrashes() {
			if now.Sub(c.At) <= crashRetention && c.has(f) && !l.acquitted(f, c) {
				n++
			}
		}
		if n > 0 && slices.Contains(unrecorded, f) {
			n++
		}
		return n >= crashThreshold-1
	})
}

// inCommon returns the feature of a suspect and further ones that a share of the different requests
// with it have in common.
func (l *List) inCommon(s suspect, share float64) []Feature {
	var requests []Request
	count := make(map[Feature]int)
	for _, c := range s.crashes {
		for _, r := range c.Requests {
			if !r.has(s.feature) || slices.ContainsFunc(requests, r.equal) {
				continue
			}
			requests = append(requests, r)
			for _, f := range r.Features {
				if !l.acquitted(f, c) && (len(s.shielded) > 0 || !l.shielded(f, c)) {
					count[f]++
				}
			}
		}
	}
	delete(count, s.feature)
	others := slices.SortedFunc(maps.Keys(count), func(a, b Feature) int { return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(a, b)) })
	all := []Feature{s.feature}
	for _, f := range others {
		more := append(slices.Clone(all), f)
		if float64(countWith(requests, more)) >= share*float64(len(requests)) {
			all = more
		}
	}
	slices.Sort(all)
	return all
}

// countWith returns the number of requests with all features.
func countWith(all []Request, features []Feature) int {
	n := 0
	for _, r := range all {
		if r.hasAll(features) {
			n++
		}
	}
	return n
}

// comparable reports whether other requests than those with the feature of a suspect have run
// well. If none has, the feature may be one that all requests have.
func (l *List) comparable(s suspect) bool {
	return l.sound.Since(s.class, s.crashes[0].At.Add(-soundMemory))
}

// inAllRequests reports whether all requests of a class that may have caused crashes have the
// features.
func (l *List) inAllRequests(features []Feature, class Feature) bool {
	for c := range l.allCrashes() {
		for _, r := range c.Requests {
			if r.Class == class && !r.hasAll(features) {
				return false
			}
		}
	}
	return true
}

func (r Request) hasAll(features []Feature) bool {
	return !slices.ContainsFunc(features, func(f Feature) bool { return !r.has(f) })
}
