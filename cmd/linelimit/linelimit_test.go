package linelimit

import (
	"fmt"
	"testing"
	"time"
)

// The lines of all events together are limited in each second, and a flood of some events
// hides none of the others.
func TestLinesOfAllEventsAreLimited(t *testing.T) {
	const events, seconds = 40, 10
	l := New()
	start := time.Unix(1_000_000, 0)
	rare := 0
	var bySecond [seconds]int
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for e := range events {
			if l.Allow(fmt.Sprint("event ", e), now) {
				bySecond[ms/1000]++
			}
		}
		if ms%200 == 0 && l.Allow("rare", now) {
			rare++
		}
	}
	for second, n := range bySecond {
		limit := maxTotalLinesPerSecond + events*reservedLinesPerSecond
		if second == 0 {
			limit += maxTotalLineBurst + events*reservedLineBurst
		}
		if n > limit+events {
			t.Errorf("%d lines were written in second %d, want at most %d", n, second, limit)
		}
	}
	if want := seconds * 5; rare != want {
		t.Errorf("%d of %d lines of a rare event were written", rare, want)
	}
}
