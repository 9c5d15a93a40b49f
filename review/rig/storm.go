package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Case 10: many users come while all servers are full, and all hosts are killed once.

const (
	stormServers = 10
	stormRate    = 3 // requests a second
	stormLength  = 14 * time.Second
	longRun      = 40 * time.Second
	stormKillAt  = 5 * time.Second // from the first request
	retryRatio   = 0.8
	retryExtra   = 150
	retryWindow  = 10 * time.Second
)

func init() { cases["10"] = retryStorm }

func retryStorm(g *rig) int {
	g.configure(1, []object{
		{"Name": "ledger", "Host": "kiosk.example", "Prefix": "/ledger/", "Type": "unsafe", "TimeoutMs": 60000, "GoalMs": 4500, "Priority": 1, "Service": "assistant", "MaxAttempts": 1, "Public": false},
		{"Name": "report", "Host": "kiosk.example", "Prefix": "/report/", "Type": "stream", "TimeoutMs": 25000, "GoalMs": 4500, "GapGoalMs": 700, "Priority": 1, "Service": "assistant", "MaxAttempts": 5, "Public": false, "Resumable": true},
	}, []object{{"Name": "assistant", "HealthPath": "/healthz", "MaxConns": 150, "Protocol": "h1", "Tls": false}})
	type seen struct {
		id string
		at time.Time
	}
	var mu sync.Mutex
	var arrivals, sent []seen
	var full atomic.Int64
	for i := range stormServers {
		id := fmt.Sprintf("i-%d", i+1)
		var busy atomic.Bool // its only slot; a request runs to its end also if its caller is gone
		s, err := startServer(freeAddress("127.0.0.1"), id, func(c *serverConn, r *http.Request, _ []byte) bool {
			if busy.Swap(true) {
				g.say("server %s is full and turns request %s away", id, r.Header.Get("X-Request-Id"))
				return c.respond(r, 503, "X-Not-Executed: 1\r\n", "")
			}
			defer busy.Store(false)
			full.Add(1)
			defer full.Add(-1)
			if strings.HasPrefix(r.URL.Path, "/ledger/") {
				time.Sleep(longRun)
			}
			return c.respond(r, 200, c.signature(), "done")
		}, func(a arrival) {
			g.say("server %s gets request %s", a.Server, a.Request)
			mu.Lock()
			arrivals = append(arrivals, seen{a.Request, time.Now()})
			mu.Unlock()
		})
		if err != nil {
			return failed
		}
		defer s.crash()
		g.store.put(entry(id, "assistant", s.address(), []string{"zone-a", "zone-b"}[i%2], "ready", 1, time.Now().UnixMilli(), 1))
	}
	if !g.startHosts(3) {
		return failed
	}
	fill := time.Now()
	for n := 0; full.Load() < stormServers; n++ {
		if time.Since(fill) > 10*time.Second {
			return failed
		}
		q := &request{id: newID(), method: "POST", host: "kiosk.example", path: "/ledger/recon", key: "key-a", deadline: time.Minute, body: fmt.Sprint(n)}
		mu.Lock()
		sent = append(sent, seen{q.id, time.Now()})
		mu.Unlock()
		go do(g.hosts[n%3].callers, q)
		time.Sleep(100 * time.Millisecond)
	}
	g.say("all %d servers are full", stormServers)
	time.Sleep(2 * time.Second)
	began := time.Now()
	if g.trouble {
		time.AfterFunc(stormKillAt, func() {
			g.say("SIGKILL to the processes of all hosts")
			for _, h := range g.hosts {
				h.kill()
			}
			time.Sleep(500 * time.Millisecond)
			for _, h := range g.hosts {
				h.start()
			}
			g.say("all hosts are started again")
		})
	}
	var w sync.WaitGroup
	for n := 0; time.Since(began) < stormLength; n++ {
		q := &request{id: newID(), method: "POST", host: "kiosk.example", path: "/report/monthly", key: "key-a", deadline: 4 * time.Second, body: fmt.Sprint(n)}
		mu.Lock()
		sent = append(sent, seen{q.id, time.Now()})
		mu.Unlock()
		w.Go(func() {
			a := do(g.hosts[n%3].callers, q)
			g.say("client of request %s got status %d (%v)", q.id, a.status, a.err)
		})
		time.Sleep(time.Second / stormRate)
	}
	w.Wait()
	mu.Lock()
	defer mu.Unlock()
	first := make(map[string]bool)
	var repeats []time.Time
	for _, a := range arrivals {
		if first[a.id] {
			repeats = append(repeats, a.at)
		}
		first[a.id] = true
	}
	count := func(from, to time.Time) (n int) {
		for _, s := range sent {
			if !s.at.Before(from) && s.at.Before(to) {
				n++
			}
		}
		return n
	}
	worst, most, allowed := 0.0, 0, 0.0
	for _, from := range repeats {
		to, n := from.Add(retryWindow), 0
		for _, r := range repeats {
			if !r.Before(from) && r.Before(to) {
				n++
			}
		}
		requests := max(count(from, to), count(from.Add(-retryWindow), to.Add(-retryWindow)), count(from.Add(-retryWindow/2), to.Add(-retryWindow/2)))
		limit := retryRatio*float64(requests) + retryExtra
		if over := float64(n) - limit; over > worst || most == 0 {
			worst, most, allowed = over, n, limit
		}
	}
	g.say("in the worst 10 s the service got %d arrivals beyond the first of each request, allowed are %.1f", most, allowed)
	if worst > 0 {
		g.say("BUDGET: a service gets more repeats in 10 s than the ratio and the extra allow")
		return broken
	}
	return held
}
