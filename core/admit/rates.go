package admit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cicadabeam/core/fault"
)

// burstSeconds is for how many seconds of its rate an organisation may be ahead.
const burstSeconds = 2

// Rates bounds the requests that organisations begin in a second.
type Rates struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

// NewRates returns rates without any request.
func NewRates() *Rates { return &Rates{limiters: make(map[string]*rate.Limiter)} }

// Take counts a request of an organisation that may begin perSecond of them here,
// or refuses it with when to come back. A rate of 0 is no limit.
func (r *Rates) Take(organisation string, perSecond float64, now time.Time) error {
	if perSecond == 0 {
		return nil
	}
	x := r.limiter(organisation, perSecond, now).ReserveN(now, 1)
	wait := x.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	x.CancelAt(now)
	return fault.Newf(fault.OrganisationLimit, "admit", "", "the organisation begins more than its %.3g requests a second on this node", perSecond).WithRetry(now.Add(wait))
}

// limiter returns the organisation's limiter, set to the present rate.
func (r *Rates) limiter(organisation string, perSecond float64, now time.Time) *rate.Limiter {
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

// Forget drops the organisations for which keep returns false.
func (r *Rates) Forget(keep func(organisation string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.limiters {
		if !keep(name) {
			delete(r.limiters, name)
		}
	}
}
