package freshness

import "time"

// StoreClock finds out when, by this host's clock, a store gave an answer that
// carries the reading of the store's steady clock. An answer may have waited at the
// store, so that the time at which it was asked for says little.
//
// The store read its clock after a question was sent. So its clock at zero was not
// before the sending less the reading, and the latest of these bounds is kept. A
// bound that puts an answer after its arrival shows that the store's clock has
// jumped; it is dropped.
type StoreClock struct {
	known bool
	zero  time.Duration
}

// At returns a time between sent and received at or after which the answer was given.
// reading is in milliseconds, 0 if the store told none.
func (c *StoreClock) At(reading int64, sent, received time.Duration) time.Duration {
	if reading == 0 {
		return sent
	}
	r := time.Duration(reading) * time.Millisecond
	if zero := sent - r; !c.known || zero > c.zero {
		c.zero = zero
		c.known = true
	}
	if c.zero+r > received {
		c.zero = sent - r
	}
	return max(c.zero+r, sent)
}
