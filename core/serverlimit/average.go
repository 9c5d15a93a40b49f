package serverlimit

import (
	"math"
	"time"
)

const (
	// averageTime is the time constant of the average demand.
	averageTime = 4 * time.Second
	// reportLag is the time within which all nodes know the demand of a node.
	reportLag = 1500 * time.Millisecond
	// sampleInterval is the time between two kept values of the demand, maxSamples their number.
	sampleInterval = 100 * time.Millisecond
	maxSamples     = 20
)

// average is a moving average of a rate, which also tells its value some time ago.
type average struct {
	value   float64
	updated time.Time
	samples []sample // in order of time
}

type sample struct {
	value float64
	at    time.Time
}

func decay(d time.Duration) float64 { return math.Exp(-float64(d) / float64(averageTime)) }

// add counts one event.
func (a *average) add(now time.Time) {
	a.value = a.at(now) + 1/averageTime.Seconds()
	a.updated = now
	if n := len(a.samples); n > 0 && now.Sub(a.samples[n-1].at) < sampleInterval {
		return
	}
	if len(a.samples) == maxSamples {
		a.samples = append(a.samples[:0], a.samples[1:]...)
	}
	a.samples = append(a.samples, sample{a.value, now})
}

// at returns the value at a time after the last event.
func (a *average) at(now time.Time) float64 {
	if a.updated.IsZero() {
		return 0
	}
	return a.value * decay(max(now.Sub(a.updated), 0))
}

// before returns the value reportLag before a time.
func (a *average) before(now time.Time) float64 {
	then := now.Add(-reportLag)
	for i := len(a.samples) - 1; i >= 0; i-- {
		if x := a.samples[i]; !x.at.After(then) {
			return x.value * decay(then.Sub(x.at))
		}
	}
	return 0
}

// counterBuckets is the number of parts that sentWindow is divided into. One more is kept, as the
// newest is only partly over.
const counterBuckets = 8

// counter counts events within sentWindow.
type counter struct {
	start   time.Time
	buckets [counterBuckets + 1]struct {
		index int64
		n     int
	}
}

func (c *counter) index(now time.Time) int64 {
	if c.start.IsZero() {
		c.start = now
	}
	return int64(max(0, now.Sub(c.start)) / (sentWindow / counterBuckets))
}

func (c *counter) add(now time.Time) {
	i := c.index(now)
	b := &c.buckets[i%int64(len(c.buckets))]
	if b.index != i {
		b.index, b.n = i, 0
	}
	b.n++
}

func (c *counter) count(now time.Time) int {
	i := c.index(now)
	n := 0
	for _, b := range c.buckets {
		if i-b.index < int64(len(c.buckets)) {
			n += b.n
		}
	}
	return n
}
