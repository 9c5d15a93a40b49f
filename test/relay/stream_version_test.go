package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/core/streamversion"
	"cicadabeam/io/relay"
	"cicadabeam/test/standin/backend"
)

// newVersionedHarness returns a harness with a server of each of two software versions.
func newVersionedHarness(t *testing.T) (*harness, map[string]*backend.Server) {
	x := streamversion.New(nil)
	h := newHarnessWith(t, func(d *relay.Dependencies) { d.StreamVersions = x })
	servers := make(map[string]*backend.Server)
	for i, version := range []string{"v1", "v1.1"} {
		s, err := backend.Start(ownAddress(), backend.StreamOf(version, streamEvents, 0, 0, nil))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		h.fleet.Upsert(fleet.Server{ID: s.Address(), Service: "report", Address: s.Address(), DataCentre: []string{"a", "b"}[i], Version: version, Slots: 6})
		x.Observe("report", version, time.Now())
		servers[version] = s
	}
	return h, servers
}

func resume(id string, values ...string) func(r *http.Request) {
	return func(r *http.Request) {
		setTokenUsage(r)
		r.Header.Set("X-Request-Id", id)
		r.Header["Resumes"] = values
		r.Header.Set("Last-Event-Id", "3")
	}
}

// Guards against streams that go on at a version that nobody knows to have begun them.
func TestStreamOfUnknownSoftwareVersionIsRefusedAtOnce(t *testing.T) {
	h, servers := newVersionedHarness(t)
	first := h.send(http.MethodPost, "/report/1", func(r *http.Request) { setTokenUsage(r); r.Header.Set("X-Request-Id", "begun") })
	h.checkResponse(first, 200, "")
	for name, edit := range map[string]func(r *http.Request){
		"no request":                       resume("u1"),
		"an unknown request":               resume("u2", "other"),
		"two different requests":           resume("u3", "begun", "other"),
		"a long text":                      resume("u4", strings.Repeat("x", 4000)),
		"a request of other organisations": func(r *http.Request) { resume("u5", "begun")(r); r.Header.Set("Authorization", "Bearer "+priorityKey) },
	} {
		began := time.Now()
		got := h.send(http.MethodPost, "/report/1", edit)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "stream_version_unknown") || time.Since(began) > 500*time.Millisecond {
			t.Errorf("%s: got status %d, Retry-After %q, %s after %v", name, got.status, got.header.Get("Retry-After"), got.body, time.Since(began))
		}
	}
	got := h.send(http.MethodPost, "/report/1", resume("again", "begun", "begun"))
	h.checkResponse(got, 200, "")
	if strings.Contains(first.body, "v1.1-") != strings.Contains(got.body, "v1.1-") {
		t.Error("the stream went on at another version")
	}
	if n := len(servers["v1"].Requests()) + len(servers["v1.1"].Requests()); n != 2 {
		t.Errorf("the servers got %d requests, want 2", n)
	}
}

// Guards against callers that wait for a server of the version while none takes requests.
func TestStreamWithoutServerOfItsVersionIsRefusedAtOnce(t *testing.T) {
	h, servers := newVersionedHarness(t)
	h.checkResponse(h.send(http.MethodPost, "/report/1", func(r *http.Request) { setTokenUsage(r); r.Header.Set("X-Request-Id", "begun") }), 200, "")
	for version, s := range servers {
		if len(s.Requests()) > 0 {
			h.fleet.Deregister(s.Address(), time.Now())
			s.Close()
			t.Logf("the servers of %s are gone", version)
		}
	}
	got := h.send(http.MethodPost, "/report/1", resume("again", "begun"))
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got %s", fmt.Sprint(got))
	}
}
