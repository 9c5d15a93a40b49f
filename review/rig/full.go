package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Case 8: servers are full and say when to come back, and one of them is killed in the middle of streams.

const (
	serverSlots = 2
	streams     = serverCount * serverSlots
)

var busySlots atomic.Int64 // of this server's process

func init() {
	cases["8"] = fullServers
	behaviours["slots"] = func(c *serverConn, r *http.Request, body []byte) bool {
		defer busySlots.Add(-1)
		if busySlots.Add(1) > serverSlots {
			return c.turnAway(r, "Retry-After: 2\r\n")
		}
		return unframed(c, r, body)
	}
}

func fullServers(g *rig) int {
	g.configure(1, []object{
		{"Name": "report", "Host": "kiosk.example", "Prefix": "/report/", "Type": "stream", "TimeoutMs": 25000, "GoalMs": 4500, "GapGoalMs": 700, "Priority": 1, "Service": "assistant", "MaxAttempts": 5, "Public": false, "Resumable": true},
	}, []object{{"Name": "assistant", "HealthPath": "/healthz", "MaxConns": 150, "Protocol": "h1", "Tls": false}})
	servers := make(map[string]*process)
	for i := range serverCount {
		id := fmt.Sprintf("i-%d", i+1)
		p, err := startProcess("127.0.0.1:0", id, "slots", g.arrive)
		if err != nil {
			g.say("server %s: %v", id, err)
			return failed
		}
		defer p.kill()
		servers[id] = p
		g.store.put(entry(id, "assistant", p.addr, "zone-a", "ready", serverSlots, p.born, 1))
		g.say("server %s is ready at %s", id, p.addr)
	}
	if !g.startHosts(1) {
		return failed
	}
	send := func(name string, deadline time.Duration) (*request, chan answer) {
		q := &request{id: newID(), method: "POST", host: "kiosk.example", path: "/report/" + name, key: "key-a", deadline: deadline, body: name}
		g.say("client sends stream %s", q.id)
		done := make(chan answer, 1)
		go func() { done <- do(g.hosts[0].callers, q) }()
		return q, done
	}
	var sent []*request
	var answers []chan answer
	for range streams {
		q, done := send("monthly", 25*time.Second)
		sent, answers = append(sent, q), append(answers, done)
		time.Sleep(100 * time.Millisecond)
	}
	if g.trouble {
		// One user more than there are slots. A server that says that it is full is killed.
		q, done := send("another", 2*time.Second)
		a := <-done
		full := g.serverOf(q.id)
		g.say("the client of another stream got status %d", a.status)
		if a.status != 503 || full == "" {
			return failed
		}
		g.say("SIGKILL to the process of server %s", full)
		servers[full].kill()
		time.AfterFunc(3600*time.Millisecond, func() { g.store.put(gone(full)) })
	}
	status := held
	for i, done := range answers {
		a := <-done
		got := strings.Count(string(a.body), "data: ")
		g.say("client of stream %s got status %d, signature %q, %d of %d events, complete by the protocol: %v (%v)", sent[i].id, a.status, a.header.Get("X-Server-Signature"), got, streamEvents, a.complete, a.err)
		switch {
		case a.complete && a.status == 200 && got < streamEvents:
			g.say("ORDER: the stream ended as complete before its last piece")
			status = broken
		case !g.trouble && (!a.complete || got != streamEvents):
			g.say("without a disruption the answer is not whole")
			return failed
		}
	}
	return status
}
