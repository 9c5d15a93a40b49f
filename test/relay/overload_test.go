package relay

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

const (
	overloadHosts    = 4
	overloadServers  = 3
	overloadSlots    = 4
	overloadQueue    = 3
	overloadService  = 40 * time.Millisecond
	overloadDuration = 5 * time.Second
	overloadDeadline = 2 * time.Second
	// overloadExcess is the load in proportion to what the servers can take.
	overloadExcess = 1.5
	// crossingTime is how long after a refusal requests that were on their way may arrive, and
	// maxCrossing how many may after that, until the end of the rest.
	crossingTime = 500 * time.Millisecond
	maxCrossing  = 2
)

// restingServer runs overloadSlots requests at a time, queues overloadQueue, and refuses more
// with a wish for 1 to 10 s of rest. Requests have the name of their host in their IDs.
type restingServer struct {
	slots chan struct{}

	mu       sync.Mutex
	admitted int
	rests    map[string]time.Time // end of the last one, by host
	from     map[string]time.Time
	arrivals map[string]int // within it
	broken   int            // rests with more than maxCrossing arrivals
}

func newRestingServer() *restingServer {
	return &restingServer{slots: make(chan struct{}, overloadSlots), rests: make(map[string]time.Time), from: make(map[string]time.Time), arrivals: make(map[string]int)}
}

func (s *restingServer) handle(c *backend.Conn, r *http.Request, body []byte) bool {
	host, _, _ := strings.Cut(r.Header.Get("X-Request-Id"), "/")
	if rest := s.admit(host, time.Now()); rest > 0 {
		return backend.Refuse(fmt.Sprintf("%.3f", rest.Seconds()))(c, r, body)
	}
	s.slots <- struct{}{}
	time.Sleep(overloadService)
	<-s.slots
	s.mu.Lock()
	s.admitted--
	s.mu.Unlock()
	return backend.Respond(200, "ok")(c, r, body)
}

// admit returns the rest that the server wants, 0 if it admits the request.
func (s *restingServer) admit(host string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.from[host].Add(crossingTime)) && now.Before(s.rests[host]) {
		if s.arrivals[host]++; s.arrivals[host] == maxCrossing+1 {
			s.broken++
		}
	}
	if s.admitted < overloadSlots+overloadQueue {
		s.admitted++
		return 0
	}
	rest := time.Second + rand.N(9*time.Second)
	if until := now.Add(rest); until.After(s.rests[host]) {
		s.rests[host], s.from[host], s.arrivals[host] = until, now, 0
	}
	return rest
}

// overloadOutcome is what became of all tries of a caller.
type overloadOutcome struct {
	served   bool
	problem  string
	refusals []time.Duration // how long each took
}

// callUntilServed sends a request to random hosts, as a caller does that comes back when it is told to.
func callUntilServed(hosts []*harness, n int) overloadOutcome {
	var o overloadOutcome
	end := time.Now().Add(overloadDeadline)
	for try := 0; try < 3 && time.Now().Before(end); try++ {
		i := rand.IntN(len(hosts))
		began := time.Now()
		got := hosts[i].send(http.MethodGet, "/read/1", func(r *http.Request) {
			r.Header.Set("X-Request-Id", fmt.Sprintf("host-%d/%d-%d", i, n, try))
			r.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(end).Milliseconds()+1, 10))
		})
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		switch {
		case got.status == 200:
			o.served = true
			return o
		case got.status != 503 || err != nil || !strings.Contains(got.body, `"not_run"`):
			o.problem = fmt.Sprintf("status %d, Retry-After %q, body %q, error %v", got.status, got.header.Get("Retry-After"), got.body, got.err)
			return o
		}
		o.refusals = append(o.refusals, time.Since(began))
		time.Sleep(min(time.Duration(after*float64(time.Second)), time.Until(end)/3))
	}
	return o
}

// A service is asked for 1.5 times what it can take, at all hosts at once, and its servers want
// rest. Nobody breaks it, callers are served or refused at once and truthfully, and the servers
// are kept busy.
func TestOverloadOfServersThatWantRest(t *testing.T) {
	var hosts []*harness
	for range overloadHosts {
		h := newHarness(t)
		h.nodes = overloadHosts
		hosts = append(hosts, h)
	}
	var servers []*restingServer
	for range overloadServers {
		s := newRestingServer()
		b, err := backend.Start("127.0.0.1:0", s.handle)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		for _, h := range hosts {
			h.register(b.Address(), "read", "a", b.Address())
		}
		servers = append(servers, s)
	}
	rate := overloadExcess * overloadServers * overloadSlots / overloadService.Seconds()
	n := int(rate * overloadDuration.Seconds())
	outcomes := make([]overloadOutcome, n)
	var g sync.WaitGroup
	start := time.Now()
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		g.Go(func() { outcomes[i] = callUntilServed(hosts, i) })
	}
	g.Wait()
	checkOverload(t, outcomes, servers)
}

func checkOverload(t *testing.T, outcomes []overloadOutcome, servers []*restingServer) {
	t.Helper()
	served, problems := 0, 0
	var refusals []time.Duration
	for _, o := range outcomes {
		if o.served {
			served++
		}
		if o.problem != "" {
			if problems++; problems <= 5 {
				t.Error(o.problem)
			}
		}
		refusals = append(refusals, o.refusals...)
	}
	slices.Sort(refusals)
	broken := 0
	for _, s := range servers {
		broken += s.broken
	}
	median := time.Duration(0)
	if len(refusals) > 0 {
		median = refusals[len(refusals)/2]
	}
	share := float64(served) / float64(len(outcomes))
	t.Logf("%d callers, %.3f served, %d refusals, median %v, %d other answers, %d rests broken", len(outcomes), share, len(refusals), median, problems, broken)
	if broken > 0 {
		t.Errorf("servers got more than %d requests in %d rests", maxCrossing, broken)
	}
	if share < 0.35 {
		t.Errorf("%.3f of the callers were served, want 0.35 at least of the 0.67 that the servers can take", share)
	}
	if median > 100*time.Millisecond {
		t.Errorf("half of the refusals took %v or more", median)
	}
}
