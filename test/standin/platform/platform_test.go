package platform_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"cicadabeam/core/claim"
	client "cicadabeam/io/platform"
	"cicadabeam/test/standin/platform"
)

func newClaims(t *testing.T) (*client.Claims, *client.Client) {
	t.Helper()
	s := httptest.NewServer(platform.New())
	t.Cleanup(s.Close)
	c := client.New(s.URL, "test")
	return client.NewClaims(c), c
}

func key(i int) claim.Key {
	return claim.Key{Organisation: "o", Service: "s", Name: fmt.Sprint("k", i)}
}

func row(id string, at time.Time) claim.Row {
	return claim.Row{ID: id, State: claim.Claimed, Created: at.Unix()}
}

// Claims that come at once go in few transactions, and each key has one winner.
func TestGroupCommit(t *testing.T) {
	c, x := newClaims(t)
	var mu sync.Mutex
	won := make(map[string]int)
	var work sync.WaitGroup
	for i := range 300 {
		work.Go(func() {
			_, ok, err := c.Insert(context.Background(), key(i%100), row(fmt.Sprint(i), time.Now()))
			if err != nil {
				t.Error(err)
			}
			if ok {
				mu.Lock()
				won[key(i%100).String()]++
				mu.Unlock()
			}
		})
	}
	work.Wait()
	for k, n := range won {
		if n != 1 {
			t.Errorf("%s was claimed %d times", k, n)
		}
	}
	if len(won) != 100 || x.Writes() > 100 {
		t.Errorf("%d keys claimed in %d transactions", len(won), x.Writes())
	}
}

// A key is one key for nodes whose clocks are a day apart.
func TestNearDays(t *testing.T) {
	c, _ := newClaims(t)
	ctx := context.Background()
	now := time.Now()
	for i, first := range []time.Duration{-24 * time.Hour, 0, 24 * time.Hour} {
		if _, ok, err := c.Insert(ctx, key(i), row("first", now.Add(first))); !ok || err != nil {
			t.Fatalf("first: %v, %v", ok, err)
		}
		if _, ok, err := c.Insert(ctx, key(i), row("second", now)); ok || err != nil {
			t.Errorf("claimed again %v from the first: %v", first, err)
		}
		s, found, err := c.Read(ctx, key(i))
		if err != nil || !found || s.Row.ID != "first" {
			t.Errorf("read %+v, %v, %v", s, found, err)
		}
		s.Row.State = claim.Done
		if _, ok, err := c.Replace(ctx, key(i), s.Revision, s.Row); !ok || err != nil {
			t.Errorf("replaced: %v, %v", ok, err)
		}
		if _, ok, _ := c.Replace(ctx, key(i), s.Revision, s.Row); ok {
			t.Error("replaced at an old revision")
		}
	}
}

// Old claims are taken away, those that may be asked for stay.
func TestSweep(t *testing.T) {
	c, _ := newClaims(t)
	ctx := context.Background()
	now := time.Now()
	const old = 100
	for i := range old {
		if _, ok, err := c.Insert(ctx, key(i), row("old", now.Add(-4*24*time.Hour))); !ok || err != nil {
			t.Fatal(err)
		}
	}
	if _, ok, err := c.Insert(ctx, key(old), row("young", now.Add(-23*time.Hour))); !ok || err != nil {
		t.Fatal(err)
	}
	taken := 0
	for {
		n, err := c.Sweep(ctx, now)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			break
		}
		taken += n
	}
	if _, found, err := c.Read(ctx, key(old)); taken != old || !found || err != nil {
		t.Errorf("%d of %d taken away; the young one stays: %v, %v", taken, old, found, err)
	}
}
