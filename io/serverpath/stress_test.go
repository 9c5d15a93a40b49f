package serverpath

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// Guards against races and leaks: connections are given up and closed at once from several sides while
// they are read and written.
func TestGiveUpAndCloseAtOnce(t *testing.T) {
	s, d, _ := startEndedServer(t)
	before := runtime.NumGoroutine()
	for round := range 20 {
		var g sync.WaitGroup
		for _, c := range s.connect(t, d, 10) {
			g.Go(func() { b := make([]byte, 10); _, _ = c.Read(b) })
			g.Go(func() { _, _ = c.Write([]byte("x")) })
			g.Go(c.GiveUp)
			g.Go(c.GiveUp)
			if round%2 == 0 {
				g.Go(func() { _ = c.Close() })
			}
		}
		g.Wait()
	}
	awaitEnd(t, "connections are kept", time.Second, func() bool { return d.kept() == 0 })
	awaitEnd(t, "connections are open at the server", time.Second, func() bool { return s.open.Load() == 0 })
	awaitEnd(t, "goroutines are left", 2*time.Second, func() bool { return runtime.NumGoroutine() <= before })
}
