package drain

import (
	"sync"
	"time"
)

// Weights of a new duration in the mean and the deviation, and how many deviations a usual
// duration may exceed the mean by. These are the ones of TCP's retransmission timeout.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
)

// forgetAfter is the time after which durations are forgotten, at twice of it at the latest.
const forgetAfter = 5 * time.Minute

// Durations knows how long requests usually take, by route. The zero value is ready for use.
type Durations struct {
	mu       sync.Mutex
	rotateAt time.Time
	recent   map[string]estimate
	older    map[string]estimate
}

// estimate is a smoothed mean and mean deviation in seconds.
type estimate struct{ mean, deviation float64 }

// Record records how long a request took.
func (x *Durations) Record(route string, took time.Duration, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rotate(now)
	s := took.Seconds()
	e, found := x.find(route)
	if !found {
		x.recent[route] = estimate{mean: s, deviation: s / 2}
		return
	}
	e.deviation += deviationWeight * (max(s-e.mean, e.mean-s) - e.deviation)
	e.mean += meanWeight * (s - e.mean)
	x.recent[route] = e
}

// Usual returns the time that requests of a route usually take at most, and whether it is
// known.
func (x *Durations) Usual(route string, now time.Time) (time.Duration, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rotate(now)
	e, found := x.find(route)
	return time.Duration((e.mean + deviations*e.deviation) * float64(time.Second)), found
}

func (x *Durations) find(route string) (estimate, bool) {
	e, found := x.recent[route]
	if !found {
		e, found = x.older[route]
	}
	return e, found
}

// rotate forgets the routes without a request for some time.
func (x *Durations) rotate(now time.Time) {
	if now.Before(x.rotateAt) {
		return
	}
	x.older, x.recent = x.recent, make(map[string]estimate)
	if now.After(x.rotateAt.Add(forgetAfter)) {
		x.older = nil
	}
	x.rotateAt = now.Add(forgetAfter)
}
