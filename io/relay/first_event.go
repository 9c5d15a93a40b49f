package relay

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/io/http1"
)

const (
	// probeWait bounds the connection by which a silent server is asked whether it is
	// there.
	probeTimeout = 250 * time.Millisecond
	// lateFactor and lateSlack tell when a first event is late: after the time in which
	// it was expected, so many times over and so much longer.
	lateFactor = 1.5
	lateSlack  = 500 * time.Millisecond
	// reportFactor tells when an engine that gives connections is asked for its runs: so
	// many times later than a first event is late. Each question has its price.
	reportDueFactor = 2
	// reportWait bounds the engine's answer.
	reportTimeout = 400 * time.Millisecond
	// eventsLost is the number of events that an engine must have made of a run of which
	// none has arrived.
	lostEventsThreshold = 3
	// probePause is between two probes for one leg.
	probeInterval = 700 * time.Millisecond
)

// waits holds the legs that wait for a first event. A server that reads a long
// prompt is as silent as one that is gone; when there is reason to doubt, it is
// asked for a connection.
type firstEventMonitor struct {
	h       *Handler
	mu      sync.Mutex
	pending map[*streamAttempt]*time.Timer
	probing map[string]bool
}

func newFirstEventMonitor(h *Handler) *firstEventMonitor {
	return &firstEventMonitor{h: h, pending: make(map[*streamAttempt]*time.Timer), probing: make(map[string]bool)}
}

// watch adds a leg, and returns what takes it away again.
func (f *firstEventMonitor) watch(a *streamAttempt) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := lateThreshold(a.member.ExpectedLatency(a.query))
	withoutPrompt := a.query
	withoutPrompt.PromptTokens = 0 // the server's work has them already
	a.reportDue = a.started.Add(reportDueFactor * lateThreshold(a.member.ExpectedLatency(withoutPrompt)))
	f.pending[a] = time.AfterFunc(late, func() { f.late(a) })
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

// late probes the server of a leg whose first event is late, again and again.
func (f *firstEventMonitor) late(a *streamAttempt) {
	f.mu.Lock()
	t, waiting := f.pending[a]
	if waiting {
		t.Reset(probeInterval)
	}
	f.mu.Unlock()
	if !waiting {
		return
	}
	if a.member.Superseded(time.Now()) {
		f.h.Recorder.Record("server started again", Fields{"server": a.member.ID(), "address": a.member.Address()})
		a.conn.Interrupt()
		return
	}
	f.probe(a.member)
}

// doubt probes the servers of a data centre that legs wait for.
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
		go f.probe(m)
	}
}

// probe asks a server for a connection. If it doesn't give one, the legs that wait
// for it are ended. Otherwise it is asked what became of them.
func (f *firstEventMonitor) probe(m *fleet.Member) {
	f.mu.Lock()
	alreadyProbing := f.probing[m.ID()]
	f.probing[m.ID()] = true
	f.mu.Unlock()
	if alreadyProbing {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(probeTimeout))
	c, err := f.h.Pool.Get(ctx, m.Address(), http1.Fresh)
	cancel()
	f.mu.Lock()
	delete(f.probing, m.ID())
	f.mu.Unlock()
	if err == nil {
		m.RecordContact(time.Now())
		if f.reportDue(m, time.Now()) {
			f.queryRuns(m, c)
			return
		}
		f.h.Pool.Put(c)
		return
	}
	f.h.Recorder.Record("server silent", Fields{"server": m.ID(), "address": m.Address(), "error": err.Error()})
	if f.h.Fleet.RecordLoss(m, time.Now()) {
		f.h.Urgent()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.pending {
		if a.member == m {
			a.conn.Interrupt()
		}
	}
}

// overdue tells whether a leg has waited for a server for much longer than expected.
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

// askRuns asks an engine for its runs. Legs of which it has made events, or that it
// doesn't know though it does nothing, wait for an answer that was lost.
func (f *firstEventMonitor) queryRuns(m *fleet.Member, c *http1.Conn) {
	body, err := queryEngine(c, f.h.Dialect.ReportRequest(), time.Now().Add(reportTimeout))
	if err != nil {
		c.Close()
		f.h.Recorder.Record("no report", Fields{"server": m.ID(), "error": err.Error()})
		return
	}
	f.h.Pool.Put(c)
	r, err := f.h.Dialect.Report(body)
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
		events, known := r.Events[a.requestID]
		if events >= lostEventsThreshold || !known && r.Queued == 0 && r.Active == 0 {
			f.h.Recorder.Record("answer lost", Fields{"request": a.requestID, "server": m.ID(), "events": events, "ms": ms(time.Since(a.started))})
			a.responseLost.Store(true)
			a.conn.Interrupt()
		}
	}
}

// lost notes a server that could not be reached or whose connection ended, and
// doubts its neighbours.
func (h *Handler) recordLoss(m *fleet.Member, now time.Time) {
	if h.Fleet.RecordLoss(m, now) {
		h.Urgent()
	}
	h.firstEventMonitor.probeDataCentre(m)
}

// HeardLost takes the servers that another node has lost, and doubts their
// neighbours.
func (h *Handler) HeardLost(losses map[string]time.Duration, now time.Time) {
	probed := make(map[string]bool)
	for _, m := range h.Fleet.MergeLosses(losses, now) {
		if !probed[m.DataCentre()] {
			probed[m.DataCentre()] = true
			h.firstEventMonitor.probeDataCentre(m)
		}
	}
}
