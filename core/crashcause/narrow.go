package crashcause

import "slices"

// narrowest returns the suspect with the fewest requests of those that nearly all crashes of s
// have and that come with the feature of s only, or s. Not all requests on a server that crashed
// may be known, so that s may have more crashes although it is not the cause. A narrower feature is
// the likelier cause if other requests with that of s were on the same servers, or if its share of
// the crashes is not explained by its share of the requests.
func (l *List) narrowest(s suspect) suspect {
	best := s
	common := l.inCommon(s, commonShare)
	least := 1
	if l.trials && l.comparable(s) && !l.inAllRequests([]Feature{s.feature}, s.class) {
		least = crashThreshold
	}
	for _, x := range l.within(s) {
		if x.requests >= best.requests || len(x.crashes) < least || float64(len(x.crashes)) < withinShare*float64(len(s.crashes)) || !x.isShared() {
			continue
		}
		likelier := x.isAccompanied(s.feature) || !slices.Contains(common, x.feature)
		if likelier && slices.Contains(l.inCommon(x, commonShare), s.feature) {
			best = x
		}
	}
	return best
}

// narrowedInVain reports whether servers have crashed under the feature of a suspect beside causes that
// have it and others.
func (l *List) narrowedInVain(s suspect) bool {
	return l.trials && l.hasNarrower(s.feature) && s.withoutCause(l) >= refutedThreshold && l.comparable(s) && !l.inAllRequests([]Feature{s.feature}, s.class)
}

// unites reports whether a cause explains the crashes of several known causes, so that it is likelier
// than that these came together. Each of them lets requests through that the others don't cover.
func (l *List) unites(c Cause) bool {
	return l.trials && c.comparable && !l.inAllRequests(c.Features, c.class) && len(l.explainedBy(&cause{remaining: c.Features})) > 1
}

// explainedBy returns the known causes whose crashes another one explains, besides others.
func (l *List) explainedBy(x *cause) []*cause {
	only, shared := make(map[*cause]int), make(map[*cause]int)
	total := 0
	for c := range l.allCrashes() {
		explains := slices.ContainsFunc(c.Requests, x.matches)
		if explains {
			total++
		}
		for _, other := range l.causesOf(c) {
			if explains {
				shared[other]++
			} else {
				only[other]++
			}
		}
	}
	var all []*cause
	for other, n := range shared {
		if other != x && only[other] == 0 && n < total {
			all = append(all, other)
		}
	}
	return all
}

// dropExplained drops the causes whose crashes a new cause explains, besides others.
func (l *List) dropExplained(x *cause) {
	for _, other := range l.explainedBy(x) {
		other.remaining = nil
		l.markChanged(other)
		l.notify()
	}
}
