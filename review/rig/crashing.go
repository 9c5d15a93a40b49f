package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Case 9: a request that crashes each server that begins to run it comes again, at any host. All hosts are killed twice.

const (
	backAfter    = 5 * time.Second // from a crash until the server is back
	contactTime  = 4 * time.Second // ContactMs
	againAfter   = 8 * time.Second // until the request comes again
	mostRetries  = 3               // later than contactTime after the third crash
	mostKills    = 2
	killAfter    = 2 * time.Second // from the arrival of such a retry until all hosts are killed
	restartDelay = 500 * time.Millisecond
	crashingTime = 75 * time.Second
)

// span is a time in which no host is in touch.
type span struct{ from, to time.Time }

type arrivedAt struct {
	id string
	at time.Time
}

func init() {
	cases["9"] = crashingRequest
	behaviours["crashes"] = func(c *serverConn, r *http.Request, _ []byte) bool {
		if strings.HasPrefix(r.URL.Path, "/reports/bad") {
			os.Exit(3)
		}
		time.Sleep(30 * time.Millisecond)
		return c.respond(r, 200, c.signature(), "fine")
	}
}

// crashingRequest plays three servers and three hosts. One client sends the request again and again.
func crashingRequest(g *rig) int {
	g.configure(1, []object{
		{"Name": "reports", "Host": "kiosk.example", "Prefix": "/reports/", "Type": "safe", "TimeoutMs": 4000, "GoalMs": 250, "Priority": 1, "Service": "reports", "MaxAttempts": 2, "Public": false},
	}, []object{{"Name": "reports", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false}})
	var mu sync.Mutex
	var arrivals []arrivedAt
	var crashes []time.Time
	running := make(map[string]*process)
	ended := false
	var kills []span
	var start func(id, address, zone string, seq int)
	start = func(id, address, zone string, seq int) {
		p, err := startProcess(address, id, "crashes", func(a arrival) {
			g.arrive(a)
			if a.Ran && strings.HasPrefix(a.Target, "/reports/bad") {
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
		g.store.put(entry(id, "reports", p.addr, zone, "ready", 6, p.born, seq))
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
			time.Sleep(3600 * time.Millisecond) // an entry is removed after three heartbeat intervals of silence
			g.store.put(gone(id))
			time.Sleep(backAfter - 3600*time.Millisecond)
			start(fmt.Sprintf("%s-%d", strings.SplitN(id, "-", 3)[0]+"-"+strings.SplitN(id, "-", 3)[1], n), p.addr, zone, 1)
		}()
	}
	for i, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		start(fmt.Sprintf("i-%d", i+1), freeAddress("127.0.0.1"), zone, 1)
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
	// late returns how many requests reached servers later than contactTime after the third crash, sent by hosts in touch.
	late := func() int {
		mu.Lock()
		defer mu.Unlock()
		if len(crashes) < 3 {
			return 0
		}
		from := crashes[2].Add(contactTime)
		requests := make(map[string]bool)
		for _, a := range arrivals {
			inTouch := true
			for _, k := range kills {
				inTouch = inTouch && (a.at.Before(k.from) || a.at.After(k.to))
			}
			if a.at.After(from) && inTouch {
				requests[a.id] = true
			}
		}
		return len(requests)
	}
	kill := func() {
		g.say("SIGKILL to the processes of all hosts")
		mu.Lock()
		kills = append(kills, span{time.Now(), time.Now().Add(time.Hour)})
		mu.Unlock()
		for _, h := range g.hosts {
			h.kill()
		}
		time.Sleep(restartDelay)
		for _, h := range g.hosts {
			h.start()
		}
		mu.Lock()
		kills[len(kills)-1].to = time.Now().Add(contactTime)
		mu.Unlock()
		g.say("all hosts are started again")
	}
	end := g.began.Add(crashingTime)
	for n := 0; time.Now().Before(end) && late() <= mostRetries; n++ {
		sent, before := time.Now(), late()
		h := g.hosts[n%len(g.hosts)]
		q := &request{id: newID(), method: "GET", host: "kiosk.example", path: "/reports/bad?month=11", key: "key-a", deadline: 4 * time.Second}
		a := do(h.callers, q)
		g.say("client sent request %s to %s and got status %d (%v)", q.id, h.name, a.status, a.err)
		if g.trouble && late() > before && len(kills) < mostKills {
			time.Sleep(time.Until(sent.Add(killAfter)))
			kill()
		}
		time.Sleep(time.Until(sent.Add(againAfter)))
	}
	g.say("%d servers crashed; later than %v after the third crash %d requests like it reached servers, allowed are %d", len(crashes), contactTime, late(), mostRetries)
	switch {
	case len(crashes) < 3:
		return failed
	case late() > mostRetries:
		g.say("BUDGET: a request that crashes the servers that run it reaches servers in more than three retries")
		return broken
	}
	return held
}
