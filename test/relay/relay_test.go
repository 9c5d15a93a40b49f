// Package relay tests how requests are passed on, with the platform's headers and
// scripted backend servers, in one process.
package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/core/catalog"
	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/retrybudget"
	"cicadabeam/io/http1"
	"cicadabeam/io/relay"
	"cicadabeam/platform"
	"cicadabeam/test/standin/backend"
)

// bench is a relay before scripted servers.
type bench struct {
	t       testing.TB
	holder  *freshness.Tracker
	fleet   *fleet.Fleet
	handler *relay.Handler
	front   *httptest.Server
	mu      sync.Mutex
	uptime  time.Duration
	events  []string
	pulse   freshness.StallDetector
}

func (b *bench) Record(event string, f relay.Fields) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, fmt.Sprint(event, " ", f))
}

func (b *bench) setUptime(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.uptime = d
}

const (
	testKey     = "key-of-ndox"
	urgentKey   = "key-of-forja"
	testTimeout = 2 * time.Second
	longTimeout = 6 * time.Second
)

// route is a route of the test catalog: its prefix is its name.
func route(name string, k catalog.Kind, attempts int) catalog.Route {
	return catalog.Route{
		Name: name, Host: "test.example", Prefix: "/" + name + "/", Kind: k, Timeout: testTimeout, LatencyGoal: 250 * time.Millisecond,
		Attempts: attempts, Targets: []catalog.Target{{Service: name, Weight: 1}},
	}
}

func testCatalog(revision uint64) *catalog.Catalog {
	engine := &catalog.Engine{Slots: 12, KVCacheTokens: 88000, KVCacheBackups: true, BackupTTL: 4 * time.Second}
	public := route("public", catalog.Idempotent, 2)
	public.Public = true
	long := route("long", catalog.ResumableStream, 5)
	long.Priority = 3
	long.Timeout, long.Targets[0].Service = longTimeout, "report"
	return catalog.New(catalog.Spec{
		Revision: revision, RequireKeys: true, Organisations: map[string]catalog.Organisation{
			testKey: {Name: "ndox", Priority: -1}, urgentKey: {Name: "forja", Priority: 1},
		},
		Limits: catalog.Limits{BodyBytes: 1 << 20},
		Routes: []catalog.Route{
			public, long, route("read", catalog.Idempotent, 2), route("buy", catalog.AtMostOnce, 1),
			route("report", catalog.ResumableStream, 5), route("once", catalog.PlainStream, 5),
		},
		Services: []catalog.Service{{Name: "public"}, {Name: "read"}, {Name: "buy"}, {Name: "report", Engine: engine}, {Name: "once", Engine: engine}},
	})
}

func newBench(t testing.TB) *bench {
	t.Helper()
	b := &bench{t: t, holder: freshness.New(), uptime: time.Hour}
	b.fleet = fleet.New(fleet.Topology{DataCentre: "a", Regions: map[string]string{"a": "north", "b": "north"}})
	b.handler = relay.New(relay.Parts{
		Dialect: platform.Dialect{}, Holder: b.holder, Fleet: b.fleet, Prompts: fleet.NewPromptIndex(), Pool: http1.NewPool(), Recorder: b,
		Bounds: relay.Bounds{Apply: 2500 * time.Millisecond, Revoke: 5 * time.Second, Repeat: retrybudget.Limit{Ratio: 0.8, Extra: 150, Window: 10 * time.Second}},
		Uptime: func() time.Duration { b.mu.Lock(); defer b.mu.Unlock(); return b.uptime },
		Nodes:  func() int { return 1 }, Urgent: func() {}, Pulse: &b.pulse, Known: closed(),
	})
	b.front = httptest.NewServer(b.handler)
	t.Cleanup(func() {
		b.front.Close()
		if t.Failed() {
			b.mu.Lock()
			defer b.mu.Unlock()
			t.Log(strings.Join(b.events, "\n"))
		}
	})
	b.holder.Update(testCatalog(7), time.Hour)
	return b
}

// server starts a scripted server of a service in a data centre.
func (b *bench) server(service, dataCentre string, steps ...backend.Step) *backend.Server {
	b.t.Helper()
	s, err := backend.Start("127.0.0.1:0", steps...)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(s.Close)
	b.register(s.Address(), service, dataCentre, s.Address())
	return s
}

func (b *bench) register(id, service, dataCentre, address string) {
	b.fleet.Upsert(fleet.Server{ID: id, Service: service, Address: address, DataCentre: dataCentre, Slots: 6})
}

type result struct {
	status int
	header http.Header
	body   string
	closes bool // the connection isn't kept
	err    error
}

func (b *bench) request(method, path string, change func(r *http.Request)) *http.Request {
	b.t.Helper()
	r, err := http.NewRequest(method, b.front.URL+path, http.NoBody)
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "test.example"
	r.Header.Set("X-Request-Id", fmt.Sprintf("id-%d", time.Now().UnixNano()))
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Authorization", "Bearer "+testKey)
	if change != nil {
		change(r)
	}
	return r
}

func (b *bench) do(method, path string, change func(r *http.Request)) result {
	b.t.Helper()
	return perform(b.request(method, path, change))
}

func perform(r *http.Request) result {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(body), closes: response.Close, err: err}
}

func prompt(r *http.Request) { r.Header.Set("X-Token-Usage", "8000,900") }

func (b *bench) expect(got result, status int, body string) {
	b.t.Helper()
	if got.err != nil || got.status != status || (body != "" && got.body != body) {
		b.t.Errorf("status %d, body %q, %v; not status %d, body %q", got.status, got.body, got.err, status, body)
	}
}

func (b *bench) expectRuns(s *backend.Server, n int) {
	b.t.Helper()
	if got := len(s.Requests()); got != n {
		b.t.Errorf("%d requests reached the server, not %d", got, n)
	}
}

func closed() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}
