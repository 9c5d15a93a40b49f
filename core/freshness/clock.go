package freshness

import "time"

// StoreClock converts readings of a store's monotonic clock to this host's clock.
// Responses carry such a reading. It is needed because a response may have been delayed
// in the store, so the time at which the query was sent says little about how recent the
// response is.
//
// The store read its clock after the query was sent, and rounded the reading down. The offset
// between the clocks is therefore at least the time of sending minus the reading and what it
// may have been rounded by, and StoreClock keeps the largest of these lower bounds. If the bound places a response after its arrival, the
// store's clock has jumped, and the bound is discarded.
type StoreClock struct {
	hasOffset bool
	offset    time.Duration
}

// readingUnit is the unit of readings.
const readingUnit = time.Millisecond

// ToLocal returns a time between sent and received that is not later than the time at which
// the store read its clock. reading is in milliseconds, 0 if the response has none.
func (c *StoreClock) ToLocal(reading int64, sent, received time.Duration) time.Duration {
	if reading == 0 {
		return sent
	}
	r := time.Duration(reading) * time.Millisecond
	if offset := sent - r - readingUnit; !c.hasOffset || offset > c.offset {
		c.offset = offset
		c.hasOffset = true
	}
	if c.offset+r > received {
		c.offset = sent - r - readingUnit
	}
	return max(c.offset+r, sent)
}
