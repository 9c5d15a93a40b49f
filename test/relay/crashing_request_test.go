package relay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/test/standin/backend"
)

const (
	crashingTarget = "/read/crashing"
	crashingStream = "4d1f09c2:7800" // the last part of a prompt
	// requestContactTime is how long after the third crash the request may go on.
	requestContactTime = 4 * time.Second
	firstServers       = 20
)

// requestFleet is a fleet of servers in two data centres that one request crashes.
type requestFleet struct {
	h        *harness
	service  string
	run      func(f *requestFleet, s *crashServer) backend.Step // the response to the request
	restart  time.Duration                                      // from a crash to the start of another server
	reuse    bool                                               // it takes the address
	unlisted bool                                               // it is not registered, and the entry of the one before stays
	mu       sync.Mutex
	closed   bool
	started  int
	servers  map[string]*crashServer
	crashes  []time.Time
	arrivals []time.Time
	restarts sync.WaitGroup
}

type crashServer struct {
	*backend.Server
	id, dataCentre string
}

func (f *requestFleet) start(dataCentre, address string) {
	b, err := backend.Start(address, backend.NotExecuted())
	if err != nil {
		f.h.t.Error(err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	s := &crashServer{Server: b, id: fmt.Sprint("server-", f.started), dataCentre: dataCentre}
	crash := f.run(f, s)
	sound := backend.Delay(5*time.Millisecond, backend.Respond(http.StatusOK, "sound"))
	if f.service == "report" {
		sound = backend.Stream(3, 0, 5*time.Millisecond, nil)
	}
	s.SetSteps(func(c *backend.Conn, r *http.Request, body []byte) bool {
		if r.URL.Path == healthPath {
			return backend.WithHeader("X-Instance-Id: "+s.id, backend.Respond(http.StatusOK, "ok"))(c, r, body)
		}
		if r.Header.Get("X-Expect-Instance") != s.id {
			return backend.Misdirected()(c, r, body)
		}
		if r.URL.Path != crashingTarget && r.Header.Get("X-Prefix-Hash") != firstPart+","+crashingStream {
			return sound(c, r, body)
		}
		f.mu.Lock()
		f.arrivals = append(f.arrivals, time.Now())
		f.mu.Unlock()
		return crash(c, r, body)
	})
	f.servers[s.id] = s
	if f.unlisted && f.started > firstServers {
		return
	}
	f.h.fleet.Upsert(fleet.Server{ID: s.id, Service: f.service, Address: b.Address(), DataCentre: dataCentre, Version: "v1", Slots: 6, StartedMS: int64(f.started)})
}

// crash ends a server and starts another one. counted is set if the request was the cause.
func (f *requestFleet) crash(s *crashServer, counted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers[s.id] == nil || f.closed {
		return
	}
	delete(f.servers, s.id)
	if counted {
		f.crashes = append(f.crashes, time.Now())
	}
	s.Close()
	f.restarts.Add(1)
	time.AfterFunc(f.restart, func() {
		defer f.restarts.Done()
		address := ownAddress()
		if f.reuse {
			address = s.Address()
		}
		f.start(s.dataCentre, address)
		if !f.unlisted {
			f.h.fleet.Deregister(s.id, time.Now())
		}
	})
}

// crashBeside ends some other servers of the data centre.
func (f *requestFleet) crashBeside(s *crashServer, n int) {
	f.mu.Lock()
	var others []*crashServer
	for _, x := range f.servers {
		if x != s && x.dataCentre == s.dataCentre && len(others) < n {
			others = append(others, x)
		}
	}
	f.mu.Unlock()
	for _, x := range others {
		f.crash(x, false)
		f.h.fleet.RecordLoss(f.h.fleet.Find(x.id), time.Now())
	}
}

func (f *requestFleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.restarts.Wait()
	for _, s := range f.servers {
		s.Close()
	}
}

// request returns the request that crashes servers, or a sound one.
func (f *requestFleet) request(crashing bool, n int) *http.Request {
	if f.service == "report" {
		r := f.h.newRequest(http.MethodPost, "/report/1", setTokenUsage)
		last := fmt.Sprintf("%08x:7800", n)
		if crashing {
			last = crashingStream
		}
		r.Header.Set("X-Prefix-Hash", firstPart+","+last)
		return r
	}
	target := crashingTarget
	if !crashing {
		target = fmt.Sprint("/read/", n)
	}
	return f.h.newRequest(http.MethodGet, target, nil)
}

// crashAfter ends the server some time after it got the request, and continues with a step.
func crashAfter(d time.Duration, end backend.Step) func(f *requestFleet, s *crashServer) backend.Step {
	return func(f *requestFleet, s *crashServer) backend.Step {
		return func(c *backend.Conn, r *http.Request, body []byte) bool {
			time.Sleep(d)
			if end != nil {
				end(c, r, body)
			}
			f.crash(s, true)
			return false
		}
	}
}

// Guards against a request that is sent to one server after another although each has ended
// under it.
func TestEndOfServerIsEvidenceAgainstRequest(t *testing.T) {
	t.Parallel()
	const deadline = "X-Deadline-Ms"
	for _, x := range []struct {
		name    string
		service string
		run     func(f *requestFleet, s *crashServer) backend.Step
		restart time.Duration
		reuse   bool
		unlist  bool
		leave   time.Duration // after which the caller leaves
		timeout string
	}{
		{name: "alone", run: crashAfter(20*time.Millisecond, nil), restart: time.Second},
		{name: "server back on its address at once", run: crashAfter(20*time.Millisecond, nil), restart: 150 * time.Millisecond, reuse: true},
		{name: "server back on its address at once, unknown to the registry", run: crashAfter(20*time.Millisecond, nil), restart: 150 * time.Millisecond, reuse: true, unlist: true},
		{name: "caller leaves before the end", run: crashAfter(30*time.Millisecond, nil), restart: time.Second, leave: 20 * time.Millisecond},
		{name: "deadline passes before the end", run: crashAfter(80*time.Millisecond, nil), restart: time.Second, timeout: "50"},
		{name: "response that ends with its connection", run: crashAfter(20*time.Millisecond, backend.WriteRaw("HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\n\r\nhalf", false)), restart: time.Second},
		{name: "three other servers are lost at each of these moments", restart: time.Second / 2, run: func(f *requestFleet, s *crashServer) backend.Step {
			crash := crashAfter(20*time.Millisecond, nil)(f, s)
			return func(c *backend.Conn, r *http.Request, body []byte) bool {
				f.crashBeside(s, 3)
				return crash(c, r, body)
			}
		}},
		{name: "server that wanted a rest", restart: time.Second, run: func(f *requestFleet, s *crashServer) backend.Step {
			crash := crashAfter(20*time.Millisecond, nil)(f, s)
			return func(c *backend.Conn, r *http.Request, body []byte) bool {
				f.h.fleet.Defer(f.h.fleet.Find(s.id), 2*time.Second, time.Now())
				return crash(c, r, body)
			}
		}},
		{name: "stream with the target of sound ones", service: "report", run: crashAfter(20*time.Millisecond, nil), restart: time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			f := &requestFleet{h: newHarness(t), service: x.service, run: x.run, restart: x.restart, reuse: x.reuse, unlisted: x.unlist, servers: make(map[string]*crashServer)}
			if f.service == "" {
				f.service = "read"
			}
			t.Cleanup(f.close)
			for i := range firstServers {
				f.start([]string{"a", "b"}[i%2], ownAddress())
			}
			until := time.Now().Add(9 * time.Second)
			var wg sync.WaitGroup
			var mu sync.Mutex
			sent, served := 0, 0
			wg.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					time.Sleep(20 * time.Millisecond)
					wg.Go(func() {
						got := roundTrip(f.request(false, n))
						mu.Lock()
						defer mu.Unlock()
						sent++
						if got.err == nil && got.status == http.StatusOK {
							served++
						}
					})
				}
			})
			for time.Now().Before(until) {
				time.Sleep(250 * time.Millisecond)
				wg.Go(func() {
					r := f.request(true, 0)
					if x.timeout != "" {
						r.Header.Set(deadline, x.timeout)
					}
					if x.leave != 0 {
						ctx, cancel := context.WithTimeout(r.Context(), x.leave)
						defer cancel()
						r = r.WithContext(ctx)
					}
					_ = roundTrip(r)
				})
			}
			wg.Wait()
			f.checkRequest(t, sent, served)
		})
	}
}

