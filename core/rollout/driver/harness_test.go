package driver_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/canary"
	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
	"cicadabeam/core/rollout"
	"cicadabeam/core/rollout/driver"
)

const (
	serviceName   = "x"
	orderLength   = 12 * time.Second
	exposureShare = 0.1
	// gossipInterval and requestInterval are those between two reports and two requests of a host.
	gossipInterval  = 100 * time.Millisecond
	requestInterval = 4 * time.Millisecond
)

var errLost = errors.New("no response")

// fakeStore has one row. Calls can fail, be executed without a response, and take time.
type fakeStore struct {
	mu       sync.Mutex
	started  time.Time
	row      records.RolloutRow
	written  []rollout.State // in order
	version  uint64
	era      uint64
	down     bool // calls have no effect and fail
	loseNext int  // writes that are executed without a response
	delay    time.Duration
}

func (s *fakeStore) call(ctx context.Context) error {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay + time.Millisecond):
		return nil
	}
}

func (s *fakeStore) Load(ctx context.Context, _ string) (records.RolloutRow, error) {
	if err := s.call(ctx); err != nil {
		return records.RolloutRow{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return records.RolloutRow{}, errLost
	}
	r := s.row
	r.NowMS = time.Since(s.started).Milliseconds()
	return r, nil
}

func (s *fakeStore) Save(ctx context.Context, x rollout.State, revision freshness.StoreVersion) (freshness.StoreVersion, error) {
	if err := s.call(ctx); err != nil {
		return freshness.StoreVersion{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return freshness.StoreVersion{}, errLost
	}
	if revision != s.row.Revision {
		return freshness.StoreVersion{}, &records.ConflictError{Failed: []int{0}}
	}
	s.version++
	s.row = records.RolloutRow{State: x, Found: true, Revision: freshness.StoreVersion{Era: s.era, Version: s.version}}
	s.written = append(s.written, x)
	if s.loseNext > 0 {
		s.loseNext--
		return freshness.StoreVersion{}, errLost
	}
	return s.row.Revision, nil
}

func (s *fakeStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *fakeStore) set(f func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *fakeStore) state() rollout.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.row.State
}

// restore brings back an older copy of the row in a new era.
func (s *fakeStore) restore(copied records.RolloutRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.row = copied
	if copied.Found {
		s.row.Revision.Era = s.era
	}
}

// fakeHost is a host with its driver. It sends requests according to what it knows.
type fakeHost struct {
	name     string
	e        *env
	table    *rollout.Table
	recorder *canary.Recorder
	cancel   context.CancelFunc

	mu     sync.Mutex
	cutOff bool // it exchanges no reports, nor reaches the store
	gone   bool
	reader bool
	sent   map[string]int // requests by version
}

// env is a service with an order, whose hosts share a store.
type env struct {
	t        *testing.T
	started  time.Time
	store    *fakeStore
	mu       sync.Mutex
	hosts    []*fakeHost
	orders   []rollout.Order
	versions map[string]int
	isBad    func() bool // whether a request to the new version fails
}

// run runs f in virtual time with hosts that know an order.
func run(t *testing.T, hosts int, f func(e *env)) {
	synctest.Test(t, func(t *testing.T) {
		e := &env{
			t: t, started: time.Now(), store: &fakeStore{started: time.Now().Add(-time.Hour), era: 1}, versions: map[string]int{"v1": 4, "v2": 4},
			orders: []rollout.Order{{Service: serviceName, Target: "v2", ID: 7, Length: orderLength}}, isBad: func() bool { return false },
		}
		defer func() {
			for _, h := range e.all() {
				h.kill()
			}
			time.Sleep(5 * time.Second) // all goroutines have to end in the bubble
		}()
		for i := range hosts {
			e.addHost(fmt.Sprint("host-", i))
		}
		f(e)
	})
}

func (e *env) all() []*fakeHost {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*fakeHost(nil), e.hosts...)
}

func (e *env) uptime() time.Duration { return time.Hour + time.Since(e.started) }

func (e *env) addHost(name string) *fakeHost {
	ctx, cancel := context.WithCancel(context.Background())
	h := &fakeHost{name: name, e: e, table: rollout.NewTable(rollout.Limits{ExposureShare: exposureShare}, nil), recorder: canary.NewRecorder(), cancel: cancel, reader: true, sent: make(map[string]int)}
	h.table.SetVersions(serviceName, []string{"v1"}, e.uptime())
	h.table.SetVersions(serviceName, e.versionNames(), e.uptime())
	e.mu.Lock()
	e.hosts = append(e.hosts, h)
	h.table.SetOrders(e.orders, e.uptime())
	e.mu.Unlock()
	d := driver.New(driver.Host{
		Name: name, Limits: rollout.Limits{ExposureShare: exposureShare}, Table: h.table, Store: h, Peers: h, Uptime: e.uptime, Log: func(string, map[string]any) {},
	})
	go func() { _ = d.Run(ctx) }()
	go h.gossip(ctx)
	go h.send(ctx)
	return h
}

func (e *env) versionNames() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []string
	for v, n := range e.versions {
		if n > 0 {
			all = append(all, v)
		}
	}
	return all
}

// setBad sets whether requests to the new version fail.
func (e *env) setBad(f func() bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isBad = f
}

func (e *env) fails() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isBad()
}

// setOrders makes all hosts know other orders.
func (e *env) setOrders(all ...rollout.Order) {
	e.mu.Lock()
	e.orders = all
	e.mu.Unlock()
	for _, h := range e.all() {
		h.table.SetOrders(all, e.uptime())
	}
}

