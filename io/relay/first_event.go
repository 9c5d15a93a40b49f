package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fleet"
	"cicadabeam/io/http1"
)

const (
	// probeTimeout limits the time to connect to a server that is probed.
	probeTimeout = 250 * time.Millisecond
	// lateFactor and lateSlack define when a first event is late: after lateFactor
	// times the expected latency plus lateSlack.
	lateFactor = 1.5
	lateSlack  = 500 * time.Millisecond
	// reportDueFactor defines when an engine that accepts connections is queried for
	// its runs: after this multiple of the time at which a first event is late. The
	// query is delayed further than a probe because it has a cost.
	reportDueFactor = 2
	// reportTimeout limits the time of such a query.
	reportTimeout = 400 * time.Millisecond
	// lostEventsThreshold is the number of events that an engine must have produced
	// for a run of which none has arrived, for the response to count as lost.
	lostEventsThreshold = 3
	// probeInterval is the time between two probes for the same attempt.
	probeInterval = 700 * time.Millisecond
)

// firstEventMonitor monitors stream attempts that wait for their first event. A server
// that processes a long prompt sends as little as one that is gone. Late first events
// and losses of servers in the same data centre therefore cause a probe.
type firstEventMonitor struct {
	h       *Handler
	mu      sync.Mutex
	pending map[*streamAttempt]*time.Timer
	probing map[string]bool
}

func newFirstEventMonitor(h *Handler) *firstEventMonitor {
	return &firstEventMonitor{h: h, pending: make(map[*streamAttempt]*time.Timer), probing: make(map[string]bool)}
}

// watch adds an attempt and returns a function that removes it.
func (f *firstEventMonitor) watch(a *streamAttempt) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := lateThreshold(a.member.ExpectedLatency(a.query))
	withoutPrompt := a.query
	withoutPrompt.PromptTokens = 0 // already included in the server's work
	a.reportDue = a.started.Add(reportDueFactor * lateThreshold(a.member.ExpectedLatency(withoutPrompt)))
	f.pending[a] = time.AfterFunc(late, func() { f.handleLate(a) })
	return func() { f.unwatch(a) }
}

func lateThreshold(expected time.Duration) time.Duration {
	return time.Duration(lateFactor*float64(expected)) + lateSlack
}

func (f *firstEventMonitor) unwatch(a *streamAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.pending[a]; t != nil {
		t.Stop()
	}
	delete(f.pending, a)
}

// handleLate probes the server of an attempt whose first event is late, and repeats this
// every probeInterval.
func (f *firstEventMonitor) handleLate(a *streamAttempt) {
	now := time.Now()
	superseded := a.member.Superseded(now) || a.member.Contested(now) && f.h.addressTaken(a.member)
	f.mu.Lock()
	t, waiting := f.pending[a]
	if waiting {
		t.Reset(probeInterval)
	}
	if waiting && superseded {
		a.conn.Interrupt()
	}
	f.mu.Unlock()
	if !waiting {
		return
	}
	if superseded {
		f.h.Recorder.Record("server started again", Fields{"server": a.member.ID(), "address": a.member.Address()})
		return
	}
	_ = f.probe(a.member)
}

// probeDataCentre probes those servers in the data centre of a lost server that attempts
// are waiting for.
func (f *firstEventMonitor) probeDataCentre(lost *fleet.Member) {
	f.mu.Lock()
	members := make(map[string]*fleet.Member)
	for a := range f.pending {
		if a.member.DataCentre() == lost.DataCentre() {
			members[a.member.ID()] = a.member
		}
	}
	f.mu.Unlock()
	for _, m := range members {
		go func() { _ = f.probe(m) }()
	}
}

// probeStalled probes a server that has stopped sending events and, if it can't be reached,
// the others of its data centre.
func (f *firstEventMonitor) probeStalled(m *fleet.Member) {
	if !f.probe(m) {
		f.probeDataCentre(m)
	}
}

// probe tries to connect to a server and reports whether it succeeded. On failure it marks the
// attempts that are waiting for the server as suspected. On success it queries the server for
// its runs if a report is due. A server that wants no requests is not probed, and counts as there.
func (f *firstEventMonitor) probe(m *fleet.Member) bool {
	f.mu.Lock()
	alreadyProbing := f.probing[m.ID()]
	f.probing[m.ID()] = true
	f.mu.Unlock()
	if alreadyProbing {
		return true
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(probeTimeout))
	c, err := f.h.connectForQuery(ctx, m)
	cancel()
	f.mu.Lock()
	delete(f.probing, m.ID())
	f.mu.Unlock()
	if errors.Is(err, errDeclines) {
		return true
	}
	if err == nil {
		m.RecordContact(time.Now())
		if f.reportDue(m, time.Now()) && f.h.Fleet.AllowQuery(m, f.h.NodeCount(), time.Now()) {
			f.queryRuns(m, c)
			return true
		}
		f.h.Pool.Put(c)
		return true
	}
	f.h.Recorder.Record("server silent", Fields{"server": m.ID(), "address": m.Address(), "error": err.Error()})
	if f.h.Fleet.RecordLoss(m, time.Now()) {
		f.h.NotifyPeers()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.pending {
		if a.member == m {
			a.suspect()
		}
	}
	return false
}

// reportDue reports whether an attempt has been waiting for the server for so long
// that the server is queried for its runs.
func (f *firstEventMonitor) reportDue(m *fleet.Member, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.pending {
		if a.member == m && now.After(a.reportDue) {
			return true
		}
	}
	return false
}

// queryRuns queries an engine for its runs. The response of an attempt counts as lost
// if the engine has produced at least lostEventsThreshold events for it, or if the
// engine is idle and does not know it.
func (f *firstEventMonitor) queryRuns(m *fleet.Member, c *http1.Conn) {
	body, err := f.h.queryEngine(c, f.h.Codec.ReportRequest(), time.Now().Add(reportTimeout))
	if err != nil {
		c.Close()
		f.h.Recorder.Record("no report", Fields{"server": m.ID(), "error": err.Error()})
		return
	}
	f.h.Pool.Put(c)
	r, err := f.h.Codec.DecodeReport(body)
	if err != nil {
		f.h.Recorder.Record("no report", Fields{"server": m.ID(), "error": err.Error()})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.pending {
		if a.member != m || time.Now().Before(a.reportDue) {
			continue
		}
		events, known := r.EventsByRequest[a.requestID]
		if events >= lostEventsThreshold || !known && r.Queued == 0 && r.Active == 0 {
			f.h.Recorder.Record("answer lost", Fields{"request": a.requestID, "server": m.ID(), "events": events, "ms": ms(time.Since(a.started))})
			a.responseLost.Store(true)
			a.conn.Interrupt()
		}
	}
}

// recordLoss records that a server could not be reached or that its connection ended,
// and probes those servers of its data centre that attempts are waiting for.
func (h *Handler) recordLoss(m *fleet.Member, now time.Time) {
	if h.Fleet.RecordLoss(m, now) {
		h.NotifyPeers()
	}
	h.firstEventMonitor.probeDataCentre(m)
}

// MergeLosses records the losses of servers reported by another node and, in each data
// centre with a new loss, probes those servers that attempts are waiting for.
func (h *Handler) MergeLosses(losses map[string]time.Duration, now time.Time) {
	probed := make(map[string]bool)
	for _, m := range h.Fleet.MergeLosses(losses, now) {
		if !probed[m.DataCentre()] {
			probed[m.DataCentre()] = true
			h.firstEventMonitor.probeDataCentre(m)
		}
	}
}
