// Package route finds a backend server for a request and waits for one in the
// service's queue when all are full.
//
// # Usage
//
//	r := route.New(loads, site)
//	l, err := r.Reserve(ctx, route.Request{Service: s, Organisation: o})
//	defer l.Release()
//	l.Server().Address()
package route

import (
	"context"
	"time"

	"cicadabeam/core/admit"
	"cicadabeam/core/balance"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/shard"
)

const noServerRetry = 2 * time.Second

// Site tells where the node is and what the configuration is now.
type Site interface {
	Config() *config.Config
	Tier(dataCentre string) int
	// Choosers returns the number of nodes that choose servers here.
	Choosers() int
}

// Request is a request that needs a server.
type Request struct {
	Service      config.Service
	Organisation config.Organisation
	Prefix       string
	Suspect      bool
	// Exclude names servers that the request gets only if there are no others.
	Exclude map[string]bool
	// Begun requests have run in part and go before new ones.
	Begun bool
}

// Lease is the use of one server's slot.
type Lease struct {
	router  *Router
	server  config.Server
	service string
	suspect bool
}

// Server returns the server.
func (l *Lease) Server() config.Server { return l.server }

// Release gives the slot back.
func (l *Lease) Release() {
	l.router.loads.Release(l.server.Name(), l.suspect)
	l.router.gate(l.service).Wake()
}

type serviceName string

// Router finds servers.
type Router struct {
	loads *balance.Table
	site  Site
	gates *shard.Map[serviceName, *admit.Gate]
}

// New returns a router with empty queues.
func New(l *balance.Table, s Site) *Router {
	return &Router{loads: l, site: s, gates: shard.New[serviceName, *admit.Gate]()}
}

func (r *Router) gate(service string) *admit.Gate {
	g, _ := r.gates.GetOrPut(serviceName(service), admit.New)
	return g
}

// Reserve waits for a server until the service's queue deadline. The error is a
// fault; a new request that no server could serve is refused at once.
func (r *Router) Reserve(ctx context.Context, q Request) (*Lease, error) {
	l := &Lease{router: r, service: q.Service.Name(), suspect: q.Suspect}
	result := balance.None
	try := func() bool {
		l.server, result = r.loads.Reserve(r.query(q))
		return result == balance.Found
	}
	if len(q.Exclude) > 0 && !r.loads.Usable(r.query(q)) {
		q.Exclude = nil
	}
	if !q.Begun && !r.loads.Usable(r.query(q)) {
		return nil, fault.Newf(fault.NoServer, "route", q.Service.Name(), "no backend server can be reached").WithRetry(time.Now().Add(noServerRetry))
	}
	err := r.gate(q.Service.Name()).Acquire(ctx, admit.Request{
		Organisation: q.Organisation.Name(),
		Weight:       q.Organisation.Weight(),
		Deadline:     q.Service.QueueDeadline(time.Now()),
		Urgent:       q.Begun,
		Try:          try,
	})
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Better tells whether a request that waits in a server's own queue would start
// sooner elsewhere.
func (r *Router) Better(q Request, server string) bool {
	if !r.loads.Queues(server) {
		return false
	}
	others := map[string]bool{server: true}
	for name := range q.Exclude {
		others[name] = true
	}
	q.Exclude = others
	return r.loads.Free(r.query(q))
}

func (r *Router) query(q Request) balance.Query {
	return balance.Query{
		Candidates: r.site.Config().Servers(q.Service.Name()),
		Tier:       r.site.Tier,
		Recovery:   q.Service.Recovery(),
		Prefix:     q.Prefix,
		Exclude:    q.Exclude,
		Suspect:    q.Suspect,
		Choosers:   r.site.Choosers(),
		Now:        time.Now(),
	}
}

// Waiting returns the number of requests that wait for a server.
func (r *Router) Waiting() int {
	n := 0
	for _, g := range r.gates.Values() {
		n += g.Waiting()
	}
	return n
}

// Wake looks for waiting requests that may start now.
func (r *Router) Wake() {
	for _, g := range r.gates.Values() {
		g.Wake()
	}
}
