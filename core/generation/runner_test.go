package generation_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/answer"
	"cicadabeam/core/balance"
	"cicadabeam/core/completion"
	"cicadabeam/core/config"
	"cicadabeam/core/crashcause"
	"cicadabeam/core/fault"
	"cicadabeam/core/generation"
	"cicadabeam/core/quarantine"
	"cicadabeam/core/route"
)

// harness is a fake engine, environment, replicator and observer. It records what the runner
// does.
type harness struct {
	servers  int
	config   *config.Config
	mu       sync.Mutex
	opened   []string // the server of each attempt
	failures []error
	resumed  []time.Duration
	finish   answer.Finish
	last     context.Context // of the last attempt
	overlaps int             // attempts that began before the one before had ended
	loads    *balance.Table  // set by run
	// attempts is the number of attempts that the service allows, if not 0. spendBudget
	// leaves no retries in the budget.
	attempts    int
	spendBudget bool
	// script defines the stream of an attempt, and probe the result of a health probe.
	script func(ctx context.Context, server string, attempt int, send func(generation.Chunk)) error
	probe  func(ctx context.Context, server string) generation.Health
}

func newHarness(t *testing.T, servers int) *harness {
	t.Helper()
	h := &harness{servers: servers, probe: func(context.Context, string) generation.Health { return generation.Healthy }}
	h.configure(t, "")
	return h
}

