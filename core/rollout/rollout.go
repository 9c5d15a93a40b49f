// Package rollout shifts a service's traffic to the servers of a new software version, as an
// operator orders it: the states of a roll-out, how a driver moves between them, and what each
// host may send to the new version.
//
// One host, the driver, holds a lease in the roll-out's row and advances the state with Next. Other
// hosts follow the state that it announces. A state permits them something only until shortly
// after the driver confirmed its lease, so that nothing more goes to the new version without one.
//
// # Usage
//
//	t := rollout.NewTable(rollout.Limits{ExposureShare: 0.1}, nil)
//	t.SetOrders(orders, now)                    // with each configuration
//	t.Merge(state, age, now)                    // from the driver or a peer
//	c := t.Choose("chat", "/v1/chat", now)      // first attempt
//	if c.Allows(version) { ... }
//	t.Sent("chat", version, now)                // or t.Release(c), if nothing was sent
//	c = t.Fallback("chat", now)                 // retry, hedge or resumption
//
//	s := rollout.Begin(order, previous, inputs) // a driver writes s, then announces it
//	s, d := rollout.Next(s, inputs)
package rollout

import (
	"cmp"
	"slices"
	"time"
)

const (
	// LeaseTime is how long a driver's lease lasts by the store's clock, and RenewInterval how often
	// it is renewed.
	LeaseTime     = 3 * time.Second
	RenewInterval = time.Second
	// PermitTime is how long after the driver confirmed its lease a state permits something.
	PermitTime = 1500 * time.Millisecond
)

// Order tells to shift the traffic of a service to the servers of a software version.
type Order struct {
	Service string
	Target  string
	ID      uint64        // revision of the operator's row; a newer order has a higher one
	Length  time.Duration // until the deadline
}

// Phase is how far a roll-out has come.
type Phase int

// The phases of a roll-out. Those from Completed on are final.
const (
	Canary    Phase = iota // a small share of the requests, until there is a verdict
	Shifting               // a rising share
	Draining               // all requests; runs on the old servers are awaited
	Completed              // the old servers stop
	RolledBack
	Withdrawn // the order was removed
)

func (p Phase) String() string {
	return [...]string{"canary", "shifting", "draining", "completed", "rolled back", "withdrawn"}[p]
}

// Final reports whether a roll-out in the phase has ended.
func (p Phase) Final() bool { return p >= Completed }

// State is the state of a roll-out, as its row in the store has it and hosts announce it. Times
// are readings of the store's clock.
type State struct {
	Order
	Term         uint64 // incremented with each driver
	Seq          uint64 // incremented with each change that hosts have to follow
	Driver       string
	Phase        Phase
	Share        float64 // of the requests that may go to the target
	Reason       string
	StartedMS    int64
	DeadlineMS   int64
	ChangedMS    int64 // when the phase or the share changed last
	LeaseUntilMS int64
	Old          []string // versions that the target replaces
	Excluded     []string // versions of earlier orders that were not completed
	Exposed      int      // responses of the target
	Bad          int      // those that failed or were slow
}

// rank orders the phases that nothing of the same order undoes.
func (p Phase) rank() int {
	switch p {
	case Completed:
		return 2
	case RolledBack, Withdrawn:
		return 1
	}
	return 0
}

// Supersedes reports whether s replaces t, a state of the same service: it is of a newer order,
// final, or a later announcement. A completed roll-out stays so, as its old servers have stopped;
// a rolled back or withdrawn one can only turn out to be completed.
func (s State) Supersedes(t State) bool {
	return cmp.Or(
		cmp.Compare(s.ID, t.ID),
		cmp.Compare(s.Phase.rank(), t.Phase.rank()),
		cmp.Compare(s.Term, t.Term),
		cmp.Compare(s.Seq, t.Seq),
		cmp.Compare(s.LeaseUntilMS, t.LeaseUntilMS),
	) > 0
}

// Follows reports whether p is of the state s or a later one of its order.
func (p Progress) Follows(s State) bool {
	return p.OrderID == s.ID && cmp.Or(cmp.Compare(p.Term, s.Term), cmp.Compare(p.Seq, s.Seq)) >= 0
}

// Later returns the one of two states of a service that replaces the other.
func Later(s, t State) State {
	if t.Supersedes(s) {
		return t
	}
	return s
}

// ended returns the versions that get nothing after the roll-out.
func (s State) ended() []string {
	if s.Phase == Completed {
		return union(s.Excluded, s.Old, s.Target)
	}
	return union(s.Excluded, []string{s.Target}, "")
}

// union returns the versions of two lists without one of them, in order.
func union(a, b []string, without string) []string {
	var all []string
	for _, v := range slices.Concat(a, b) {
		if v != without && !slices.Contains(all, v) {
			all = append(all, v)
		}
	}
	return all
}
