package crashcause

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StoredCause is a cause in the form in which it outlives all nodes. Times are Unix times in
// milliseconds.
type StoredCause struct {
	Features  []Feature `json:"features"`
	Remaining []Feature `json:"remaining"`
	Crashes   int       `json:"crashes"`
	Since     int64     `json:"since"`
	Until     int64     `json:"until"`
	// Probation is set if the cause is only suspected. Until is then when the next trial may begin.
	Probation *StoredProbation `json:"probation,omitempty"`
}

// Name returns a short name of the cause, which does not change.
func (c StoredCause) Name() string {
	return strconv.FormatUint(xxhash.Sum64String((&cause{features: c.Features}).key()), 16)
}

// Expired reports whether the cause need not be known any more.
func (c StoredCause) Expired(now time.Time) bool {
	if c.Probation != nil && now.Sub(time.UnixMilli(max(c.Since, c.Until))) > crashRetention {
		return true
	}
	return len(c.Remaining) == 0 || (&cause{until: time.UnixMilli(c.Until)}).expired(now)
}

// TakeChanges returns the causes that this node has found, renewed or released by its own
// evidence since the last call.
func (l *List) TakeChanges() []StoredCause {
	if !l.dirty.Swap(false) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []StoredCause
	for key := range l.changed {
		if c := l.causes[key]; c != nil && (c.suspicion == nil || c.stored) {
			all = append(all, c.toStore())
		}
	}
	clear(l.changed)
	return all
}

func (l *List) markChanged(c *cause) {
	if l.changed == nil {
		l.changed = make(map[string]bool)
	}
	l.changed[c.key()] = true
	l.dirty.Store(true)
}

// MergeStored applies causes that were stored and returns those that are new or were renewed.
func (l *List) MergeStored(all []StoredCause, now time.Time) []Cause {
	r := Report{}
	for _, c := range all {
		x := CauseReport{
			Features: c.Features, Remaining: c.Remaining, Crashes: c.Crashes, Age: max(0, now.Sub(time.UnixMilli(c.Since))), Left: time.UnixMilli(c.Until).Sub(now),
		}
		if p := c.Probation; p != nil {
			x.Class, x.Probation = p.Class, &ProbationReport{Crashes: p.Crashes, Comparable: p.Comparable, Stored: true}
		}
		r.Causes = append(r.Causes, x)
	}
	causes, _ := l.Merge(r, now, func(string, time.Time) bool { return false })
	return causes
}
