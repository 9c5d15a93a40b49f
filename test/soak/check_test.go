package soak

import (
	"testing"
	"time"
)

func TestOnlyStallsOfThisProcessExcuseDeadlines(t *testing.T) {
	sent := time.Now()
	arrival := Arrival{ID: "r", Organisation: organisation, At: sent.Add(800 * time.Millisecond), Remaining: callDeadline}
	for _, test := range []struct {
		name       string
		from, to   time.Duration // of the stall, after the request was sent
		violations int
	}{
		{"none", 0, 0, 1},
		{"before", -600 * time.Millisecond, 0, 1},
		{"after", 800 * time.Millisecond, 2 * time.Second, 1},
		{"too short", 100 * time.Millisecond, 350 * time.Millisecond, 1},
		{"long enough", 100 * time.Millisecond, 450 * time.Millisecond, 0},
	} {
		e := &testEnv{}
		e.stalls.record(span{from: sent.Add(test.from), to: sent.Add(test.to)})
		c := &checker{env: e, results: map[string]Result{"r": {ID: "r", Kind: buy, Sent: sent}}}
		c.checkArrival(arrival)
		if len(c.violations) != test.violations {
			t.Errorf("stall %s: got violations %q, want %d", test.name, c.violations, test.violations)
		}
	}
}
