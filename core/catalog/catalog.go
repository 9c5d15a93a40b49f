// Package catalog holds the configuration by which an entry host forwards requests:
// routes by host and path, services, organisations with their keys, and limits. A
// Catalog is built for each revision and is immutable.
//
// # Usage
//
//	c := catalog.New(catalog.Spec{Revision: 7, Routes: routes, ...})
//	r, found := c.Match("shop.example", "/orders/17")
//	o, found := c.Organisation(key)
package catalog

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind is the kind of a route. It determines whether requests may be retried and
// whether responses are event streams.
type Kind int

// Idempotent requests may run more than once, AtMostOnce requests may not.
// ResumableStream is an event stream that another server can resume; PlainStream is an
// event stream whose request is treated as AtMostOnce.
const (
	Idempotent Kind = iota
	AtMostOnce
	ResumableStream
	PlainStream
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	return [...]string{"idempotent", "at-most-once", "resumable-stream", "plain-stream"}[k]
}

// Retryable reports whether a request of the kind may be sent to another server after
// it may have run on one.
func (k Kind) Retryable() bool { return k == Idempotent || k == ResumableStream }

// IsStream reports whether the response is an event stream.
func (k Kind) IsStream() bool { return k == ResumableStream || k == PlainStream }

// Target is a service that a route forwards requests to, with its weight.
type Target struct {
	Service string
	Weight  int
}

// Route forwards the requests for a host and a path prefix to services.
type Route struct {
	Name         string
	Host         string
	Prefix       string
	Kind         Kind
	Timeout      time.Duration // maximum time that a request is kept waiting
	LatencyGoal  time.Duration // target response time; the relay sends a hedged request after a fraction of it
	EventGapGoal time.Duration // target for the longest pause between two events of a stream
	Priority     int           // 0 is the highest
	Attempts     int           // maximum number of servers to which a request is sent
	Targets      []Target
	Public       bool // requests need no API key
}

// Engine describes the inference engines of a service.
type Engine struct {
	Slots          int
	KVCacheTokens  int           // capacity of the KV cache
	KVCacheBackups bool          // the KV cache of a request can be copied to another server as it grows
	KVCacheMoves   bool          // the KV cache of a run can be copied to another server on request
	BackupTTL      time.Duration // how long a copy is kept after its request has ended, or without being renewed
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name        string
	HealthPath  string
	Connections int     // maximum number for each server, over all callers
	Engine      *Engine // nil for plain services
}

// Organisation is a customer.
type Organisation struct {
	Name     string
	Priority int // overrides the priority of the route; -1 if unset
}

// Limits are the maximum sizes of requests.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int
}

// Spec is the input of New.
type Spec struct {
	Revision      uint64
	Routes        []Route
	Services      []Service
	Organisations map[string]Organisation // by API key
	RequireKeys   bool                    // requests to routes that are not public need an API key
	Limits        Limits
}

// Catalog is one revision of the configuration.
type Catalog struct {
	revision     uint64
	requiresKeys bool
	routes       map[string][]Route // by host, longest prefix first
	services     map[string]Service
	keys         map[string]Organisation
	limits       Limits
	goals        map[string]goals // of the streams of services
}

// goals are the tightest and the widest latency goal of a service's routes.
type goals struct{ tightest, widest time.Duration }

// New returns a catalog for the spec, which must not be modified afterwards.
func New(s Spec) *Catalog {
	c := &Catalog{
		revision: s.Revision, requiresKeys: s.RequireKeys, limits: s.Limits, keys: s.Organisations,
		routes: make(map[string][]Route), services: make(map[string]Service, len(s.Services)), goals: make(map[string]goals),
	}
	for _, x := range s.Services {
		c.services[x.Name] = x
	}
	for _, r := range s.Routes {
		h := strings.ToLower(r.Host)
		c.routes[h] = append(c.routes[h], r)
		c.addGoal(r)
	}
	for _, all := range c.routes {
		sort.SliceStable(all, func(a, b int) bool { return len(all[a].Prefix) > len(all[b].Prefix) })
	}
	return c
}

// addGoal records the latency goal of a route, if it has one, for the services of its streams.
func (c *Catalog) addGoal(r Route) {
	if !r.Kind.IsStream() || r.LatencyGoal <= 0 {
		return
	}
	for _, t := range r.Targets {
		g, found := c.goals[t.Service]
		if !found {
			g = goals{r.LatencyGoal, r.LatencyGoal}
		}
		c.goals[t.Service] = goals{min(g.tightest, r.LatencyGoal), max(g.widest, r.LatencyGoal)}
	}
}

// TightestGoal returns the tightest latency goal of the streams of a service, and whether they differ
// in it.
func (c *Catalog) TightestGoal(service string) (goal time.Duration, differ bool) {
	g := c.goals[service]
	return g.tightest, g.tightest < g.widest
}

// Revision returns the revision of the configuration. Revisions only increase.
func (c *Catalog) Revision() uint64 { return c.revision }

// RequiresKeys reports whether requests to routes that are not public need an API key.
func (c *Catalog) RequiresKeys() bool { return c.requiresKeys }

// Limits returns the limits on requests.
func (c *Catalog) Limits() Limits { return c.limits }

// Match returns the route for the host with the longest matching path prefix. The host
// is compared without regard to case.
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

// Services returns all services in no particular order.
func (c *Catalog) Services() []Service {
	all := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		all = append(all, s)
	}
	return all
}

// ServiceNames returns the names of all services, none for a nil catalog.
func (c *Catalog) ServiceNames() []string {
	if c == nil {
		return nil
	}
	return slices.Collect(maps.Keys(c.services))
}

// Organisation returns the organisation that an API key belongs to.
func (c *Catalog) Organisation(key string) (Organisation, bool) {
	o, found := c.keys[key]
	return o, found
}

// Pick returns the service for a request, chosen by the weights of the route's targets.
// point is a random number in [0, 1). Without targets the result is "".
func (r Route) Pick(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	rest := point * float64(total)
	for _, t := range r.Targets {
		rest -= float64(max(t.Weight, 0))
		if rest < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
