package rollout

import "time"

// Table is what a host knows of roll-outs: the orders, the newest states, and the credit of
// requests that it may send to new versions. It is safe for concurrent use. Times are readings of
// a clock that keeps running while the host is suspended.
type Table struct{}

// Progress is what a host, or all hosts of a data centre, report on a roll-out.
type Progress struct {
	OrderID uint64
	Term    uint64 // of the state that is followed; the earliest one of several hosts
	Seq     uint64
	OldRuns int // on servers of other versions than the target
	Hosts   int
	Age     time.Duration
}

// Report has the progress of roll-outs by service.
type Report map[string]Progress

// NewTable returns a Table without orders. random returns numbers in [0, 1), math/rand/v2.Float64 if nil.
func NewTable(l Limits, random func() float64) *Table { return &Table{} }

// SetOrders sets the current orders, as the store had them at a time.
func (t *Table) SetOrders(all []Order, asOf time.Duration) {}

// SetVersions sets the software versions of a service's registered servers. A version that appears
// beside others is not used until the orders were confirmed after that.
func (t *Table) SetVersions(service string, versions []string, now time.Duration) {}

// Merge records a state whose driver confirmed its lease age before now. It reports whether the
// state replaced the one that was known.
func (t *Table) Merge(s State, age, now time.Duration) bool { return false }

// State returns the newest state of a service, with the time since its driver confirmed its lease.
func (t *Table) State(service string, now time.Duration) (s State, age time.Duration, found bool) {
	return State{}, 0, false
}

// Announced is a state with the time since its driver confirmed its lease.
type Announced struct {
	State State
	Age   time.Duration
}

// States returns the newest states of all services, for other hosts.
func (t *Table) States(now time.Duration) []Announced { return nil }

// Orders returns the current orders.
func (t *Table) Orders() []Order { return nil }

// StoreMS estimates the store's clock from the announcements. ok is false if there were none.
func (t *Table) StoreMS(now time.Duration) (ms int64, ok bool) { return 0, false }

// Choose selects the software version of a request's first attempt. If Choice.New reports true, the
// request has taken credit: it is to be sent (Sent), or the credit given back (Release).
func (t *Table) Choose(service, route string, now time.Duration) Choice { return Choice{} }

// Fallback selects the software version of a further attempt: never the new one, unless all
// requests go there.
func (t *Table) Fallback(service string, now time.Duration) Choice { return Choice{} }

// Sent records that a request was sent to a server of a version: it earns credit and, for the new
// version, spends it. It is to be called for each attempt, also of resumed streams.
func (t *Table) Sent(service, version string, now time.Duration) {}

// Release gives back the credit of a choice whose request wasn't sent to the new version.
func (t *Table) Release(c Choice) {}

// Report returns what this host follows. runs tells the host's runs on a service's servers of
// other versions than the given one.
func (t *Table) Report(runs func(service, target string) int, now time.Duration) Report {
	return nil
}

// Add adds the report of another host, received some time ago, to one of a data centre.
func (r Report) Add(x Report, age time.Duration) Report { return r }
