package store_test

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

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
	return s, platform.NewStore(s.Address()), ctx
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
	}
	if err := c.Commit(ctx, tx); err != nil {
		t.Fatal(err)
	}
	if err := c.Commit(ctx, tx); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("a condition that doesn't hold: %v", err)
	}
	s.Fail(store.Losing)
	lost := platform.Transaction{Writes: []platform.RowValue{{Table: "nodes", Key: "b", Value: []byte("2")}}}
	err := c.Commit(ctx, lost)
	if err == nil || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrConflict) {
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
