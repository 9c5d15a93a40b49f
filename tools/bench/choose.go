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

// choose plays arrivals against the chooser itself: many nodes, each with its own
// table, and servers that report their load with a lag. Time is a value here; no
// process is started.
type choose struct {
	Nodes   int     `long:"nodes" default:"7"`
	Servers int     `long:"servers" default:"36"`
	Slots   int     `long:"slots" default:"16"`
	Load    float64 `long:"load" default:"0.85" description:"share of all slots in use"`
	LagMS   []int   `long:"lag-ms" default:"1000" default:"5000" description:"age of the reports"`
	Seconds int     `long:"seconds" default:"600"`
	Seed    uint64  `long:"seed" default:"20261204"`
}

const meanService = 10 * time.Second

// Execute prints by how much the busiest server exceeds its slots: requests that
// would wait in an engine's queue.
func (b *choose) Execute([]string) error {
	fmt.Println("chooser     lag ms  waiting at the server %  p95 of load  p99 of load")
	for _, lag := range b.LagMS {
		for _, name := range []string{"perfect", "random", "least-own", "cicadabeam"} {
			r := b.play(name, time.Duration(lag)*time.Millisecond)
			fmt.Printf("%-10s %7d %24.2f %12.2f %12.2f\n", name, lag, 100*r.waiting, r.quantile(0.95), r.quantile(0.99))
		}
	}
	return nil
}

type outcome struct {
	waiting float64 // share of the arrivals that found their server full
	loads   []float64
}

func (o outcome) quantile(q float64) float64 {
	sort.Float64s(o.loads)
	return o.loads[int(q*float64(len(o.loads)-1))]
}

type departure struct {
	at     time.Time
	server int
	node   int
}

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

type play struct {
	bench   *choose
	random  *rand.Rand
	servers []config.Server
	running []int
	own     [][]int
	tables  []*balance.Table
	ends    departures
}

func (b *choose) play(chooser string, lag time.Duration) outcome {
	p := b.newPlay()
	now := time.Unix(0, 0).Add(time.Hour)
	end := now.Add(time.Duration(b.Seconds) * time.Second)
	rate := b.Load * float64(b.Servers*b.Slots) / meanService.Seconds()
	report := now
	var o outcome
	arrivals, waited := 0, 0
	for now.Before(end) {
		now = now.Add(time.Duration(p.random.ExpFloat64() / rate * float64(time.Second)))
		p.depart(now)
		if now.Sub(report) > lag {
			report = now
			p.report(now)
		}
		node := p.random.IntN(b.Nodes)
		s := p.choose(chooser, node, now)
		arrivals++
		if p.running[s] >= b.Slots {
			waited++
		}
		o.loads = append(o.loads, float64(p.running[s])/float64(b.Slots))
		p.running[s]++
		p.own[node][s]++
		took := time.Duration(p.random.ExpFloat64() * float64(meanService))
		heap.Push(&p.ends, departure{at: now.Add(took), server: s, node: node})
	}
	o.waiting = float64(waited) / float64(arrivals)
	return o
}

func (b *choose) newPlay() *play {
	p := &play{bench: b, random: rand.New(rand.NewPCG(b.Seed, 1)), running: make([]int, b.Servers)}
	text := "[region r]\n[data-centre d]\nregion = r\n[service s]\nmodel = m\n"
	for i := range b.Servers {
		// Twice the slots, so that the chooser does not refuse and its picks show.
		text += fmt.Sprintf("[server s%03d]\ndata-centre = d\naddress = http://10.0.0.1:%d\nslots = %d\nservices = s\n", i, i+1, 2*b.Slots)
	}
	c, err := config.Parse("bench", []byte(text))
	if err != nil {
		panic(err)
	}
	p.servers = c.Servers("s")
	for range b.Nodes {
		p.own = append(p.own, make([]int, b.Servers))
		p.tables = append(p.tables, balance.New())
	}
	return p
}

func (p *play) depart(now time.Time) {
	for len(p.ends) > 0 && p.ends[0].at.Before(now) {
		d := heap.Pop(&p.ends).(departure)
		p.running[d.server]--
		p.own[d.node][d.server]--
		p.tables[d.node].Release(p.servers[d.server].Name(), false)
	}
}

func (p *play) report(now time.Time) {
	for i, s := range p.servers {
		for _, t := range p.tables {
			t.Report(balance.Report{Server: s.Name(), Running: p.running[i], At: now.UnixMilli()}, now)
		}
	}
}

func (p *play) choose(chooser string, node int, now time.Time) int {
	switch chooser {
	case "perfect":
		return least(p.running)
	case "random":
		return p.random.IntN(len(p.servers))
	case "least-own":
		return least(p.own[node])
	}
	s, _ := p.tables[node].Reserve(balance.Query{Candidates: p.servers, Tier: func(string) int { return 0 }, SelectingNodes: p.bench.Nodes, Now: now})
	for i, x := range p.servers {
		if x.Name() == s.Name() {
			return i
		}
	}
	return 0
}

func least(all []int) int {
	best := 0
	for i, n := range all {
		if n < all[best] {
			best = i
		}
	}
	return best
}
