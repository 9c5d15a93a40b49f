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
	probeWait = 250 * time.Millisecond
	// lateFactor and lateSlack tell when a first event is late: after the time in which
	// it was expected, so many times over and so much longer.
	lateFactor = 1.5
	lateSlack  = 500 * time.Millisecond
	// reportFactor tells when an engine that gives connections is asked for its runs: so
	// many times later than a first event is late. Each question has its price.
	reportFactor = 2
	// reportWait bounds the engine's answer.
	reportWait = 400 * time.Millisecond
	// eventsLost is the number of events that an engine must have made of a run of which
	// none has arrived.
	eventsLost = 3
	// probePause is between two probes for one leg.
	probePause = 700 * time.Millisecond
)

// waits holds the legs that wait for a first event. A server that reads a long
// prompt is as silent as one that is gone; when there is reason to doubt, it is
// asked for a connection.
type waits struct {
	h       *Handler
	mu      sync.Mutex
	legs    map[*leg]*time.Timer
	probing map[string]bool
}

func newWaits(h *Handler) *waits {
	return &waits{h: h, legs: make(map[*leg]*time.Timer), probing: make(map[string]bool)}
}

// watch adds a leg, and returns what takes it away again.
func (w *waits) watch(l *leg) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := lateAfter(l.member.ExpectedLatency(l.query))
	alone := l.query
	alone.PromptTokens = 0 // the server's work has them already
	l.overdue = l.started.Add(reportFactor * lateAfter(l.member.ExpectedLatency(alone)))
	w.legs[l] = time.AfterFunc(late, func() { w.late(l) })
	return func() { w.forget(l) }
}

func lateAfter(expected time.Duration) time.Duration {
	return time.Duration(lateFactor*float64(expected)) + lateSlack
}

func (w *waits) forget(l *leg) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.legs[l]; t != nil {
		t.Stop()
	}
	delete(w.legs, l)
}

// late probes the server of a leg whose first event is late, again and again.
func (w *waits) late(l *leg) {
	w.mu.Lock()
	t, waiting := w.legs[l]
	if waiting {
		t.Reset(probePause)
	}
	w.mu.Unlock()
	if !waiting {
		return
	}
	if l.member.Superseded(time.Now()) {
		w.h.Recorder.Record("server started again", Fields{"server": l.member.ID(), "address": l.member.Address()})
		l.conn.Interrupt()
		return
	}
	w.probe(l.member)
}

// doubt probes the servers of a data centre that legs wait for.
func (w *waits) doubt(lost *fleet.Member) {
	w.mu.Lock()
	members := make(map[string]*fleet.Member)
	for l := range w.legs {
		if l.member.DataCentre() == lost.DataCentre() {
			members[l.member.ID()] = l.member
		}
	}
	w.mu.Unlock()
	for _, m := range members {
		go w.probe(m)
	}
}

// probe asks a server for a connection. If it doesn't give one, the legs that wait
// for it are ended. Otherwise it is asked what became of them.
func (w *waits) probe(m *fleet.Member) {
	w.mu.Lock()
	busy := w.probing[m.ID()]
	w.probing[m.ID()] = true
	w.mu.Unlock()
	if busy {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(probeWait))
	c, err := w.h.Pool.Get(ctx, m.Address(), http1.Fresh)
	cancel()
	w.mu.Lock()
	delete(w.probing, m.ID())
	w.mu.Unlock()
	if err == nil {
		m.RecordContact(time.Now())
		if w.overdue(m, time.Now()) {
			w.askRuns(m, c)
			return
		}
		w.h.Pool.Put(c)
		return
	}
	w.h.Recorder.Record("server silent", Fields{"server": m.ID(), "address": m.Address(), "error": err.Error()})
	if w.h.Fleet.RecordLoss(m, time.Now()) {
		w.h.Urgent()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for l := range w.legs {
		if l.member == m {
			l.conn.Interrupt()
		}
	}
}

// overdue tells whether a leg has waited for a server for much longer than expected.
func (w *waits) overdue(m *fleet.Member, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for l := range w.legs {
		if l.member == m && now.After(l.overdue) {
			return true
		}
	}
	return false
}

// askRuns asks an engine for its runs. Legs of which it has made events, or that it
// doesn't know though it does nothing, wait for an answer that was lost.
func (w *waits) askRuns(m *fleet.Member, c *http1.Conn) {
	body, err := question(c, w.h.Dialect.ReportRequest(), time.Now().Add(reportWait))
	if err != nil {
		c.Close()
		w.h.Recorder.Record("no report", Fields{"server": m.ID(), "error": err.Error()})
		return
	}
	w.h.Pool.Put(c)
	r, err := w.h.Dialect.Report(body)
	if err != nil {
		w.h.Recorder.Record("no report", Fields{"server": m.ID(), "error": err.Error()})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for l := range w.legs {
		if l.member != m || time.Now().Before(l.overdue) {
			continue
		}
		events, runs := r.Events[l.request]
		if events >= eventsLost || !runs && r.Queued == 0 && r.Active == 0 {
			w.h.Recorder.Record("answer lost", Fields{"request": l.request, "server": m.ID(), "events": events, "ms": ms(time.Since(l.started))})
			l.answerLost.Store(true)
			l.conn.Interrupt()
		}
	}
}

// lost notes a server that could not be reached or whose connection ended, and
// doubts its neighbours.
func (h *Handler) lost(m *fleet.Member, now time.Time) {
	if h.Fleet.RecordLoss(m, now) {
		h.Urgent()
	}
	h.waits.doubt(m)
}

// HeardLost takes the servers that another node has lost, and doubts their
// neighbours.
func (h *Handler) HeardLost(losses map[string]time.Duration, now time.Time) {
	doubted := make(map[string]bool)
	for _, m := range h.Fleet.MergeLosses(losses, now) {
		if !doubted[m.DataCentre()] {
			doubted[m.DataCentre()] = true
			h.waits.doubt(m)
		}
	}
}
