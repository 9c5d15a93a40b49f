package relay

import (
	"strings"
	"testing"
	"time"

	"cicadabeam/io/http1"
	"cicadabeam/io/relay"
	"cicadabeam/test/standin/backend"
)

// Guards against two servers that go on with one request if the host's kernel has ended the connection
// to the first one (keep-alive, TCP_USER_TIMEOUT: 3 s) before the host gave it up: no server could take
// the stream earlier.
func TestRunThatTheKernelEndedEndsSoonAfterItsPathHasHealed(t *testing.T) {
	const registered, cut = 3300 * time.Millisecond, 3900 * time.Millisecond
	h := newHarnessWith(t, func(d *relay.Dependencies) {
		d.Pool = http1.NewPool()
		d.Pool.Use(startPaths(t, false))
	})
	first := &pathRun{}
	s, path, err := backend.StartOnPath(ownAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.SetSteps(first.step(path))
	h.register(s.Address(), "report", "a", s.Address())
	done := make(chan result, 1)
	go func() { done <- h.sendLong("/long/1") }()
	time.Sleep(300 * time.Millisecond)
	if began, _ := first.times(); began.IsZero() {
		t.Fatal("no run began")
	}
	cutAt := time.Now()
	if err := path.Cut(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(cutAt.Add(registered)))
	second := h.startServer("report", "b", backend.Stream(200, 0, 50*time.Millisecond, nil))
	time.Sleep(time.Until(cutAt.Add(cut)))
	if n := len(second.Requests()); n != 1 {
		t.Fatalf("the second server got %d requests before the path healed, want 1", n)
	}
	if err := path.Heal(); err != nil {
		t.Fatal(err)
	}
	healed := time.Now()
	time.Sleep(maxSideBySide)
	if _, ended := first.times(); ended.IsZero() {
		t.Errorf("%v after the path had healed the first run goes on", time.Since(healed))
	}
	for wait := time.Now().Add(3 * time.Second); time.Now().Before(wait); time.Sleep(5 * time.Millisecond) {
		if _, ended := first.times(); !ended.IsZero() {
			t.Logf("the first run ended %v after the path had healed", ended.Sub(healed))
			break
		}
	}
	h.mu.Lock()
	for _, e := range h.events {
		if strings.HasPrefix(e, "leg") || strings.HasPrefix(e, "stream stays") {
			t.Log(e)
		}
	}
	h.mu.Unlock()
}
