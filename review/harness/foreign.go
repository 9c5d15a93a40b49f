package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// configure writes a configuration of two services, with some of the routes.
func (s *system) configure(version int, names ...string) {
	type kind struct {
		name, service string
		attempts      int
	}
	kinds := map[string]kind{"read": {"safe", "library", 2}, "stock": {"safe", "desk", 2}, "book": {"unsafe", "desk", 1}}
	var routes []any
	for _, name := range names {
		k := kinds[name]
		routes = append(routes, map[string]any{"Name": name, "Host": hostName, "Prefix": "/" + name + "/", "Type": k.name, "TimeoutMs": 1500, "GoalMs": 250, "Priority": 2, "Service": k.service, "MaxAttempts": k.attempts})
	}
	s.put("op", "config", map[string]any{
		"Version":  version,
		"Routes":   routes,
		"Services": []any{map[string]any{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 300}, map[string]any{"Name": "library", "HealthPath": "/healthz", "MaxConns": 300}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "kiosk", "ApiKeys": []string{"key-1"}, "Priority": 1}},
	})
}

// foreign lets another writer put entries into the table of servers that name no service of the
// configuration and have the addresses of servers that run. The operator has added the routes to
// these servers before.
func foreign(s *system, trouble bool) bool {
	s.configure(7, "read")
	hosts := []*host{s.addHost(1, "entry-a", "zone-a"), s.addHost(2, "entry-b", "zone-b"), s.addHost(3, "entry-c", "zone-c")}
	answerOK := func(x *run) {
		s.record.log("server %s runs %s %s", x.server.id, x.id, x.request.URL.Path)
		time.Sleep(10 * time.Millisecond)
		x.respond(http.StatusOK, x.sign("ok"), "ok")
	}
	var desk []*server
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		desk = append(desk, s.addServer(10+i, fmt.Sprintf("i-desk-%d", i), "desk", zone, answerOK))
		s.addServer(20+i, fmt.Sprintf("i-library-%d", i), "library", zone, answerOK)
	}
	s.awaitReady(hosts...)
	s.configure(9, "read", "stock", "book")
	s.record.say("the operator has added the routes /stock/ and /book/")
	time.Sleep(4 * time.Second)
	if trouble {
		for i, x := range desk {
			s.put("servers", fmt.Sprintf("foreign-%d", i), map[string]any{
				"Service": "printing", "Address": x.address(), "Zone": x.zone, "Version": "v1", "Slots": 4, "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": time.Now().UnixMilli(),
			})
		}
		s.record.say("another writer has put three entries of a service that the configuration does not name")
	}
	time.Sleep(4 * time.Second)
	type count struct{ sent, served int }
	counts := make(map[string]*count)
	var mu sync.Mutex
	var g sync.WaitGroup
	for i := range 300 {
		time.Sleep(40 * time.Millisecond)
		q := request{id: fmt.Sprintf("q-%d", i), method: http.MethodGet, path: []string{"/stock/1", "/book/1", "/read/1"}[i%3], deadline: 1500 * time.Millisecond}
		if i%3 == 1 {
			q.method, q.body = http.MethodPost, "{}"
		}
		g.Go(func() {
			x := s.send(hosts[i/3%3], q)
			s.record.log("client sent %s %s to %s and got status %d after %d ms, body %q", q.id, q.path, hosts[i/3%3].name, x.status, x.took.Milliseconds(), x.body)
			mu.Lock()
			defer mu.Unlock()
			if counts[q.path] == nil {
				counts[q.path] = &count{}
			}
			counts[q.path].sent++
			if x.status == http.StatusOK && x.signature != "" {
				counts[q.path].served++
			}
		})
	}
	g.Wait()
	for path, c := range counts {
		s.record.say("%s: %d of %d requests were served", path, c.served, c.sent)
	}
	stock, book, read := counts["/stock/1"], counts["/book/1"], counts["/read/1"]
	added := float64(stock.served+book.served) / float64(stock.sent+book.sent)
	return added < 0.25*float64(read.served)/float64(read.sent)
}
