package relay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

const (
	answerEvents = 12
	eventPause   = 100 * time.Millisecond
	restartTime  = time.Second // from a crash to the registration under a new ID
	// contactTime is how long after the fifth crash requests with the part may go on.
	contactTime = 4 * time.Second
	// lateRequests is how many requests with the part may reach servers after that.
	lateRequests = 3
	atOnce       = 500 * time.Millisecond
)

// Parts of prompts. An empty part of a template stands for a new one in each request.
const (
	firstPart  = "5c1e07a2:200"
	commonPart = "77ab19d0:1800"
	badPart    = "9d40c3b1:3000"
)

func newPrompt(template []string) []string {
	prompt := slices.Clone(template)
	for i := range prompt {
		if prompt[i] == "" {
			prompt[i] = fmt.Sprintf("%08x:3000", rand.Uint32())
		}
	}
	return prompt
}

// partFleet is a fleet of twelve servers in three data centres. Servers that crash are
// replaced.
type partFleet struct {
	h        *harness
	answer   func(crash backend.Step) backend.Step // the response to a prompt with badPart
	address  string                                // of new servers
	restarts sync.WaitGroup
	mu       sync.Mutex
	closed   bool
	leaving  bool // the next server that gets a sound request leaves
	servers  []*partServer
	newest   *partServer // that got a sound request last
	crashes  []time.Time
	arrivals []time.Time // of requests with badPart
}

type partServer struct {
	*backend.Server
	id         string
	dataCentre string
	restarted  bool
	crashed    bool
}

func newPartFleet(t *testing.T, answer func(crash backend.Step) backend.Step) *partFleet {
	f := &partFleet{h: newHarness(t), answer: answer, address: ownAddress()}
	t.Cleanup(f.close)
	for i := range 12 {
		f.start([]string{"a", "b", "c"}[i%3], false)
	}
	return f
}

func (f *partFleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.restarts.Wait()
	for _, s := range f.servers {
		s.Close()
	}
}

func (f *partFleet) start(dataCentre string, restarted bool) {
	b, err := backend.Start(f.address, backend.NotExecuted())
	if err != nil {
		f.h.t.Error(err)
		return
	}
	s := &partServer{Server: b, id: b.Address(), dataCentre: dataCentre, restarted: restarted}
	s.SetSteps(f.serve(s))
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	f.h.register(s.id, "report", dataCentre, s.Address())
}

// serve returns the step that handles the requests to a server.
func (f *partFleet) serve(s *partServer) backend.Step {
	sound := backend.Stream(answerEvents, 0, eventPause, nil)
	bad := f.answer(func(*backend.Conn, *http.Request, []byte) bool {
		f.crash(s)
		return false
	})
	leave := func(c *backend.Conn, r *http.Request, body []byte) bool {
		time.AfterFunc(eventPause, func() { f.crash(s) })
		return backend.Leaving(sound)(c, r, body)
	}
	return backend.ForPath("/long/1", backend.ForPromptPart(badPart,
		func(c *backend.Conn, r *http.Request, body []byte) bool {
			f.recordBadRequest()
			return bad(c, r, body)
		},
		func(c *backend.Conn, r *http.Request, body []byte) bool {
			if f.recordSoundRequest(s) {
				return leave(c, r, body)
			}
			return sound(c, r, body)
		}), backend.NotExecuted())
}

func (f *partFleet) recordBadRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, time.Now())
}

// recordSoundRequest records which server got a request last. It reports whether the server
// leaves.
func (f *partFleet) recordSoundRequest(s *partServer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newest = s
	leaves := f.leaving
	f.leaving = false
	return leaves
}

// crash closes a server and starts another in its place.
func (f *partFleet) crash(s *partServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.crashed || f.closed {
		return
	}
	s.crashed = true
	s.Close()
	f.crashes = append(f.crashes, time.Now())
	f.restarts.Add(1)
	time.AfterFunc(restartTime, func() {
		defer f.restarts.Done()
		f.h.fleet.Deregister(s.id, time.Now())
		f.start(s.dataCentre, true)
	})
}

// running returns the servers of a data centre that have not crashed.
func (f *partFleet) running(dataCentre string) []*partServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*partServer
	for _, s := range f.servers {
		if !s.crashed && s.dataCentre == dataCentre {
			all = append(all, s)
		}
	}
	return all
}

