// Command rig plays the cases of this review: it starts entry hosts with the command of the deploy file, before
// stand-ins of the platform's store, of servers and of clients.
//
//	rig CASE RECORD on|off      exit status 1: the rule was broken, 0: it held, 2: the case could not run
//	rig server ADDRESS ID BEHAVIOUR
//
// With off a case goes without its disruption.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// rig is a deployment in which a case is played.
type rig struct {
	dir     string
	store   *store
	hosts   []*host
	trouble bool
	began   time.Time
	mu      sync.Mutex
	record  *os.File
	arrived []arrival
}

// say writes a line to the record.
func (g *rig) say(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fmt.Fprintf(g.record, "%8.3f  %s\n", time.Since(g.began).Seconds(), fmt.Sprintf(format, args...))
}

// arrive records what reached a server.
func (g *rig) arrive(a arrival) {
	g.mu.Lock()
	g.arrived = append(g.arrived, a)
	g.mu.Unlock()
	g.say("server %s: %s %s %s request %s deadline %s last event %q", a.Server, a.Event, a.Method, a.Target, a.Request, a.Deadline, a.Last)
}

// runs returns how often a request ran.
func (g *rig) runs(id string) (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.arrived {
		if a.Request == id && a.Ran {
			n++
		}
	}
	return n
}

// serverOf returns the server that runs a request, "" if none does within a second.
func (g *rig) serverOf(id string) string {
	for range 100 {
		g.mu.Lock()
		for _, a := range g.arrived {
			if a.Request == id && a.Ran {
				g.mu.Unlock()
				return a.Server
			}
		}
		g.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	return ""
}

type object = map[string]any

// configure writes a configuration.
func (g *rig) configure(version int, routes, services []object) {
	v, _ := json.Marshal(object{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []object{{"Name": "tenant-a", "ApiKeys": []string{"key-a"}, "Priority": 1}},
	})
	g.store.put(row{Table: "op", Key: "config", Value: v})
	g.say("the operator's configuration %d is acknowledged", version)
}

// startHosts starts entry hosts and waits until they are ready.
func (g *rig) startHosts(n int) bool {
	for i := range n {
		h := newHost(g.dir, fmt.Sprintf("edge-%d", i+1), []string{"zone-a", "zone-b"}[i%2], g.store.address, "")
		g.hosts = append(g.hosts, h)
		h.start()
	}
	for _, h := range g.hosts {
		if !h.awaitReady(15 * time.Second) {
			g.say("host %s did not become ready", h.name)
			return false
		}
	}
	time.Sleep(1500 * time.Millisecond) // the hosts know each other
	g.say("%d hosts are ready", n)
	return true
}

func (g *rig) close() {
	for _, h := range g.hosts {
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(g.dir)
	} else {
		fmt.Println(g.dir)
	}
}

const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

var cases = map[string]func(g *rig) int{}

var behaviours = map[string]behaviour{}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "server" {
		serverMain(os.Args[2], os.Args[3], os.Args[4])
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[3] != "on" && os.Args[3] != "off" {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD on|off")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3] == "on"))
}

// longestPlay limits a play, which may take 120 s.
const longestPlay = 118 * time.Second

// endEarly ends a play at a signal, or if it takes too long. Servers and hosts end with this process.
func (g *rig) endEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-stop:
		g.say("ended by a signal: %v", s)
	case <-time.After(longestPlay):
		g.say("ended after %v", longestPlay)
	}
	_ = os.RemoveAll(g.dir)
	os.Exit(failed)
}

func play(name, record string, trouble bool) (status int) {
	g := &rig{trouble: trouble, began: time.Now()}
	var err error
	if g.record, err = os.Create(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer g.record.Close()
	if g.dir, err = os.MkdirTemp("", "review-rig"); err != nil {
		return failed
	}
	defer g.close()
	if g.store, err = startStore(); err != nil {
		return failed
	}
	go g.endEarly()
	g.say("case %s, disruption: %v", name, trouble)
	status = cases[name](g)
	g.say("exit status %d (0: the rule held, 1: it was broken, 2: the case could not run)", status)
	return status
}
