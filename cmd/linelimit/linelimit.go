// Package linelimit limits the log lines of a node, by event and in total.
//
// # Usage
//
//	l := linelimit.New()
//	if l.Allow("attempt", now) { ... }
//	dropped := l.TakeDropped()   // by event, since the last call
package linelimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// MaxLinesPerSecond and MaxLineBurst limit the log lines of each event. Under any load
	// the system is designed for, a node writes fewer.
	MaxLinesPerSecond = 400
	MaxLineBurst      = 2000
	// maxTotalLinesPerSecond and maxTotalLineBurst limit those of all events together.
	maxTotalLinesPerSecond = 1000
	maxTotalLineBurst      = 4000
	// reservedLinesPerSecond and reservedLineBurst are what each event may write beyond that,
	// so that a flood of others hides no rare event.
	reservedLinesPerSecond = 10
	reservedLineBurst      = 50
)

// Limit limits the log lines of a node, and counts those beyond the limits.
type Limit struct {
	mu      sync.Mutex
	total   *rate.Limiter
	events  map[string]eventLimit
	dropped map[string]int
}

type eventLimit struct{ own, reserved *rate.Limiter }

// New returns the limits of a node.
func New() *Limit {
	return &Limit{total: rate.NewLimiter(maxTotalLinesPerSecond, maxTotalLineBurst), events: make(map[string]eventLimit), dropped: make(map[string]int)}
}

// Allow reports whether a line of an event may be written.
func (l *Limit) Allow(event string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, found := l.events[event]
	if !found {
		e = eventLimit{own: rate.NewLimiter(MaxLinesPerSecond, MaxLineBurst), reserved: rate.NewLimiter(reservedLinesPerSecond, reservedLineBurst)}
		l.events[event] = e
	}
	if e.own.AllowN(now, 1) && (e.reserved.AllowN(now, 1) || l.total.AllowN(now, 1)) {
		return true
	}
	l.dropped[event]++
	return false
}

// TakeDropped returns the number of dropped lines by event since the last call.
func (l *Limit) TakeDropped() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.dropped) == 0 {
		return nil
	}
	all := l.dropped
	l.dropped = make(map[string]int)
	return all
}
