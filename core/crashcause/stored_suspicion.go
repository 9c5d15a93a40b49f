package crashcause

import (
	"cmp"
	"slices"
)

// maxStoredSuspicions limits the suspicions that are stored at a time: when many servers are lost, many
// wrong ones arise.
const maxStoredSuspicions = 8

// StoredProbation is the state of a stored cause that is only suspected.
type StoredProbation struct {
	Class      Feature `json:"class"`
	Crashes    int     `json:"crashes,omitempty"`
	Comparable bool    `json:"comparable,omitempty"`
}

// toStore returns the cause in the form in which it is stored.
func (c *cause) toStore() StoredCause {
	x := StoredCause{
		Features: slices.Clone(c.features), Remaining: slices.Clone(c.remaining), Crashes: c.crashes, Since: c.since.UnixMilli(), Until: c.until.UnixMilli(),
	}
	if s := c.suspicion; s != nil {
		x.Until = s.OpensAt().UnixMilli()
		x.Probation = &StoredProbation{Class: c.class, Crashes: s.Crashes(), Comparable: s.comparable}
	}
	return x
}

// UnstoredSuspicions returns the suspected causes that no node is known to have stored, the first ones
// first. One that is stored has to be recorded with RecordStored.
func (l *List) UnstoredSuspicions() []StoredCause {
	l.mu.Lock()
	defer l.mu.Unlock()
	free := maxStoredSuspicions
	var unstored []*cause
	for _, c := range l.causes {
		switch {
		case c.suspicion == nil || len(c.remaining) == 0:
		case c.stored:
			free--
		default:
			unstored = append(unstored, c)
		}
	}
	slices.SortFunc(unstored, func(a, b *cause) int { return cmp.Or(a.since.Compare(b.since), slices.Compare(a.features, b.features)) })
	var all []StoredCause
	for _, c := range unstored[:min(len(unstored), max(0, free))] {
		all = append(all, c.toStore())
	}
	return all
}

// RecordStored records that this node has stored a suspected cause. If it was convicted or released
// meanwhile, TakeChanges returns it.
func (l *List) RecordStored(x StoredCause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.causes[(&cause{features: x.Features}).key()]
	if c == nil {
		return
	}
	c.stored, c.ownStored = true, true
	if c.suspicion == nil || len(c.remaining) < len(x.Remaining) {
		l.markChanged(c)
	}
}

// updateStored has a suspected cause that has changed stored again, if this node stored it.
func (l *List) updateStored(c *cause) {
	if c.ownStored && c.suspicion != nil {
		l.markChanged(c)
	}
}
