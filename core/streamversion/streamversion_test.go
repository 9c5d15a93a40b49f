package streamversion_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cicadabeam/core/streamversion"
)

var now = time.Now()

// peersFunc is the other nodes, of which one knows some streams.
type peersFunc func(ids []streamversion.ID) (int, string, bool)

func (peersFunc) Record(ctx context.Context, _ streamversion.ID, _ string) { <-ctx.Done() }
func (f peersFunc) Find(_ context.Context, ids []streamversion.ID) (int, string, bool) {
	return f(ids)
}

func (peersFunc) Refresh(context.Context) bool   { return true }
func (peersFunc) RefreshInterval() time.Duration { return 0 }

func none([]streamversion.ID) (int, string, bool) { return 0, "", false }

func id(request string) streamversion.ID { return streamversion.NewID("ndox", "llm", request) }

func TestIDsDiffer(t *testing.T) {
	all := map[streamversion.ID]bool{
		streamversion.NewID("ndox", "llm", "r"): true, streamversion.NewID("forja", "llm", "r"): true, streamversion.NewID("ndox", "app", "r"): true, streamversion.NewID("ndoxl", "lm", "r"): true,
	}
	if len(all) != 4 {
		t.Errorf("4 streams have %d IDs", len(all))
	}
}

func TestFindAsksPeersOnce(t *testing.T) {
	asked := 0
	x := streamversion.New(peersFunc(func(ids []streamversion.ID) (int, string, bool) {
		asked++
		return 1, "v2", ids[1] == id("b")
	}))
	for range 2 {
		if i, version, found := x.Find(context.Background(), []streamversion.ID{id("a"), id("b")}); i != 1 || version != "v2" || !found {
			t.Errorf("got stream %d, version %s, found %v", i, version, found)
		}
	}
	if asked != 1 {
		t.Errorf("the peers were asked %d times", asked)
	}
}

// Guards against a first event that waits for peers which don't answer.
func TestBeginWaitsShortlyForSilentPeers(t *testing.T) {
	x := streamversion.New(peersFunc(none))
	began := time.Now()
	x.Begin(context.Background(), id("a"), "v1")
	if d := time.Since(began); d > time.Second {
		t.Errorf("waited %v", d)
	}
	if _, version, found := x.Lookup([]streamversion.ID{id("a")}); !found || version != "v1" {
		t.Errorf("got version %s, found %v", version, found)
	}
}

func TestFirstRecordOfStreamStands(t *testing.T) {
	x := streamversion.New(nil)
	x.Record(id("a"), "v1", now)
	x.Record(id("a"), "v2", now.Add(time.Minute))
	x.Record(id("b"), "v2", now.Add(11*time.Minute)) // rotates
	x.Record(id("a"), "v2", now.Add(12*time.Minute))
	if _, version, _ := x.Lookup([]streamversion.ID{id("a")}); version != "v1" {
		t.Errorf("got version %s, want v1", version)
	}
}

func TestOldStreamsAreForgotten(t *testing.T) {
	x := streamversion.New(nil)
	x.Record(id("a"), "v1", now)
	for i := range 250_000 {
		x.Record(id(fmt.Sprint(i)), "v1", now)
	}
	if _, _, found := x.Lookup([]streamversion.ID{id("a")}); found {
		t.Error("250,000 streams are known")
	}
	if _, _, found := x.Lookup([]streamversion.ID{id("200000")}); !found {
		t.Error("a stream of the last 100,000 is not known")
	}
}

// Guards against versions that are forgotten, or never are, because nodes tell each other.
func TestOnlyVersion(t *testing.T) {
	only := func(x *streamversion.Index) string {
		version, _ := x.Only(context.Background(), "llm")
		return version
	}
	a, b := streamversion.New(peersFunc(none)), streamversion.New(peersFunc(none))
	a.Observe("llm", "v1", now)
	if got := only(a); got != "" {
		t.Errorf("before older versions are known: got %s", got)
	}
	a.MergeStored(nil, now)
	if got := only(a); got != "v1" {
		t.Errorf("one version: got %s", got)
	}
	a.Observe("llm", "v2", now)
	b.Observe("llm", "v2", now)
	b.Merge(a.Report(now.Add(time.Minute), false), now.Add(time.Minute), false)
	if got := only(b); got != "" {
		t.Errorf("a peer knows two versions: got %s", got)
	}
	for minute := range 20 {
		at := now.Add(time.Duration(minute) * time.Minute)
		for _, x := range []*streamversion.Index{a, b} {
			x.Observe("llm", "v2", at)
			missing, expired := x.Unstored(at)
			x.MarkStored(missing, expired)
		}
		a.Merge(b.Report(at, false), at, false)
		b.Merge(a.Report(at, false), at, false)
	}
	if only(a) != "v2" || only(b) != "v2" {
		t.Errorf("20 minutes after the last server of v1: got %q and %q", only(a), only(b))
	}
}

