// Package config holds the configuration that the system runs by. It is made
// from a questionnaire, an INI text that operators amend, and carries the
// revision under which the platform's table accepted it.
//
// # Usage
//
//	c, err := config.Parse("questionnaire.ini", text)   // every problem at once
//	c = c.WithRevision(42)
//	s, found := c.ServiceOfModel("ledger-8b")
//	for _, b := range c.Servers(s.Name()) { ... }
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"
)

// Recovery is the policy by which a service trades resume latency against
// extra resource use.
type Recovery string

// Latency resumes on whichever server starts soonest; Cost stays in the data
// centre, prefers a cached prefix and waits for it.
const (
	Latency Recovery = "latency"
	Cost    Recovery = "cost"
)

// Region is a set of data centres joined by fast links.
type Region struct{ name string }

// Name returns the region's name.
func (r Region) Name() string { return r.name }

// DataCentre is a place with its own entry hosts and backend servers.
type DataCentre struct{ name, region string }

// Name returns the data centre's name.
func (d DataCentre) Name() string { return d.name }

// Region returns the name of the region that the data centre is in.
func (d DataCentre) Region() string { return d.region }

// Organisation is a customer.
type Organisation struct {
	name       string
	keys       []string
	weight     int
	maxRunning int
	perSecond  int
	services   []string
}

// Name returns the organisation's name.
func (o Organisation) Name() string { return o.name }

// Weight returns the organisation's part in fair shares.
func (o Organisation) Weight() int { return o.weight }

// MaxRunning returns how many requests an entry host runs for it at once.
func (o Organisation) MaxRunning() int { return o.maxRunning }

// PerSecond returns how many requests it may begin in a second, over all entry
// hosts; 0 is no limit.
func (o Organisation) PerSecond() int { return o.perSecond }

// MayUse tells whether the organisation may use a service. An organisation
// with no list may use all.
func (o Organisation) MayUse(service string) bool {
	if len(o.services) == 0 {
		return true
	}
	for _, s := range o.services {
		if s == service {
			return true
		}
	}
	return false
}

// Service is a model or a plain service behind the system.
type Service struct {
	name       string
	model      string
	idempotent bool
	recovery   Recovery
	queueWait  time.Duration
	callWait   time.Duration
	attempts   int
	priority   int
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Model returns the model's name, or "" for a plain service.
func (s Service) Model() string { return s.model }

// Idempotent tells whether a request may run more than once.
func (s Service) Idempotent() bool { return s.idempotent }

// Recovery returns the recovery policy.
func (s Service) Recovery() Recovery { return s.recovery }

// QueueDeadline returns until when a request that arrives now may wait for a
// server.
func (s Service) QueueDeadline(now time.Time) time.Time { return now.Add(s.queueWait) }

// CallDeadline returns until when a plain call that starts now may take.
func (s Service) CallDeadline(now time.Time) time.Time { return now.Add(s.callWait) }

// Attempts returns on how many servers a request may be tried.
func (s Service) Attempts() int { return s.attempts }

// Priority returns the priority passed on to model engines.
func (s Service) Priority() int { return s.priority }

// Server is a backend server: a model engine or an application server.
type Server struct {
	name       string
	dataCentre string
	address    string
	slots      int
	fencing    bool
	leaving    bool
	services   []string
}

// Name returns the server's name.
func (s Server) Name() string { return s.name }

// DataCentre returns the name of the data centre that the server is in.
func (s Server) DataCentre() string { return s.dataCentre }

// Address returns the server's base URL.
func (s Server) Address() string { return s.address }

// Slots returns how many requests the server runs at once.
func (s Server) Slots() int { return s.slots }

// ChecksFencing tells whether the server refuses orders with an old fencing
// number.
func (s Server) ChecksFencing() bool { return s.fencing }

// Leaving tells whether the operators take the server away.
func (s Server) Leaving() bool { return s.leaving }

// Config is one revision of the configuration. It doesn't change.
type Config struct {
	revision      uint64
	text          []byte
	regions       map[string]Region
	dataCentres   map[string]DataCentre
	organisations map[string]Organisation
	services      map[string]Service
	servers       map[string]Server
	byKey         map[string]string
	byModel       map[string]string
	byService     map[string][]Server
}

// Revision returns the revision under which the configuration was accepted; 0
// for one that was not.
func (c *Config) Revision() uint64 { return c.revision }

// Text returns the questionnaire. The caller must not change it.
func (c *Config) Text() []byte { return c.text }

// WithRevision returns a copy with a revision.
func (c *Config) WithRevision(revision uint64) *Config {
	d := *c
	d.revision = revision
	return &d
}

// RegionOf returns the region of a data centre, or "".
func (c *Config) RegionOf(dataCentre string) string { return c.dataCentres[dataCentre].region }

// OrganisationOfKey returns the organisation that an API key belongs to.
func (c *Config) OrganisationOfKey(key string) (Organisation, bool) {
	name, found := c.byKey[HashKey(key)]
	if !found {
		return Organisation{}, false
	}
	return c.organisations[name], true
}

// Organisation returns an organisation by name.
func (c *Config) Organisation(name string) (Organisation, bool) {
	o, found := c.organisations[name]
	return o, found
}

// Organisations returns the organisations in the order of their names.
func (c *Config) Organisations() []Organisation { return sorted(c.organisations) }

// Service returns a service by name.
func (c *Config) Service(name string) (Service, bool) {
	s, found := c.services[name]
	return s, found
}

// ServiceOfModel returns the service that serves a model.
func (c *Config) ServiceOfModel(model string) (Service, bool) {
	name, found := c.byModel[model]
	if !found {
		return Service{}, false
	}
	return c.services[name], true
}

// Services returns the services in the order of their names.
func (c *Config) Services() []Service { return sorted(c.services) }

// Servers returns the backend servers of a service in the order of their names.
func (c *Config) Servers(service string) []Server { return c.byService[service] }

// AllServers returns the backend servers in the order of their names.
func (c *Config) AllServers() []Server { return sorted(c.servers) }

// Server returns a backend server by name.
func (c *Config) Server(name string) (Server, bool) {
	s, found := c.servers[name]
	return s, found
}

// HashKey returns the form in which the questionnaire holds an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func sorted[T interface{ Name() string }](all map[string]T) []T {
	list := make([]T, 0, len(all))
	for _, x := range all {
		list = append(list, x)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name() < list[j].Name() })
	return list
}
