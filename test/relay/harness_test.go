// Package relay tests io/relay in one process, with the headers of the platform and
// scripted backend servers.
package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/core/admission"
	"cicadabeam/core/catalog"
	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/promptindex"
	"cicadabeam/core/retrybudget"
	"cicadabeam/core/streamversion"
	"cicadabeam/io/http1"
	"cicadabeam/io/relay"
	"cicadabeam/io/serverpath"
	"cicadabeam/io/tcp"
	"cicadabeam/platform"
	"cicadabeam/test/standin/backend"
)

// harness runs a relay in front of scripted backend servers.
type harness struct {
	t        testing.TB
	tracker  *freshness.Tracker
	fleet    *fleet.Fleet
	versions *streamversion.Index
	handler  *relay.Handler
	frontend *httptest.Server
	mu       sync.Mutex
	uptime   time.Duration
	events   []string
	stalls   freshness.StallDetector
	nodes    int    // that share the limits
	stop     func() // cancels the contexts of requests, as a node does that stops
}

// Record implements relay.Recorder.
func (h *harness) Record(event string, f relay.Fields) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, fmt.Sprint(event, " ", f))
}

func (h *harness) setUptime(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.uptime = d
}

const (
	testKey     = "key-of-ndox"
	priorityKey = "key-of-forja"
	testTimeout = 2 * time.Second
	longTimeout = 6 * time.Second
	healthPath  = "/healthz"
)

// newRoute returns a route of the test catalog. The path prefix is the name of the route.
func newRoute(name string, k catalog.Kind, attempts int) catalog.Route {
	return catalog.Route{
		Name: name, Host: "test.example", Prefix: "/" + name + "/", Kind: k, Timeout: testTimeout, LatencyGoal: 250 * time.Millisecond,
		Attempts: attempts, Targets: []catalog.Target{{Service: name, Weight: 1}},
	}
}

func testCatalog(revision uint64) *catalog.Catalog {
	engine := &catalog.Engine{Slots: 12, KVCacheTokens: 88000, KVCacheBackups: true, KVCacheMoves: true, BackupTTL: 4 * time.Second}
	public := newRoute("public", catalog.Idempotent, 2)
	public.Public = true
	long := newRoute("long", catalog.ResumableStream, 5)
	long.Priority = 3
	long.Timeout, long.Targets[0].Service = longTimeout, "report"
	single := newRoute("single", catalog.ResumableStream, 1)
	single.Timeout, single.Targets[0].Service = longTimeout, "report"
	plain := newRoute("plain", catalog.PlainStream, 5)
	plain.Timeout, plain.Targets[0].Service = longTimeout, "once"
	return catalog.New(catalog.Spec{
		Revision: revision, RequireKeys: true, Organisations: map[string]catalog.Organisation{
			testKey: {Name: "ndox", Priority: -1}, priorityKey: {Name: "forja", Priority: 1},
		},
		Limits: catalog.Limits{BodyBytes: 1 << 20},
		Routes: []catalog.Route{
			public, long, single, plain, newRoute("read", catalog.Idempotent, 2), newRoute("buy", catalog.AtMostOnce, 1),
			newRoute("report", catalog.ResumableStream, 5), newRoute("once", catalog.PlainStream, 5),
		},
		Services: []catalog.Service{{Name: "public"}, {Name: "read", HealthPath: healthPath}, {Name: "buy"}, {Name: "report", Engine: engine}, {Name: "once", Engine: engine}},
	})
}

func newHarness(t testing.TB) *harness {
	t.Helper()
	return newHarnessWith(t, func(*relay.Dependencies) {})
}

// newPool returns a pool whose connections are direct ones of a host.
func newPool() *http1.Pool {
	p := http1.NewPool()
	p.Use(directPaths{&serverpath.Dialer{Direct: p.Dial}})
	return p
}

