// Package route reserves a backend server for a request. If all servers are full,
// the request waits in the queue of its service.
//
// # Usage
//
//	r := route.New(loads, environment)
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

// noServerRetryDelay is the delay suggested to a caller whose service has no usable
// server.
const noServerRetryDelay = 2 * time.Second

// Environment provides the current configuration and the distances from this node.
type Environment interface {
	Config() *config.Config
	// Tier returns the distance of a data centre as in balance.Query.
	Tier(dataCentre string) int
	// SelectingNodes returns the number of nodes of this data centre that choose servers.
	SelectingNodes() int
}

// Request describes a request that needs a backend server.
type Request struct {
	Service      config.Service
	Organisation config.Organisation
	Prefix       string
	Suspect      bool
	// Exclude names servers that are used only if no other server is usable.
	Exclude map[string]bool
	// Started marks a request that has already run in part; it takes precedence over
	// new requests.
	Started bool
}

// Lease is a reserved slot of a backend server.
type Lease struct {
	router  *Router
	server  config.Server
	service string
	suspect bool
}

// Server returns the reserved server.
func (l *Lease) Server() config.Server { return l.server }

// Release frees the slot and wakes requests that wait for one.
func (l *Lease) Release() {
	l.router.loads.Release(l.server.Name(), l.suspect)
	l.router.queue(l.service).Dispatch()
}

type serviceName string

// Router reserves backend servers and queues requests per service.
type Router struct {
	loads       *balance.Table
	environment Environment
	queues      *shard.Map[serviceName, *admit.Queue]
}

// New returns a router with empty queues.
func New(l *balance.Table, e Environment) *Router {
	return &Router{loads: l, environment: e, queues: shard.New[serviceName, *admit.Queue]()}
}

func (r *Router) queue(service string) *admit.Queue {
	a, _ := r.queues.GetOrPut(serviceName(service), admit.New)
	return a
}

// Reserve reserves a server, waiting for one until the service's queue deadline. A
// new request for which no server is usable is rejected immediately. The error is a
// fault.
func (r *Router) Reserve(ctx context.Context, q Request) (*Lease, error) {
	l := &Lease{router: r, service: q.Service.Name(), suspect: q.Suspect}
	result := balance.NoServer
	try := func() bool {
		l.server, result = r.loads.Reserve(r.query(q))
		return result == balance.Reserved
	}
	if len(q.Exclude) > 0 && !r.loads.HasUsable(r.query(q)) {
		q.Exclude = nil
	}
	if !q.Started && !r.loads.HasUsable(r.query(q)) {
		return nil, fault.Newf(fault.NoServer, "route", q.Service.Name(), "no backend server is available for the service").WithRetryAt(time.Now().Add(noServerRetryDelay))
	}
	err := r.queue(q.Service.Name()).Acquire(ctx, admit.Request{
		Organisation: q.Organisation.Name(),
		Weight:       q.Organisation.Weight(),
		Deadline:     q.Service.QueueDeadline(time.Now()),
		Urgent:       q.Started,
		TryAcquire:   try,
	})
	if err != nil {
		return nil, err
	}
	return l, nil
}

// ShouldReroute reports whether a request that waits in the given server's own queue would
// start sooner on another server.
func (r *Router) ShouldReroute(q Request, server string) bool {
	return r.loads.HasQueue(server) && r.HasAlternative(q, server)
}

// HasAlternative reports whether another server than the given one has a free slot for a
// request.
func (r *Router) HasAlternative(q Request, server string) bool {
	exclude := map[string]bool{server: true}
	for name := range q.Exclude {
		exclude[name] = true
	}
	q.Exclude = exclude
	return r.loads.HasFreeSlot(r.query(q))
}

func (r *Router) query(q Request) balance.Query {
	return balance.Query{
		Candidates:     r.environment.Config().Servers(q.Service.Name()),
		Tier:           r.environment.Tier,
		Recovery:       q.Service.Recovery(),
		Prefix:         q.Prefix,
		Exclude:        q.Exclude,
		Suspect:        q.Suspect,
		SelectingNodes: r.environment.SelectingNodes(),
		Now:            time.Now(),
	}
}

// Waiting returns the number of requests that are waiting for a server.
func (r *Router) Waiting() int {
	n := 0
	for _, a := range r.queues.Values() {
		n += a.Len()
	}
	return n
}

// Wake starts waiting requests for which a server is now free.
func (r *Router) Wake() {
	for _, a := range r.queues.Values() {
		a.Dispatch()
	}
}
