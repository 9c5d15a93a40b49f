package relay

import (
	"net/http"
	"testing"
	"time"

	"cicadabeam/core/catalog"
	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/backend"
)

// Guards against values of a request in progress that are looked up again: neither its route,
// service, attempts and time limit nor its key are those of a newer configuration.
func TestConfigurationThatChangesEndsNoRequest(t *testing.T) {
	const last = 20
	ok := backend.Delay(300*time.Millisecond, backend.Respond(200, "ok"))
	fails := backend.Delay(300*time.Millisecond, backend.CloseConnection())
	shorter := newRoute("other", catalog.Idempotent, 1)
	shorter.Prefix, shorter.Timeout = "/", 100*time.Millisecond
	for name, x := range map[string]struct {
		path, body    string
		first, second backend.Step
		requests      int // at the second server
	}{
		"purchase":       {"/buy/1", "ok", ok, ok, 0},
		"read":           {"/read/1", "ok", ok, ok, 1},
		"retried read":   {"/read/1", "ok", fails, backend.Respond(200, "ok"), 1},
		"stream":         {"/report/1", eventText(1, last), backend.Stream(last, 0, 25*time.Millisecond, nil), backend.Stream(last, 0, 0, nil), 0},
		"resumed stream": {"/report/1", eventText(1, last), backend.Stream(last, 12, 25*time.Millisecond, backend.CloseConnection()), backend.Stream(last, 0, 0, nil), 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			service := map[byte]string{'b': "buy", 'r': "read"}[x.path[1]]
			if x.body != "ok" {
				service = "report"
			}
			first := h.startServer(service, "a", x.first)
			second := h.startServer(service, "b", x.second)
			done := make(chan result, 1)
			go func() { done <- h.send(http.MethodPost, x.path, setTokenUsage) }()
			if !cluster.Await(time.Second, func() bool { return len(first.Requests()) == 1 }) {
				t.Fatal("the first server got no request")
			}
			h.tracker.Update(catalog.New(catalog.Spec{
				Revision: 8, RequireKeys: true, Organisations: map[string]catalog.Organisation{},
				Limits: catalog.Limits{BodyBytes: 1}, Routes: []catalog.Route{shorter}, Services: []catalog.Service{{Name: "other"}},
			}), time.Hour)
			h.checkResponse(h.send(http.MethodPost, x.path, setTokenUsage), 401, "")
			h.checkResponse(<-done, 200, x.body)
			h.checkRequestCount(second, x.requests)
			for _, r := range second.Requests() {
				if got := r.Header.Get("X-Tenant"); got != "ndox" {
					t.Errorf("the second server was sent organisation %q, want that of the admission", got)
				}
			}
		})
	}
}
