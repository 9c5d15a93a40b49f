package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// slack is for clocks and for the way of bytes on a busy machine.
	slack = 300 * time.Millisecond
	// overMost is by how much more time than is left a server may be told.
	overMost = 500 * time.Millisecond
)

// check judges what callers were told by what servers saw. It returns each breach.
func (w *world) check() []string {
	told, arrivals := w.transcript.told(), w.ledger.arrivals()
	v := &verdict{world: w, told: make(map[string]Told, len(told)), runs: make(map[string][]Arrival)}
	for _, x := range told {
		v.told[x.ID] = x
	}
	for _, a := range arrivals {
		if a.ID == probeID {
			continue
		}
		if a.Ran {
			v.runs[a.ID] = append(v.runs[a.ID], a)
		}
		v.arrival(a)
	}
	for _, x := range told {
		v.answer(x)
	}
	return v.breaches
}

// verdict is a judgement under way.
type verdict struct {
	world    *world
	told     map[string]Told
	runs     map[string][]Arrival
	breaches []string
}

func (v *verdict) breach(format string, args ...any) {
	v.breaches = append(v.breaches, fmt.Sprintf(format, args...))
}

// arrival judges a request that reached a server.
func (v *verdict) arrival(a Arrival) {
	x, known := v.told[a.ID]
	switch {
	case !known:
		v.breach("request %q that no caller sent reached %s", a.ID, a.Server)
		return
	case a.Path != x.Path:
		v.breach("request %s for %s reached %s as %s", a.ID, x.Path, a.Server, a.Path)
	case a.Key != "" || a.Forged:
		v.breach("request %s reached %s with a key or a forged header", a.ID, a.Server)
	case a.Tenant != organisation:
		v.breach("request %s reached %s as of organisation %q", a.ID, a.Server, a.Tenant)
	}
	if deadline := deadlineOf(x); a.Deadline <= 0 || a.At.Add(a.Deadline).After(x.Sent.Add(deadline+overMost)) {
		v.breach("request %s reached %s %v after it was sent with %v left", a.ID, a.Server, a.At.Sub(x.Sent), a.Deadline)
	}
	if a.Ran && a.Service != serviceOf[x.Kind] {
		v.breach("request %s of kind %s ran at %s of service %s", a.ID, x.Kind, a.Server, a.Service)
	}
	if taken, was := v.world.takenAway(x.Key); was && a.Ran && x.Sent.Sub(taken) > revokeBound {
		v.breach("request %s sent %v after its key was taken away ran", a.ID, x.Sent.Sub(taken))
	}
	if left, was := v.world.leftAt(a.Server); was && a.Ran && a.At.Sub(left) > drainBound+slack && v.world.calm(left.Add(-contact), a.At) {
		v.breach("request %s reached %s %v after it had left", a.ID, a.Server, a.At.Sub(left))
	}
}

func deadlineOf(x Told) time.Duration {
	if x.Kind == report {
		return streamDeadline
	}
	return callDeadline
}

// answer judges what a caller was told.
func (v *verdict) answer(x Told) {
	runs := v.runs[x.ID]
	if x.Kind == buy && len(runs) > 1 {
		v.breach("purchase %s ran %d times", x.ID, len(runs))
	}
	switch x.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if x.Kind == buy && len(runs) > 0 {
			v.breach("purchase %s was answered %d and ran at %s", x.ID, x.Status, runs[0].Server)
		}
		if x.Status == http.StatusServiceUnavailable && !x.Retry {
			v.breach("request %s was answered 503 without a time to come back", x.ID)
		}
	case http.StatusOK:
		v.success(x)
	case http.StatusUnauthorized:
		if _, was := v.world.takenAway(x.Key); !was {
			v.breach("request %s with a key that is valid was answered 401", x.ID)
		}
	case http.StatusNotFound, http.StatusForbidden:
		v.breach("request %s for a route that exists was answered %d", x.ID, x.Status)
	}
	if late := x.Ended.Sub(x.Sent) - deadlineOf(x); late > lateMost && v.world.calm(x.Sent.Add(-contact), x.Ended) {
		v.breach("request %s was answered %v after its deadline", x.ID, late)
	}
}

// lateMost is how much later than its deadline a request may end on a calm system.
const lateMost = time.Second

// success judges an answer with status 200.
func (v *verdict) success(x Told) {
	switch {
	case !x.Signed:
		v.breach("the answer to %s isn't signed", x.ID)
	case x.Kind != report && !x.Broken && x.Body != Body(x.ID):
		v.breach("the answer to %s is %q", x.ID, x.Body)
	case x.Kind == report:
		v.stream(x)
	}
}

// stream judges the events of a stream.
func (v *verdict) stream(x Told) {
	var whole strings.Builder
	for i := x.First + 1; i <= streamLength; i++ {
		fmt.Fprintf(&whole, "id: %d\ndata: %s\n\n", i, Piece(x.Path, i))
	}
	if !strings.HasPrefix(whole.String(), x.Body) {
		v.breach("the stream %s isn't in order: %q", x.ID, x.Body)
		return
	}
	if !x.Broken && x.Body != whole.String() {
		v.breach("the stream %s looks whole and has %d of %d bytes", x.ID, len(x.Body), whole.Len())
	}
}