func TestVersionsAreStoredOnce(t *testing.T) {
	x := streamversion.New(peersFunc(none))
	x.MergeStored([]streamversion.ServiceVersion{{Service: "llm", Version: "v1"}}, now)
	x.Observe("llm", "v1", now)
	x.Observe("llm", "v2", now)
	missing, expired := x.Unstored(now)
	if len(missing) != 1 || missing[0].Version != "v2" || len(expired) != 0 {
		t.Errorf("got missing %v, expired %v", missing, expired)
	}
	x.MarkStored(missing, expired)
	if missing, expired = x.Unstored(now); len(missing)+len(expired) != 0 {
		t.Errorf("got missing %v, expired %v", missing, expired)
	}
	x.MarkRestored()
	if missing, _ = x.Unstored(now); len(missing) != 2 {
		t.Errorf("after a restore of the store: got missing %v, want both", missing)
	}
}

// Streams that a node began are reported for a moment, all recent ones to a node that starts.
func TestReport(t *testing.T) {
	x, starting := streamversion.New(peersFunc(none)), streamversion.New(peersFunc(none))
	x.Begin(context.Background(), id("a"), "v1")
	x.Record(id("b"), "v2", time.Now())
	if r := x.Report(time.Now(), false); len(r.Streams) != 1 || len(r.Streams[0].IDs) != 1 || r.Streams[0].IDs[0] != id("a") {
		t.Errorf("got %v, want the node's own stream", r.Streams)
	}
	starting.Merge(x.Report(time.Now().Add(time.Minute), true), time.Now(), false)
	for _, request := range []string{"a", "b"} {
		if _, _, found := starting.Lookup([]streamversion.ID{id(request)}); !found {
			t.Errorf("a node that starts doesn't know stream %s", request)
		}
	}
	if r := x.Report(time.Now().Add(time.Minute), false); len(r.Streams) != 0 {
		t.Errorf("a minute later: got %v", r.Streams)
	}
}

func countStreams(all []streamversion.VersionStreams) int {
	n := 0
	for _, s := range all {
		n += len(s.IDs)
	}
	return n
}

// Streams are for the store only while their service has several versions, once, and again after
// the store was restored.
func TestUnstoredStreams(t *testing.T) {
	x, peer := streamversion.New(peersFunc(none)), streamversion.New(nil)
	at := time.Now()
	check := func(when string, want int) {
		t.Helper()
		if got := countStreams(x.UnstoredStreams(at)); got != want {
			t.Errorf("%s: got %d streams, want %d", when, got, want)
		}
	}
	x.Observe("llm", "v1", at)
	x.Observe("app", "v7", at)
	x.Begin(context.Background(), id("a"), "v1")
	x.Begin(context.Background(), id("b"), "v7")
	peer.Begin(context.Background(), id("c"), "v1")
	for range 2 {
		x.Merge(peer.Report(at, false), at, true)
	}
	check("one version", 0)
	x.Observe("llm", "v2", at)
	select {
	case <-x.Branched():
	default:
		t.Error("a second version is not told")
	}
	check("two versions", 2)
	x.MarkStreamsStored(x.UnstoredStreams(at))
	check("stored", 0)
	x.MarkRestored()
	check("restored", 2)
	check("two versions for long", 2)
	at = at.Add(3 * time.Minute)
	check("three minutes later", 0)
}

// Guards against writes that grow with the hosts: what other regions began, what a host is told as
// it starts, and what was read from the store isn't written.
func TestStreamsOfOthersAreNotStored(t *testing.T) {
	x, peer := streamversion.New(nil), streamversion.New(nil)
	at := time.Now()
	x.Observe("llm", "v1", at)
	x.Observe("llm", "v2", at)
	peer.Record(id("a"), "v1", at)
	x.Merge(peer.Report(at, true), at, true)
	peer.Begin(context.Background(), id("b"), "v1")
	x.Merge(peer.Report(at, false), at, false)
	x.MergeStoredStreams([]streamversion.VersionStreams{{Version: "v2", IDs: []streamversion.ID{id("c")}}}, at)
	if got := countStreams(x.UnstoredStreams(at)); got != 0 {
		t.Errorf("got %d streams", got)
	}
	for _, request := range []string{"a", "b", "c"} {
		if _, _, found := x.Lookup([]streamversion.ID{id(request)}); !found {
			t.Errorf("stream %s is not known", request)
		}
	}
}

