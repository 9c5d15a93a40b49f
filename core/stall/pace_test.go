package stall_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cicadabeam/core/stall"
)

var bounds = stall.Bounds{Max: 1500 * time.Millisecond, Goal: 400 * time.Millisecond}

// paceRun is a run at a simulated server.
type paceRun struct {
	watch stall.Watch
	next  time.Time // event, zero if none comes
}

// simulation plays servers with two runs each. Runs that are to be moved stay, and are counted.
type simulation struct {
	pace   *stall.Pace
	now    time.Time
	random *rand.Rand
	gap    func(server int) time.Duration // until the next event, 0 if none comes
	runs   [][2]paceRun
}

func newSimulation(servers int, gap func(s *simulation, server int) time.Duration) *simulation {
	var paces stall.Paces
	s := &simulation{pace: paces.Of("report"), now: time.Now(), random: rand.New(rand.NewPCG(1, 2)), runs: make([][2]paceRun, servers)}
	s.gap = func(server int) time.Duration { return gap(s, server) }
	for i := range s.runs {
		for j := range s.runs[i] {
			s.event(i, &s.runs[i][j], false)
		}
	}
	return s
}

func serverID(i int) string { return fmt.Sprint("server-", i) }

func (s *simulation) event(server int, r *paceRun, begun bool) {
	s.pace.RecordEvent(serverID(server), &r.watch, begun, s.now)
	r.watch.Received(s.now)
	r.next = time.Time{}
	if d := s.gap(server); d > 0 {
		r.next = s.now.Add(d)
	}
}

// play returns how many silences of each server exceeded their limit, and the shortest of them.
func (s *simulation) play(d time.Duration) (moves []int, shortest time.Duration) {
	moves, shortest = make([]int, len(s.runs)), time.Hour
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(10 * time.Millisecond) {
		for i := range s.runs {
			for j := range s.runs[i] {
				r := &s.runs[i][j]
				if !r.next.IsZero() && !s.now.Before(r.next) {
					s.event(i, r, true)
				}
				if silent := r.watch.SilentFor(s.now); silent >= stall.LongSilence && r.watch.MayMove(s.now) {
					s.pace.RecordSilence(serverID(i), &r.watch, s.now)
					if r.watch.Wait(s.now, s.pace.Limit(serverID(i), "", bounds, s.now)) <= 0 {
						moves[i]++
						shortest = min(shortest, silent)
						r.watch.MoveFailed(s.now)
					}
				}
			}
		}
	}
	return moves, shortest
}

func sum(all []int) (n int) {
	for _, x := range all {
		n += x
	}
	return n
}

// normal is the time between events of a sound server: 30 to 210 ms.
func normal(s *simulation) time.Duration {
	return 30*time.Millisecond + time.Duration(s.random.Int64N(int64(180*time.Millisecond)))
}

func TestRunsStayWhereAllServersAreSlow(t *testing.T) {
	for name, c := range map[string]struct {
		gap  func(s *simulation) time.Duration
		most int // moves in 20 s of 12 runs
	}{
		"steady": {func(*simulation) time.Duration { return 1030 * time.Millisecond }, 0},
		"0.6 to 1.0 s": {func(s *simulation) time.Duration {
			return 600*time.Millisecond + time.Duration(s.random.Int64N(int64(400*time.Millisecond)))
		}, 0},
		"a quarter of the silences long, about 160": {func(s *simulation) time.Duration {
			return []time.Duration{180, 180, 180, 900}[s.random.IntN(4)] * time.Millisecond
		}, 30},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(6, func(s *simulation, _ int) time.Duration { return c.gap(s) })
			s.play(4 * time.Second)
			if moves, _ := s.play(20 * time.Second); sum(moves) > c.most {
				t.Errorf("%v moves in 20 s, want at most %d", moves, c.most)
			}
		})
	}
}

func TestServersThatTurnSlowTogetherRaiseTheLimit(t *testing.T) {
	slow := false
	s := newSimulation(6, func(s *simulation, _ int) time.Duration {
		if slow {
			return 800 * time.Millisecond
		}
		return normal(s)
	})
	if moves, _ := s.play(5 * time.Second); sum(moves) > 0 {
		t.Errorf("at the normal pace: %v moves, want none", moves)
	}
	slow = true
	s.play(3 * time.Second)
	if moves, _ := s.play(10 * time.Second); sum(moves) > 0 {
		t.Errorf("%v moves from 3 s after the servers turned slow, want none", moves)
	}
	slow = false
	s.play(4 * time.Second)
	if d := s.pace.Limit(serverID(0), "", bounds, s.now); d != stall.LongSilence {
		t.Errorf("4 s after the servers sped up: got a limit of %v, want %v", d, stall.LongSilence)
	}
}

