package store_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
	"cicadabeam/platform"
	"cicadabeam/test/standin/store"
)

func start(t *testing.T) (*store.Store, *platform.StoreClient, context.Context) {
	t.Helper()
	s, err := store.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return s, platform.NewStoreClient(s.Address(), "test"), ctx
}

// A table that is larger than one page is read completely.
func TestPagination(t *testing.T) {
	s, c, ctx := start(t)
	const n = 1100
	for i := range n {
		s.Put("servers", strconv.Itoa(i), []byte("v"))
	}
	p, err := c.Rows(ctx, "servers")
	if err != nil || len(p.Rows) != n || p.Version != n {
		t.Errorf("got %d rows at version %d, error %v", len(p.Rows), p.Version, err)
	}
}

// The feed returns changes after a version, waits for the next one, and fails if the
// history was discarded.
func TestChanges(t *testing.T) {
	s, c, ctx := start(t)
	s.Put("op", "config", []byte("one"))
	p, err := c.Changes(ctx, "op", 0, time.Second)
	if err != nil || len(p.Rows) != 1 || string(p.Rows[0].Value) != "one" {
		t.Fatalf("feed from the start: got %+v, error %v", p, err)
	}
	began := time.Now()
	p, err = c.Changes(ctx, "op", p.Version, 200*time.Millisecond)
	if err != nil || len(p.Rows) != 0 || time.Since(began) < 200*time.Millisecond {
		t.Errorf("feed without a change: got %+v, error %v after %v", p, err, time.Since(began))
	}
	go func() { time.Sleep(50 * time.Millisecond); s.Remove("op", "config") }()
	p, err = c.Changes(ctx, "op", p.Version, 5*time.Second)
	if err != nil || len(p.Rows) != 1 || !p.Rows[0].Deleted {
		t.Errorf("feed after a deletion: got %+v, error %v", p, err)
	}
	s.DiscardHistory()
	if _, err = c.Changes(ctx, "op", 1, time.Second); !errors.Is(err, platform.ErrHistoryLost) {
		t.Errorf("feed after the history was discarded: got error %v, want ErrHistoryLost", err)
	}
}

// A transaction with a failed condition is not executed and returns the current rows. A
// transaction whose response is lost is executed, and its outcome is unknown to the client.
func TestConditions(t *testing.T) {
	s, c, ctx := start(t)
	tx := platform.Transaction{
		Conditions: []platform.Condition{{Table: "nodes", Key: "a", Version: 0}},
		Writes:     []platform.Write{{Table: "nodes", Key: "a", Value: []byte("1")}},
		Removals:   []platform.Write{},
	}
	if _, err := c.Commit(ctx, tx); err != nil {
		t.Fatal(err)
	}
	var conflict *platform.ConflictError
	if _, err := c.Commit(ctx, tx); !errors.As(err, &conflict) || len(conflict.Rows) != 1 || conflict.Rows[0].Version != 1 {
		t.Errorf("failed condition: got error %v, want a conflict on one row at version 1", err)
	}
	s.SetMode(store.LoseResponses)
	unanswered := platform.Transaction{Conditions: []platform.Condition{}, Writes: []platform.Write{{Table: "nodes", Key: "b", Value: []byte("2")}}, Removals: []platform.Write{}}
	_, err := c.Commit(ctx, unanswered)
	if err == nil || errors.Is(err, platform.ErrUnavailable) || errors.As(err, &conflict) {
		t.Errorf("lost response: got error %v, want one that leaves the outcome open", err)
	}
	if k := s.Keys("nodes"); len(k) != 2 {
		t.Errorf("got keys %v, want two", k)
	}
}

// The client gets the error that belongs to each kind of outage.
func TestModes(t *testing.T) {
	s, c, ctx := start(t)
	for _, m := range []store.Mode{store.Unavailable, store.RateLimited} {
		s.SetMode(m)
		if _, err := c.Rows(ctx, "op"); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("mode %v: got error %v, want ErrUnavailable", m, err)
		}
	}
	s.SetMode(store.NoResponse)
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	if _, err := c.Rows(short, "op"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("mode NoResponse: got error %v, want context.DeadlineExceeded", err)
	}
	s.SetMode(store.ResetConnections)
	if _, err := c.Rows(ctx, "op"); err == nil {
		t.Error("mode ResetConnections: got no error")
	}
	s.SetMode(store.Healthy)
	if _, err := c.Rows(ctx, "op"); err != nil {
		t.Errorf("after the outage: got error %v", err)
	}
}

