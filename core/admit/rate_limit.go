package admit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cicadabeam/core/fault"
)

// burstSeconds is the size of the burst that an organisation may send, in seconds of
// its rate.
const burstSeconds = 2

// RateLimiter limits the rate at which organisations start requests, with one token bucket
// for each.
type RateLimiter struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

// NewRateLimiter returns a limiter with all buckets full.
func NewRateLimiter() *RateLimiter { return &RateLimiter{limiters: make(map[string]*rate.Limiter)} }

// Allow takes a token for a request of an organisation whose rate limit on this node is
// perSecond, or returns a fault with the time at which to retry. A limit of 0 means
// unlimited.
func (r *RateLimiter) Allow(organisation string, perSecond float64, now time.Time) error {
	if perSecond == 0 {
		return nil
	}
	x := r.limiter(organisation, perSecond, now).ReserveN(now, 1)
	wait := x.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	x.CancelAt(now)
	return fault.Newf(fault.OrganisationLimit, "admit", "", "the organisation exceeds its rate limit of %.3g requests per second on this node", perSecond).WithRetryAt(now.Add(wait))
}

// limiter returns the organisation's limiter, updated to the given rate.
func (r *RateLimiter) limiter(organisation string, perSecond float64, now time.Time) *rate.Limiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	burst := max(1, int(perSecond*burstSeconds))
	l := r.limiters[organisation]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(perSecond), burst)
		r.limiters[organisation] = l
	}
	if l.Limit() != rate.Limit(perSecond) {
		l.SetLimitAt(now, rate.Limit(perSecond))
		l.SetBurstAt(now, burst)
	}
	return l
}

// Retain deletes the limiters of the organisations for which keep returns false.
func (r *RateLimiter) Retain(keep func(organisation string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.limiters {
		if !keep(name) {
			delete(r.limiters, name)
		}
	}
}
