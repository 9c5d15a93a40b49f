package generation_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
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

// crashHarness has engines that crash as they begin to answer a request with a message, and
// restart after some time.
type crashHarness struct {
	*harness
	crashAfter int // chunks
	downUntil  map[string]time.Time
	crashed    map[string]context.CancelFunc // ends the streams of the current process, by engine
	processes  map[string]context.Context
	started    int // attempts with the message
	results    map[string]answer.Finish
}

const (
	badMessage    = `{"role":"user","content":"bad"}`
	systemMessage = `{"role":"system","content":"Answer briefly."}`
	prefill       = 300 * time.Millisecond
	restart       = 4 * time.Second
)

func newCrashHarness(t *testing.T, engines, crashAfter int) *crashHarness {
	t.Helper()
	return &crashHarness{
		harness: newHarness(t, engines), crashAfter: crashAfter, downUntil: make(map[string]time.Time), results: make(map[string]answer.Finish),
		processes: make(map[string]context.Context), crashed: make(map[string]context.CancelFunc),
	}
}

func (h *crashHarness) AttemptEnded(generation.Job, string, int, error)     {}
func (h *crashHarness) AnswerResumed(generation.Job, string, time.Duration) {}

func (h *crashHarness) AnswerEnded(j generation.Job, f answer.Finish) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results[j.Answer.Header().ID] = f
}

func (h *crashHarness) Probe(_ context.Context, s config.Server) generation.Health {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().Before(h.downUntil[s.Name()]) {
		return generation.Unreachable
	}
	return generation.Healthy
}

// process returns a context that ends with the process of an engine.
func (h *crashHarness) process(server string) context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().Before(h.downUntil[server]) {
		return nil
	}
	if h.processes[server] == nil {
		h.processes[server], h.crashed[server] = context.WithCancel(context.Background())
	}
	return h.processes[server]
}

func (h *crashHarness) crash(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.processes[server] == nil {
		return
	}
	h.downUntil[server] = time.Now().Add(restart)
	h.crashed[server]()
	h.processes[server] = nil
}

func (h *crashHarness) OpenStream(ctx context.Context, s config.Server, a generation.Attempt) (generation.Stream, error) {
	process := h.process(s.Name())
	if process == nil {
		return nil, fault.New(fault.ServerFailed, "open-stream", s.Name())
	}
	bad := bytes.Contains(a.Body, []byte(badMessage))
	if bad {
		h.mu.Lock()
		h.started++
		h.mu.Unlock()
	}
	ctx, stop := context.WithCancel(ctx)
	x := &stream{chunks: make(chan generation.Chunk), end: make(chan error, 1), stop: stop}
	go func() {
		x.end <- h.generate(ctx, process, bad, s.Name(), x.chunks)
	}()
	return x, nil
}

func (h *crashHarness) generate(ctx, process context.Context, bad bool, server string, to chan<- generation.Chunk) error {
	wait := prefill
	for n := 0; n <= 40; n++ {
		c := generation.Chunk{Text: "x", Completion: n + 1}
		if n == 40 {
			c = generation.Chunk{Finish: "stop"}
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		case <-process.Done():
			return fault.Wrap(errors.New("EOF"), fault.ServerFailed, "read-stream", server)
		}
		wait = 50 * time.Millisecond
		if bad && n == h.crashAfter {
			h.crash(server)
			continue
		}
		select {
		case to <- c:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return generation.ErrEndOfStream
}

// crashingRequests is how requests with a message that crashes engines are sent.
type crashingRequests struct {
	interval   time.Duration
	maxStarts  int
	servedFrom time.Duration // sound requests sent from then on must be served
}

const (
	firstBad     = 5 * time.Second
	refusedFrom  = firstBad + 10*time.Second
	crashTestEnd = 40 * time.Second
)

func TestMessageThatCrashesEnginesIsQuarantined(t *testing.T) {
	for name, x := range map[string]struct {
		engines, crashAfter int
		requests            crashingRequests
	}{
		"before the first token":     {12, 0, crashingRequests{time.Second, 5, 0}},
		"after the first tokens":     {12, 4, crashingRequests{time.Second, 5, 0}},
		"few engines that come back": {3, 0, crashingRequests{time.Second, 5, firstBad + 8*time.Second}},
		"many requests":              {12, 0, crashingRequests{100 * time.Millisecond, 14, firstBad + 8*time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				testMessageThatCrashesEngines(t, newCrashHarness(t, x.engines, x.crashAfter), x.requests)
			})
		})
	}
}

