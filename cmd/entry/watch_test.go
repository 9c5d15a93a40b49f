package entry

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/partition"
	"cicadabeam/core/records"
	"cicadabeam/core/streamversion"
	"cicadabeam/platform"
)

// scriptedCall is one call that a watcher is to make, and its response.
type scriptedCall struct {
	call    string // "rows", or "changes since N"
	era     int
	status  int
	version int
	before  func(e *freshness.Eras) // runs while the call is in progress
}

// newTestNode returns a node without listeners, store and metrics.
func newTestNode() *Node {
	m := &metrics{scope: tally.NoopScope, counters: make(map[string]tally.Counter), histograms: make(map[string]tally.Histogram)}
	return &Node{
		settings: &Settings{name: "node-1"}, metrics: m, recorder: newRecorder(newLogger(newLogWriter(io.Discard, "node-1", func() {}), "error", "node-1"), m),
		streamVersions: streamversion.New(nil), partition: partition.NewDetector(), fleet: fleet.New(fleet.Topology{}), tracker: freshness.New(), eras: freshness.NewEras(uptime, nil), serverWatcher: &tableWatcher{}, synced: make(chan struct{}), hosts: records.NewHostStore(&failingTable{}),
	}
}

// runScript lets a watcher make the calls and returns the versions of the updates that it
// passed on. Whole tables are marked.
func runScript(t *testing.T, script ...scriptedCall) []string {
	t.Helper()
	n := newTestNode()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	next := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if next >= len(script) {
			cancel()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		x := script[next]
		next++
		call := "rows"
		if strings.HasSuffix(r.URL.Path, "feed") {
			call = "changes since " + r.URL.Query().Get("SinceRev")
		}
		if call != x.call {
			t.Errorf("call %d: got %q, want %q", next, call, x.call)
		}
		if x.before != nil {
			x.before(n.eras)
		}
		w.Header().Set("Store-Era", fmt.Sprint(x.era))
		w.WriteHeader(x.status)
		_, _ = fmt.Fprintf(w, `{"Rows":[],"Ver":%d,"NowMs":1}`, x.version)
	}))
	defer s.Close()
	n.store = platform.NewStoreClient(s.URL, "node-1").WithEras(n.eras)
	var updates []string
	w := n.newWatcher("servers", nil, nil)
	w.awaitPeerState = func(context.Context) bool { return false }
	w.shouldRead = func() bool { return true }
	w.pollWait = func() time.Duration { return 0 }
	w.onUpdate = func(u tableUpdate) {
		text := fmt.Sprint(u.page.At())
		if u.full {
			text += " whole"
		}
		updates = append(updates, text)
	}
	_ = w.run(ctx)
	if next != len(script) {
		t.Errorf("made %d of %d calls", next, len(script))
	}
	return updates
}

func reportEra(era uint64) func(e *freshness.Eras) {
	return func(e *freshness.Eras) {
		e.Merge(freshness.EraInfo{Known: true, Era: era, Risen: true}, "node-2")
	}
}

