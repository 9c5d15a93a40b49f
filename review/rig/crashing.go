package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Case 9: a request that crashes each server that begins to run it comes again, at any host.

const (
	backAfter    = 5 * time.Second // from a crash until the server is back
	entryTime    = 3600 * time.Millisecond
	contactTime  = 4 * time.Second // ContactMs
	againAfter   = time.Second     // until the request comes again
	mostRetries  = 3               // later than contactTime after the third crash
	crashingTime = 115 * time.Second
)

func init() {
	cases["9"] = crashingRequest
	behaviours["crashes"] = func(_ *serverConn, _ *http.Request, _ []byte) bool {
		os.Exit(3)
		return false
	}
	behaviours["sound"] = func(c *serverConn, r *http.Request, _ []byte) bool {
		time.Sleep(30 * time.Millisecond)
		return c.respond(r, 200, c.signature(), "fine")
	}
}

type arrivedAt struct {
	id string
	at time.Time
}

// crashingRequest plays three servers and three hosts. One client sends the request again and again.
func crashingRequest(g *rig) int {
	g.configure(1, []object{
		{"Name": "reports", "Host": "kiosk.example", "Prefix": "/reports/", "Type": "safe", "TimeoutMs": 4000, "GoalMs": 250, "Priority": 1, "Service": "reports", "MaxAttempts": 2, "Public": false},
	}, []object{{"Name": "reports", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false}})
	name := "sound"
	if g.trouble {
		name = "crashes"
	}
	var mu sync.Mutex
	var arrivals []arrivedAt
	var crashes []time.Time
	running := make(map[string]*process)
	ended := false
	var start func(id, address, zone string)
	start = func(id, address, zone string) {
		p, err := startProcess(address, id, name, func(a arrival) {
			g.arrive(a)
			if a.Ran {
				mu.Lock()
				arrivals = append(arrivals, arrivedAt{a.Request, time.Now()})
				mu.Unlock()
			}
		})
		if err != nil {
			g.say("server %s: %v", id, err)
			return
		}
		mu.Lock()
		if ended {
			mu.Unlock()
			p.kill()
			return
		}
		running[id] = p
		mu.Unlock()
		g.store.put(entry(id, "reports", p.addr, zone, "ready", 6, p.born, 1))
		g.say("server %s is ready at %s", id, p.addr)
		go func() {
			<-p.done
			mu.Lock()
			over := ended
			if !over {
				crashes = append(crashes, time.Now())
			}
			n := len(crashes)
			mu.Unlock()
			if over {
				return
			}
			g.say("server %s has crashed; crash %d", id, n)
			time.Sleep(entryTime) // an entry is removed after three heartbeat intervals of silence
			g.store.put(gone(id))
			time.Sleep(backAfter - entryTime)
			parts := strings.SplitN(id, "-", 3)
			start(fmt.Sprintf("%s-%s-%d", parts[0], parts[1], n), p.addr, zone)
		}()
	}
	for i, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		start(fmt.Sprintf("i-%d", i+1), freeAddress("127.0.0.1"), zone)
	}
	defer func() {
		mu.Lock()
		ended = true
		mu.Unlock()
		for _, p := range running {
			p.kill()
		}
	}()
	if len(running) != 3 || !g.startHosts(3) {
		return failed
	}
	// late returns how many requests of the client reached servers later than contactTime after the third crash.
	late := func() int {
		mu.Lock()
		defer mu.Unlock()
		requests := make(map[string]bool)
		for _, a := range arrivals {
			if len(crashes) >= 3 && a.at.After(crashes[2].Add(contactTime)) {
				requests[a.id] = true
			}
		}
		return len(requests)
	}
	end := g.began.Add(crashingTime)
	for n := 0; time.Now().Before(end) && late() <= mostRetries; n++ {
		sent := time.Now()
		h := g.hosts[n%len(g.hosts)]
		q := &request{id: newID(), method: "GET", host: "kiosk.example", path: "/reports/ledger?month=11", key: "key-a", deadline: 2 * time.Second}
		a := do(h.callers, q)
		g.say("client sent request %s to %s and got status %d (%v)", q.id, h.name, a.status, a.err)
		if !g.trouble && a.status != 200 {
			return failed
		}
		time.Sleep(time.Until(sent.Add(againAfter)))
	}
	g.say("%d servers crashed; later than %v after the third crash %d requests like it reached servers, allowed are %d", len(crashes), contactTime, late(), mostRetries)
	switch {
	case g.trouble && len(crashes) < 3:
		return failed
	case late() > mostRetries:
		g.say("BUDGET: a request that crashes the servers that run it reaches servers in more than three retries")
		return broken
	}
	return held
}
