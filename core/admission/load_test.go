package admission_test

import (
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

func calm() scenario {
	return scenario{hosts: 87, engines: 112, duration: 24 * time.Second, urgent: constant(2.2), other: constant(34)}
}

// Guards against requests that are sent to engines that others have filled since the last reports,
// so that urgent ones are late and prompts are processed in vain, and against a gate that loses
// more callers than it serves in time.
func TestCallersAreServedBetterWhileEnginesAreShort(t *testing.T) {
	demand, loss, greedy := calm(), calm(), calm()
	demand.urgent, demand.other = burst(2.2, 5), burst(34, 3)
	loss.other, loss.lossAt = constant(60), 10*time.Second
	greedy.greedy = 80
	for name, s := range map[string]scenario{"burst": demand, "loss of a data centre": loss, "one organisation": greedy} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before := s.run(1)
			s.gated = true
			now := s.run(1)
			t.Logf("before: %v", before)
			t.Logf("now:    %v; %d waits of %d tries", now, now.waited, now.tries)
			for _, k := range []string{"urgent", "other"} {
				b, n := before.kinds[k], now.kinds[k]
				if n.share() < b.share()+0.03 || n.lost > b.lost/2 {
					t.Errorf("%s: %v, before: %v", k, n, b)
				}
			}
			if n := now.kinds["urgent"]; n.share() < 0.8 {
				t.Errorf("urgent: %v", n)
			}
			if now.vain > before.vain {
				t.Errorf("%d tokens processed in vain, %d before", now.vain, before.vain)
			}
		})
	}
}

// Guards against changes for services whose engines are not short: the same servers are selected,
// and nobody waits.
func TestNothingChangesInCalm(t *testing.T) {
	s := calm()
	before := s.run(3)
	s.gated = true
	now := s.run(3)
	if now.waited > 0 || now.kinds["urgent"].refusals+now.kinds["other"].refusals > 0 {
		t.Errorf("%d waits, %v", now.waited, now)
	}
	if len(before.selected) != len(now.selected) || len(now.selected) < 500 {
		t.Fatalf("%d selections, %d before", len(now.selected), len(before.selected))
	}
	for i := range before.selected {
		if before.selected[i] != now.selected[i] {
			t.Fatalf("selection %d is %s, %s before", i, now.selected[i], before.selected[i])
		}
	}
}
