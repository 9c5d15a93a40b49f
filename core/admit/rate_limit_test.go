package admit_test

import (
	"testing"
	"time"

	"cicadabeam/core/admit"
	"cicadabeam/core/fault"
)

func TestRateLimiter(t *testing.T) {
	r := admit.NewRateLimiter()
	now := time.Now()
	count := func(organisation string, perSecond float64) int {
		n := 0
		for range 100 {
			err := r.Allow(organisation, perSecond, now)
			if err == nil {
				n++
				continue
			}
			if f := fault.From(err); f.Code() != fault.OrganisationLimit || f.Ran() != fault.NotRun || !f.RetryAt().After(now) {
				t.Fatalf("%v", err)
			}
		}
		return n
	}
	if n := count("a", 5); n != 10 {
		t.Errorf("%d requests admitted in a burst at a rate of 5; want 10", n)
	}
	if n := count("b", 0); n != 100 {
		t.Errorf("%d requests admitted without a limit; want 100", n)
	}
	now = now.Add(time.Second)
	if n := count("a", 5); n != 5 {
		t.Errorf("%d requests admitted one second later; want 5", n)
	}
	now = now.Add(time.Minute)
	if n := count("a", 2); n != 4 {
		t.Errorf("%d requests admitted in a burst at the lower rate; want 4", n)
	}
	now = now.Add(time.Second)
	if n := count("a", 2); n != 2 {
		t.Errorf("%d requests admitted one second later at the lower rate; want 2", n)
	}
}
