package admit

import (
	"math"
	"time"
)

// startRate is how many requests start in a second while others wait. Starts come
// in bursts, so it is their number that is averaged, not the time between them.
type startRate struct {
	since  time.Time // the first start
	last   time.Time
	weight float64 // starts, each counted less the longer ago it was
}

func (s *startRate) count(now time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
	s.weight = s.decayed(now) + 1
	s.last = now
}

func (s *startRate) decayed(now time.Time) float64 {
	return s.weight * math.Exp(-float64(now.Sub(s.last))/float64(rateMemory))
}

// interval returns the mean time between two starts, 0 if nothing is known. Early
// on the memory is no longer than what there is to remember.
func (s *startRate) interval(now time.Time) time.Duration {
	if s.since.IsZero() || now.Equal(s.since) {
		return 0
	}
	known := 1 - math.Exp(-float64(now.Sub(s.since))/float64(rateMemory))
	starts := s.decayed(now)
	return time.Duration(float64(rateMemory) * known / max(starts, 1e-9))
}
