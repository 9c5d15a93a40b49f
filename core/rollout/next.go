package rollout

import (
	"time"

	"cicadabeam/core/canary"
)

// Limits bound what a version gets before its verdict.
type Limits struct {
	ExposureShare     float64 // of all requests of the service; 0 disables roll-outs
	ExposureTolerance int     // requests beyond it
}

// Inputs is what a driver knows.
type Inputs struct {
	NowMS    int64 // the store's clock
	Host     string
	Order    Order // the service's current order
	Ordered  bool  // there is one; false if the row was removed
	Limits   Limits
	Verdict  canary.Verdict
	Versions map[string]int      // the service's registered servers by software version
	Hosts    map[string]Progress // what hosts, or data centres through gateways, report
	Runs     time.Duration       // usual duration of the runs on the old servers
	// Completing is set while the outcome of writing Completed is not known: the old servers may
	// have stopped, so that nothing can be taken back.
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
// alone is completed.
func Begin(o Order, previous *State, in Inputs) State { return State{Order: o} }

// TakeOver returns s with the host of the inputs as its driver and a later term. known is the latest
// state that the host knows: it replaces s if the store came back from an older copy.
func TakeOver(s State, known *State, in Inputs) State { return s }

// Renew returns s with a lease from now on.
func Renew(s State, nowMS int64) State { return s }

// MayTakeOver reports whether a host may become the driver: the lease of another one has expired,
// and the roll-out has not ended.
func (s State) MayTakeOver(host string, nowMS int64) bool { return false }

// Next returns what a roll-out is to become. s is the state that was last written or announced.
func Next(s State, in Inputs) (State, Decision) { return s, Keep }
