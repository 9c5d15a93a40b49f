package generation_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/answer"
	"cicadabeam/core/balance"
	"cicadabeam/core/completion"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/generation"
	"cicadabeam/core/quarantine"
	"cicadabeam/core/route"
)

// world is the engines, the site and what is observed.
type world struct {
	config   *config.Config
	mu       sync.Mutex
	opened   []string // servers by attempt
	failures []error
	resumed  []time.Duration
	finish   answer.Finish
	// script is what an attempt on a server does; probe answers its probes.
	script func(ctx context.Context, server string, attempt int, send func(generation.Chunk)) error
	probe  func(ctx context.Context, server string) generation.Health
}

func newWorld(t *testing.T, servers int) *world {
	t.Helper()
	text := "[region r]\n[data-centre d]\nregion = r\n[service s]\nmodel = m\nqueue-wait = 5s\n"
	for i := range servers {
		text += fmt.Sprintf("[server e%d]\ndata-centre = d\naddress = http://10.0.0.1:%d\nservices = s\n", i, i+1)
	}
	c, err := config.Parse("t", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return &world{config: c, probe: func(context.Context, string) generation.Health { return generation.Healthy }}
}

func (w *world) Config() *config.Config { return w.config }
func (w *world) Tier(string) int        { return 0 }
func (w *world) Choosers() int          { return 1 }

func (w *world) AttemptStarted(generation.Job, string, int) {}

func (w *world) AttemptEnded(_ generation.Job, _ string, _ int, err error) {
	if err != nil {
		w.failures = append(w.failures, err)
	}
}

func (w *world) Resumed(_ generation.Job, _ string, d time.Duration) {
	w.resumed = append(w.resumed, d)
}
func (w *world) ServerDied(quarantine.Suspicion)               {}
func (w *world) RequestQuarantined(quarantine.Fingerprint)     {}
func (w *world) AnswerEnded(_ generation.Job, f answer.Finish) { w.finish = f }
func (w *world) Notify(a *answer.Answer)                       {}
func (w *world) Probe(ctx context.Context, s config.Server) generation.Health {
	return w.probe(ctx, s.Name())
}

// stream plays a script.
type stream struct {
	chunks chan generation.Chunk
	end    chan error
	stop   context.CancelFunc
}

func (s *stream) Next() (generation.Chunk, error) {
	select {
	case c := <-s.chunks:
		return c, nil
	case err := <-s.end:
		return generation.Chunk{}, err
	}
}

func (s *stream) Close() { s.stop() }

func (w *world) Open(ctx context.Context, s config.Server, a generation.Attempt) (generation.Stream, error) {
	w.mu.Lock()
	w.opened = append(w.opened, s.Name())
	w.mu.Unlock()
	ctx, stop := context.WithCancel(ctx)
	x := &stream{chunks: make(chan generation.Chunk), end: make(chan error, 1), stop: stop}
	go func() {
		x.end <- w.script(ctx, s.Name(), a.Number, func(c generation.Chunk) {
			select {
			case x.chunks <- c:
			case <-ctx.Done():
			}
		})
	}()
	return x, nil
}

func (w *world) run(t *testing.T) *answer.Answer {
	t.Helper()
	q, err := completion.Parse(completion.Chat, []byte(`{"model":"m","messages":[{"role":"user","content":"q"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	loads := balance.New()
	r := generation.New(w, w, loads, route.New(loads, w), quarantine.New(), w)
	a := answer.New(answer.Header{ID: "a", Path: completion.Chat}, "n", 1)
	s, _ := w.config.Service("s")
	r.Run(context.Background(), generation.Job{Answer: a, Epoch: 1, Request: q, Service: s})
	return a
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// An engine with long gaps, whose health answers slowly, is never given up while it
// lives: an hour of gaps with a heavy tail.
func TestNoFalseGiveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		random := rand.New(rand.NewPCG(20261204, 5))
		w.probe = func(ctx context.Context, _ string) generation.Health {
			if !sleep(ctx, time.Duration(random.IntN(600))*time.Millisecond) {
				return generation.Silent
			}
			return generation.Healthy
		}
		long := 0
		w.script = func(ctx context.Context, _ string, _ int, send func(generation.Chunk)) error {
			for n := 1; time.Since(time.Unix(946684800, 0)) < time.Hour; n++ {
				gap := time.Duration(65 / math.Pow(1-random.Float64(), 0.8) * float64(time.Millisecond))
				gap = min(gap, 19*time.Second)
				if gap > 3*time.Second {
					long++
				}
				if !sleep(ctx, gap) {
					return ctx.Err()
				}
				send(generation.Chunk{Text: "x", Completion: n})
			}
			send(generation.Chunk{Finish: "stop"})
			return generation.ErrEnd
		}
		w.run(t)
		if len(w.opened) != 1 || w.finish.Reason != "stop" {
			t.Fatalf("%d attempts, finish %+v, failures %v", len(w.opened), w.finish, w.failures)
		}
		if long < 20 {
			t.Fatalf("only %d long gaps; the test shows nothing", long)
		}
	})
}

// A frozen engine is given up, and output goes on, within 3 s; its late chunks
// don't come in.
func TestFrozenEngine(t *testing.T) {
	for _, after := range []int{0, 1, 50} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 2)
			frozen := ""
			w.probe = func(ctx context.Context, server string) generation.Health {
				if server == frozen {
					<-ctx.Done()
					return generation.Silent
				}
				return generation.Healthy
			}
			w.script = func(ctx context.Context, server string, attempt int, send func(generation.Chunk)) error {
				for n := 1; n <= 100; n++ {
					if attempt == 1 && n == after+1 {
						frozen = server
						time.Sleep(10 * time.Second)
					}
					time.Sleep(20 * time.Millisecond)
					send(generation.Chunk{Text: fmt.Sprint(" ", attempt), Completion: n})
				}
				send(generation.Chunk{Finish: "stop"})
				return generation.ErrEnd
			}
			a := w.run(t)
			if n, _, _ := a.Progress(); n != after+100 || len(w.opened) != 2 {
				t.Fatalf("%d pieces in %d attempts: %v", n, len(w.opened), w.failures)
			}
			if w.resumed[0] > 3*time.Second {
				t.Errorf("output stood still for %v", w.resumed[0])
			}
			if !fault.Is(w.failures[0], fault.ServerSilent) {
				t.Errorf("failure %v", w.failures[0])
			}
			time.Sleep(time.Minute)
		})
	}
}

// A stream that ends without a finish reason is not whole, whatever its end is.
func TestEndsThatAreNone(t *testing.T) {
	for name, end := range map[string]error{"marker without reason": generation.ErrEnd, "broken": fault.Wrap(errors.New("EOF"), fault.ServerFailed, "read", "e")} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 2)
			w.script = func(_ context.Context, _ string, attempt int, send func(generation.Chunk)) error {
				send(generation.Chunk{Text: "x", Completion: 1})
				if attempt == 1 {
					return end
				}
				send(generation.Chunk{Finish: "stop"})
				return generation.ErrEnd
			}
			a := w.run(t)
			if n, u, _ := a.Progress(); n != 2 || u.Completion != 2 || len(w.opened) != 2 || w.finish.Reason != "stop" {
				t.Errorf("%s: %d pieces, %+v, %d attempts, %+v", name, n, u, len(w.opened), w.finish)
			}
		})
	}
}

// Attempts that bring nothing end with the failure; what the engine refuses is not
// tried again.
func TestGivingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.script = func(context.Context, string, int, func(generation.Chunk)) error {
			return fault.Wrap(errors.New("reset"), fault.ServerFailed, "read", "e")
		}
		w.run(t)
		if len(w.opened) != 4 || w.finish.Code != string(fault.ServerFailed) || w.finish.Ran != string(fault.Unknown) {
			t.Errorf("%d attempts, %+v", len(w.opened), w.finish)
		}
		w = newWorld(t, 3)
		w.script = func(context.Context, string, int, func(generation.Chunk)) error {
			return fault.Wrap(errors.New("bad"), fault.ServerRefused, "open", "e").WithStatus(422)
		}
		w.run(t)
		if len(w.opened) != 1 || w.finish.Status != 422 {
			t.Errorf("%d attempts, %+v", len(w.opened), w.finish)
		}
	})
}
