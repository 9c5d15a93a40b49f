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
	late := time.Duration(lateFactor*float64(l.member.Expected(l.query))) + lateSlack
	w.legs[l] = time.AfterFunc(late, func() { w.late(l) })
	return func() { w.forget(l) }
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
	if waiting {
		w.probe(l.member)
	}
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
// for it are ended.
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
		m.Heard(time.Now())
		w.h.Pool.Put(c)
		return
	}
	w.h.Recorder.Record("server silent", Fields{"server": m.ID(), "address": m.Address(), "error": err.Error()})
	if w.h.Fleet.Lost(m, time.Now()) {
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

// lost notes a server that could not be reached or whose connection ended, and
// doubts its neighbours.
func (h *Handler) lost(m *fleet.Member, now time.Time) {
	if h.Fleet.Lost(m, now) {
		h.Urgent()
	}
	h.waits.doubt(m)
}

// HeardLost takes the servers that another node has lost, and doubts their
// neighbours.
func (h *Handler) HeardLost(losses map[string]time.Duration, now time.Time) {
	doubted := make(map[string]bool)
	for _, m := range h.Fleet.HeardLost(losses, now) {
		if !doubted[m.DataCentre()] {
			doubted[m.DataCentre()] = true
			h.waits.doubt(m)
		}
	}
}
