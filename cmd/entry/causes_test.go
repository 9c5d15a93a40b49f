package entry

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabeam/core/crashcause"
	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
	"cicadabeam/io/neighbour"
)

// failingTable takes no writes for some time.
type failingTable struct {
	records.Table
	mu       sync.Mutex
	failures int
	written  []string
}

func (t *failingTable) Commit(_ context.Context, x records.Transaction) (freshness.StoreVersion, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failures > 0 {
		t.failures--
		return freshness.StoreVersion{}, errors.New("the store is unavailable")
	}
	t.written = append(t.written, x.Writes[0].Key)
	return freshness.StoreVersion{}, nil
}

func (t *failingTable) List(context.Context, string, string) ([]records.Row, error) {
	return nil, errors.New("the store is unavailable")
}

func (t *failingTable) writes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.written)
}

// If all hosts are killed after the store is back, they know the cause.
func TestCauseIsStoredOnceTheStoreTakesIt(t *testing.T) {
	table := &failingTable{failures: 2}
	m := &metrics{scope: tally.NoopScope, counters: make(map[string]tally.Counter), histograms: make(map[string]tally.Histogram)}
	n := &Node{hosts: records.NewHostStore(table), recorder: newRecorder(newLogger(newLogWriter(io.Discard, "node-1", func() {}), "error", "node-1"), m)}
	now := time.Now()
	part := []crashcause.Feature{crashcause.PromptPart("m", "9d40c3b1")}
	n.storeCauses([]crashcause.StoredCause{{Features: part, Remaining: part, Since: now.UnixMilli(), Until: now.Add(time.Minute).UnixMilli()}})
	for until := time.Now().Add(10 * time.Second); table.writes() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the cause is not stored 10 s after the store is back")
		}
	}
	if table.writes() != 1 {
		t.Errorf("the cause was stored %d times", table.writes())
	}
}

// causeTable has a suspicion, which is read after some time.
type causeTable struct {
	records.Table
	row records.Row
}

func (t *causeTable) Commit(_ context.Context, x records.Transaction) (freshness.StoreVersion, error) {
	t.row = records.Row{Key: x.Writes[0].Key, Value: x.Writes[0].Value}
	return freshness.StoreVersion{}, nil
}

func (t *causeTable) List(context.Context, string, string) ([]records.Row, error) {
	time.Sleep(50 * time.Millisecond)
	return []records.Row{t.row}, nil
}

// A store that was back told the servers before the suspicion, and requests that had waited crashed four of them.
func TestRequestsWaitForStoredCauses(t *testing.T) {
	n := testNode(t, "node-1")
	n.hosts = records.NewHostStore(&causeTable{})
	now := time.Now()
	part := []crashcause.Feature{crashcause.PromptPart("m", "9d40c3b1")}
	if !n.storeCause(crashcause.StoredCause{Features: part, Remaining: part, Since: now.UnixMilli(), Until: now.UnixMilli(), Probation: &crashcause.StoredProbation{}}) {
		t.Fatal("not stored")
	}
	n.applyPeerServers(neighbour.ServerList{Fact: neighbour.VersionInfo{Known: true, Version: 7}, Whole: true}, uptime(), "store")
	n.installConfiguration([]byte(`{"Version":1}`), uptime(), true, "store")
	select {
	case <-n.synced:
	case <-time.After(5 * time.Second):
		t.Fatal("requests wait for more than 5 s")
	}
	if known := n.handler.CrashReport(time.Now()).Causes; len(known) != 1 {
		t.Errorf("%d causes are known as requests are sent, want the stored one", len(known))
	}
}
