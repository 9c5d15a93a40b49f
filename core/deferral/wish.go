// Package deferral keeps the wish of a server that turned a request away, to get no more
// requests from this node for some time, and limits what the server gets afterwards.
//
// Load it answers: a service that is asked for more than it can take, at all nodes at once,
// whose servers refuse and want seconds of rest from each node that they refuse. A node that
// came back with all its requests when the rest is over would be refused again within
// moments, and the servers would be idle most of the time. After its rest a server therefore
// gets fewer requests at a time than it had when it refused, and more only slowly. Servers
// that have not refused yet are limited too, once two of their service did.
//
// # Usage
//
//	w := deferral.ParseWish("2.5")
//	var s deferral.State
//	rest := s.Defer(w.Wait, running, now)    // s refused one of running requests
//	s.Restrain(w.Wait, running, now)         // others did
//	s.RecordSuccess(sent)                    // s served a request
//	if s.Active(now) || running >= s.Limit(now) { ... } // no candidate
//	at := deferral.RetryAt(s.Until(), now, rand.Float64())
package deferral

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxWait limits a wish.
	maxWait = time.Hour
	// unreadableWait is the wait if a wish can't be read. A date can't be either, as servers
	// and nodes share no clock.
	unreadableWait = time.Second
)

// Wish is how long a server wants no requests.
type Wish struct {
	Wait    time.Duration // 0 for no wish
	Reading string        // how the text was read, for logs: exact, capped, negative, date, malformed, or "" if there is none
}

// ParseWish reads a number of seconds, which may have a fraction. A negative number is no
// wish, a number above maxWait is cut to it, and a text that is no number gives
// unreadableWait. State believes what exceeds trialRest only if the server repeats it.
func ParseWish(text string) Wish {
	text = strings.TrimSpace(text)
	if text == "" {
		return Wish{}
	}
	seconds, err := strconv.ParseFloat(text, 64) // infinite if out of range
	switch {
	case math.IsNaN(seconds), err != nil && !math.IsInf(seconds, 0):
		if _, err := http.ParseTime(text); err == nil {
			return Wish{Wait: unreadableWait, Reading: "date"}
		}
		return Wish{Wait: unreadableWait, Reading: "malformed"}
	case seconds < 0:
		return Wish{Reading: "negative"}
	case seconds > trialRest.Seconds():
		return Wish{Wait: time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second)), Reading: "capped"}
	default:
		return Wish{Wait: time.Duration(seconds * float64(time.Second)), Reading: "exact"}
	}
}
