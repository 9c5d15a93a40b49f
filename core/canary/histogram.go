package canary

import (
	"math"
	"time"
)

const (
	// firstBucket is the index of the bucket that begins at 1 ms, and maxBucket the last one.
	firstBucket = 20
	maxBucket   = 60
)

// position returns the place of a duration on a scale on which a bucket is 1 wide: bounds are powers
// of 2^(1/2).
func position(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return min(max(0, firstBucket+2*math.Log2(float64(d)/float64(time.Millisecond))), maxBucket)
}

func bucket(d time.Duration) int { return int(position(d)) }

// duration is the inverse of position.
func duration(p float64) time.Duration {
	return time.Duration(math.Exp2((p-firstBucket)/2) * float64(time.Millisecond))
}

// histogram has the numbers of responses by bucket. pending ones are later than all of them.
type histogram struct {
	buckets [maxBucket + 1]int
	n       int
	pending int
}

func (h *histogram) add(m map[int]int) {
	for b, n := range m {
		if b >= 0 && b <= maxBucket {
			h.buckets[b] += n
			h.n += n
		}
	}
}

func (h *histogram) merge(x *histogram) {
	for b, n := range x.buckets {
		h.buckets[b] += n
	}
	h.n += x.n
	h.pending += x.pending
}

// median returns the position of the median, +Inf if that is not known yet.
func (h *histogram) median() float64 {
	half := float64(h.n+h.pending) / 2
	if h.n == 0 || half > float64(h.n) {
		return math.Inf(1)
	}
	sum := 0.0
	for b, n := range h.buckets {
		if n > 0 && sum+float64(n) >= half {
			return float64(b) + (half-sum)/float64(n)
		}
		sum += float64(n)
	}
	return math.Inf(1)
}

// above estimates how many of m's responses are beyond a position, as if they were spread evenly over
// their bucket.
func above(m map[int]int, p float64) float64 {
	sum := 0.0
	for b, n := range m {
		sum += float64(n) * min(max(0, float64(b+1)-p), 1)
	}
	return sum
}
