package command

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// signals receives the signals of a host. Each kind has a channel of its own, so that a series
// of one kind doesn't displace another kind.
type signals struct {
	hangup    chan os.Signal
	terminate chan os.Signal
	interrupt chan os.Signal
}

// notifySignals starts to receive signals, which would end the process otherwise. They are
// kept until handle is called.
func notifySignals() *signals {
	notify := func(s os.Signal) chan os.Signal {
		c := make(chan os.Signal, 1)
		signal.Notify(c, s)
		return c
	}
	return &signals{hangup: notify(syscall.SIGHUP), terminate: notify(syscall.SIGTERM), interrupt: notify(syscall.SIGINT)}
}

// signalActions are what a host does when it receives signals. They are called by one
// goroutine each and don't have to be fast.
type signalActions struct {
	reload func() // SIGHUP
	drain  func() // SIGTERM, any number of times, and the first SIGINT
	stop   func() // the second SIGINT
}

// handle performs the actions until the returned function is called.
func (s *signals) handle(a signalActions) (end func()) {
	done := make(chan struct{})
	var g sync.WaitGroup
	start := func(c chan os.Signal, action func()) {
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
	start(s.hangup, a.reload)
	start(s.terminate, a.drain)
	start(s.interrupt, func() {
		if interrupted {
			a.stop()
			return
		}
		interrupted = true
		a.drain()
	})
	return func() { close(done); g.Wait() }
}
