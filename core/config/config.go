// Package config holds the configuration of the system. It is parsed from a
// questionnaire, an INI text that operators edit, and carries the revision under
// which the platform's table accepted it.
//
// # Usage
//
//	c, err := config.Parse("questionnaire.ini", text)   // the error lists all problems
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

// Recovery is the policy of a service that trades the latency of resuming a response
// against additional resource use.
type Recovery string

// RecoveryLatency resumes on the server that can start first. RecoveryCost resumes in
// the same data centre, prefers a server that has the prefix cached and waits for it.
const (
	RecoveryLatency Recovery = "latency"
	RecoveryCost    Recovery = "cost"
)

// Region is a set of data centres connected by fast network links.
type Region struct{ name string }

// Name returns the region's name.
func (r Region) Name() string { return r.name }

// DataCentre is a site with its own entry hosts and backend servers.
type DataCentre struct{ name, region string }

// Name returns the data centre's name.
func (d DataCentre) Name() string { return d.name }

// Region returns the name of the region that the data centre is in.
func (d DataCentre) Region() string { return d.region }

// Organisation is a customer with its API keys and limits.
type Organisation struct {
	name              string
	keys              []string
	weight            int
	maxRunning        int
	requestsPerSecond int
	services          []string
}

// Name returns the organisation's name.
func (o Organisation) Name() string { return o.name }

// Weight returns the organisation's weight in fair queueing.
func (o Organisation) Weight() int { return o.weight }

// MaxRunning returns the maximum number of the organisation's concurrent requests on
// one entry host.
func (o Organisation) MaxRunning() int { return o.maxRunning }

// RequestsPerSecond returns the organisation's rate limit in requests per second over all
// entry hosts; 0 means unlimited.
func (o Organisation) RequestsPerSecond() int { return o.requestsPerSecond }

// MayUse reports whether the organisation may use a service. An organisation without
// a list of services may use all of them.
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

// Service is a model or a plain service that backend servers provide.
type Service struct {
	name         string
	model        string
	idempotent   bool
	recovery     Recovery
	queueTimeout time.Duration
	callTimeout  time.Duration
	attempts     int
	priority     int
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Model returns the model's name, or "" for a plain service.
func (s Service) Model() string { return s.model }

// Idempotent reports whether a request may run more than once.
func (s Service) Idempotent() bool { return s.idempotent }

// Recovery returns the recovery policy.
func (s Service) Recovery() Recovery { return s.recovery }

// QueueDeadline returns the time until which a request that arrives now may wait for
// a server.
func (s Service) QueueDeadline(now time.Time) time.Time { return now.Add(s.queueTimeout) }

// CallDeadline returns the time by which a call to a plain service that starts now
// must have ended.
func (s Service) CallDeadline(now time.Time) time.Time { return now.Add(s.callTimeout) }

// Attempts returns the maximum number of servers to which a request is sent.
func (s Service) Attempts() int { return s.attempts }

// Priority returns the priority passed on to inference engines.
func (s Service) Priority() int { return s.priority }

// Server is a backend server: an inference engine or an application server.
type Server struct {
	name          string
	dataCentre    string
	address       string
	slots         int
	checksFencing bool
	leaving       bool
	services      []string
}

// Name returns the server's name.
func (s Server) Name() string { return s.name }

// DataCentre returns the name of the data centre that the server is in.
func (s Server) DataCentre() string { return s.dataCentre }

// Address returns the server's base URL.
func (s Server) Address() string { return s.address }

// Slots returns the number of requests that the server runs concurrently.
func (s Server) Slots() int { return s.slots }

// ChecksFencing reports whether the server rejects requests with an outdated fencing
// token.
func (s Server) ChecksFencing() bool { return s.checksFencing }

// Leaving reports whether operators have marked the server for removal.
func (s Server) Leaving() bool { return s.leaving }

// Config is one revision of the configuration. It is immutable.
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

// Revision returns the revision under which the configuration was accepted, or 0 if
// it has not been accepted.
func (c *Config) Revision() uint64 { return c.revision }

// Text returns the questionnaire. The caller must not modify it.
func (c *Config) Text() []byte { return c.text }

// WithRevision returns a copy of the configuration with the given revision.
func (c *Config) WithRevision(revision uint64) *Config {
	d := *c
	d.revision = revision
	return &d
}

// RegionOf returns the region of a data centre, or "" if the data centre is unknown.
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

// Organisations returns the organisations, sorted by name.
func (c *Config) Organisations() []Organisation { return sortedByName(c.organisations) }

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

// Services returns the services, sorted by name.
func (c *Config) Services() []Service { return sortedByName(c.services) }

// Servers returns the backend servers of a service, sorted by name.
func (c *Config) Servers(service string) []Server { return c.byService[service] }

// AllServers returns all backend servers, sorted by name.
func (c *Config) AllServers() []Server { return sortedByName(c.servers) }

// Server returns a backend server by name.
func (c *Config) Server(name string) (Server, bool) {
	s, found := c.servers[name]
	return s, found
}

// HashKey returns the SHA-256 of an API key in hex, as the questionnaire stores it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func sortedByName[T interface{ Name() string }](all map[string]T) []T {
	list := make([]T, 0, len(all))
	for _, x := range all {
		list = append(list, x)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name() < list[j].Name() })
	return list
}
