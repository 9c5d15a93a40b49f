package retrybudget

import (
	"sync"
	"time"
)

// Services holds the budgets of all services.
type Services struct {
	limit   func() Limit
	names   func() []string
	mu      sync.Mutex
	budgets map[string]*Budget
}

// NewServices returns budgets with the limit that l returns when they are created. names returns the configured services.
func NewServices(l func() Limit, names func() []string) *Services {
	return &Services{limit: l, names: names, budgets: make(map[string]*Budget)}
}

// Budget returns the budget of a service.
func (s *Services) Budget(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		b = New(s.limit())
		s.budgets[service] = b
	}
	return b
}

// ensure creates the budgets of all services, so that reports of other nodes are known when
// the first request for a service arrives.
func (s *Services) ensure(usage map[string]Usage) {
	for service := range usage {
		s.Budget(service)
	}
	for _, service := range s.names() {
		s.Budget(service)
	}
}

// RetryUsage returns the usage of the retry budgets that this node counted, by service.
func (s *Services) RetryUsage(now time.Time) map[string]Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]Usage, len(s.budgets))
	for service, b := range s.budgets {
		if u := b.Usage(now); u != (Usage{}) {
			all[service] = u
		}
	}
	return all
}

// RecordPeerUsage records a usage report of another node, or of one that reports on
// behalf of several nodes, as of time at. Services that the report does not contain had
// no usage.
func (s *Services) RecordPeerUsage(from string, usage map[string]Usage, nodes int, at time.Time) {
	s.ensure(usage)
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, b := range s.budgets {
		b.RecordPeerUsage(from, usage[service], nodes, at)
	}
}

// RecordFinalUsage records the last usage report of a node that is stopping.
func (s *Services) RecordFinalUsage(from string, usage map[string]Usage, at time.Time) {
	s.ensure(usage)
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, b := range s.budgets {
		b.RecordFinalUsage(from, usage[service], at)
	}
}

// AddUsage adds the usage of another node, by service, to a sum.
func AddUsage(sum, more map[string]Usage) {
	for service, u := range more {
		s := sum[service]
		s.Firsts += u.Firsts
		s.Repeats += u.Repeats
		s.Running += u.Running
		sum[service] = s
	}
}
