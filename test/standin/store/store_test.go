package store_test

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"testing"
	"time"

	"cicadabeam/core/records"
	"cicadabeam/platform"
	"cicadabeam/test/standin/store"
)

func start(t *testing.T) (*store.Store, *platform.Store, context.Context) {
	t.Helper()
	s, err := store.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return s, platform.NewStore(s.Address(), "test"), ctx
}

func TestRowsInPages(t *testing.T) {
	s, c, ctx := start(t)
	const n = 1100
	for i := range n {
		s.Put("servers", strconv.Itoa(i), []byte("v"))
	}
	p, err := c.Rows(ctx, "servers")
	if err != nil || len(p.Rows) != n || p.Version != n {
		t.Errorf("%d rows at version %d, %v", len(p.Rows), p.Version, err)
	}
}

func TestChanges(t *testing.T) {
	s, c, ctx := start(t)
	s.Put("op", "config", []byte("one"))
	p, err := c.Changes(ctx, "op", 0, time.Second)
	if err != nil || len(p.Rows) != 1 || string(p.Rows[0].Value) != "one" {
		t.Fatalf("%+v, %v", p, err)
	}
	began := time.Now()
	p, err = c.Changes(ctx, "op", p.Version, 200*time.Millisecond)
	if err != nil || len(p.Rows) != 0 || time.Since(began) < 200*time.Millisecond {
		t.Errorf("without a change: %+v, %v after %v", p, err, time.Since(began))
	}
	go func() { time.Sleep(50 * time.Millisecond); s.Remove("op", "config") }()
	p, err = c.Changes(ctx, "op", p.Version, 5*time.Second)
	if err != nil || len(p.Rows) != 1 || !p.Rows[0].Deleted {
		t.Errorf("after a removal: %+v, %v", p, err)
	}
	s.DropHistory()
	if _, err = c.Changes(ctx, "op", 1, time.Second); !errors.Is(err, platform.ErrHistoryLost) {
		t.Errorf("without history: %v", err)
	}
}

func TestConditions(t *testing.T) {
	s, c, ctx := start(t)
	tx := platform.Transaction{
		Conditions: []platform.RowVersion{{Table: "nodes", Key: "a", Version: 0}},
		Writes:     []platform.RowValue{{Table: "nodes", Key: "a", Value: []byte("1")}},
		Removals:   []platform.RowValue{},
	}
	if _, err := c.Commit(ctx, tx); err != nil {
		t.Fatal(err)
	}
	var conflict *platform.ConflictError
	if _, err := c.Commit(ctx, tx); !errors.As(err, &conflict) || len(conflict.Rows) != 1 || conflict.Rows[0].Version != 1 {
		t.Errorf("a condition that doesn't hold: %v", err)
	}
	s.Fail(store.Losing)
	lost := platform.Transaction{Conditions: []platform.RowVersion{}, Writes: []platform.RowValue{{Table: "nodes", Key: "b", Value: []byte("2")}}, Removals: []platform.RowValue{}}
	_, err := c.Commit(ctx, lost)
	if err == nil || errors.Is(err, platform.ErrUnavailable) || errors.As(err, &conflict) {
		t.Errorf("a lost answer: %v", err)
	}
	if k := s.Keys("nodes"); len(k) != 2 {
		t.Errorf("the rows are %v", k)
	}
}

func TestOutages(t *testing.T) {
	s, c, ctx := start(t)
	for _, m := range []store.Mode{store.Busy, store.Limited} {
		s.Fail(m)
		if _, err := c.Rows(ctx, "op"); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("mode %v: %v", m, err)
		}
	}
	s.Fail(store.Silent)
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	if _, err := c.Rows(short, "op"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("silent: %v", err)
	}
	s.Fail(store.Reset)
	if _, err := c.Rows(ctx, "op"); err == nil {
		t.Error("reset connections give rows")
	}
	s.Fail(store.Well)
	if _, err := c.Rows(ctx, "op"); err != nil {
		t.Errorf("after the outage: %v", err)
	}
}

// The product's own records: single rows, rows by prefix, and which conditions fail.
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
	if err != nil || !found || string(row.Value) != "a/2" || row.Revision != 1 {
		t.Errorf("%+v, %v, %v", row, found, err)
	}
	if _, found, err := table.Get(ctx, "claims", "a/"); found || err != nil {
		t.Errorf("a prefix names a row: %v, %v", found, err)
	}
	if rows, err := table.List(ctx, "claims", "a/"); err != nil || len(rows) != 2 || rows[0].Key != "a/1" {
		t.Errorf("%v, %v", rows, err)
	}
	err = write([]records.Condition{
		{Table: "claims", Key: "a/1", Revision: 1}, {Table: "claims", Key: "a/2", Revision: 0}, {Table: "claims", Key: "c", Revision: 0}, {Table: "claims", Key: "d", Revision: 1},
	}, "e")
	var conflict *records.ConflictError
	if !errors.As(err, &conflict) || !slices.Equal(conflict.Failed, []int{1, 3}) {
		t.Errorf("the conditions fail as %v, %+v", err, conflict)
	}
	s.Fail(store.Busy)
	for began := time.Now(); time.Since(began) < 1500*time.Millisecond; time.Sleep(100 * time.Millisecond) {
		_, _, _ = table.Get(ctx, "claims", "a/1")
	}
	if !table.Unavailable() {
		t.Error("the store isn't away")
	}
	s.Fail(store.Well)
	_, _, _ = table.Get(ctx, "claims", "a/1")
	if table.Unavailable() || table.Reached().IsZero() {
		t.Error("the store is still away")
	}
}
