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
