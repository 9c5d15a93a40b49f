package entry

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

const (
	partitionRate = 40 // requests a second at each host
	// contactLimit is the time after the beginning of a partition from which on callers of a host
	// are served as those of others are.
	contactLimit = 4 * time.Second
	// minPartitionedShare is the least share of requests that are served at hosts which are
	// partitioned from all servers, of the share at the others.
	minPartitionedShare = 2.0 / 3
)

// hostLoad are the results of requests at one host.
type hostLoad struct {
	mu   sync.Mutex
	sent map[string]time.Time // by request ID
	ok   map[string]bool
	slow int // requests that ended after their deadline
}

// load sends requests to a host until stop is closed: purchases, and as many reads.
func (s *system) load(n *node, l *hostLoad, stop <-chan struct{}) {
	var g sync.WaitGroup
	defer g.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / partitionRate):
		}
		g.Go(func() {
			id, path := fmt.Sprintf("%s-%d", n.Name(), i), []string{"/buy/1", "/r1/1"}[i%2]
			began := time.Now()
			l.mu.Lock()
			l.sent[id] = began
			l.mu.Unlock()
			status, _ := n.send(path, "key-1", func(r *http.Request) {
				r.Header.Set("X-Request-Id", id)
				r.Header.Set("X-Deadline-Ms", "1500")
				r.Header.Del("X-Token-Usage")
			})
			l.mu.Lock()
			defer l.mu.Unlock()
			l.ok[id] = status == http.StatusOK
			if time.Since(began) > 2*time.Second {
				l.slow++
			}
		})
	}
}

// share returns the share of the requests sent in a time that were served.
func (l *hostLoad) share(from, to time.Time) (float64, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, served := 0, 0
	for id, at := range l.sent {
		if at.Before(from) || at.After(to) {
			continue
		}
		sent++
		if l.ok[id] {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1)), sent
}

// countedServer is a server that records who sent it requests and how often each ran.
type countedServer struct {
	*backend.Server
	mu   sync.Mutex
	runs map[string]int
	from map[string]time.Time // last request by the IP address that it came from
}

func (s *system) addCountedServer(id, service string) *countedServer {
	x := &countedServer{runs: make(map[string]int), from: make(map[string]time.Time)}
	x.Server = s.addServer(id, service, func(c *backend.Conn, r *http.Request, body []byte) bool {
		ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		x.mu.Lock()
		x.runs[r.Header.Get("X-Request-Id")]++
		x.from[ip] = time.Now()
		x.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		return backend.Respond(http.StatusOK, "ok")(c, r, body)
	})
	return x
}

func ipOf(n *node) string {
	ip, _, _ := net.SplitHostPort(n.CallerAddress())
	return ip
}

// Guards against hosts that can't serve their callers while they are partitioned from all servers.
func TestHostsPartitionedFromAllServersServe(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name      string
		partition backend.Partition
		hosts     []int // that are partitioned
	}{
		{"connections hang at one host", backend.Hang, []int{0}},
		{"connections hang at a data centre", backend.Hang, []int{0, 2}},
		{"connections hang at all hosts but one", backend.Hang, []int{0, 1, 2}},
		{"new connections hang", backend.HangNew, []int{0}},
		{"connections are reset, new ones hang", backend.ResetThenHang, []int{0, 2}},
		{"connections are reset", backend.Reset, []int{0}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 4)
			var servers []*countedServer
			for i := range 3 {
				servers = append(servers, s.addCountedServer(fmt.Sprint("s", i), "orders"))
			}
			for _, n := range s.nodes {
				s.awaitStatus(n, "/r1/x", "", http.StatusOK, testTimeout)
			}
			stop := make(chan struct{})
			var g sync.WaitGroup
			loads := make([]*hostLoad, len(s.nodes))
			for i, n := range s.nodes {
				loads[i] = &hostLoad{sent: make(map[string]time.Time), ok: make(map[string]bool)}
				g.Go(func() { s.load(n, loads[i], stop) })
			}
			time.Sleep(2 * time.Second)
			var cut []string
			for _, i := range x.hosts {
				cut = append(cut, ipOf(s.nodes[i]))
			}
			began := time.Now()
			for _, y := range servers {
				y.SetPartition(x.partition, cut...)
			}
			time.Sleep(contactLimit + 4*time.Second)
			ended := time.Now()
			for _, y := range servers {
				y.SetPartition(backend.NoPartition)
			}
			time.Sleep(4 * time.Second)
			over := time.Now()
			close(stop)
			g.Wait()
			checkPartition(t, loads, x.hosts, began.Add(contactLimit), ended)
			checkPartition(t, loads, x.hosts, ended.Add(2*time.Second), over)
			checkRuns(t, servers, cut, over)
		})
	}
}

// checkPartition checks that the hosts with the given numbers served their callers in a time as the
// others did.
func checkPartition(t *testing.T, loads []*hostLoad, hosts []int, from, to time.Time) {
	t.Helper()
	cut := make(map[int]bool)
	for _, i := range hosts {
		cut[i] = true
	}
	others, n := 0.0, 0
	for i, l := range loads {
		if !cut[i] {
			share, _ := l.share(from, to)
			others, n = others+share, n+1
		}
	}
	others /= float64(n)
	for i, l := range loads {
		share, sent := l.share(from, to)
		if cut[i] && share < minPartitionedShare*others {
			t.Errorf("host %d served %.2f of %d requests, the others %.2f", i, share, sent, others)
		}
		t.Logf("host %d (partitioned: %v) served %.3f of %d requests, %d late", i, cut[i], share, sent, l.slow)
	}
}

// checkRuns checks that requests ran once at most, except reads, and that after the partition servers
// get requests from the hosts themselves.
func checkRuns(t *testing.T, servers []*countedServer, cut []string, end time.Time) {
	t.Helper()
	runs := make(map[string]int)
	direct := make(map[string]bool)
	for _, s := range servers {
		s.mu.Lock()
		for id, n := range s.runs {
			runs[id] += n
		}
		for _, ip := range cut {
			direct[ip] = direct[ip] || end.Sub(s.from[ip]) < time.Second
		}
		s.mu.Unlock()
	}
	for id, n := range runs {
		var i int
		if len(id) < len("node-0-") {
			continue // a probe
		}
		if _, err := fmt.Sscanf(id[len("node-0-"):], "%d", &i); err == nil && i%2 == 0 && n > 1 {
			t.Errorf("purchase %s ran %d times", id, n)
		}
	}
	for _, ip := range cut {
		if !direct[ip] {
			t.Errorf("4 s after the partition servers get no requests from %s itself", ip)
		}
	}
}