// checkRequest checks what happened later than requestContactTime after the third crash.
func (f *requestFleet) checkRequest(t *testing.T, sent, served int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 3 {
		t.Fatalf("%d servers ended, want 3 or more", len(f.crashes))
	}
	late := 0
	for _, at := range f.arrivals {
		if at.After(f.crashes[2].Add(requestContactTime)) {
			late++
		}
	}
	if late > lateRequests {
		t.Errorf("the request reached servers %d times later than %v after the third of %d crashes, want at most %d", late, requestContactTime, len(f.crashes), lateRequests)
	}
	if 10*served < 9*sent {
		t.Errorf("%d of %d sound requests were served, want nine tenths", served, sent)
	}
}

// Guards against requests that are sent while it is being found out whether others like them have
// just crashed servers.
func TestRequestAwaitsTheEvaluationOfCrashes(t *testing.T) {
	t.Parallel()
	f := &requestFleet{h: newHarness(t), service: "read", run: crashAfter(20*time.Millisecond, nil), restart: time.Second, servers: make(map[string]*crashServer)}
	t.Cleanup(f.close)
	for i := range 20 {
		f.start([]string{"a", "b"}[i%2], ownAddress())
	}
	_ = roundTrip(f.request(true, 0)) // two attempts
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { _ = roundTrip(f.request(true, 0)) })
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.crashes); n > 4 {
		t.Errorf("%d servers ended, want 4 at most", n)
	}
}
