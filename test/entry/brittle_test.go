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
	brittleServers = 6
	brittleSlots   = 4
	brittleWork    = 200 * time.Millisecond
	// A brittle server falls over if it turns more than brittleLimit requests away in a second, and
	// is back after brittleRest.
	brittleLimit = 1
	brittleRest  = 3 * time.Second
	brittleTest  = 14 * time.Second
	// maxFalls is how often the servers may fall over: 2 and a tenth of their number.
	maxFalls = 2 + brittleServers/10
	// minBrittleUse is the share of what the servers can take that is served if there are enough
	// requests.
	minBrittleUse = 0.6
)

// brittleServer runs brittleSlots requests at a time, turns others away, and falls over if that
// happens too often.
type brittleServer struct {
	system *system
	name   string
	falls  *fallCount

	mu       sync.Mutex
	server   *backend.Server
	address  string
	start    int
	running  int
	rejected []time.Time
}

// fallCount counts the falls of all servers.
type fallCount struct {
	mu sync.Mutex
	n  int
}

func (b *brittleServer) handle(c *backend.Conn, r *http.Request, body []byte) bool {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != b.id() {
		return backend.Misdirected()(c, r, body)
	}
	if !b.admit() {
		return backend.WithHeader(fmt.Sprint("Server-Brittle: ", brittleLimit), backend.NotExecuted())(c, r, body)
	}
	time.Sleep(brittleWork)
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	return backend.WithHeader(fmt.Sprint("Server-Brittle: ", brittleLimit), backend.Respond(http.StatusOK, "ok"))(c, r, body)
}

func (b *brittleServer) id() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%s-%d", b.name, b.start)
}

// admit reports whether there is room for a request.
func (b *brittleServer) admit() bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running < brittleSlots {
		b.running++
		return true
	}
	b.rejected = append(b.rejected, now)
	for now.Sub(b.rejected[0]) > time.Second {
		b.rejected = b.rejected[1:]
	}
	if len(b.rejected) > brittleLimit {
		b.rejected = nil
		go b.fall()
	}
	return false
}

// fall ends the server and starts it again at its address, under a new ID.
func (b *brittleServer) fall() {
	b.falls.mu.Lock()
	b.falls.n++
	b.falls.mu.Unlock()
	b.server.Reset()
	before := b.id()
	time.Sleep(brittleRest)
	b.system.store.Remove("servers", before)
	b.begin()
}

func (b *brittleServer) begin() {
	b.mu.Lock()
	b.start++
	b.running, b.rejected = 0, nil
	b.mu.Unlock()
	s, err := backend.Start(b.address, b.handle)
	if err != nil {
		return
	}
	b.mu.Lock()
	b.server, b.address = s, s.Address()
	b.mu.Unlock()
	b.system.t.Cleanup(s.Close)
	b.system.store.Put("servers", b.id(), fmt.Appendf(nil, `{"Service":"orders","Address":%q,"Zone":"a","Version":"v1","Slots":%d,"State":"ready","born":%d,"Seq":1}`, b.address, brittleSlots, b.start))
}

// Guards against hosts that let brittle servers fall over, each for itself or all together.
func TestBrittleServersAreNotOverloaded(t *testing.T) {
	t.Parallel()
	canTake := brittleServers * brittleSlots / brittleWork.Seconds()
	for _, x := range []struct {
		name  string
		load  float64 // of what the servers can take
		hosts int     // that get requests
		burst int     // requests more at one moment in each second
	}{
		{"too many requests", 1.5, 4, 0},
		{"too many requests at one host", 1.5, 1, 0},
		{"bursts", 0.5, 4, 60},
		{"half of what they can take", 0.5, 4, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 4)
			falls := &fallCount{}
			for i := range brittleServers {
				b := &brittleServer{system: s, name: fmt.Sprint("s", i), address: "127.0.0.1:0", falls: falls}
				b.begin()
			}
			for _, n := range s.nodes {
				s.awaitStatus(n, "/r1/x", "", http.StatusOK, testTimeout)
			}
			from := time.Now()
			end := from.Add(brittleTest)
			var g sync.WaitGroup
			g.Go(func() { // bursts
				for at := from; x.burst > 0 && at.Before(end); at = at.Add(time.Second) {
					time.Sleep(time.Until(at))
					for i := range x.burst {
						g.Go(func() { s.nodes[i%len(s.nodes)].send("/r1/burst", "") })
					}
				}
			})
			// The servers are brittle from the beginning on; hosts have some time to learn of it.
			early, _ := s.sendUntil(int(0.2*canTake), s.nodes[:x.hosts], from, from.Add(contactLimit))
			falls.mu.Lock()
			before := falls.n
			falls.mu.Unlock()
			served, wrong := s.sendUntil(int(x.load*canTake), s.nodes[:x.hosts], from.Add(contactLimit), end)
			g.Wait()
			falls.mu.Lock()
			fell := falls.n - before
			falls.mu.Unlock()
			if fell > maxFalls {
				t.Errorf("the servers fell over %d times, want at most %d", fell, maxFalls)
			}
			want := minBrittleUse * min(x.load, 1) * canTake * (end.Sub(from) - contactLimit).Seconds()
			if float64(len(served)) < want {
				t.Errorf("%d requests were served, want %.0f", len(served), want)
			}
			// What runs on a server as it falls over ends with it.
			if len(wrong) > fell*brittleSlots {
				t.Errorf("%d responses are neither 200 nor, at once, 503 with Retry-After, such as %s", len(wrong), wrong[0])
			}
			t.Logf("%d falls after %d before; %d served, %d before, of %.0f sent", fell, before, len(served), len(early), x.load*canTake*(end.Sub(from)-contactLimit).Seconds())
		})
	}
}
