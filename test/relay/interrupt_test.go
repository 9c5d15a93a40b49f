package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cicadabeam/core/catalog"
	"cicadabeam/core/retrybudget"
	"cicadabeam/io/relay"
	"cicadabeam/test/standin/backend"
)

// The hedge of a read that was answered is cancelled; a purchase may have its connection by
// then.
func TestCancelledHedgeDoesNotBreakPurchase(t *testing.T) {
	h := newHarnessWith(t, func(d *relay.Dependencies) {
		d.Limits.RetryLimit = retrybudget.Limit{Ratio: 1, Extra: 1 << 20, Window: 10 * time.Second}
	})
	read, buy := newRoute("read", catalog.Idempotent, 2), newRoute("buy", catalog.AtMostOnce, 1)
	read.LatencyGoal = 10 * time.Millisecond
	buy.Targets[0].Service, buy.Timeout = "read", longTimeout
	h.tracker.Update(catalog.New(catalog.Spec{
		Revision: 8, RequireKeys: true, Organisations: map[string]catalog.Organisation{testKey: {Name: "ndox", Priority: -1}},
		Limits: catalog.Limits{BodyBytes: 1 << 20}, Routes: []catalog.Route{read, buy}, Services: []catalog.Service{{Name: "read"}},
	}), time.Hour)
	bought := backend.Delay(time.Millisecond, backend.Respond(200, "ok"))
	found := backend.Delay(5*time.Millisecond, backend.Respond(200, "ok"))
	step := func(c *backend.Conn, r *http.Request, b []byte) bool {
		if strings.HasPrefix(r.URL.Path, "/buy") {
			return bought(c, r, b)
		}
		return found(c, r, b)
	}
	for range 2 {
		h.startServer("read", "a", step)
	}
	standstill := startStandstillClock(t)
	end := time.Now().Add(4 * time.Second)
	var g sync.WaitGroup
	for w := range 40 {
		g.Go(func() {
			for time.Now().Before(end) {
				if w%2 == 0 {
					_ = h.send(http.MethodGet, "/read/1", nil)
					continue
				}
				began, stood := time.Now(), standstill()
				got := h.send(http.MethodPost, "/buy/1", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "6000") })
				took := time.Since(began)
				if stood = standstill() - stood; got.status != 200 || took-stood > testTimeout {
					t.Errorf("a purchase got status %d, body %q, error %v after %v, in which the test stood still for %v", got.status, got.body, got.err, took, stood)
				}
			}
		})
	}
	g.Wait()
}

// startStandstillClock returns a function that tells for how long this process, which is caller, relay and
// servers in one, has stood still so far.
func startStandstillClock(t *testing.T) func() time.Duration {
	const tick, least = 10 * time.Millisecond, 50 * time.Millisecond
	var total, last atomic.Int64
	start := time.Now()
	late := func() time.Duration {
		if d := time.Since(start) - time.Duration(last.Load()) - tick; d > least {
			return d
		}
		return 0
	}
	go func() {
		for t.Context().Err() == nil {
			time.Sleep(tick)
			total.Add(int64(late()))
			last.Store(int64(time.Since(start)))
		}
	}()
	return func() time.Duration { return time.Duration(total.Load()) + late() }
}

// Callers leave at any moment while their request is sent to the server.
func TestCallerWhoLeavesWhileRequestIsSentCancelsIt(t *testing.T) {
	h := newHarness(t)
	var late atomic.Int64
	var arrivals sync.Map // channels by request ID
	h.startServer("report", "a", func(c *backend.Conn, r *http.Request, _ []byte) bool {
		closed := c.CloseNotify()
		if x, found := arrivals.Load(r.Header.Get("X-Request-Id")); found {
			close(x.(chan struct{}))
		}
		select {
		case <-closed:
		case <-time.After(700 * time.Millisecond):
			late.Add(1)
		}
		return false
	})
	var g sync.WaitGroup
	for w := range 20 {
		g.Go(func() {
			for i := range 150 {
				id := fmt.Sprintf("w%d-%d", w, i)
				arrived := make(chan struct{})
				arrivals.Store(id, arrived)
				c := h.dialStream("/report/1", id)
				select {
				case <-arrived:
				case <-time.After(time.Duration(i%20) * 50 * time.Microsecond):
				}
				_ = c.Close()
			}
		})
	}
	g.Wait()
	time.Sleep(time.Second)
	if n := late.Load(); n != 0 {
		t.Errorf("%d requests whose caller had left were not cancelled within 700 ms", n)
	}
}

// fullListener returns the address of a listener whose queue is full, so that connecting to it
// hangs.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	_ = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	_ = syscall.Listen(fd, 0)
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 4 {
		if c, err := net.DialTimeout("tcp", address, 100*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return address
}

func TestEndOfRequestIsNoLossOfServer(t *testing.T) {
	checkNoLoss := func(t *testing.T, h *harness) {
		t.Helper()
		time.Sleep(100 * time.Millisecond)
		if l := h.fleet.RecentLosses(time.Now()); len(l) != 0 {
			t.Errorf("got losses %v, want none", l)
		}
	}
	t.Run("the caller leaves while a connection is made", func(t *testing.T) {
		h := newHarness(t)
		h.register("slow", "report", "a", fullListener(t))
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(50*time.Millisecond))
		defer cancel()
		_ = roundTrip(h.newRequest(http.MethodPost, "/report/1", setTokenUsage).WithContext(ctx))
		checkNoLoss(t, h)
	})
	t.Run("another server answers meanwhile", func(t *testing.T) {
		h := newHarness(t)
		h.startServer("read", "a", backend.Delay(160*time.Millisecond, backend.Respond(200, "ok")))
		time.AfterFunc(50*time.Millisecond, func() { h.register("slow", "read", "a", fullListener(t)) })
		h.checkResponse(h.send(http.MethodPost, "/read/1", nil), 200, "ok")
		checkNoLoss(t, h)
	})
}
