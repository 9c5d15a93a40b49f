package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cicadabeam/core/canary"
)

const (
	// canaryPart is the part of the exposure share that is used before the verdict: the rest is for
	// resumed streams, which go to the version that began them.
	canaryPart = 0.8
	// A shift begins no earlier than at earliestShift of the order's length and else as late as the
	// runs on the old servers, the first step and shiftTime allow: the other steps, and how long hosts
	// take to follow and to report it. Without a verdict it begins at undecidedShift of the length at the earliest.
	earliestShift  = 0.3
	undecidedShift = 0.7
	shiftTime      = 2900 * time.Millisecond
	// hostTTL is how long after its last report a host is taken for gone, and confirmTTL how old the
	// report may be by which it has left the old servers: soon after that its permit may end.
	hostTTL    = 3 * time.Second
	confirmTTL = 2 * time.Second
	// enoughServers is the share of the number of old servers below which the new ones are taken for
	// still starting until the deadline.
	enoughServers = 0.5
	// expectedExposures is the number of requests from which it is no chance that none arrived.
	expectedExposures = 5
	// maxExcluded limits the versions of earlier orders.
	maxExcluded = 32
)

// steps are the shares of a shift. Draining follows the last one.
var steps = []float64{0.25, 0.5, 1}

const (
	stepTime = 400 * time.Millisecond
	// The first step is kept until responses to it have been reported, as the servers in use may have
	// the load that they will have later for the first time: for firstStepTime or, if the runs take
	// longer, half of one, as those that break off do so in the middle. Evidence against the version that
	// doesn't suffice prolongs it to maxFirstStepTime at most. No later step is prolonged: more requests
	// are exposed there, and decide soon.
	firstStepTime    = 1600 * time.Millisecond
	maxFirstStepTime = 3 * time.Second
)

// firstStep returns how long the first step is kept.
func firstStep(runs time.Duration) time.Duration {
	return min(max(firstStepTime, runs/2), maxFirstStepTime)
}

// Limits bound what a version gets before its verdict.
type Limits struct {
	ExposureShare float64 // of all requests of the service; 0 disables roll-outs
}

// canaryShare is the share of the requests that a version gets before its verdict.
func (l Limits) canaryShare() float64 { return canaryPart * l.ExposureShare }

// Inputs is what a driver knows.
type Inputs struct {
	NowMS    int64 // the store's clock
	Host     string
	Order    Order // the service's current order
	Ordered  bool  // there is one; false if the row was removed, other than by a restore of the store
	Limits   Limits
	Verdict  canary.Verdict
	Versions map[string]int // the service's registered servers by software version
	// Hosts has what hosts, or data centres through gateways, reported last. A host whose report
	// doesn't mention the service is there with a Progress that has only its age.
	Hosts map[string]Progress
	Runs  time.Duration // usual duration of the runs on the old servers
	// Completing is set while the outcome of writing Completed is not known: the old servers may
	// have stopped, so that nothing can be taken back. As the write may still be on its way, it has
	// failed only once the row has another revision, be it by a renewal of the lease.
	Completing bool
}

// Decision is what the driver does with the state that Next returns.
type Decision int

// The decisions.
const (
	// Keep: nothing has changed but totals, which the next renewal of the lease writes.
	Keep Decision = iota
	// WriteFirst: hosts are told after the row was written.
	WriteFirst
	// AnnounceNow: hosts are told at once, and the row is written as soon as the store accepts it.
	AnnounceNow
)

// Begin returns the first state of an order, with the host of the inputs as its driver. previous
// is the state of the service's last order, if any. An order for the version that already serves
// alone is completed. Inputs.Versions has to be the whole registry.
func Begin(o Order, previous *State, in Inputs) State {
	s := State{
		Order: o, Term: 1, Seq: 1, Driver: in.Host,
		Phase: Canary, Share: in.Limits.canaryShare(),
		StartedMS: in.NowMS, DeadlineMS: in.NowMS + o.Length.Milliseconds(), ChangedMS: in.NowMS,
	}
	if previous != nil {
		s.Excluded = union(previous.ended(), nil, o.Target)
		s.Excluded = s.Excluded[max(0, len(s.Excluded)-maxExcluded):]
	}
	s.addOld(in.Versions)
	if in.Versions[o.Target] > 0 && len(s.Old) == 0 {
		s.Phase, s.Share, s.Reason = Completed, 1, "no other version serves"
	}
	return Renew(s, in.NowMS)
}

// addOld adds the registered versions that the target replaces.
func (s *State) addOld(versions map[string]int) {
	for _, v := range slices.Sorted(maps.Keys(versions)) {
		if versions[v] > 0 && v != s.Target && !slices.Contains(s.Excluded, v) {
			s.Old = union(s.Old, []string{v}, "")
		}
	}
}

// TakeOver returns s, as the row has it, with the host of the inputs as its driver and a later
// term. known is the latest state that the host knows: it replaces s if the store came back from an
// older copy, or didn't accept a write. If the row is missing, s is the known state.
func TakeOver(s State, known *State, in Inputs) State {
	term := s.Term
	if known != nil {
		if known.ID == s.ID {
			term = max(term, known.Term)
		}
		s = Later(s, *known)
		term = max(term, s.Term)
	}
	s.Term, s.Driver, s.ChangedMS = term+1, in.Host, in.NowMS
	return Renew(s, in.NowMS)
}

