package retrybudget

import (
	"sync"
	"time"
)

// Services holds the budgets of a node, one for each service. Its methods may be called by several
// goroutines at once.
type Services struct {
	limit Limit
	mu    sync.Mutex
	all   map[string]*Budget
}

// NewServices returns no budgets.
func NewServices(l Limit) *Services { return &Services{limit: l, all: make(map[string]*Budget)} }

// Of returns the budget of a service.
func (s *Services) Of(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.of(service)
}

func (s *Services) of(service string) *Budget {
	b := s.all[service]
	if b == nil {
		b = New(s.limit)
		s.all[service] = b
	}
	return b
}

// Usage returns what this node counted, by service.
func (s *Services) Usage(now time.Time) map[string]Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]Usage, len(s.all))
	for service, b := range s.all {
		if u := b.Usage(now); u != (Usage{}) {
			all[service] = u
		}
	}
	return all
}

// RecordPeerUsage records a usage report of another node, or of one that reports on behalf of
// several nodes, as of time at. Services that the report does not contain had no usage. The budgets
// of known services are created, so that the report counts when their first request arrives.
func (s *Services) RecordPeerUsage(from string, usage map[string]Usage, nodes int, known []string, at time.Time) {
	s.each(usage, known, func(service string, b *Budget) { b.RecordPeerUsage(from, usage[service], nodes, at) })
}

// RecordFinalUsage records the last usage report of a node that is stopping.
func (s *Services) RecordFinalUsage(from string, usage map[string]Usage, known []string, at time.Time) {
	s.each(usage, known, func(service string, b *Budget) { b.RecordFinalUsage(from, usage[service], at) })
}

func (s *Services) each(usage map[string]Usage, known []string, do func(service string, b *Budget)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range usage {
		s.of(service)
	}
	for _, service := range known {
		s.of(service)
	}
	for service, b := range s.all {
		do(service, b)
	}
}