// newestServer returns the server that got a sound request last.
func (f *partFleet) newestServer() *partServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

type partResult struct {
	result
	sent time.Time
	took time.Duration
}

// served reports whether the caller got the whole stream.
func (r partResult) served() bool {
	return r.err == nil && r.status == http.StatusOK && r.body == eventText(1, answerEvents)
}

// refused reports whether the caller was told at once to come back later.
func (r partResult) refused() bool {
	return r.err == nil && r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "" && r.took <= atOnce
}

func (f *partFleet) send(prompt []string) partResult {
	body := fmt.Sprintf("question %d", rand.Uint64())
	r := f.h.newRequest(http.MethodPost, "/long/1", setTokenUsage)
	r.Header.Set("X-Request-Id", fmt.Sprintf("id-%d", rand.Uint64()))
	r.Header.Set("X-Prefix-Hash", strings.Join(prompt, ","))
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	sent := time.Now()
	got := roundTrip(r)
	return partResult{result: got, sent: sent, took: time.Since(sent)}
}

// sendEvery sends batches of requests until a time and returns the results.
func (f *partFleet) sendEvery(interval time.Duration, batch int, until time.Time, template []string) []partResult {
	var mu sync.Mutex
	var all []partResult
	var wg sync.WaitGroup
	for next := time.Now(); next.Before(until); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		for range batch {
			wg.Go(func() {
				got := f.send(newPrompt(template))
				mu.Lock()
				defer mu.Unlock()
				all = append(all, got)
			})
		}
	}
	wg.Wait()
	return all
}

// crashAtOnce crashes the server before the head of the response.
func crashAtOnce(crash backend.Step) backend.Step { return crash }

// crashAfterEvent crashes the server after the first event that it writes.
func crashAfterEvent(crash backend.Step) backend.Step { return backend.OneEvent(eventPause, crash) }

// Guards against requests that share a part of their prompts and crash one server after
// another.
func TestPromptPartThatCrashesServersIsQuarantined(t *testing.T) {
	t.Parallel()
	second := []string{firstPart, badPart, commonPart, ""}
	withoutSecond := []string{firstPart, "", commonPart, ""}
	for _, x := range []struct {
		name       string
		answer     func(crash backend.Step) backend.Step
		batch      int
		bad, sound []string
	}{
		{"before the head", crashAtOnce, 1, second, withoutSecond},
		{"after the first event", crashAfterEvent, 1, second, withoutSecond},
		{"four requests at once", crashAfterEvent, 4, second, withoutSecond},
		{"first part", crashAfterEvent, 1, []string{badPart, "", ""}, []string{firstPart, "", ""}},
		{"part among others that vary", crashAfterEvent, 1, []string{firstPart, "", badPart, "", ""}, []string{firstPart, "", "", ""}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			f := newPartFleet(t, x.answer)
			until := time.Now().Add(10 * time.Second)
			var wg sync.WaitGroup
			var bad, sound []partResult
			wg.Go(func() { sound = f.sendEvery(100*time.Millisecond, 1, until, x.sound) })
			wg.Go(func() {
				time.Sleep(500 * time.Millisecond)
				bad = f.sendEvery(300*time.Millisecond, x.batch, until, x.bad)
			})
			wg.Wait()
			f.restarts.Wait()
			prompt := newPrompt(x.bad)
			bad = append(bad, f.send(prompt))
			f.checkQuarantine(t, bad, sound)
			got := f.send(slices.DeleteFunc(prompt, func(s string) bool { return s == badPart }))
			f.h.checkResponse(got.result, 200, eventText(1, answerEvents))
			if d := got.took - answerEvents*eventPause; d > atOnce {
				t.Errorf("a request without the part was answered %v late", d)
			}
			f.checkRestartedServersAreUsed(x.sound)
		})
	}
}

