package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

func TestCallerWhoLeavesEndsTheWork(t *testing.T) {
	for name, path := range map[string]string{"read": "/read/1", "stream": "/report/1"} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			left := make(chan struct{})
			step := func(c *backend.Conn, _ *http.Request, _ []byte) bool {
				<-c.AwaitClose()
				close(left)
				return false
			}
			b.server(strings.Split(path, "/")[1], "a", step)
			ctx, cancel := context.WithCancel(context.Background())
			go func() { time.Sleep(60 * time.Millisecond); cancel() }()
			perform(b.request(http.MethodPost, path, prompt).WithContext(ctx))
			select {
			case <-left:
			case <-time.After(500 * time.Millisecond):
				t.Error("the server still works half a second after the caller has left")
			}
		})
	}
}

func events(from, to int) string {
	var s strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: piece-%d\n\n", i, i)
	}
	return s.String()
}

func TestStreamGoesOnAfterLoss(t *testing.T) {
	const last = 20
	ends := map[string]backend.Step{
		"closed": backend.Drop(), "silent": backend.Silent(), "cut within an event": backend.Raw("20\r\nid: 9\nda", false),
		"garbage": backend.Raw("no chunk at all\r\n", false),
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			first := b.server("report", "a", backend.Stream(last, 8, 5*time.Millisecond, end))
			second := b.server("report", "b", backend.Stream(last, 0, 5*time.Millisecond, nil))
			started := time.Now()
			got := b.do(http.MethodPost, "/report/1", prompt)
			b.expect(got, 200, events(1, last))
			if got.header.Get("X-Server-Signature") != "signed" {
				t.Error("the first server's headers are missing")
			}
			if d := time.Since(started); d > time.Second {
				t.Errorf("the stream took %v", d)
			}
			backup, copied := first.Requests()[0].Header.Get("X-Kv-Backup"), second.Requests()[0].Header
			if backup != second.Address() {
				t.Errorf("the copy is kept at %q", backup)
			}
			if from := copied.Get("Kv-From"); from != second.Address()+"/"+copied.Get("X-Request-Id") || copied.Get("Last-Event-Id") != "8" {
				t.Errorf("the stream goes on from %q after event %q", from, copied.Get("Last-Event-Id"))
			}
		})
	}
}

func TestStreamGoesOnWithoutCopy(t *testing.T) {
	b := newBench(t)
	b.server("report", "a", backend.Stream(10, 4, 0, backend.Drop()))
	second := b.server("report", "b", backend.Refuse(), backend.Stream(10, 0, 0, nil))
	b.expect(b.do(http.MethodPost, "/report/1", prompt), 200, events(1, 10))
	if n := len(second.Requests()); n != 2 || second.Requests()[1].Header.Get("Kv-From") != "" {
		t.Errorf("%d requests reached the second server", n)
	}
}

func TestStreamThatRepeatsOrSkipsEvents(t *testing.T) {
	b := newBench(t)
	repeats := func(c *backend.Conn, r *http.Request, body []byte) bool {
		r.Header.Set("Last-Event-Id", "2") // from event 3 again, though the caller has 5
		return backend.Stream(10, 0, 0, nil)(c, r, body)
	}
	b.server("report", "a", backend.Stream(10, 5, 0, backend.Drop()))
	b.server("report", "b", repeats)
	b.expect(b.do(http.MethodPost, "/report/1", prompt), 200, events(1, 10))

	b = newBench(t)
	skips := func(c *backend.Conn, r *http.Request, body []byte) bool {
		r.Header.Set("Last-Event-Id", "7")
		return backend.Stream(10, 0, 0, nil)(c, r, body)
	}
	b.server("report", "a", backend.Stream(10, 5, 0, backend.Drop()))
	b.server("report", "b", skips)
	if got := b.do(http.MethodPost, "/report/1", prompt); got.err == nil {
		t.Errorf("a stream that lacks events looks whole: %q", got.body)
	}
}

func TestPlainStreamIsNotRunAgain(t *testing.T) {
	b := newBench(t)
	b.server("once", "a", backend.Stream(10, 5, 0, backend.Drop()))
	second := b.server("once", "b", backend.Stream(10, 0, 0, nil))
	got := b.do(http.MethodPost, "/once/1", prompt)
	if got.err == nil || got.body != events(1, 5) {
		t.Errorf("the stream ends as %q, %v", got.body, got.err)
	}
	b.expectRuns(second, 0)
}

func TestStreamIsResumedByCaller(t *testing.T) {
	b := newBench(t)
	b.server("report", "a", backend.Stream(10, 0, 0, nil))
	got := b.do(http.MethodPost, "/report/1", func(r *http.Request) { prompt(r); r.Header.Set("Last-Event-Id", "6") })
	b.expect(got, 200, events(7, 10))
}