func TestOneBadServerAmongSoundOnesIsLeftAfterTheLeastTime(t *testing.T) {
	for name, gap := range map[string]time.Duration{"slow": 800 * time.Millisecond, "mute": 0} {
		t.Run(name, func(t *testing.T) {
			bad := false
			s := newSimulation(3, func(s *simulation, server int) time.Duration {
				if bad && server == 1 {
					return gap
				}
				return normal(s)
			})
			s.play(2 * time.Second)
			bad = true
			moves, shortest := s.play(3 * time.Second)
			if moves[1] < 2 || moves[0]+moves[2] > 0 {
				t.Errorf("moves from the servers: %v, want them from the bad server only", moves)
			}
			if shortest > stall.LongSilence+10*time.Millisecond {
				t.Errorf("left after %v, want %v", shortest, stall.LongSilence)
			}
		})
	}
}

func TestLimitRisesOnlyIfTheTargetIsSlow(t *testing.T) {
	for _, c := range []struct {
		slow, servers int // the first ones are slow
		target        int
		rises         bool
	}{{2, 3, 1, true}, {2, 3, 2, false}, {2, 4, 1, false}, {3, 5, 2, true}, {3, 5, 9, false}, {4, 5, 9, true}} {
		s := newSimulation(c.servers, func(_ *simulation, server int) time.Duration {
			if server < c.slow {
				return 700 * time.Millisecond
			}
			return 40 * time.Millisecond
		})
		s.play(4 * time.Second)
		if d := s.pace.Limit(serverID(0), serverID(c.target), bounds, s.now); d != stall.LongSilence && !c.rises || d <= 700*time.Millisecond && c.rises {
			t.Errorf("%d of %d servers slow, from the first to server %d: got a limit of %v, risen: want %v", c.slow, c.servers, c.target, d, c.rises)
		}
	}
}

// A server that sends nothing must not look fast because it records no gap.
func TestSilenceCountsWhileItLasts(t *testing.T) {
	mute := false
	s := newSimulation(2, func(s *simulation, server int) time.Duration {
		switch {
		case server == 0:
			return 700 * time.Millisecond
		case mute:
			return 0
		default:
			return normal(s)
		}
	})
	s.play(4 * time.Second)
	if d := s.pace.Limit(serverID(0), "", bounds, s.now); d != stall.LongSilence {
		t.Errorf("beside a fast server: got a limit of %v, want %v", d, stall.LongSilence)
	}
	mute = true
	s.play(2 * time.Second)
	if d := s.pace.Limit(serverID(0), "", bounds, s.now); d < 700*time.Millisecond {
		t.Errorf("beside a server that has been mute for 2 s: got a limit of %v, want more than 700ms", d)
	}
	s.play(5 * time.Second)
	if d := s.pace.Limit(serverID(0), "", bounds, s.now); d != stall.LongSilence {
		t.Errorf("beside a server of which nothing is known any more: got a limit of %v, want %v", d, stall.LongSilence)
	}
}

func TestLimitKeepsTheGoalAtAPaceThatAllowsIt(t *testing.T) {
	for _, c := range []struct{ gap, goal, want time.Duration }{
		{100, 0, 400}, {100, 600, 400}, {300, 400, 400}, {300, 0, 400}, {450, 600, 600}, {500, 600, 750}, {500, -300, 750}, {1400, 600, 1500},
	} {
		b := bounds
		b.Goal = c.goal * time.Millisecond
		s := newSimulation(3, func(*simulation, int) time.Duration { return c.gap * time.Millisecond })
		s.play(4 * time.Second)
		if d := s.pace.Limit(serverID(0), "", b, s.now).Round(time.Millisecond); d != c.want*time.Millisecond {
			t.Errorf("an event each %d ms, goal %d ms: got a limit of %v, want %d ms", c.gap, c.goal, d, c.want)
		}
	}
}

func BenchmarkPace(b *testing.B) {
	s := newSimulation(40, func(s *simulation, _ int) time.Duration { return normal(s) })
	s.play(time.Second)
	w := &s.runs[0][0].watch
	b.Run("event", func(b *testing.B) {
		for range b.N {
			s.pace.RecordEvent(serverID(0), w, true, s.now)
		}
	})
	b.Run("limit of 40 servers", func(b *testing.B) {
		for range b.N {
			s.pace.Limit(serverID(0), "", bounds, s.now)
		}
	})
}