// Checks the table that core/records uses: single rows, rows by prefix, the indexes of
// failed conditions, and the detection of an outage.
func TestTable(t *testing.T) {
	s, c, ctx := start(t)
	table := platform.NewTable(c)
	write := func(conditions []records.Condition, keys ...string) error {
		x := records.Transaction{Conditions: conditions}
		for _, k := range keys {
			x.Writes = append(x.Writes, records.Write{Table: "claims", Key: k, Value: []byte(k)})
		}
		_, err := table.Commit(ctx, x)
		return err
	}
	if err := write(nil, "a/1", "a/2", "b/1"); err != nil {
		t.Fatal(err)
	}
	row, found, err := table.Get(ctx, "claims", "a/2")
	if err != nil || !found || string(row.Value) != "a/2" || row.Revision != (freshness.StoreVersion{Era: 1, Version: 1}) {
		t.Errorf("Get: got %+v, found %v, error %v", row, found, err)
	}
	if _, found, err := table.Get(ctx, "claims", "a/"); found || err != nil {
		t.Errorf("Get of a prefix: got found %v, error %v", found, err)
	}
	if rows, err := table.List(ctx, "claims", "a/"); err != nil || len(rows) != 2 || rows[0].Key != "a/1" {
		t.Errorf("List: got %v, error %v", rows, err)
	}
	err = write([]records.Condition{
		{Table: "claims", Key: "a/1", Revision: row.Revision}, {Table: "claims", Key: "a/2"}, {Table: "claims", Key: "c"}, {Table: "claims", Key: "d", Revision: row.Revision},
	}, "e")
	var conflict *records.ConflictError
	if !errors.As(err, &conflict) || !slices.Equal(conflict.Failed, []int{1, 3}) {
		t.Errorf("failed conditions: got error %v, conflict %+v", err, conflict)
	}
	s.SetMode(store.Unavailable)
	for began := time.Now(); time.Since(began) < 1500*time.Millisecond; time.Sleep(100 * time.Millisecond) {
		_, _, _ = table.Get(ctx, "claims", "a/1")
	}
	if !table.Unavailable() {
		t.Error("outage not reported")
	}
	s.SetMode(store.Healthy)
	_, _, _ = table.Get(ctx, "claims", "a/1")
	if table.Unavailable() || table.LastResponse().IsZero() {
		t.Error("outage still reported after the store works again")
	}
}

// A restored store has the rows of the copy, gives versions out again, rejects versions that
// it does not have, and sends its era in all responses.
func TestRestore(t *testing.T) {
	s, c, ctx := start(t)
	s.Put("op", "config", []byte("one"))
	older := s.Copy()
	s.Put("op", "config", []byte("two"))
	s.Put("op", "other", []byte("x"))
	s.Restore(older)
	if p, err := c.Rows(ctx, "op"); err != nil || len(p.Rows) != 1 || string(p.Rows[0].Value) != "one" || p.Version != 1 {
		t.Errorf("after the restore: got %+v, error %v", p, err)
	}
	if _, err := c.Changes(ctx, "op", 3, time.Second); !errors.Is(err, platform.ErrHistoryLost) {
		t.Errorf("changes since a version that the copy lacks: got error %v, want ErrHistoryLost", err)
	}
	s.Put("op", "config", []byte("three"))
	if p, err := c.Changes(ctx, "op", 1, time.Second); err != nil || len(p.Rows) != 1 || p.Version != 2 {
		t.Errorf("changes since the copy: got %+v, error %v", p, err)
	}
	url := "http://" + s.Address()
	for _, m := range []store.Mode{store.Healthy, store.Unavailable, store.RateLimited} {
		s.SetMode(m)
		for _, path := range []string{"/v1/rows-get?Table=op", "/v1/rows-feed?Table=op&SinceRev=0", "/v1/rows-feed?Table=op&SinceRev=9", "/v1/none"} {
			r, err := http.Get(url + path)
			if err != nil {
				t.Fatal(err)
			}
			_ = r.Body.Close()
			if era := r.Header.Get("Store-Era"); era != "2" {
				t.Errorf("mode %v, %s, status %d: got era %q, want 2", m, path, r.StatusCode, era)
			}
		}
	}
}

// A writer that writes again what a restore lost does not undo a later write that the history
// does not tell of any more.
func TestRewriteAfterLostHistoryKeepsLaterWrites(t *testing.T) {
	s, c, ctx := start(t)
	s.Put("op", "config", []byte("1"))
	s.Put("servers", "a", []byte("1"))
	older := s.Copy()
	s.Put("op", "config", []byte("2"))
	lost := s.Copy()
	s.Restore(older)
	s.Put("op", "config", []byte("3"))
	s.Remove("servers", "a")
	s.DiscardHistory()
	s.Rewrite("op", "config", lost, older)
	s.Rewrite("servers", "a", lost, older)
	page, err := c.Rows(ctx, "op")
	if err != nil || len(page.Rows) != 1 || string(page.Rows[0].Value) != "3" {
		t.Errorf("got rows %v, error %v; want the configuration 3", page.Rows, err)
	}
	if keys := s.Keys("servers"); len(keys) > 0 {
		t.Errorf("servers %v are back that were removed since the restore", keys)
	}
}