// Renew returns s with a lease from now on.
func Renew(s State, nowMS int64) State {
	s.LeaseUntilMS = nowMS + LeaseTime.Milliseconds()
	return s
}

// MayTakeOver reports whether a host may become the driver: the lease of the last one has expired,
// and the roll-out has not ended.
func (s State) MayTakeOver(nowMS int64) bool {
	return !s.Phase.Final() && nowMS > s.LeaseUntilMS
}

// Next returns what a roll-out is to become. s is the state that was last written or announced.
func Next(s State, in Inputs) (State, Decision) {
	if in.Completing {
		return s, Keep
	}
	if in.Ordered && in.Order.ID > s.ID {
		return Begin(in.Order, &s, in), WriteFirst
	}
	if s.Phase.Final() {
		return s, Keep
	}
	s.Exposed, s.Bad = max(s.Exposed, in.Verdict.Exposed), max(s.Bad, in.Verdict.Bad)
	s.addOld(in.Versions)
	past := in.NowMS >= s.DeadlineMS
	switch {
	case !in.Ordered:
		return s.end(Withdrawn, "the order was removed", in), AnnounceNow
	case in.Verdict.Result == canary.Bad:
		return s.end(RolledBack, in.Verdict.Reason, in), AnnounceNow
	case in.Versions[s.Target] == 0 && (past || s.Phase != Canary):
		return s.end(RolledBack, "the version has no servers", in), AnnounceNow
	case s.Phase == Canary && past && in.Verdict.Against && in.Verdict.Weight > 0:
		return s.end(RolledBack, "no verdict by the deadline, evidence against the version", in), AnnounceNow
	}
	if in.NowMS >= s.LeaseUntilMS-(LeaseTime-PermitTime).Milliseconds() {
		// The hosts' permits have ended, so that they have to follow anew.
		return s.advance(s.Phase, s.Share, s.Reason, in), WriteFirst
	}
	switch s.Phase {
	case Canary:
		if reason, ok := s.mayShift(in); ok {
			return s.advance(Shifting, steps[0], reason, in), WriteFirst
		}
	case Shifting:
		kept := stepTime
		if s.Share == steps[0] {
			kept = firstStep(in.Runs)
			if in.Verdict.Against {
				kept = maxFirstStepTime
			}
		}
		if in.NowMS < s.ChangedMS+kept.Milliseconds() {
			return s, Keep
		}
		for _, x := range steps {
			if x > s.Share {
				return s.advance(Shifting, x, s.Reason, in), WriteFirst
			}
		}
		return s.advance(Draining, 1, s.Reason, in), WriteFirst
	case Draining:
		if (past || !in.Verdict.Against) && s.drained(in.Hosts) {
			return s.end(Completed, s.Reason, in), WriteFirst
		}
	}
	return s, Keep
}

func (s State) advance(p Phase, share float64, reason string, in Inputs) State {
	s.Phase, s.Share, s.Reason, s.ChangedMS = p, share, reason, in.NowMS
	s.Seq++
	return Renew(s, in.NowMS)
}

func (s State) end(p Phase, reason string, in Inputs) State {
	share := 0.0
	if p == Completed {
		share = 1
	}
	return s.advance(p, share, reason, in)
}

// ShiftFromMS returns when the shift may begin, by the store's clock: as late as the runs on the old
// servers allow, as more evidence is known then.
func (s State) ShiftFromMS(runs time.Duration) int64 {
	return s.StartedMS + max(s.part(earliestShift), (s.Length-runs-firstStep(runs)-shiftTime).Milliseconds())
}

// part returns a part of the order's length in ms.
func (s State) part(x float64) int64 { return int64(x * float64(s.Length.Milliseconds())) }

func (s State) mayShift(in Inputs) (reason string, ok bool) {
	from, past := s.ShiftFromMS(in.Runs), in.NowMS >= s.DeadlineMS
	if in.NowMS < from || in.Verdict.Against && !past || in.Versions[s.Target] == 0 {
		return "", false
	}
	old := 0
	for _, v := range s.Old {
		old += in.Versions[v]
	}
	if !past && float64(in.Versions[s.Target]) < enoughServers*float64(old) {
		return "", false
	}
	if in.Verdict.Result == canary.Sound {
		return in.Verdict.Reason, true
	}
	if in.NowMS < max(from, s.StartedMS+s.part(undecidedShift)) {
		return "", false
	}
	expected := in.Verdict.Rate * float64(in.NowMS-s.StartedMS) / 1000 * in.Limits.canaryShare()
	if s.Exposed == 0 && expected >= expectedExposures {
		return "", false
	}
	return fmt.Sprintf("no evidence against the version in %d requests", s.Exposed), true
}

// drained reports whether all hosts follow and have no run on the old servers. Hosts that are gone
// are excepted.
func (s State) drained(hosts map[string]Progress) bool {
	live := 0
	for _, p := range hosts {
		if p.Age > hostTTL {
			continue
		}
		if p.Age > confirmTTL || !p.Follows(s) || p.OldRuns > 0 {
			return false
		}
		live++
	}
	return live > 0
}
