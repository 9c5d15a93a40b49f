package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
	"cicadabeam/core/streamversion"
)

// memoryTable is a table of rows in memory, of which a number of next commits fail.
type memoryTable struct {
	rows     map[string][]byte
	commits  int
	failures int
}

func (m *memoryTable) Get(context.Context, string, string) (records.Row, bool, error) {
	return records.Row{}, false, nil
}

func (m *memoryTable) List(context.Context, string, string) ([]records.Row, error) {
	var all []records.Row
	for _, key := range slices.Sorted(maps.Keys(m.rows)) {
		all = append(all, records.Row{Key: key, Value: m.rows[key]})
	}
	return all, nil
}

func (m *memoryTable) Commit(_ context.Context, t records.Transaction) (freshness.StoreVersion, error) {
	m.commits++
	for _, w := range t.Writes {
		if w.Remove {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = w.Value
	}
	if m.failures > 0 {
		m.failures--
		return freshness.StoreVersion{}, context.DeadlineExceeded
	}
	return freshness.StoreVersion{Version: uint64(m.commits)}, nil
}

func (*memoryTable) Unavailable() bool     { return false }
func (*memoryTable) Eras() *freshness.Eras { return freshness.NewEras(uptime, nil) }
func (*memoryTable) Name() string          { return "memory" }

func newStreamNode() (*Node, *memoryTable, *streamRows) {
	n, m := newTestNode(), &memoryTable{rows: make(map[string][]byte)}
	n.hosts = records.NewHostStore(m)
	return n, m, &streamRows{prefix: "node-1-1/", remove: make(map[string]time.Time)}
}

func streamsOf(version string, n int) []streamversion.VersionStreams {
	x := streamversion.VersionStreams{Version: version}
	for i := range n {
		x.IDs = append(x.IDs, streamversion.NewID("ndox", "llm", fmt.Sprint(i)))
	}
	return []streamversion.VersionStreams{x}
}

// Guards against rows that no host removes, among them those of hosts that are lost.
func TestOldStreamRowsAreRemoved(t *testing.T) {
	n, m, rows := newStreamNode()
	ctx := context.Background()
	m.rows["node-9-1/00000000"] = []byte(`{"v1":"AAAAAAAAAAE="}`)
	m.rows["node-9-1/00000001"] = []byte(`nothing to read`)
	if !n.listStreams(ctx, rows) || !n.putStreams(ctx, rows, streamsOf("v1", 3)) || len(m.rows) != 3 {
		t.Fatalf("got rows %v", m.rows)
	}
	for key := range rows.remove {
		rows.remove[key] = time.Now().Add(-time.Second)
	}
	if !n.putStreams(ctx, rows, nil) || len(m.rows) != 0 || m.commits != 2 {
		t.Errorf("two minutes later: got rows %v after %d commits", m.rows, m.commits)
	}
	if !n.putStreams(ctx, rows, nil) || m.commits != 2 {
		t.Errorf("without rows: got %d commits", m.commits)
	}
}

// Guards against a late write that replaces newer streams.
func TestStreamRowAfterFailedWriteHasAnotherKey(t *testing.T) {
	n, m, rows := newStreamNode()
	m.failures = 1
	if n.putStreams(context.Background(), rows, streamsOf("v1", 3)) || !n.putStreams(context.Background(), rows, streamsOf("v1", 5)) {
		t.Fatal("the first write did not fail, or the second one did")
	}
	if len(m.rows) != 2 || len(rows.remove) != 2 {
		t.Errorf("got rows %v, to be removed %v", m.rows, rows.remove)
	}
}