// silent registers a server that takes one connection, says nothing, and takes no
// further ones.
func (b *bench) silent(id string) {
	b.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err == nil {
			_ = l.Close()
			time.Sleep(10 * time.Second)
			_ = c.Close()
		}
	}()
	b.register(id, "report", "a", l.Addr().String())
}

// Another node tells that it lost the server that a stream waits for, long before
// the prompt would have been read.
func TestServerThatOthersLostIsDoubted(t *testing.T) {
	b := newBench(t)
	b.silent("gone")
	b.server("report", "b", backend.Stream(5, 0, 0, nil))
	started := time.Now()
	time.AfterFunc(200*time.Millisecond, func() { b.handler.HeardLost(map[string]time.Duration{"gone": 0}, time.Now()) })
	got := b.do(http.MethodPost, "/report/1", prompt)
	b.expect(got, 200, events(1, 5))
	if d := time.Since(started); d > time.Second {
		t.Errorf("the stream took %v", d)
	}
}

// An engine runs a stream and its answer is lost on the way, while the engine takes
// connections. It is asked for its runs; those of other requests tell nothing.
func TestLostAnswerIsNoticed(t *testing.T) {
	for name, c := range map[string]struct {
		report string
		copied bool
		most   time.Duration
	}{
		"it has made events":       {`{"Queued":0,"Active":1,"Runs":[["id-lost",900,40,5]]}`, true, 3 * time.Second},
		"it knows nothing of it":   {`{"Queued":0,"Active":0,"Runs":[]}`, true, 3 * time.Second},
		"it reads the prompt":      {`{"Queued":0,"Active":1,"Runs":[["id-lost",300,0,5],["other",900,40,5]]}`, false, 0},
		"it does other work":       {`{"Queued":0,"Active":1,"Runs":[["other",900,40,5]]}`, false, 0},
		"its report can't be read": {`{"Queued":0}`, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			b.server("report", "a", backend.OnPath("/v1/report", backend.Answer(200, c.report), backend.Silent()))
			second := b.server("report", "b", backend.Stream(5, 0, 0, nil))
			started := time.Now()
			got := b.do(http.MethodPost, "/long/1", func(r *http.Request) {
				r.Header.Set("X-Request-Id", "id-lost")
				r.Header.Set("X-Token-Usage", "800,90")
				r.Header.Set("X-Deadline-Ms", "4000")
			})
			if c.most == 0 {
				b.expect(got, 504, "")
				b.expectRuns(second, 0)
				return
			}
			b.expect(got, 200, events(1, 5))
			if d := time.Since(started); d > c.most {
				t.Errorf("the stream took %v", d)
			}
			seen := second.Requests()
			if len(seen) != 1 {
				t.Fatalf("%d requests reached the second server, not 1", len(seen))
			}
			if from := seen[0].Header.Get("Kv-From"); (from != "") != c.copied {
				t.Errorf("it goes on from %q", from)
			}
		})
	}
}

func TestSilentEngineBeforeFirstEvent(t *testing.T) {
	b := newBench(t)
	b.silent("gone")
	b.server("report", "b", backend.After(0, backend.Stream(5, 0, 0, nil)))
	started := time.Now()
	got := b.do(http.MethodPost, "/report/1", func(r *http.Request) { r.Header.Set("X-Token-Usage", "800,90") })
	b.expect(got, 200, events(1, 5))
	if d := time.Since(started); d > 1500*time.Millisecond {
		t.Errorf("the stream took %v", d)
	}
}

// The deadline passes while a stream pauses before it asks the servers again: its
// caller must not take the part that it has for the whole.
func TestDeadlineBetweenLegsLooksBroken(t *testing.T) {
	b := newBench(t)
	b.server("report", "a", backend.Stream(10, 3, 0, backend.Drop()), backend.Refuse())
	got := b.do(http.MethodPost, "/report/1", func(r *http.Request) { prompt(r); r.Header.Set("X-Deadline-Ms", "320") })
	if got.err == nil || got.body != events(1, 3) {
		t.Errorf("the stream ends as %q, %v", got.body, got.err)
	}
}

// Engines admit requests by the priority of the organisation, or else of the route.
func TestPriorityIsPassedOn(t *testing.T) {
	b := newBench(t)
	s := b.server("report", "a", backend.Stream(2, 0, 0, nil))
	b.expect(b.do(http.MethodPost, "/long/1", prompt), 200, "")
	b.expect(b.do(http.MethodPost, "/long/2", func(r *http.Request) {
		prompt(r)
		r.Header.Set("Authorization", "Bearer "+urgentKey)
		r.Header.Set("X-Priority-Class", "0")
	}), 200, "")
	for i, want := range []string{"3", "1"} {
		if got := s.Requests()[i].Header.Get("X-Priority-Class"); got != want {
			t.Errorf("request %d has priority %q, not %s", i+1, got, want)
		}
	}
}
