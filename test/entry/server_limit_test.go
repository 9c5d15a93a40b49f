package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

const (
	// limitWindow is the window in which requests to a server are counted. A server with a limit
	// gets no more in it than limitFactor times what that allows, and limitExtra.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// limitKnown is how long after a server first named its limit the hosts may exceed it.
	limitKnown = 4 * time.Second
	limitTest  = 14 * time.Second
	// minLimitUse is the share of the limit that is used if there are enough requests.
	minLimitUse = 0.5
)

// limitedServer is a server that names a limit, in requests a second, in its responses.
type limitedServer struct {
	limit    float64 // 0 if it names none
	mu       sync.Mutex
	first    time.Time
	arrivals []time.Time
}

func (s *system) addLimitedServer(id string, limit float64, until time.Time) *limitedServer {
	x := &limitedServer{limit: limit}
	plain := backend.Delay(20*time.Millisecond, backend.Respond(http.StatusOK, "ok"))
	limited := backend.WithHeader(fmt.Sprint("Server-Limit: ", limit), plain)
	s.addServer(id, "orders", func(c *backend.Conn, r *http.Request, body []byte) bool {
		now := time.Now()
		x.mu.Lock()
		x.arrivals = append(x.arrivals, now)
		if x.first.IsZero() {
			x.first = now
		}
		x.mu.Unlock()
		if limit == 0 || now.After(until) {
			return plain(c, r, body)
		}
		return limited(c, r, body)
	})
	return x
}

// between returns the number of requests that arrived in a time.
func (x *limitedServer) between(from, to time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, at := range x.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// most returns the largest number of requests in a window that begins between two times.
func (x *limitedServer) most(from, to time.Time) int {
	n := 0
	for at := from; at.Before(to); at = at.Add(50 * time.Millisecond) {
		n = max(n, x.between(at, at.Add(limitWindow)))
	}
	return n
}

// Guards against hosts that keep to the limit of a server each for itself, or not at all.
func TestServersGetNoMoreThanTheLimitThatTheyName(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name   string
		limits []float64 // of the servers, 0 without one
		rate   int       // requests a second
		hosts  int       // that get requests
	}{
		{"all servers limited", []float64{8.3, 8.3, 4.6}, 60, 4},
		{"all servers limited, requests at one host", []float64{8.3, 8.3, 4.6}, 60, 1},
		{"few requests a second", []float64{0.5, 0.5}, 30, 4},
		{"one server without limit", []float64{8.3, 4.6, 0}, 60, 4},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 4)
			begin := time.Now()
			end := begin.Add(limitTest)
			var servers []*limitedServer
			unlimited := false
			for i, limit := range x.limits {
				servers = append(servers, s.addLimitedServer(fmt.Sprint("s", i), limit, end))
				unlimited = unlimited || limit == 0
			}
			s.awaitStatus(s.nodes[0], "/r1/x", "", http.StatusOK, testTimeout)
			served, wrong := s.sendUntil(x.rate, s.nodes[:x.hosts], begin, end)
			total := 0.0
			for i, y := range servers {
				total += y.limit
				if y.limit == 0 || y.first.IsZero() {
					continue
				}
				allowed := int(limitFactor*y.limit*limitWindow.Seconds()) + limitExtra
				if n := y.most(y.first.Add(limitKnown), end.Add(-limitWindow)); n > allowed {
					t.Errorf("server %d with a limit of %v a second got %d requests in %v, want at most %d", i, y.limit, n, limitWindow, allowed)
				}
			}
			judged := limitTest - limitKnown - 2*time.Second
			switch want := minLimitUse * total * judged.Seconds(); {
			case unlimited && served.after(begin.Add(limitKnown)) < x.rate*9/10*int(judged.Seconds()):
				t.Errorf("%d requests were served beside a server without a limit, of %d a second", served.after(begin.Add(limitKnown)), x.rate)
			case !unlimited && float64(served.after(end.Add(-judged))) < want:
				t.Errorf("%d requests were served in the last %v, want %v", served.after(end.Add(-judged)), judged, want)
			}
			if len(wrong) > 0 {
				t.Errorf("%d responses are neither 200 nor, at once, 503 with Retry-After, such as %s", len(wrong), wrong[0])
			}
			s.await("requests are served after the end of the limits", limitTest, func() bool {
				from := time.Now()
				got, _ := s.sendUntil(40, s.nodes, from, from.Add(time.Second))
				return len(got) >= 36
			})
		})
	}
}

// instants are times at which requests were sent.
type instants []time.Time

func (all instants) after(t time.Time) int {
	n := 0
	for _, x := range all {
		if x.After(t) {
			n++
		}
	}
	return n
}

// sendUntil sends requests to hosts in turn and returns when those that were served were sent,
// and a description of each response that is not allowed.
func (s *system) sendUntil(rate int, hosts []*node, from, until time.Time) (served instants, wrong []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		sent := from.Add(time.Duration(i) * time.Second / time.Duration(rate))
		if !sent.Before(until) {
			break
		}
		time.Sleep(time.Until(sent))
		wg.Go(func() {
			status, header := hosts[i%len(hosts)].send(fmt.Sprint("/r1/", i), "", func(r *http.Request) { r.Header.Set("X-Request-Id", fmt.Sprint("id-", from.UnixNano(), "-", i)) })
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status == http.StatusOK:
				served = append(served, sent)
			case status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || took > time.Second:
				wrong = append(wrong, fmt.Sprintf("status %d after %v", status, took))
			}
		})
	}
	wg.Wait()
	return served, wrong
}
