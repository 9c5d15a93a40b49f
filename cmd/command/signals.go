package command

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// signalActions are what a host does when it receives signals. They are called by one
// goroutine each and don't have to be fast.
type signalActions struct {
	reload func() // SIGHUP
	drain  func() // SIGTERM, any number of times, and the first SIGINT
	stop   func() // the second SIGINT
}

// handleSignals performs the actions until the returned function is called. Each signal has a
// channel of its own, so that a series of one kind doesn't displace another kind.
func handleSignals(a signalActions) (end func()) {
	done := make(chan struct{})
	var g sync.WaitGroup
	handle := func(s os.Signal, action func()) {
		c := make(chan os.Signal, 1)
		signal.Notify(c, s)
		g.Go(func() {
			defer signal.Stop(c)
			for {
				select {
				case <-c:
					action()
				case <-done:
					return
				}
			}
		})
	}
	interrupted := false
	handle(syscall.SIGHUP, a.reload)
	handle(syscall.SIGTERM, a.drain)
	handle(syscall.SIGINT, func() {
		if interrupted {
			a.stop()
			return
		}
		interrupted = true
		a.drain()
	})
	return func() { close(done); g.Wait() }
}
