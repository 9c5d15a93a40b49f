package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"cicadabeam/core/answer"
	"cicadabeam/core/balance"
	"cicadabeam/core/completion"
	"cicadabeam/core/config"
	"cicadabeam/core/crashcause"
	"cicadabeam/core/generation"
	"cicadabeam/core/quarantine"
	"cicadabeam/core/route"
	"cicadabeam/io/engine"
	"cicadabeam/test/standin/backend"
)

// maxSideBySide is how long an engine may work on an answer that goes on elsewhere, from when its host reaches it.
const maxSideBySide = 400 * time.Millisecond

// pathEngine is an engine at the end of a path, which generates until it learns of the end of the connection.
type pathEngine struct {
	server       *backend.Server
	path         *backend.Path
	mu           sync.Mutex
	began, ended time.Time
}

func startPathEngine(t *testing.T) *pathEngine {
	t.Helper()
	e := &pathEngine{}
	var err error
	e.server, e.path, err = backend.StartOnPath("127.0.0.1:0")
	must(t, err)
	t.Cleanup(e.server.Close)
	e.server.SetSteps(backend.ForPath("/health", backend.Respond(http.StatusOK, ""), e.generate))
	return e
}

func (e *pathEngine) times() (began, ended time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.began, e.ended
}

func (e *pathEngine) generate(c *backend.Conn, _ *http.Request, _ []byte) bool {
	e.mu.Lock()
	e.began = time.Now()
	e.mu.Unlock()
	closed := c.CloseNotify()
	text := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	for i := 0; ; i++ {
		text += fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":\" t%d\"}}]}\n\n", i)
		if e.path.Delivers() {
			_, _ = io.WriteString(c, text)
			text = ""
		}
		select {
		case <-closed:
			e.mu.Lock()
			e.ended = time.Now()
			e.mu.Unlock()
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// soleNode is what a runner needs of the node around it.
type soleNode struct{ config *config.Config }

func (n soleNode) Config() *config.Config { return n.config }

func (soleNode) Tier(string) int                                     { return 0 }
func (soleNode) SelectingNodes() int                                 { return 1 }
func (soleNode) Replicate(*answer.Answer)                            {}
func (soleNode) AttemptStarted(generation.Job, string, int)          {}
func (soleNode) AttemptEnded(generation.Job, string, int, error)     {}
func (soleNode) AnswerResumed(generation.Job, string, time.Duration) {}
func (soleNode) ServerDied(quarantine.Suspicion)                     {}
func (soleNode) RequestQuarantined(quarantine.Fingerprint)           {}
func (soleNode) CausesFound([]crashcause.Cause)                      {}
func (soleNode) AnswerEnded(generation.Job, answer.Finish)           {}

// generate runs an answer on engines until the end of the test.
func generate(t *testing.T, engines ...*pathEngine) {
	t.Helper()
	text := "[region r]\n[data-centre d]\nregion = r\n[service s]\nmodel = m\n"
	for i, e := range engines {
		text += fmt.Sprintf("[server e%d]\ndata-centre = d\naddress = http://%s\nservices = s\n", i, e.server.Address())
	}
	c, err := config.Parse("t", []byte(text))
	must(t, err)
	q, err := completion.Parse(completion.ChatPath, []byte(`{"model":"m","messages":[{"role":"user","content":"q"}]}`))
	must(t, err)
	n, loads := soleNode{c}, balance.New()
	r := generation.New(engine.New(nil), n, loads, route.New(loads, n), quarantine.New(), generation.NewCrashDetector(n), n)
	s, _ := c.Service("s")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx, generation.Job{Answer: answer.New(answer.Header{ID: "a", Path: completion.ChatPath}, "n", 1), Epoch: 1, Request: q, Service: s})
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// Guards against two engines that go on with one answer once a path that was cut for a moment has healed.
func TestEngineLearnsOfEndSoonAfterItsPathHasHealed(t *testing.T) {
	for _, cut := range []time.Duration{1500 * time.Millisecond, 1900 * time.Millisecond, 2600 * time.Millisecond, 3300 * time.Millisecond} {
		t.Run(fmt.Sprintf("cut for %v", cut), func(t *testing.T) {
			t.Parallel()
			first, second := startPathEngine(t), startPathEngine(t)
			generate(t, first, second)
			await(t, "an engine generates", func() bool {
				a, _ := first.times()
				b, _ := second.times()
				return !a.IsZero() || !b.IsZero()
			})
			if began, _ := first.times(); began.IsZero() {
				first, second = second, first
			}
			time.Sleep(300 * time.Millisecond)
			must(t, first.path.Cut())
			time.Sleep(cut)
			must(t, first.path.Heal())
			healed := time.Now()
			time.Sleep(2 * time.Second)
			if began, _ := second.times(); began.IsZero() || began.After(healed) {
				t.Fatalf("the answer did not go on at the other engine during the cut (began: %v)", began)
			}
			if _, ended := first.times(); ended.IsZero() || ended.Sub(healed) > maxSideBySide {
				t.Errorf("the first engine works on %v after its path had healed (never ended: %v)", ended.Sub(healed), ended.IsZero())
			} else {
				t.Logf("ended %v after the path had healed", ended.Sub(healed))
			}
		})
	}
}
