package admission_test

import (
	"os"
	"testing"
	"time"
)

func constant(x float64) func(time.Duration) float64 { return func(time.Duration) float64 { return x } }

// burst returns a rate that is factor times as high from 8 to 18 s.
func burst(x, factor float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= 8*time.Second && t < 18*time.Second {
			return x * factor
		}
		return x
	}
}

func scenarios() map[string]scenario {
	calm := scenario{hosts: 87, engines: 112, duration: 24 * time.Second, urgent: constant(2.2), other: constant(34)}
	loaded, loss, greedy := calm, calm, calm
	loaded.urgent, loaded.other = burst(2.2, 5), burst(34, 3)
	loss.lossAt = 10 * time.Second
	loss.other = constant(60)
	greedy.greedy = 80
	return map[string]scenario{"calm": calm, "burst": loaded, "loss": loss, "greedy": greedy}
}

func TestLoad(t *testing.T) {
	for _, name := range []string{"calm", "burst", "loss", "greedy"} {
		if f := os.Getenv("SCENARIO"); f != "" && f != name {
			continue
		}
		for seed := range uint64(2) {
			s := scenarios()[name]
			began := time.Now()
			t.Logf("%s %d before: %v", name, seed, s.run(seed))
			s.gated = true
			r := s.run(seed)
			t.Logf("%s %d now:    %v; %d of %d polls %v", name, seed, r, r.waited, r.total, time.Since(began))
		}
	}
}
