package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"cicadabeam/core/balance"
	"cicadabeam/core/config"
)

// chooseBench simulates arrivals against the balancer of core/balance: many nodes, each
// with a table of its own, and servers whose load reports are delayed. It runs in
// virtual time and starts no process.
type chooseBench struct {
	Nodes   int     `long:"nodes" default:"7"`
	Servers int     `long:"servers" default:"36"`
	Slots   int     `long:"slots" default:"16"`
	Load    float64 `long:"load" default:"0.85" description:"share of all slots in use"`
	LagMS   []int   `long:"lag-ms" default:"1000" default:"5000" description:"age of the reports"`
	Seconds int     `long:"seconds" default:"600"`
	Seed    uint64  `long:"seed" default:"20261204"`
}

const meanServiceTime = 10 * time.Second

// Execute prints for each chooser the share of requests that find all slots of their
// server in use, so that they would wait in the engine's queue, and quantiles of the
// load of the server that was chosen.
func (b *chooseBench) Execute([]string) error {
	fmt.Println("chooser     lag ms  waiting at the server %  p95 of load  p99 of load")
	for _, lag := range b.LagMS {
		for _, name := range []string{"perfect", "random", "least-own", "cicadabeam"} {
			r := b.simulate(name, time.Duration(lag)*time.Millisecond)
			fmt.Printf("%-10s %7d %24.2f %12.2f %12.2f\n", name, lag, 100*r.waiting, r.quantile(0.95), r.quantile(0.99))
		}
	}
	return nil
}

type result struct {
	waiting float64   // share of the arrivals that found all slots of their server in use
	loads   []float64 // running requests per slot of the chosen server, by arrival
}

func (r result) quantile(q float64) float64 {
	sort.Float64s(r.loads)
	return r.loads[int(q*float64(len(r.loads)-1))]
}

// departure is the end of a request.
type departure struct {
	at     time.Time
	server int
	node   int
}

// departures is a heap, ordered by time.
type departures []departure

func (d departures) Len() int           { return len(d) }
func (d departures) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d departures) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *departures) Push(x any)        { *d = append(*d, x.(departure)) }
func (d *departures) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// simulation is the state of one run.
type simulation struct {
	params     *chooseBench
	random     *rand.Rand
	servers    []config.Server
	running    []int   // by server
	ownRunning [][]int // by node and server
	tables     []*balance.Table
	pending    departures
}

func (b *chooseBench) simulate(chooser string, lag time.Duration) result {
	m := b.newSimulation()
	now := time.Unix(0, 0).Add(time.Hour)
	end := now.Add(time.Duration(b.Seconds) * time.Second)
	rate := b.Load * float64(b.Servers*b.Slots) / meanServiceTime.Seconds()
	report := now // time of the last load reports
	var r result
	arrivals, queued := 0, 0
	for now.Before(end) {
		now = now.Add(time.Duration(m.random.ExpFloat64() / rate * float64(time.Second)))
		m.endRequests(now)
		if now.Sub(report) > lag {
			report = now
			m.report(now)
		}
		node := m.random.IntN(b.Nodes)
		s := m.choose(chooser, node, now)
		arrivals++
		if m.running[s] >= b.Slots {
			queued++
		}
		r.loads = append(r.loads, float64(m.running[s])/float64(b.Slots))
		m.running[s]++
		m.ownRunning[node][s]++
		duration := time.Duration(m.random.ExpFloat64() * float64(meanServiceTime))
		heap.Push(&m.pending, departure{at: now.Add(duration), server: s, node: node})
	}
	r.waiting = float64(queued) / float64(arrivals)
	return r
}

func (b *chooseBench) newSimulation() *simulation {
	m := &simulation{params: b, random: rand.New(rand.NewPCG(b.Seed, 1)), running: make([]int, b.Servers)}
	text := "[region r]\n[data-centre d]\nregion = r\n[service s]\nmodel = m\n"
	for i := range b.Servers {
		// Twice the slots, so that the balancer refuses nothing and every choice is counted.
		text += fmt.Sprintf("[server s%03d]\ndata-centre = d\naddress = http://10.0.0.1:%d\nslots = %d\nservices = s\n", i, i+1, 2*b.Slots)
	}
	c, err := config.Parse("bench", []byte(text))
	if err != nil {
		panic(err)
	}
	m.servers = c.Servers("s")
	for range b.Nodes {
		m.ownRunning = append(m.ownRunning, make([]int, b.Servers))
		m.tables = append(m.tables, balance.New())
	}
	return m
}

// endRequests releases the requests that end before now.
func (m *simulation) endRequests(now time.Time) {
	for len(m.pending) > 0 && m.pending[0].at.Before(now) {
		d := heap.Pop(&m.pending).(departure)
		m.running[d.server]--
		m.ownRunning[d.node][d.server]--
		m.tables[d.node].Release(m.servers[d.server].Name(), false)
	}
}

// report delivers a load report of each server to each node.
func (m *simulation) report(now time.Time) {
	for i, s := range m.servers {
		for _, t := range m.tables {
			t.Report(balance.Report{Server: s.Name(), Running: m.running[i], At: now.UnixMilli()}, now)
		}
	}
}

func (m *simulation) choose(chooser string, node int, now time.Time) int {
	switch chooser {
	case "perfect":
		return leastLoaded(m.running)
	case "random":
		return m.random.IntN(len(m.servers))
	case "least-own":
		return leastLoaded(m.ownRunning[node])
	}
	s, _ := m.tables[node].Reserve(balance.Query{Candidates: m.servers, Tier: func(string) int { return 0 }, SelectingNodes: m.params.Nodes, Now: now})
	for i, x := range m.servers {
		if x.Name() == s.Name() {
			return i
		}
	}
	return 0
}

func leastLoaded(all []int) int {
	best := 0
	for i, n := range all {
		if n < all[best] {
			best = i
		}
	}
	return best
}
