// Package catalog holds what an entry host has to know to pass requests on: routes
// by host and path, services, organisations with their keys, and limits. It is
// made whole for each revision and never changed.
//
// # Usage
//
//	c := catalog.New(catalog.Spec{Revision: 7, Routes: routes, ...})
//	r, found := c.Match("shop.example", "/orders/17")
//	o, found := c.Organisation(key)
package catalog

import (
	"sort"
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind int

// Idempotent requests may run more than once, AtMostOnce requests may not.
// ResumableStream is a stream of events that another server may go on with;
// PlainStream is one that must be treated as AtMostOnce.
const (
	Idempotent Kind = iota
	AtMostOnce
	ResumableStream
	PlainStream
)

// String names the kind in logs.
func (k Kind) String() string {
	return [...]string{"idempotent", "at-most-once", "resumable-stream", "plain-stream"}[k]
}

// Repeatable tells whether a request of the kind may reach a second server after
// it may have run.
func (k Kind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streams tells whether the response is a stream of events.
func (k Kind) Streams() bool { return k == ResumableStream || k == PlainStream }

// Target is a service that a route leads to, with its share.
type Target struct {
	Service string
	Weight  int
}

// Route leads requests of a host and a path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Timeout  time.Duration // the longest time that a request is kept waiting
	Goal     time.Duration // the time within which an answer earns full credit
	GapGoal  time.Duration // the longest pause between events of an answer in time
	Priority int           // 0 is the highest
	Attempts int           // servers to which one request may be sent
	Targets  []Target
	Public   bool // needs no key
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots        int
	MemoryTokens int
	Backups      bool          // a run's memory can be copied to another server as it grows
	BackupKept   time.Duration // how long a copy outlives its run
}

// Service is a set of backend servers that do the same.
type Service struct {
	Name        string
	HealthPath  string
	Connections int     // that each server takes, from all callers together
	Engine      *Engine // nil for plain services
}

// Organisation is a customer.
type Organisation struct {
	Name     string
	Priority int // goes before the route's; -1 if there is none
}

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int
}

// Spec is what a catalog is made from.
type Spec struct {
	Revision      uint64
	Routes        []Route
	Services      []Service
	Organisations map[string]Organisation // by key
	Keyed         bool                    // requests carry keys
	Limits        Limits
}

// Catalog is one revision of the configuration.
type Catalog struct {
	revision uint64
	keyed    bool
	routes   map[string][]Route // by host, longest prefix first
	services map[string]Service
	keys     map[string]Organisation
	limits   Limits
}

// New makes a catalog. The spec must not be changed afterwards.
func New(s Spec) *Catalog {
	c := &Catalog{
		revision: s.Revision, keyed: s.Keyed, limits: s.Limits, keys: s.Organisations,
		routes: make(map[string][]Route), services: make(map[string]Service, len(s.Services)),
	}
	for _, x := range s.Services {
		c.services[x.Name] = x
	}
	for _, r := range s.Routes {
		h := strings.ToLower(r.Host)
		c.routes[h] = append(c.routes[h], r)
	}
	for _, all := range c.routes {
		sort.SliceStable(all, func(a, b int) bool { return len(all[a].Prefix) > len(all[b].Prefix) })
	}
	return c
}

// Revision returns the configuration's number, which only rises.
func (c *Catalog) Revision() uint64 { return c.revision }

// Keyed tells whether requests to routes that are not public need a key.
func (c *Catalog) Keyed() bool { return c.keyed }

// Limits returns the limits for callers.
func (c *Catalog) Limits() Limits { return c.limits }

// Match returns the route of the host with the longest prefix of the path.
func (c *Catalog) Match(host, path string) (Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns a service by name.
func (c *Catalog) Service(name string) (Service, bool) {
	s, found := c.services[name]
	return s, found
}

// Services returns all services.
func (c *Catalog) Services() []Service {
	all := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		all = append(all, s)
	}
	return all
}

// Organisation returns the holder of a key.
func (c *Catalog) Organisation(key string) (Organisation, bool) {
	o, found := c.keys[key]
	return o, found
}

// Pick returns the service for a request, by the weights of the route's targets.
// point is in [0, 1).
func (r Route) Pick(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	at := point * float64(total)
	for _, t := range r.Targets {
		at -= float64(max(t.Weight, 0))
		if at < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
