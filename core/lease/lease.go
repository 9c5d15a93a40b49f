// Package lease decides how long a node works for another one that may be cut off, stand still or
// have lost power, and when the other one may rely on that work having ended.
//
// The grantor hands out stamps of its own clock and the holder returns the newest one that it has.
// The lease lasts for Term from the moment at which the returned stamp was handed out. The holder
// knows no later moment for that than the one at which the stamp arrived, so the lease has ended at
// the grantor when Term has passed since the holder last received a stamp, however long messages
// were on their way. The clocks of the two are not compared.
//
// # Usage
//
//	g := lease.NewGrantor(id, now)
//	s := g.Stamp(now)                    // sent to the holder
//	until, valid := g.Deadline(s, now)   // when the holder has returned it
//
//	var h lease.Holder
//	h.Receive(s, now)                    // h.Latest() is returned to the grantor
//	if now.Before(h.Until()) { ... }     // the grantor may still work for the holder
package lease

import "time"

const (
	// Term is how long a lease lasts after the stamp that was returned last.
	Term = 350 * time.Millisecond
	// RenewInterval is the time between two messages of a holder.
	RenewInterval = 40 * time.Millisecond
)

// Stamp is a moment of a grantor's clock. The zero stamp is that of no grantor.
type Stamp struct {
	Grantor uint64
	At      time.Duration // since the grantor's start
}

// Grantor grants leases.
type Grantor struct {
	id      uint64
	started time.Time
}

// NewGrantor returns a grantor that starts now. The ID, which is not 0, tells it from the ones that ran
// at its address before.
func NewGrantor(id uint64, now time.Time) *Grantor { return &Grantor{id: id, started: now} }

// Stamp returns the stamp of this moment.
func (g *Grantor) Stamp(now time.Time) Stamp { return Stamp{g.id, now.Sub(g.started)} }

// Deadline returns the end of the lease of a holder that has returned a stamp. It reports false for a
// stamp that the grantor has not handed out.
func (g *Grantor) Deadline(s Stamp, now time.Time) (time.Time, bool) {
	if s.Grantor != g.id || s.At > now.Sub(g.started) {
		return time.Time{}, false
	}
	return g.started.Add(s.At + Term), true
}

// Holder holds a lease. Its zero value has received no stamp.
type Holder struct {
	latest Stamp
	until  time.Time
}

// Receive records a stamp. A stamp that is older than the latest one is ignored.
func (h *Holder) Receive(s Stamp, now time.Time) {
	if s.Grantor == h.latest.Grantor && s.At <= h.latest.At {
		return
	}
	h.latest, h.until = s, now.Add(Term)
}

// Latest returns the newest stamp.
func (h *Holder) Latest() Stamp { return h.latest }

// Until returns when the lease has ended at the grantor, unless another stamp is received and returned.
func (h *Holder) Until() time.Time { return h.until }
