package admission

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Gates holds the gates of a host, by service.
type Gates struct {
	mu  sync.Mutex
	all map[string]*Gate
}

// NewGates returns no gates.
func NewGates() *Gates { return &Gates{all: make(map[string]*Gate)} }

// Enter returns a ticket for a request for a service, of which tightest is the tightest latency goal.
func (g *Gates) Enter(service string, tightest time.Duration, r Request, now time.Time) *Ticket {
	g.mu.Lock()
	gate := g.all[service]
	if gate == nil {
		gate = NewGate(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		g.all[service] = gate
	}
	g.mu.Unlock()
	return gate.Enter(tightest, r, now)
}

// Waiting returns how many requests wait.
func (g *Gates) Waiting() int {
	n := 0
	g.each(func(x *Gate) { n += len(x.waiting) })
	return n
}

// Totals returns how many requests were held back, by what became of them.
func (g *Gates) Totals() map[string]int64 {
	all := make(map[string]int64)
	g.each(func(x *Gate) {
		for outcome, n := range x.totals {
			all[outcome] += n
		}
	})
	return all
}

func (g *Gates) each(do func(x *Gate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range g.all {
		x.mu.Lock()
		do(x)
		x.mu.Unlock()
	}
}
