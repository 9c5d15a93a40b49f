package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cicadabeam/core/admission"
	"cicadabeam/core/catalog"
	"cicadabeam/core/fleet"
	"cicadabeam/io/relay"
	"cicadabeam/test/standin/backend"
)

// newShortHarness returns a harness with an engine of one slot, and routes to it with several goals.
func newShortHarness(t *testing.T, events int) (*harness, *admission.Gates, *backend.Server) {
	gates := admission.NewGates()
	h := newHarnessWith(t, func(d *relay.Dependencies) { d.Admission = gates })
	urgent, report, brief := newRoute("urgent", catalog.ResumableStream, 2), newRoute("report", catalog.ResumableStream, 2), newRoute("brief", catalog.ResumableStream, 2)
	urgent.LatencyGoal, report.LatencyGoal, brief.LatencyGoal = 200*time.Millisecond, 4*time.Second, 350*time.Millisecond
	urgent.Priority, report.Priority, brief.Priority = 0, 2, 2
	routes := []catalog.Route{urgent, report, brief}
	for i := range routes {
		routes[i].Timeout, routes[i].Targets[0].Service = longTimeout, "report"
	}
	h.tracker.Update(catalog.New(catalog.Spec{
		Revision: 8, RequireKeys: true, Organisations: map[string]catalog.Organisation{testKey: {Name: "ndox", Priority: -1}}, Routes: routes,
		Services: []catalog.Service{{Name: "report", Engine: &catalog.Engine{Slots: 1, KVCacheTokens: 88000}}},
	}), time.Hour)
	s := h.startServer("report", "a", backend.Stream(events, 0, 50*time.Millisecond, nil))
	h.fleet.Upsert(fleet.Server{ID: s.Address(), Service: "report", Address: s.Address(), DataCentre: "a", Version: "v1", Slots: 1})
	return h, gates, s
}

func shortPrompt(r *http.Request) {
	r.Header.Set("X-Token-Usage", "800,100")
	r.Header.Set("X-Deadline-Ms", "6000")
}

// Guards against requests that are sent to an engine without room, are refused although they could
// begin in time, or are held although they can't.
func TestStreamWaitsForRoomOrIsRefused(t *testing.T) {
	h, gates, s := newShortHarness(t, 30)
	first := make(chan result, 1)
	go func() { first <- h.send(http.MethodPost, "/report/1", shortPrompt) }()
	await(t, func() bool { return len(s.Requests()) == 1 })
	second := make(chan result, 1)
	go func() { second <- h.send(http.MethodPost, "/report/2", shortPrompt) }()
	await(t, func() bool { return gates.Waiting() == 1 })
	began := time.Now()
	got := h.send(http.MethodPost, "/brief/1", shortPrompt)
	h.checkResponse(got, http.StatusServiceUnavailable, "")
	if got.header.Get("Retry-After") == "" || time.Since(began) > time.Second {
		t.Errorf("refused after %v with Retry-After %q", time.Since(began), got.header.Get("Retry-After"))
	}
	h.checkRequestCount(s, 1)
	h.checkResponse(<-first, http.StatusOK, eventText(1, 30))
	h.checkResponse(<-second, http.StatusOK, eventText(1, 30))
	h.checkRequestCount(s, 2)
	if n := gates.Totals(); n["waited"] != 1 || n["refused"] != 1 {
		t.Errorf("totals %v", n)
	}
}

// Guards against a place in the queue that is kept for a caller that has left, and against its request
// being sent.
func TestCallerThatLeavesWaitsNoLonger(t *testing.T) {
	h, gates, s := newShortHarness(t, 30)
	go h.send(http.MethodPost, "/report/1", shortPrompt)
	await(t, func() bool { return len(s.Requests()) == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	go roundTrip(h.newRequest(http.MethodPost, "/report/2", shortPrompt).WithContext(ctx))
	await(t, func() bool { return gates.Waiting() == 1 })
	cancel()
	await(t, func() bool { return gates.Waiting() == 0 })
	h.checkRequestCount(s, 1)
}

// await waits until a condition holds.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition does not hold after 2 s")
		}
	}
}