// checkQuarantine checks what happened later than contactTime after the fifth crash.
func (f *partFleet) checkQuarantine(t *testing.T, bad, sound []partResult) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) == 0 {
		t.Fatal("no server crashed")
	}
	from := f.crashes[min(5, len(f.crashes))-1].Add(contactTime)
	late := 0
	for _, at := range f.arrivals {
		if at.After(from) {
			late++
		}
	}
	if late > lateRequests {
		t.Errorf("%d requests with the part reached servers later than %v after the fifth crash, want at most %d; %d in all, %d crashes",
			late, contactTime, lateRequests, len(f.arrivals), len(f.crashes))
	}
	if n, all := countLater(bad, from, partResult.refused); n < all-lateRequests || n == 0 {
		t.Errorf("%d of %d requests with the part were refused at once with 503 and Retry-After, want all but %d", n, all, lateRequests)
	}
	if n, all := countLater(sound, from, partResult.served); 2*n < all || n == 0 {
		t.Errorf("%d of %d requests without the part were served, want at least half", n, all)
	}
}

// countLater returns how many requests that were sent after a time fulfil a condition, and
// how many there are.
func countLater(all []partResult, from time.Time, holds func(partResult) bool) (count, total int) {
	for _, r := range all {
		if !r.sent.After(from) {
			continue
		}
		total++
		if holds(r) {
			count++
		}
	}
	return count, total
}

// checkRestartedServersAreUsed checks that requests are served if only servers are left
// that have restarted.
func (f *partFleet) checkRestartedServersAreUsed(template []string) {
	f.h.t.Helper()
	f.restarts.Wait()
	f.mu.Lock()
	for _, s := range f.servers {
		if !s.restarted {
			f.h.fleet.Deregister(s.id, time.Now())
		}
	}
	f.mu.Unlock()
	for _, r := range f.sendEvery(eventPause, 1, time.Now().Add(6*eventPause), template) {
		f.h.checkResponse(r.result, 200, eventText(1, answerEvents))
	}
}

// Requests that share parts of their prompts are served while servers are lost for other
// reasons.
func TestLostServersQuarantineNoPromptPart(t *testing.T) {
	t.Parallel()
	common := []string{firstPart, commonPart, ""}
	for name, disturb := range map[string]func(f *partFleet){
		"data centre lost": func(f *partFleet) {
			for _, s := range f.running("a") {
				f.crash(s)
			}
		},
		"connections closed": func(f *partFleet) {
			for _, s := range f.running("a") {
				s.CloseConnections()
			}
		},
		"connections of one server closed": func(f *partFleet) { f.newestServer().CloseConnections() },
		"connections refused":              func(f *partFleet) { f.interrupt(f.newestServer(), 200*time.Millisecond) },
		"server says that it leaves":       (*partFleet).leaveNext,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPartFleet(t, crashAtOnce)
			until := time.Now().Add(9 * time.Second)
			results := make([][]partResult, 7)
			var wg sync.WaitGroup
			wg.Go(func() { results[0] = f.sendEvery(eventPause, 1, until, common) })
			for i := 1; i < len(results); i++ {
				time.Sleep(time.Second)
				wg.Go(func() { results[i] = f.sendEvery(eventPause, 6, time.Now().Add(1), common) })
				time.Sleep(30 * time.Millisecond)
				disturb(f)
			}
			wg.Wait()
			if n, all := countLater(slices.Concat(results...), time.Time{}, partResult.served); n < all {
				t.Errorf("%d of %d requests were served, want all", n, all)
			}
		})
	}
}

// interrupt closes a server and starts it again under its ID.
func (f *partFleet) interrupt(s *partServer, d time.Duration) {
	s.Close()
	time.Sleep(d)
	b, err := backend.Start(s.Address(), f.serve(s))
	if err != nil {
		f.h.t.Error(err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.Server = b
}

// leaveNext makes the next server that gets a request say that it leaves, and close a
// moment later.
func (f *partFleet) leaveNext() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
}

// A request that had just crashed its second server was sent to a third one at once.
func TestRequestIsNotSentOnWhileItsSecondCrashIsEvaluated(t *testing.T) {
	t.Parallel()
	f := newPartFleet(t, func(crash backend.Step) backend.Step { return backend.OneEvent(350*time.Millisecond, crash) })
	go f.send(newPrompt([]string{firstPart, badPart, ""}))
	time.Sleep(1200 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.arrivals); n != 2 {
		t.Errorf("the request reached %d servers, want 2", n)
	}
}
