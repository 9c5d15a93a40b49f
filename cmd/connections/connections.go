// Package connections sets the limits of the connections that a host accepts, from its settings and the
// file descriptors that it may open, and reports what they close and refuse.
//
// # Usage
//
//	s := connections.ReadSettings(document.Section("limits"))
//	l := connections.New(s, 136, log) // MB of memory, 0 for unknown
//	server.LimitConnections(l.Callers())
//	listener = tcp.LimitListener(listener, l.Hosts())
//	l.Report(scope) // periodically
package connections

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabeam/core/connlimit"
	"cicadabeam/core/inifile"
	"cicadabeam/io/tcp"
)

const (
	minDescriptors = 16
	maxDescriptors = 1 << 30
	// connectionsPerMB limits callers' connections where descriptors are plenty: one needs 15 to 20 KB
	// while its head is read.
	connectionsPerMB = 16
	// lineInterval is the least time between two log lines about a listener.
	lineInterval = time.Second
)

// Settings are the settings of the limits, 0 for those that are not given.
type Settings struct{ descriptors, callers int }

// ReadSettings reads the settings.
func ReadSettings(x *inifile.Section) Settings {
	s := Settings{descriptors: x.Int("descriptors", 0, minDescriptors, maxDescriptors)}
	s.callers = x.Int("caller-connections", 0, 1, maxDescriptors)
	if s.descriptors > 0 && s.callers > s.descriptors {
		x.AddProblem("caller-connections", "is %d; allowed is at most descriptors, %d", s.callers, s.descriptors)
	}
	return s
}

// Limits are the limits of a host's listeners.
type Limits struct {
	log       func(event string, fields map[string]any)
	listeners map[string]*connlimit.Limit
}

// New returns the limits of a host with some MB of memory, 0 if that is not known. log gets at most a line
// per second and listener.
func New(s Settings, memoryMB int, log func(event string, fields map[string]any)) *Limits {
	files := tcp.MaxFiles()
	if s.descriptors > 0 {
		files = min(files, s.descriptors)
	}
	shares := connlimit.Divide(files)
	callers := shares.Callers()
	if memoryMB > 0 {
		callers = min(callers, memoryMB*connectionsPerMB)
	}
	if s.callers > 0 {
		callers = s.callers
	}
	l := &Limits{log: log, listeners: make(map[string]*connlimit.Limit)}
	l.add("callers", callers)
	l.add("hosts", shares.Hosts())
	l.add("readiness", shares.Probes())
	l.add("metrics", shares.Probes())
	return l
}

// Callers returns the limit of callers' connections.
func (l *Limits) Callers() *connlimit.Limit { return l.listeners["callers"] }

// Hosts returns the limit of connections from other hosts.
func (l *Limits) Hosts() *connlimit.Limit { return l.listeners["hosts"] }

// Readiness returns the limit of connections to the listener for readiness.
func (l *Limits) Readiness() *connlimit.Limit { return l.listeners["readiness"] }

// Metrics returns the limit of connections to the listener for metrics or operators.
func (l *Limits) Metrics() *connlimit.Limit { return l.listeners["metrics"] }

// Report sets gauges: by listener the open connections and, since the start, those that were closed in
// favour of others and those that were refused.
func (l *Limits) Report(scope tally.Scope) {
	for name, x := range l.listeners {
		s := scope.Tagged(map[string]string{"listener": name})
		closed, refused := x.Totals()
		s.Gauge("connections").Update(float64(x.Open()))
		s.Gauge("connections_closed").Update(float64(closed))
		s.Gauge("connections_refused").Update(float64(refused))
	}
}

func (l *Limits) add(listener string, n int) {
	x := connlimit.New(n)
	r := &reporter{log: l.log, listener: listener, limit: x}
	x.Observe(r.observe)
	l.listeners[listener] = x
}

// reporter logs the decisions about a listener.
type reporter struct {
	log      func(event string, fields map[string]any)
	listener string
	limit    *connlimit.Limit

	mu   sync.Mutex
	next time.Time // of the next line
}

func (r *reporter) observe(d connlimit.Decision) {
	now := time.Now()
	r.mu.Lock()
	due := !now.Before(r.next)
	if due {
		r.next = now.Add(lineInterval)
	}
	r.mu.Unlock()
	if !due {
		return
	}
	outcome := "closed"
	if d.Refused {
		outcome = "refused"
	}
	closed, refused := r.limit.Totals()
	r.log("connections limited", map[string]any{
		"listener": r.listener, "outcome": outcome, "address": d.Address, "waited_ms": d.Waited.Milliseconds(),
		"open": d.Open, "waiting": d.Waiting, "limit": d.Max, "closed": closed, "refused": refused,
	})
}
