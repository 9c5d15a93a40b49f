package relay

import (
	"net/http"
	"testing"
	"time"

	"cicadabeam/core/catalog"
	"cicadabeam/core/fleet"
	"cicadabeam/test/standin/backend"
)

// Guards against a sound server that one 421 takes out of use for good.
func TestServerThatAnswersUnderItsNameIsUsedAgain(t *testing.T) {
	h := newHarness(t)
	s := h.startServer("read", "a", backend.Misdirected(), backend.Respond(200, "ok"))
	h.checkResponse(h.send(http.MethodGet, "/read/1", nil), 503, "")
	time.Sleep(1100 * time.Millisecond)
	for range 3 {
		h.checkResponse(h.send(http.MethodGet, "/read/2", nil), 200, "ok")
	}
	h.checkRequestCount(s, 4)
}

// engineWithHealthPath is the test catalog with a health path for engines.
func (h *harness) engineWithHealthPath() {
	r := newRoute("report", catalog.ResumableStream, 5)
	r.Public, r.Timeout = true, longTimeout
	engine := &catalog.Engine{Slots: 12, KVCacheTokens: 88000}
	h.tracker.Update(catalog.New(catalog.Spec{
		Revision: 8, Routes: []catalog.Route{r}, Services: []catalog.Service{{Name: "report", HealthPath: healthPath, Engine: engine}},
		Limits: catalog.Limits{BodyBytes: 1 << 20},
	}), time.Hour)
}

// A stream whose first event is late moves if the server at the address says that it is another one,
// and not because an entry says so.
func TestLateStreamMovesIfServerAtAddressIsAnother(t *testing.T) {
	for name, x := range map[string]struct {
		named string
		moves bool
	}{"started again under another ID": {"successor", true}, "entry of another writer": {"first", false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.engineWithHealthPath()
			answer := make(chan struct{})
			step := func(c *backend.Conn, r *http.Request, body []byte) bool {
				if r.URL.Path == healthPath {
					return backend.WithHeader("X-Instance-Id: "+x.named, backend.Respond(200, "ok"))(c, r, body)
				}
				if r.URL.Path == "/v1/report" {
					return backend.Respond(200, `{"Queued":0,"Active":1,"Runs":[["late",100,0,5]]}`)(c, r, body)
				}
				if r.Header.Get("X-Expect-Instance") != "first" {
					return backend.WithHeader("X-Request-Id: "+r.Header.Get("X-Request-Id"), backend.Misdirected())(c, r, body)
				}
				<-answer
				return backend.Stream(3, 0, 0, nil)(c, r, body)
			}
			s, err := backend.Start(ownAddress(), step)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			first := fleet.Server{ID: "first", Service: "report", Address: s.Address(), DataCentre: "a", Version: "v1", Slots: 12, StartedMS: 1}
			h.fleet.Upsert(first)
			done := make(chan result)
			go func() {
				done <- h.send(http.MethodGet, "/report/1", func(r *http.Request) { r.Header.Set("X-Request-Id", "late"); r.Header.Set("X-Deadline-Ms", "6000") })
			}()
			time.Sleep(100 * time.Millisecond)
			successor := first
			successor.ID, successor.StartedMS = "successor", 2
			h.fleet.Upsert(successor)
			h.startServer("report", "a", backend.Stream(3, 0, 0, nil))
			time.AfterFunc(2*time.Second, func() { close(answer) })
			h.checkResponse(<-done, 200, eventText(1, 3))
			if moved := h.recorded("server started again", "server:first"); moved != x.moves {
				t.Errorf("the stream was moved: %v, want %v", moved, x.moves)
			}
		})
	}
}
