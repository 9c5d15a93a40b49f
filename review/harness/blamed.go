package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat    = 1200 * time.Millisecond // HeartbeatMs
	crashEvery   = 5 * time.Second
	crashedFor   = 1500 * time.Millisecond
	crashes      = 8
	failingWork  = 300 * time.Millisecond
	failingRate  = 15 // requests a second that servers answer with 500
	soundRate    = 45 // requests a second that servers answer with 200
	deniedBase   = 5
	deniedShare  = 500
	afterCrashes = 8 * time.Second
)

// crash ends the server as a crash does, and starts it again at its address under another id.
func (s *server) crash(id string) {
	address, old := s.address(), s.id
	_ = s.listener.Close()
	s.resetAll()
	s.system.record.say("server %s crashes", old)
	time.AfterFunc(3*heartbeat, func() { s.system.remove("servers", old) })
	time.Sleep(crashedFor)
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail("server %s can't start again: %v", id, err)
	}
	s.mu.Lock()
	s.listener, s.id, s.born = l, id, time.Now().UnixMilli()
	s.mu.Unlock()
	go s.accept()
	s.register("ready")
	s.system.record.say("it is back as %s", id)
}

// blamed lets one server at a time crash while clients ask again and again for one thing that all
// servers answer with 500.
func blamed(s *system, trouble bool) bool {
	s.configure(7, "read", "stock", "book")
	hosts := []*host{s.addHost(1, "entry-a", "zone-a"), s.addHost(2, "entry-b", "zone-b"), s.addHost(3, "entry-c", "zone-c")}
	var servers []*server
	for i := range 6 {
		servers = append(servers, s.addServer(10+i, fmt.Sprintf("i-desk-%d", i), "desk", []string{"zone-a", "zone-b", "zone-c"}[i%3], func(x *run) {
			if !strings.HasSuffix(x.request.URL.Path, "/missing") {
				s.record.log("server %s runs %s", x.server.id, x.id)
				time.Sleep(20 * time.Millisecond)
				x.respond(http.StatusOK, x.sign("ok"), "ok")
				return
			}
			s.record.log("server %s runs %s, which fails", x.server.id, x.id)
			time.Sleep(failingWork)
			x.respond(http.StatusInternalServerError, x.sign("no such thing"), "no such thing")
		}))
	}
	s.awaitReady(hosts...)
	stop := make(chan struct{})
	var g sync.WaitGroup
	var all, denied, failed atomic.Int64
	load := func(name string, rate int, path func(i int) string) {
		var requests sync.WaitGroup
		defer requests.Wait()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / time.Duration(rate)):
			}
			requests.Go(func() {
				h := hosts[i%len(hosts)]
				q := request{id: fmt.Sprintf("%s-%d", name, i), method: http.MethodGet, path: path(i), deadline: 1500 * time.Millisecond}
				x := s.send(h, q)
				s.record.log("client sent %s %s to %s and got status %d, signature %q, after %d ms", q.id, q.path, h.name, x.status, x.signature, x.took.Milliseconds())
				all.Add(1)
				switch {
				case x.signature == "" && x.status >= 300 && x.status < 500 && x.status != 408 && x.status != 421 && x.status != 429:
					denied.Add(1)
				case x.status == http.StatusInternalServerError:
					failed.Add(1)
				}
			})
		}
	}
	g.Go(func() { load("failing", failingRate, func(int) string { return "/stock/missing" }) })
	g.Go(func() { load("sound", soundRate, func(i int) string { return fmt.Sprintf("/stock/%d", i) }) })
	time.Sleep(2 * time.Second)
	for i := range crashes {
		time.Sleep(crashEvery - crashedFor)
		if !trouble {
			time.Sleep(crashedFor)
			continue
		}
		servers[i%len(servers)].crash(fmt.Sprintf("i-desk-%d-again", i))
	}
	time.Sleep(afterCrashes)
	close(stop)
	g.Wait()
	limit := deniedBase + all.Load()/deniedShare
	s.record.say("of %d requests %d got 500 from a server, and %d a 4xx of the entry hosts' own, %d allowed", all.Load(), failed.Load(), denied.Load(), limit)
	return denied.Load() > limit
}
