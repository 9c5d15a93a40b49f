package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// stale freezes the entry host that reads the store for all, and cuts the way from the store to
// the one that takes over, whose query is answered once the first one reads again. A server drains
// in between.
func stale(s *system, trouble bool) bool {
	const (
		frozen   = 1700 * time.Millisecond // from the start of the disruption, like the times below
		cutFrom  = 500 * time.Millisecond
		drained  = 3500 * time.Millisecond
		cutUntil = 3900 * time.Millisecond
		contact  = 4 * time.Second // ContactMs
		drain    = 2500 * time.Millisecond
		lingers  = 16 * time.Second // after which the server that drained ends
	)
	s.configure(7, "read", "stock", "book")
	store := s.store
	link := newProxy("127.0.0.1", store)
	a := s.addHost(1, "entry-a", "zone-a")
	s.store = link.address() // of entry host b only
	b := s.addHost(2, "entry-b", "zone-b")
	s.store = store
	c := s.addHost(3, "entry-c", "zone-c")
	var leavesAt, judgedFrom atomic.Int64 // nanoseconds since the start
	var late atomic.Int64
	var leaving *server
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		x := s.addServer(10+i, fmt.Sprintf("i-desk-%d", i), "desk", zone, func(x *run) {
			now := time.Since(s.start)
			s.record.log("server %s runs %s, sent from %s", x.server.id, x.id, x.from)
			if x.server.id == "i-desk-1" && judgedFrom.Load() > 0 && now > time.Duration(judgedFrom.Load()) {
				late.Add(1)
				s.record.log("broken: %s reaches %s %.1f s after the store accepted that it drains, sent by %s", x.id, x.server.id, (now - time.Duration(leavesAt.Load())).Seconds(), x.from)
			}
			time.Sleep(10 * time.Millisecond)
			x.respond(http.StatusOK, x.sign("ok"), "ok")
		})
		if i == 1 {
			leaving = x
		}
	}
	s.awaitReady(a, b, c)
	stop := make(chan struct{})
	defer close(stop)
	go s.reads([]*host{b, c}, "/stock/1", stop)
	time.Sleep(2 * time.Second)
	began := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	if trouble {
		s.record.say("entry host a, which reads the store for all, freezes")
		a.signal(syscall.SIGSTOP)
		until(cutFrom)
		s.record.say("the way from the store to entry host b is cut")
		link.hold()
		until(frozen)
		a.signal(syscall.SIGCONT)
		s.record.say("entry host a goes on")
	}
	until(drained)
	leaving.register("draining")
	leavesAt.Store(int64(time.Since(s.start)))
	s.record.say("the store has accepted that server %s drains", leaving.id)
	until(cutUntil)
	if trouble {
		s.record.say("the way from the store to entry host b is whole again")
		link.release()
	}
	judgedFrom.Store(int64(began.Add(max(cutUntil+contact, drained+drain) + 100*time.Millisecond).Sub(s.start)))
	until(lingers)
	s.remove("servers", leaving.id)
	s.record.say("server %s ends; %d requests reached it later than DrainMs after it drained, sent by entry hosts in touch", leaving.id, late.Load())
	return late.Load() > 0
}

// reads sends reads to hosts in turn.
func (s *system) reads(hosts []*host, path string, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		go func() {
			h := hosts[i%len(hosts)]
			q := request{id: fmt.Sprintf("%s-%d", h.name, i), method: http.MethodGet, path: path, deadline: 1500 * time.Millisecond}
			x := s.send(h, q)
			s.record.log("client got for %s: status %d after %d ms", q.id, x.status, x.took.Milliseconds())
		}()
	}
}