func testMessageThatCrashesEngines(t *testing.T, h *crashHarness, x crashingRequests) {
	s := newCrashSender(t, h)
	mustBeServed := make(map[string]bool)
	for at := time.Duration(0); at < crashTestEnd; at += 100 * time.Millisecond {
		if at%(500*time.Millisecond) == 0 {
			id := fmt.Sprint("sound-", at)
			mustBeServed[id] = at >= x.servedFrom
			if err := s.send(id, fmt.Sprintf(`{"role":"user","content":"%v"}`, at)); err != nil {
				t.Errorf("a sound request at %v was refused: %v", at, err)
			}
		}
		if at >= firstBad && at%x.interval == 0 {
			err := s.send(fmt.Sprint("bad-", at), badMessage)
			if at >= refusedFrom && (!fault.Is(err, fault.PromptQuarantined) || fault.From(err).RetryAt().IsZero() || fault.From(err).Ran() != fault.NotRun) {
				t.Errorf("a request with the message at %v got %v, want %s", at, err, fault.PromptQuarantined)
			}
		}
		time.Sleep(100 * time.Millisecond)
		s.router.Wake()
	}
	s.wg.Wait()
	if h.started > x.maxStarts {
		t.Errorf("requests with the message were started %d times, want at most %d", h.started, x.maxStarts)
	}
	for id, served := range mustBeServed {
		if f := h.results[id]; served && f.Reason != "stop" {
			t.Errorf("request %s ended with %+v", id, f)
		}
	}
}

// crashSender sends requests that share the first message.
type crashSender struct {
	t        *testing.T
	service  config.Service
	router   *route.Router
	detector *generation.CrashDetector
	runner   *generation.Runner
	wg       sync.WaitGroup
}

func newCrashSender(t *testing.T, h *crashHarness) *crashSender {
	t.Helper()
	loads := balance.New()
	s := &crashSender{t: t, router: route.New(loads, h), detector: generation.NewCrashDetector(h)}
	s.service, _ = h.config.Service("s")
	s.runner = generation.New(h, h, loads, s.router, quarantine.New(), s.detector, h)
	return s
}

// send starts a request unless it is refused.
func (s *crashSender) send(id, message string) error {
	s.t.Helper()
	body := []byte(fmt.Sprintf(`{"model":"m","messages":[%s,%s,{"role":"user","content":%q}]}`, systemMessage, message, id))
	q, err := completion.Parse(completion.ChatPath, body)
	if err != nil {
		s.t.Fatal(err)
	}
	f := quarantine.Fingerprint(xxhash.Sum64(body))
	if err := s.detector.Check(s.service, q.SharedMessages(), f); err != nil {
		return err
	}
	a := answer.New(answer.Header{ID: id, Path: completion.ChatPath}, "n", 1)
	s.wg.Go(func() {
		s.runner.Run(context.Background(), generation.Job{Answer: a, Epoch: 1, Request: q, Service: s.service, Fingerprint: f})
	})
	return nil
}

// Engines of a rack, and then another one, are lost under requests that share a message.
func TestOutageQuarantinesNoMessage(t *testing.T) {
	for size := range 5 {
		t.Run(fmt.Sprint(size, " engines"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newCrashHarness(t, 12, 0)
				s := newCrashSender(t, h)
				for i := range 200 {
					at := time.Duration(i) * 100 * time.Millisecond
					if err := s.send(fmt.Sprint("sound-", i), fmt.Sprintf(`{"role":"user","content":"%d"}`, i%8)); err != nil {
						t.Errorf("a request at %v was refused: %v", at, err)
					}
					switch {
					case i%60 == 40:
						for n := range size {
							h.crash(fmt.Sprint("e", n))
						}
					case i%60 == 44:
						h.crash("e10")
					}
					time.Sleep(100 * time.Millisecond)
					s.router.Wake()
				}
				s.wg.Wait()
				for id, f := range h.results {
					if f.Code == string(fault.PromptQuarantined) {
						t.Errorf("request %s ended with %+v", id, f)
					}
				}
			})
		})
	}
}