// However a watcher learns of a newer era, it reads the whole table next, and it passes on
// nothing of an older era.
func TestWatcherAfterRestore(t *testing.T) {
	start := []scriptedCall{{"rows", 1, 200, 7, nil}, {"changes since 7", 1, 200, 8, nil}}
	for name, x := range map[string]struct {
		calls []scriptedCall
		want  []string
	}{
		"410 in the same era":       {[]scriptedCall{{"changes since 8", 1, 410, 0, nil}, {"rows", 1, 200, 9, nil}}, []string{"{1 9} whole"}},
		"410 in a new era":          {[]scriptedCall{{"changes since 8", 2, 410, 0, nil}, {"rows", 2, 200, 5, nil}}, []string{"{2 5} whole"}},
		"changes of a new era":      {[]scriptedCall{{"changes since 8", 2, 200, 9, nil}, {"rows", 2, 200, 9, nil}, {"changes since 9", 2, 200, 9, nil}}, []string{"{2 9} whole", "{2 9}"}},
		"failure in a new era":      {[]scriptedCall{{"changes since 8", 2, 503, 0, nil}, {"rows", 2, 200, 5, nil}}, []string{"{2 5} whole"}},
		"two rises":                 {[]scriptedCall{{"changes since 8", 3, 200, 9, nil}, {"rows", 4, 200, 4, nil}, {"changes since 4", 4, 200, 4, nil}}, []string{"{4 4} whole", "{4 4}"}},
		"rise seen by a peer":       {[]scriptedCall{{"changes since 8", 1, 200, 9, reportEra(2)}, {"rows", 2, 200, 5, nil}}, []string{"{2 5} whole"}},
		"late response":             {[]scriptedCall{{"changes since 8", 2, 503, 0, nil}, {"rows", 1, 200, 20, nil}, {"rows", 2, 200, 5, nil}}, []string{"{2 5} whole"}},
		"rise during a whole read":  {[]scriptedCall{{"changes since 8", 1, 410, 0, nil}, {"rows", 1, 200, 20, reportEra(2)}, {"rows", 2, 200, 5, nil}}, []string{"{2 5} whole"}},
		"no version is given again": {[]scriptedCall{{"changes since 8", 2, 200, 100, nil}, {"rows", 2, 200, 100, nil}}, []string{"{2 100} whole"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := runScript(t, slices.Concat(start, x.calls)...)
			if want := slices.Concat([]string{"{1 7} whole", "{1 8}"}, x.want); !slices.Equal(got, want) {
				t.Errorf("got updates %q, want %q", got, want)
			}
		})
	}
}

// Guards against a list of an older era that takes the place of a newer one.
func TestLateServerUpdateIsDropped(t *testing.T) {
	n := newTestNode()
	update := func(era, version uint64, servers ...string) {
		u := tableUpdate{full: true, page: platform.Page{Era: era, Version: version}}
		for _, id := range servers {
			u.page.Rows = append(u.page.Rows, platform.Row{Key: id, Version: version, Value: fmt.Appendf(nil, `{"Service":"orders","Address":"10.0.0.1:%d","Zone":"a","Version":"v1","Slots":1,"State":"ready","born":1}`, id[0])})
		}
		n.applyServerUpdate(u)
	}
	update(1, 90, "a")
	update(2, 80, "a", "b")
	update(1, 95, "c")
	_, at := n.serverFreshness.at()
	if at != (freshness.StoreVersion{Era: 2, Version: 80}) || !n.fleet.Knows("b") || n.fleet.Knows("c") {
		t.Errorf("got version %v, servers %q", at, n.fleet.IDs())
	}
}

// Guards against a version whose servers joined and left while the host stood still.
func TestRefreshFindsVersionThatHasLeft(t *testing.T) {
	n := newTestNode()
	table := "" // of the last read
	var changes string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		table = r.URL.Query().Get("Table")
		w.Header().Set("Store-Era", "1")
		rows := changes
		if table == "nodes" {
			rows = `{"Table":"nodes","Key":"software-version/llm/v2","Ver":7,"Value":"` + base64.StdEncoding.EncodeToString([]byte(`{"service":"llm","version":"v2"}`)) + `"}`
		}
		_, _ = fmt.Fprintf(w, `{"Rows":[%s],"Ver":9,"NowMs":1}`, rows)
	}))
	defer s.Close()
	n.store = platform.NewStoreClient(s.URL, "node-1").WithEras(n.eras)
	n.hosts = records.NewHostStore(platform.NewTable(n.store))
	n.streamVersions.Observe("llm", "v1", time.Now())
	refresh := func() (ok, several bool) {
		return streamPeers{n}.Refresh(context.Background()), n.streamVersions.Several()
	}
	if ok, _ := refresh(); ok {
		t.Error("refreshed before the servers were known")
	}
	n.serverFreshness.confirm(freshness.StoreVersion{Era: 1, Version: 5}, 0)
	if ok, several := refresh(); !ok || several || table != "servers" {
		t.Errorf("nothing changed: got %v, several versions %v, last read %s", ok, several, table)
	}
	changes = `{"Table":"servers","Key":"i-9","Ver":8,"Deleted":true}`
	if ok, several := refresh(); !ok || !several {
		t.Errorf("an unknown server has left: got %v, several versions %v, last read %s", ok, several, table)
	}
	n.serverFreshness.confirm(freshness.StoreVersion{Era: 2, Version: 5}, 0)
	if ok, _ := refresh(); ok {
		t.Error("refreshed by changes of another era")
	}
}
