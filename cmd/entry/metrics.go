package entry

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	metricsPrefix  = "cicadabeam"
	reportInterval = 2 * time.Second
)

var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// metrics counts events and records their durations, by event name.
type metrics struct {
	scope      tally.Scope
	closer     io.Closer
	reporter   prometheus.Reporter
	mu         sync.Mutex
	counters   map[string]tally.Counter
	histograms map[string]tally.Histogram
	totals     map[string]int64 // counted so far by countTo
}

func newMetrics() *metrics {
	r := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: metricsPrefix, CachedReporter: r, Separator: prometheus.DefaultSeparator, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{scope: scope, closer: closer, reporter: r, counters: make(map[string]tally.Counter), histograms: make(map[string]tally.Histogram), totals: make(map[string]int64)}
}

func (m *metrics) close() { _ = m.closer.Close() }

func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

func eventLabel(event string) string { return strings.ReplaceAll(event, " ", "_") }

func (m *metrics) count(event string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, found := m.counters[event]
	if !found {
		c = m.scope.Tagged(map[string]string{"event": eventLabel(event)}).Counter("decisions")
		m.counters[event] = c
	}
	c.Inc(1)
}

// countDropped counts a log line of an event that was not written, because of a limit or of
// the output.
func (m *metrics) countDropped(event, reason string) {
	m.scope.Tagged(map[string]string{"event": eventLabel(event), "reason": reason}).Counter("log_lines_dropped").Inc(1)
}

func (m *metrics) observe(event string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, found := m.histograms[event]
	if !found {
		h = m.scope.Tagged(map[string]string{"event": eventLabel(event)}).Histogram("seconds", latencyBuckets)
		m.histograms[event] = h
	}
	h.RecordDuration(d)
}

// countTo raises counters to totals, by the value of a tag.
func (m *metrics) countTo(name, tag string, totals map[string]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for value, n := range totals {
		value = eventLabel(value)
		counted := m.totals[name+" "+value]
		m.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(n - counted)
		m.totals[name+" "+value] = n
	}
}

func (m *metrics) gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

func (m *metrics) serviceGauge(name, service string, value float64) {
	m.scope.Tagged(map[string]string{"service": service}).Gauge(name).Update(value)
}