// configure sets the configuration, with further settings of the service.
func (h *harness) configure(t *testing.T, service string) {
	t.Helper()
	text := "[region r]\n[data-centre d]\nregion = r\n[service s]\nmodel = m\nqueue-wait = 5s\n" + service
	for i := range h.servers {
		text += fmt.Sprintf("[server e%d]\ndata-centre = d\naddress = http://10.0.0.1:%d\nservices = s\n", i, i+1)
	}
	c, err := config.Parse("t", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	h.config = c
}

func (h *harness) Config() *config.Config { return h.config }
func (h *harness) Tier(string) int        { return 0 }
func (h *harness) SelectingNodes() int    { return 1 }

func (h *harness) AttemptStarted(generation.Job, string, int) {}

func (h *harness) AttemptEnded(_ generation.Job, _ string, _ int, err error) {
	if err != nil {
		h.failures = append(h.failures, err)
	}
}

func (h *harness) AnswerResumed(_ generation.Job, _ string, d time.Duration) {
	h.resumed = append(h.resumed, d)
}
func (h *harness) ServerDied(quarantine.Suspicion)               {}
func (h *harness) RequestQuarantined(quarantine.Fingerprint)     {}
func (h *harness) CausesFound([]crashcause.Cause)                {}
func (h *harness) AnswerEnded(_ generation.Job, f answer.Finish) { h.finish = f }
func (h *harness) Replicate(a *answer.Answer)                    {}
func (h *harness) Probe(ctx context.Context, s config.Server) generation.Health {
	return h.probe(ctx, s.Name())
}

// stream is a fake engine stream that is driven by a script.
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

func (h *harness) OpenStream(ctx context.Context, s config.Server, a generation.Attempt) (generation.Stream, error) {
	h.mu.Lock()
	h.opened = append(h.opened, s.Name())
	if h.last != nil && h.last.Err() == nil {
		h.overlaps++
	}
	h.last = ctx
	h.mu.Unlock()
	ctx, stop := context.WithCancel(ctx)
	x := &stream{chunks: make(chan generation.Chunk), end: make(chan error, 1), stop: stop}
	go func() {
		x.end <- h.script(ctx, s.Name(), a.Number, func(c generation.Chunk) {
			select {
			case x.chunks <- c:
			case <-ctx.Done():
			}
		})
	}()
	return x, nil
}

func (h *harness) run(t *testing.T) *answer.Answer {
	t.Helper()
	if h.attempts > 0 {
		h.configure(t, fmt.Sprintf("attempts = %d\n", h.attempts))
	}
	q, err := completion.Parse(completion.ChatPath, []byte(`{"model":"m","messages":[{"role":"user","content":"q"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	loads := balance.New()
	h.loads = loads
	r := generation.New(h, h, loads, route.New(loads, h), quarantine.New(), generation.NewCrashDetector(h), h)
	for h.spendBudget && r.RetryBudget().TryWithdraw() {
	}
	a := answer.New(answer.Header{ID: "a", Path: completion.ChatPath}, "n", 1)
	s, _ := h.config.Service("s")
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

// Guards against abandoning a slow but healthy engine: the gaps between chunks have
// a heavy tail for an hour of virtual time, and health probes answer slowly.
func TestSlowEngineIsNotAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		gaps, probes := rand.New(rand.NewPCG(20261204, 5)), rand.New(rand.NewPCG(20261204, 6)) // probes run beside the stream
		h.probe = func(ctx context.Context, _ string) generation.Health {
			if !sleep(ctx, time.Duration(probes.IntN(600))*time.Millisecond) {
				return generation.Unresponsive
			}
			return generation.Healthy
		}
		longGaps := 0
		h.script = func(ctx context.Context, _ string, _ int, send func(generation.Chunk)) error {
			for n := 1; time.Since(time.Unix(946684800, 0)) < time.Hour; n++ {
				gap := time.Duration(65 / math.Pow(1-gaps.Float64(), 0.8) * float64(time.Millisecond))
				gap = min(gap, 19*time.Second)
				if gap > 3*time.Second {
					longGaps++
				}
				if !sleep(ctx, gap) {
					return ctx.Err()
				}
				send(generation.Chunk{Text: "x", Completion: n})
			}
			send(generation.Chunk{Finish: "stop"})
			return generation.ErrEndOfStream
		}
		h.run(t)
		if len(h.opened) != 1 || h.finish.Reason != "stop" {
			t.Fatalf("got %d attempts, finish %+v, failures %v; want 1 attempt and finish stop", len(h.opened), h.finish, h.failures)
		}
		if longGaps < 20 {
			t.Fatalf("got only %d gaps over 3 s, want at least 20", longGaps)
		}
	})
}

// An engine that hangs is abandoned and output resumes on another one within 3 s.
// Chunks that the first engine sends later must not appear in the answer.
func TestFrozenEngine(t *testing.T) {
	for _, after := range []int{0, 1, 50} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, 2)
			var frozen atomic.Value // the server's name; probes run beside the stream
			frozen.Store("")
			h.probe = func(ctx context.Context, server string) generation.Health {
				if server == frozen.Load() {
					<-ctx.Done()
					return generation.Unresponsive
				}
				return generation.Healthy
			}
			h.script = func(ctx context.Context, server string, attempt int, send func(generation.Chunk)) error {
				for n := 1; n <= 100; n++ {
					if attempt == 1 && n == after+1 {
						frozen.Store(server)
						time.Sleep(10 * time.Second)
					}
					time.Sleep(20 * time.Millisecond)
					send(generation.Chunk{Text: fmt.Sprint(" ", attempt), Completion: n})
				}
				send(generation.Chunk{Finish: "stop"})
				return generation.ErrEndOfStream
			}
			a := h.run(t)
			if n, _, _ := a.Progress(); n != after+100 || len(h.opened) != 2 {
				t.Fatalf("got %d pieces in %d attempts, failures %v", n, len(h.opened), h.failures)
			}
			if h.resumed[0] > 3*time.Second {
				t.Errorf("output resumed after %v, want at most 3 s", h.resumed[0])
			}
			if !fault.Is(h.failures[0], fault.ServerSilent) {
				t.Errorf("got failure %v, want code server_silent", h.failures[0])
			}
			time.Sleep(time.Minute)
		})
	}
}

// Guards against two engines that work on one answer although the first one can be reached.
func TestAttemptEndsBeforeNextOneBegins(t *testing.T) {
	for name, c := range map[string]struct {
		queues bool // the engine reports a queue
		health generation.Health
		after  int // chunks before the engine falls silent
	}{
		"silent before the first chunk":    {false, generation.Unresponsive, 0},
		"silent after it":                  {false, generation.Unresponsive, 3},
		"slow for longer than it may be":   {false, generation.Healthy, 3},
		"waits in the queue of the engine": {true, generation.Healthy, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 2)
				h.probe = func(context.Context, string) generation.Health { return c.health }
				h.script = func(ctx context.Context, server string, attempt int, send func(generation.Chunk)) error {
					if attempt == 2 {
						send(generation.Chunk{Text: "y", Finish: "stop"})
						return generation.ErrEndOfStream
					}
					if c.queues {
						h.loads.Report(balance.Report{Server: server, Waiting: 1, At: time.Now().UnixMilli()}, time.Now())
					}
					for n := 1; n <= c.after; n++ {
						send(generation.Chunk{Text: "x", Completion: n})
					}
					<-ctx.Done()
					return ctx.Err()
				}
				h.run(t)
				if len(h.opened) != 2 || h.overlaps > 0 || h.finish.Reason != "stop" {
					t.Errorf("%d attempts, %d of which began before the one before had ended, finish %+v", len(h.opened), h.overlaps, h.finish)
				}
			})
		})
	}
}

// A stream that ends without a finish reason is incomplete and is resumed, whether
// it ended with the end marker or with a broken connection.
func TestStreamEndWithoutFinishReason(t *testing.T) {
	for name, end := range map[string]error{"marker without reason": generation.ErrEndOfStream, "broken": fault.Wrap(errors.New("EOF"), fault.ServerFailed, "read", "e")} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, 2)
			h.script = func(_ context.Context, _ string, attempt int, send func(generation.Chunk)) error {
				send(generation.Chunk{Text: "x", Completion: 1})
				if attempt == 1 {
					return end
				}
				send(generation.Chunk{Finish: "stop"})
				return generation.ErrEndOfStream
			}
			a := h.run(t)
			if n, u, _ := a.Progress(); n != 2 || u.Completion != 2 || len(h.opened) != 2 || h.finish.Reason != "stop" {
				t.Errorf("%s: got %d pieces, usage %+v, %d attempts, finish %+v", name, n, u, len(h.opened), h.finish)
			}
		})
	}
}

// An answer fails after the configured number of attempts without text, with the
// error of the last one. A request that the engine rejects is not retried.
func TestPermanentFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3)
		h.script = func(context.Context, string, int, func(generation.Chunk)) error {
			return fault.Wrap(errors.New("reset"), fault.ServerFailed, "read", "e")
		}
		h.run(t)
		if len(h.opened) != 4 || h.finish.Code != string(fault.ServerFailed) || h.finish.Ran != string(fault.RanUnknown) {
			t.Errorf("got %d attempts, finish %+v", len(h.opened), h.finish)
		}
		h = newHarness(t, 3)
		h.script = func(context.Context, string, int, func(generation.Chunk)) error {
			return fault.Wrap(errors.New("bad"), fault.ServerRefused, "open", "e").WithStatus(422)
		}
		h.run(t)
		if len(h.opened) != 1 || h.finish.Status != 422 {
			t.Errorf("got %d attempts, finish %+v", len(h.opened), h.finish)
		}
	})
}

// An engine that hangs for a while keeps its answer if no other one can take it over.
func TestFrozenEngineKeepsAnswerThatCannotMove(t *testing.T) {
	for name, c := range map[string]struct {
		servers     int
		attempts    int
		after       int // chunks before the engine hangs
		spendBudget bool
	}{
		"there is no other engine":  {servers: 1, attempts: 4, after: 3},
		"the attempts are used up":  {servers: 2, attempts: 1, after: 0},
		"the retry budget is spent": {servers: 2, attempts: 4, after: 3, spendBudget: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, c.servers)
				h.attempts, h.spendBudget = c.attempts, c.spendBudget
				h.probe = func(ctx context.Context, _ string) generation.Health {
					<-ctx.Done()
					return generation.Unresponsive
				}
				h.script = func(_ context.Context, _ string, _ int, send func(generation.Chunk)) error {
					for n := 1; n <= 10; n++ {
						if n == c.after+1 {
							time.Sleep(8 * time.Second)
						}
						send(generation.Chunk{Text: "x", Completion: n})
					}
					send(generation.Chunk{Finish: "stop"})
					return generation.ErrEndOfStream
				}
				a := h.run(t)
				if n, _, _ := a.Progress(); n != 10 || len(h.opened) != 1 || h.finish.Reason != "stop" {
					t.Errorf("got %d pieces in %d attempts, finish %+v, failures %v; want 10 pieces in one attempt", n, len(h.opened), h.finish, h.failures)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
