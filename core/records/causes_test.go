package records_test

import (
	"context"
	"testing"
	"time"

	"cicadabeam/core/crashcause"
	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
)

// rowTable holds the rows of one table.
type rowTable struct {
	records.Table
	rows map[string][]byte
}

func (t *rowTable) Commit(_ context.Context, x records.Transaction) (freshness.StoreVersion, error) {
	for _, w := range x.Writes {
		if w.Remove {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = w.Value
	}
	return freshness.StoreVersion{}, nil
}

func (t *rowTable) List(context.Context, string, string) ([]records.Row, error) {
	var all []records.Row
	for key, value := range t.rows {
		all = append(all, records.Row{Key: key, Value: value})
	}
	return all, nil
}

// A suspicion that remained beside its conviction, or after its release, would be tried after each start.
func TestConvictionReplacesStoredSuspicion(t *testing.T) {
	table := &rowTable{rows: make(map[string][]byte)}
	h := records.NewHostStore(table)
	now := time.Now()
	part := []crashcause.Feature{crashcause.PromptPart("m", "9d40c3b1")}
	suspicion := crashcause.StoredCause{Features: part, Remaining: part, Since: now.UnixMilli(), Until: now.UnixMilli(), Probation: &crashcause.StoredProbation{Comparable: true}}
	conviction, released := suspicion, suspicion
	conviction.Probation = nil
	released.Remaining = nil
	for _, x := range []struct {
		name      string
		put       crashcause.StoredCause
		rows      int
		suspected bool
	}{
		{"suspected", suspicion, 1, true},
		{"convicted", conviction, 1, false},
		{"suspected by a host that had not heard of it", suspicion, 2, true},
		{"released", released, 1, false},
	} {
		if err := h.PutCause(t.Context(), x.put); err != nil {
			t.Fatal(err)
		}
		list, err := h.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		suspected := false
		for _, c := range list.Causes {
			suspected = suspected || c.Probation != nil
		}
		if len(list.Causes) != x.rows || suspected != x.suspected || len(list.Hosts) > 0 {
			t.Errorf("%s: got %v", x.name, list)
		}
	}
}
