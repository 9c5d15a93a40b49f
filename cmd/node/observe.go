package node

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"cicadabeam/core/answer"
	"cicadabeam/core/fault"
	"cicadabeam/core/generation"
	"cicadabeam/io/caller"
	"cicadabeam/io/serverpath"
)

const (
	metricsPrefix         = "cicadabeam"
	metricsReportInterval = time.Second
)

// metrics exports the node's metrics, which docs/OPERATIONS.md lists by name.
type metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

func newMetrics() *metrics {
	r := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: metricsPrefix, CachedReporter: r, Separator: prometheus.DefaultSeparator, OmitCardinalityMetrics: true,
	}, metricsReportInterval)
	return &metrics{scope: scope, closer: closer, reporter: r}
}

func (m *metrics) close() { _ = m.closer.Close() }

func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

func (m *metrics) setRevision(r uint64) { m.scope.Gauge("configuration_revision").Update(float64(r)) }

func (m *metrics) setEra(era uint64) { m.scope.Gauge("store_era").Update(float64(era)) }

func (m *metrics) increment(name, key, value string) {
	m.scope.Tagged(map[string]string{key: value}).Counter(name).Inc(1)
}

var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, 890 * time.Millisecond, 2 * time.Second, 3 * time.Second, 10 * time.Second, time.Minute,
}

func (m *metrics) recordLatency(name, service string, d time.Duration) {
	m.scope.Tagged(map[string]string{"service": service}).Histogram(name, latencyBuckets).RecordDuration(d)
}

// updateGauges sets the gauges to their current values.
func (n *Node) updateGauges() {
	c := n.holder.Counts()
	s := n.metrics.scope
	s.Gauge("buffered_bytes").Update(float64(n.buffers.Held()))
	for kind, refusals := range n.buffers.Refusals() {
		s.Tagged(map[string]string{"kind": strings.ReplaceAll(kind, " ", "_")}).Gauge("buffer_refusals").Update(float64(refusals))
	}
	n.connections.Report(s)
	s.Gauge("answers_held").Update(float64(c.Held))
	s.Gauge("answers_copies").Update(float64(c.Copies))
	s.Gauge("answers_producing").Update(float64(c.Producing))
	s.Gauge("answers_taken_over").Update(float64(c.Takeovers))
	s.Gauge("answers_unprotected").Update(float64(n.replicator.Unprotected()))
	s.Gauge("requests_running").Update(float64(n.concurrencyLimiter.Running()))
	s.Gauge("requests_waiting").Update(float64(n.router.Waiting()))
	s.Gauge("calls_running").Update(float64(n.calls.Running()))
	s.Gauge("quarantined").Update(float64(n.quarantined(time.Now())))
	s.Gauge("retries_denied").Update(float64(n.runner.RetryBudget().Denied()))
	s.Gauge("peer_sent_bytes").Update(float64(n.traffic.Sent()))
	s.Gauge("peer_received_bytes").Update(float64(n.traffic.Received()))
	s.Gauge("platform_reads").Update(float64(n.platform.Reads()))
	s.Gauge("platform_writes").Update(float64(n.platform.Writes()))
}

// RequestEnded implements caller.Observer.
func (n *Node) RequestEnded(s caller.RequestSummary) {
	n.recordCallDuration(s, time.Now())
	f := log.Fields{
		"request": s.RequestID, "organisation": s.Organisation, "service": s.Service, "method": s.Method, "path": s.Path,
		"status": s.Status, "ms": time.Since(s.StartedAt).Milliseconds(), "pieces": s.Pieces,
	}
	outcome := "ok"
	if !s.FirstTokenAt.IsZero() {
		n.metrics.recordLatency("first_token_seconds", s.Service, s.FirstTokenAt.Sub(s.StartedAt))
	}
	if s.Err != nil {
		x := fault.From(s.Err)
		outcome = string(x.Code())
		f["step"], f["peer"], f["ran"], f["code"], f["error"] = x.Step(), x.Peer(), x.Ran(), x.Code(), s.Err.Error()
	}
	n.metrics.increment("requests", "outcome", outcome)
	n.log.WithFields(f).Info("request ended")
}

// attemptFields returns the log fields that identify an attempt to produce an answer.
func attemptFields(j generation.Job, server string, number int) log.Fields {
	h := j.Answer.Header()
	return log.Fields{"request": h.ID, "organisation": h.Organisation, "service": h.Service, "server": server, "attempt": number}
}

// AttemptStarted implements generation.Observer.
func (n *Node) AttemptStarted(j generation.Job, server string, number int) {
	n.metrics.increment("attempts", "service", j.Service.Name())
	n.log.WithFields(attemptFields(j, server, number)).Debug("attempt started")
}

// AttemptEnded implements generation.Observer.
func (n *Node) AttemptEnded(j generation.Job, server string, number int, err error) {
	if err == nil {
		return
	}
	x := fault.From(err)
	n.metrics.increment("attempts_failed", "service", j.Service.Name())
	f := attemptFields(j, server, number)
	f["step"], f["peer"], f["error"] = x.Step(), x.Peer(), err.Error()
	n.log.WithFields(f).Warn("attempt failed")
}

// recordLateEnd records that an engine learnt late of the end of an attempt, or not at all.
func (n *Node) recordLateEnd(server string, reason serverpath.Reason, lasted time.Duration) {
	n.log.WithFields(log.Fields{"address": server, "reason": string(reason), "ms": lasted.Milliseconds()}).Info("run ended late")
}

// AnswerResumed implements generation.Observer.
func (n *Node) AnswerResumed(j generation.Job, server string, latency time.Duration) {
	n.metrics.recordLatency("resume_seconds", j.Service.Name(), latency)
	f := attemptFields(j, server, 0)
	delete(f, "attempt")
	f["ms"] = latency.Milliseconds()
	n.log.WithFields(f).Info("answer resumed")
}

// AnswerEnded implements generation.Observer.
func (n *Node) AnswerEnded(j generation.Job, f answer.Finish) {
	x := attemptFields(j, f.Peer, 0)
	delete(x, "attempt")
	x["reason"] = f.Reason
	if f.Reason == answer.ReasonFailed {
		x["code"], x["step"] = f.Code, f.Step
	}
	n.log.WithFields(x).Info("answer ended")
}