// newHarnessWith returns a harness whose relay has changed dependencies.
func newHarnessWith(t testing.TB, change func(d *relay.Dependencies)) *harness {
	t.Helper()
	h := &harness{t: t, tracker: freshness.New(), uptime: time.Hour, nodes: 1, versions: streamversion.New(nil)}
	h.fleet = fleet.New(fleet.Topology{DataCentre: "a", Regions: map[string]string{"a": "north", "b": "north", "c": "north"}})
	d := relay.Dependencies{
		Codec: platform.Codec{}, Catalog: h.tracker, Fleet: h.fleet, PromptIndex: promptindex.New(), Admission: admission.NewGates(), StreamVersions: h.versions, Pool: newPool(), Recorder: h,
		Limits:    relay.Limits{MaxConfigAge: 2500 * time.Millisecond, MaxKeyAge: 5 * time.Second, RetryLimit: retrybudget.Limit{Ratio: 0.8, Extra: 150, Window: 10 * time.Second}},
		Uptime:    func() time.Duration { h.mu.Lock(); defer h.mu.Unlock(); return h.uptime },
		NodeCount: func() int { return h.nodes }, NotifyPeers: func() {}, StallDetector: &h.stalls, Ready: closedChannel(),
	}
	change(&d)
	h.handler = relay.New(d)
	ctx, stop := context.WithCancelCause(context.Background())
	h.stop = func() { stop(relay.ErrStopping) }
	h.frontend = httptest.NewUnstartedServer(h.handler)
	h.frontend.Config.ConnContext = tcp.ConnContext
	h.frontend.Config.BaseContext = func(net.Listener) context.Context { return ctx }
	h.frontend.Start()
	t.Cleanup(func() {
		h.stop()
		h.frontend.Close()
		if t.Failed() {
			h.mu.Lock()
			defer h.mu.Unlock()
			t.Log(strings.Join(h.events, "\n"))
		}
	})
	h.tracker.Update(testCatalog(7), time.Hour)
	return h
}

// startServer starts and registers a scripted server of a service in a data centre.
func (h *harness) startServer(service, dataCentre string, steps ...backend.Step) *backend.Server {
	h.t.Helper()
	s, err := backend.Start(ownAddress(), steps...)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(s.Close)
	h.register(s.Address(), service, dataCentre, s.Address())
	return s
}

func (h *harness) register(id, service, dataCentre, address string) {
	h.fleet.Upsert(fleet.Server{ID: id, Service: service, Address: address, DataCentre: dataCentre, Version: "v1", Slots: 6})
	h.versions.Observe(service, "v1", time.Now())
}

type result struct {
	status int
	header http.Header
	body   string
	closes bool // the response closes the connection
	err    error
}

func (h *harness) newRequest(method, path string, change func(r *http.Request)) *http.Request {
	h.t.Helper()
	r, err := http.NewRequest(method, h.frontend.URL+path, http.NoBody)
	if err != nil {
		h.t.Fatal(err)
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

func (h *harness) send(method, path string, change func(r *http.Request)) result {
	h.t.Helper()
	return roundTrip(h.newRequest(method, path, change))
}

func roundTrip(r *http.Request) result {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(body), closes: response.Close, err: err}
}

// setTokenUsage declares a prompt of 8,000 tokens and a maximum output of 900 tokens.
func setTokenUsage(r *http.Request) { r.Header.Set("X-Token-Usage", "8000,900") }

// checkResponse checks the status and, unless body is empty, the body.
func (h *harness) checkResponse(got result, status int, body string) {
	h.t.Helper()
	if got.err != nil || got.status != status || (body != "" && got.body != body) {
		h.t.Errorf("got status %d, body %q, error %v; want status %d, body %q", got.status, got.body, got.err, status, body)
	}
}

// ownAddress returns a loopback address of its own, so that no other test or process takes the
// port of a server that has ended for its own.
func ownAddress() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))
}

func (h *harness) checkRequestCount(s *backend.Server, n int) {
	h.t.Helper()
	if got := len(s.Requests()); got != n {
		h.t.Errorf("the server got %d requests, want %d", got, n)
	}
}

func closedChannel() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}