// gossip exchanges the states with the other hosts.
func (h *fakeHost) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(gossipInterval)
		for _, x := range h.e.all() {
			if x == h || !h.reaches(x) {
				continue
			}
			for _, a := range x.table.States(h.e.uptime()) {
				h.table.Merge(a.State, a.Age, h.e.uptime())
			}
		}
	}
}

func (h *fakeHost) isCutOff() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cutOff || h.gone
}

func (h *fakeHost) reaches(x *fakeHost) bool { return !h.isCutOff() && !x.isCutOff() }

func (h *fakeHost) setCutOff(x bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cutOff = x
}

func (h *fakeHost) kill() {
	h.mu.Lock()
	h.gone = true
	h.mu.Unlock()
	h.cancel()
}

// send sends requests to the version that the host selects.
func (h *fakeHost) send(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(requestInterval)
		now := h.e.uptime()
		c := h.table.Choose(serviceName, "r", now)
		version := "v1"
		if c.New() || !c.Allows("v1") {
			version = "v2"
		}
		h.table.Sent(serviceName, version, now)
		h.mu.Lock()
		h.sent[version]++
		h.mu.Unlock()
		s, _, found := h.table.State(serviceName, now)
		ms, timed := h.table.StoreMS(serviceName, now)
		if !found || !timed || s.Phase.Final() {
			h.recorder.Watch(nil)
			continue
		}
		h.recorder.Watch(map[string]uint64{serviceName: s.ID})
		a := h.recorder.Begin(canary.Request{Service: serviceName, Route: "r", Server: fmt.Sprint(version, "-", i%4), DataCentre: "a", New: version == s.Target}, ms)
		failed := version == "v2" && h.e.fails()
		if !failed {
			a.Respond(10 * time.Millisecond)
		}
		a.End(failed, 0)
	}
}

func (h *fakeHost) sentTo(version string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sent[version]
}

// sentTo returns the number of requests that all hosts sent to a version.
func (e *env) sentTo(version string) int {
	n := 0
	for _, h := range e.all() {
		n += h.sentTo(version)
	}
	return n
}

func (h *fakeHost) state() rollout.State {
	s, _, _ := h.table.State(serviceName, h.e.uptime())
	return s
}

// ReadsStore implements driver.Peers.
func (h *fakeHost) ReadsStore() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reader
}

// Load implements driver.Store.
func (h *fakeHost) Load(ctx context.Context, service string) (records.RolloutRow, error) {
	if h.isCutOff() {
		return records.RolloutRow{}, errLost
	}
	return h.e.store.Load(ctx, service)
}

// Save implements driver.Store.
func (h *fakeHost) Save(ctx context.Context, x rollout.State, revision freshness.StoreVersion) (freshness.StoreVersion, error) {
	if h.isCutOff() {
		return freshness.StoreVersion{}, errLost
	}
	return h.e.store.Save(ctx, x, revision)
}

// Era implements driver.Store.
func (h *fakeHost) Era() uint64 { return h.e.store.Era() }

// Notify implements driver.Peers.
func (h *fakeHost) Notify() {}

// UsualDuration implements driver.Peers.
func (h *fakeHost) UsualDuration(string) time.Duration { return 100 * time.Millisecond }

// Versions implements driver.Peers.
func (h *fakeHost) Versions(string) map[string]int {
	h.e.mu.Lock()
	defer h.e.mu.Unlock()
	all := make(map[string]int)
	for v, n := range h.e.versions {
		all[v] = n
	}
	return all
}

// Evidence implements driver.Peers.
func (h *fakeHost) Evidence() map[string]canary.Report {
	all := make(map[string]canary.Report)
	for _, x := range h.e.all() {
		if ms, known := x.table.StoreMS(serviceName, h.e.uptime()); known && (x == h || h.reaches(x)) {
			all[x.name] = x.recorder.Report(ms)
		}
	}
	return all
}

// Progress implements driver.Peers.
func (h *fakeHost) Progress(service string) map[string]rollout.Progress {
	all := make(map[string]rollout.Progress)
	for _, x := range h.e.all() {
		if x == h || h.reaches(x) {
			all[x.name] = x.table.Report(func(string, string) int { return 0 }, h.e.uptime())[service]
		}
	}
	return all
}

// await waits until a condition holds and returns how long that took.
func (e *env) await(what string, limit time.Duration, holds func() bool) time.Duration {
	e.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > limit {
			e.t.Fatalf("after %v: %s; the row is %+v", limit, what, e.store.state())
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func (e *env) awaitPhase(p rollout.Phase, limit time.Duration) {
	e.t.Helper()
	e.await(fmt.Sprint("the phase is not ", p), limit, func() bool { return e.store.state().Phase == p && e.store.state().Driver != "" })
}

// driver returns the host that holds the lease by the row.
func (e *env) driver() *fakeHost {
	for _, h := range e.all() {
		if h.name == e.store.state().Driver && !h.isCutOff() {
			return h
		}
	}
	return nil
}

// checkExposure checks that the new version got no more than its share of the requests.
func (e *env) checkExposure() {
	e.t.Helper()
	newer, older := e.sentTo("v2"), e.sentTo("v1")
	if float64(newer) > exposureShare*float64(newer+older) {
		e.t.Errorf("the version got %d of %d requests, more than its share", newer, newer+older)
	}
}