// A node that has just started waits for the streams in the store before it doesn't know one.
func TestFindAwaitsStoredStreams(t *testing.T) {
	x := streamversion.New(peersFunc(none))
	time.AfterFunc(50*time.Millisecond, func() {
		x.MergeStoredStreams([]streamversion.VersionStreams{{Version: "v2", IDs: []streamversion.ID{id("a")}}}, time.Now())
		x.MarkLoaded()
	})
	if _, version, _ := x.Find(context.Background(), []streamversion.ID{id("a")}); version != "v2" {
		t.Errorf("got version %q", version)
	}
}

func TestQueueIsLimited(t *testing.T) {
	x := streamversion.New(nil)
	x.Observe("llm", "v1", now)
	x.Observe("llm", "v2", now)
	for range 10 {
		r := streamversion.Report{Streams: []streamversion.VersionStreams{{Version: "v1"}}}
		for range 10_000 {
			r.Streams[0].IDs = append(r.Streams[0].IDs, streamversion.ID(rand.Uint64()))
		}
		x.Merge(r, now, true)
	}
	got := 0
	for batch := x.UnstoredStreams(now); len(batch) > 0; batch = x.UnstoredStreams(now) {
		if countStreams(batch) > streamversion.MaxBatch {
			t.Fatalf("got a batch of %d", countStreams(batch))
		}
		got += countStreams(batch)
		x.MarkStreamsStored(batch)
	}
	if got != 60_000 {
		t.Errorf("got %d streams of 100,000, want 60,000", got)
	}
}

// laggingPeers are peers that tell of a second version only when asked to refresh.
type laggingPeers struct {
	peersFunc
	refresh  func() bool
	interval time.Duration
	calls    atomic.Int32
}

func (l *laggingPeers) Refresh(context.Context) bool {
	l.calls.Add(1)
	return l.refresh()
}
func (l *laggingPeers) RefreshInterval() time.Duration { return l.interval }

// Guards against a node that is out of step and takes the version it knows for the only one.
func TestOnlyVersionIsRefreshed(t *testing.T) {
	for name, c := range map[string]struct {
		refreshed string // the version that the refresh finds
		ok        bool
		want      string
	}{
		"the same version":    {"v1", true, "v1"},
		"another version":     {"v2", true, ""},
		"nothing can be read": {"v1", false, ""},
	} {
		p := &laggingPeers{}
		x := streamversion.New(p)
		p.refresh = func() bool { x.Observe("llm", c.refreshed, time.Now()); return c.ok }
		x.MergeStored([]streamversion.ServiceVersion{{Service: "llm", Version: "v1"}}, time.Now())
		if version, _ := x.Only(context.Background(), "llm"); version != c.want {
			t.Errorf("%s: got %q, want %q", name, version, c.want)
		}
	}
}

// Streams that wait share a refresh, which begins after each of them has come.
func TestRefreshIsShared(t *testing.T) {
	const streams, interval = 100, 50 * time.Millisecond
	p := &laggingPeers{interval: interval}
	x := streamversion.New(p)
	x.MergeStored([]streamversion.ServiceVersion{{Service: "llm", Version: "v1"}}, time.Now())
	var begun atomic.Int64
	p.refresh = func() bool { begun.Store(time.Now().UnixNano()); return true }
	began := time.Now()
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			came := time.Now().UnixNano()
			if _, found := x.Only(context.Background(), "llm"); !found || begun.Load() < came {
				t.Errorf("stream %d: found %v; the last refresh began %d ns before it came", i, found, came-begun.Load())
			}
		})
	}
	wg.Wait()
	if most := 2 + time.Since(began)/interval; p.calls.Load() > int32(most) {
		t.Errorf("%d refreshes for %d streams in %v", p.calls.Load(), streams, time.Since(began))
	}
}

func TestOnlyWaitsShortlyForSilentPeers(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	p := &laggingPeers{refresh: func() bool { <-stop; return true }}
	x := streamversion.New(p)
	x.MergeStored([]streamversion.ServiceVersion{{Service: "llm", Version: "v1"}}, time.Now())
	began := time.Now()
	if _, found := x.Only(context.Background(), "llm"); found || time.Since(began) > time.Second {
		t.Errorf("found %v after %v", found, time.Since(began))
	}
}
