package admit

import (
	"math"
	"time"
)

// startRate is an exponentially weighted moving average of the number of requests
// that start per second while others wait. It averages the number of starts and
// not the time between them, because starts come in bursts.
type startRate struct {
	first time.Time // when the first request started
	last  time.Time // when the last request started
	count float64   // starts up to last, with exponential decay
}

func (s *startRate) record(now time.Time) {
	if s.first.IsZero() {
		s.first = now
	}
	s.count = s.countAt(now) + 1
	s.last = now
}

// countAt returns the decayed number of starts at now.
func (s *startRate) countAt(now time.Time) float64 {
	return s.count * math.Exp(-float64(now.Sub(s.last))/float64(rateTimeConstant))
}

// meanInterval returns the mean time between two starts, or 0 if nothing is known
// yet. The average starts from zero, so its bias is corrected by the share of the
// time constant that has been observed since the first start.
func (s *startRate) meanInterval(now time.Time) time.Duration {
	if s.first.IsZero() || now.Equal(s.first) {
		return 0
	}
	correction := 1 - math.Exp(-float64(now.Sub(s.first))/float64(rateTimeConstant))
	starts := s.countAt(now)
	return time.Duration(float64(rateTimeConstant) * correction / max(starts, 1e-9))
}
