package config

import (
	"strings"
	"time"

	"cicadabeam/core/inifile"
)

const (
	maxSlots             = 4096
	maxWeight            = 1000
	maxRunning           = 100000
	maxRequestsPerSecond = 1000000
	maxAttempts          = 10
	maxPriority          = 1000
	maxQueueTimeout      = 10 * time.Minute
	maxCallTimeout       = 10 * time.Minute
	hexKeyLength         = 64
	maxNameLength        = 64
)

// Parse validates a questionnaire and returns the configuration. The error is an
// inifile.Problems that lists all problems, with name as the name of the file.
func Parse(name string, text []byte) (*Config, error) {
	d := inifile.Parse(name, text)
	c := &Config{
		text:          text,
		regions:       make(map[string]Region),
		dataCentres:   make(map[string]DataCentre),
		organisations: make(map[string]Organisation),
		services:      make(map[string]Service),
		servers:       make(map[string]Server),
		byKey:         make(map[string]string),
		byModel:       make(map[string]string),
		byService:     make(map[string][]Server),
	}
	c.readTopology(d)
	c.readServices(d)
	c.readServers(d)
	c.readOrganisations(d)
	d.RejectUnknown()
	if err := d.Err(); err != nil {
		return nil, err
	}
	c.indexServers()
	return c, nil
}

func (c *Config) readTopology(d *inifile.Document) {
	for _, s := range d.Sections("region") {
		checkName(s)
		c.regions[s.Name()] = Region{name: s.Name()}
	}
	for _, s := range d.Sections("data-centre") {
		checkName(s)
		region := s.Required("region")
		if _, found := c.regions[region]; !found && region != "" {
			s.AddProblem("region", "is %q; no such region", region)
		}
		c.dataCentres[s.Name()] = DataCentre{name: s.Name(), region: region}
	}
}

func (c *Config) readServices(d *inifile.Document) {
	for _, s := range d.Sections("service") {
		checkName(s)
		v := Service{
			name:         s.Name(),
			model:        s.Value("model", ""),
			idempotent:   s.Bool("idempotent", false),
			recovery:     Recovery(s.OneOf("recovery", string(RecoveryLatency), string(RecoveryLatency), string(RecoveryCost))),
			queueTimeout: s.Duration("queue-wait", 10*time.Second, 0, maxQueueTimeout),
			callTimeout:  s.Duration("call-wait", 30*time.Second, time.Millisecond, maxCallTimeout),
			attempts:     s.Int("attempts", 4, 1, maxAttempts),
			priority:     s.Int("priority", 0, -maxPriority, maxPriority),
		}
		if v.model != "" {
			v.idempotent = true
			c.addModel(s, v)
		}
		c.services[v.name] = v
	}
}

// addModel registers the model of a service. A model belongs to only one service.
func (c *Config) addModel(s *inifile.Section, v Service) {
	other, found := c.byModel[v.model]
	if found {
		s.AddProblem("model", "is %q, which service %s already uses", v.model, other)
		return
	}
	c.byModel[v.model] = v.name
}

func (c *Config) readServers(d *inifile.Document) {
	for _, s := range d.Sections("server") {
		checkName(s)
		v := Server{
			name:          s.Name(),
			dataCentre:    s.Required("data-centre"),
			address:       s.URL("address"),
			slots:         s.Int("slots", 16, 1, maxSlots),
			checksFencing: s.Bool("checks-fencing", false),
			leaving:       s.Bool("leaving", false),
			services:      s.List("services"),
		}
		if _, found := c.dataCentres[v.dataCentre]; !found && v.dataCentre != "" {
			s.AddProblem("data-centre", "is %q; no such data centre", v.dataCentre)
		}
		if len(v.services) == 0 {
			s.AddProblem("services", "is missing; name at least one service")
		}
		c.checkServices(s, v.services)
		c.servers[v.name] = v
	}
}

func (c *Config) readOrganisations(d *inifile.Document) {
	for _, s := range d.Sections("organisation") {
		checkName(s)
		v := Organisation{
			name:              s.Name(),
			keys:              s.List("key-sha256"),
			weight:            s.Int("weight", 1, 1, maxWeight),
			maxRunning:        s.Int("max-running", 1000, 1, maxRunning),
			requestsPerSecond: s.Int("requests-per-second", 0, 0, maxRequestsPerSecond),
			services:          s.List("services"),
		}
		if len(v.keys) == 0 {
			s.AddProblem("key-sha256", "is missing; give the SHA-256 of at least one API key in hex")
		}
		c.checkServices(s, v.services)
		c.addKeys(s, v)
		c.organisations[v.name] = v
	}
}

func (c *Config) checkServices(s *inifile.Section, names []string) {
	for _, n := range names {
		if _, found := c.services[n]; !found {
			s.AddProblem("services", "names %q; no such service", n)
		}
	}
}

// addKeys registers the API keys of an organisation. A key belongs to only one
// organisation.
func (c *Config) addKeys(s *inifile.Section, o Organisation) {
	for _, k := range o.keys {
		if len(k) != hexKeyLength || strings.Trim(k, "0123456789abcdef") != "" {
			s.AddProblem("key-sha256", "is %q; allowed is a SHA-256 in lower-case hex", k)
			continue
		}
		if other, found := c.byKey[k]; found {
			s.AddProblem("key-sha256", "is also a key of organisation %s", other)
			continue
		}
		c.byKey[k] = o.name
	}
}

func checkName(s *inifile.Section) {
	n := s.Name()
	if n == "" {
		s.AddProblem("", "has no name; write [%s NAME]", "kind")
		return
	}
	if len(n) > maxNameLength || strings.Trim(n, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		s.AddProblem("", "has the name %q; allowed are up to %d of a-z, 0-9 and -", n, maxNameLength)
	}
}

func (c *Config) indexServers() {
	for _, v := range sortedByName(c.servers) {
		for _, n := range v.services {
			c.byService[n] = append(c.byService[n], v)
		}
	}
}
