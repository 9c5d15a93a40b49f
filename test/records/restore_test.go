// Package records tests core/records against a stand-in of the platform's store that comes
// back from an older copy.
package records

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/claim"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	corerecords "cicadabeam/core/records"
	"cicadabeam/platform"
	"cicadabeam/test/standin/store"
)

// node is one node's access to the store.
type node struct {
	table   *platform.Table
	claims  *corerecords.ClaimStore
	configs *corerecords.ConfigStore
}

func newNode(s *store.Store) *node {
	table := platform.NewTable(platform.NewStoreClient(s.Address(), "test"))
	return &node{table: table, claims: corerecords.NewClaimStore(table), configs: corerecords.NewConfigStore(table)}
}

func start(t *testing.T) (*store.Store, context.Context) {
	t.Helper()
	s, err := store.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return s, ctx
}

// notice makes a node see the store's era.
func (n *node) notice(ctx context.Context) { _, _, _ = n.table.Get(ctx, "claims", "none") }

func key(name string) claim.Key { return claim.Key{Organisation: "o", Service: "s", Name: name} }

func row(id string, s claim.State) claim.Row {
	return claim.Row{ID: id, State: s, Created: time.Now().Unix()}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (n *node) expect(t *testing.T, ctx context.Context, name, id string, s claim.State) {
	t.Helper()
	v, found, err := n.claims.Read(ctx, key(name))
	must(t, err)
	if !found || v.Row.ID != id || v.Row.State != s {
		t.Errorf("claim %s: got %q %s, found %v; want %q %s", name, v.Row.ID, v.Row.State, found, id, s)
	}
}

// The claims that a node wrote since the copy are written again in their last state, and once.
func TestClaimsAreWrittenAgain(t *testing.T) {
	s, ctx := start(t)
	a, b := newNode(s), newNode(s)
	at, ok, err := a.claims.Insert(ctx, key("in the copy"), row("a0", claim.Claimed))
	if !ok {
		t.Fatal(err)
	}
	left, _, _ := b.claims.Insert(ctx, key("taken over"), row("b0", claim.Abandoned))
	older := s.Copy()
	_, ok, err = a.claims.Replace(ctx, key("in the copy"), at, row("a0", claim.Done))
	if !ok {
		t.Fatal(err)
	}
	if _, ok, err = a.claims.Replace(ctx, key("taken over"), left, row("a1", claim.Claimed)); !ok {
		t.Fatal(err)
	}
	for i := range 200 {
		if _, ok, err = a.claims.Insert(ctx, key(fmt.Sprint(i)), row(fmt.Sprint("a-", i), claim.Claimed)); !ok {
			t.Fatal(i, err)
		}
	}
	if _, ok, _ = b.claims.Insert(ctx, key("7"), row("rejected", claim.Claimed)); ok {
		t.Fatal("a second claim was inserted")
	}
	s.Restore(older)
	for range 2 {
		b.notice(ctx)
		if r := b.claims.Rewrite(ctx); r.Written != 0 {
			t.Errorf("the node whose claims are in the copy, or were rejected, wrote %+v", r)
		}
		a.notice(ctx)
		a.claims.Rewrite(ctx)
	}
	b.expect(t, ctx, "in the copy", "a0", claim.Done)
	b.expect(t, ctx, "taken over", "a1", claim.Claimed)
	for i := range 200 {
		b.expect(t, ctx, fmt.Sprint(i), fmt.Sprint("a-", i), claim.Claimed)
	}
	if r := a.claims.Rewrite(ctx); r != (corerecords.Rewritten{}) {
		t.Errorf("written again: %+v", r)
	}
}

// Guards against a call that runs twice: its claim was lost, and another node claims it before
// the first has written it again.
func TestClaimsWaitAfterRestore(t *testing.T) {
	s, ctx := start(t)
	a, b := newNode(s), newNode(s)
	b.notice(ctx)
	older := s.Copy()
	if _, ok, err := a.claims.Insert(ctx, key("k"), row("first", claim.Claimed)); !ok {
		t.Fatal(err)
	}
	s.Restore(older)
	var f *fault.Error
	for _, when := range []string{"before the node knew of the restore", "after that"} {
		if _, ok, err := b.claims.Insert(ctx, key("k"), row("second", claim.Claimed)); ok || !errors.As(err, &f) || f.Code() != fault.PlatformUnavailable {
			t.Errorf("claimed %s: ok %v, error %v; want platform_unavailable", when, ok, err)
		}
	}
	a.notice(ctx)
	if r := a.claims.Rewrite(ctx); r.Written != 1 {
		t.Errorf("got %+v, want one claim written again", r)
	}
	b.expect(t, ctx, "k", "first", claim.Claimed)
	time.Sleep(3 * time.Second)
	if _, ok, err := b.claims.Insert(ctx, key("k"), row("second", claim.Claimed)); ok || err != nil {
		t.Errorf("claimed after all had time to write again: ok %v, error %v", ok, err)
	}
	if _, ok, err := b.claims.Insert(ctx, key("new"), row("new", claim.Claimed)); !ok {
		t.Errorf("a new call can't be claimed: %v", err)
	}
}

// Guards against a write whose condition holds by chance: the store has given the version to
// another change since.
func TestConditionOfOlderEra(t *testing.T) {
	s, ctx := start(t)
	n := newNode(s)
	s.Put("claims", "x", []byte("1"))
	older := s.Copy()
	s.Put("claims", "x", []byte("2"))
	read, _, err := n.table.Get(ctx, "claims", "x")
	must(t, err)
	s.Restore(older)
	s.Put("claims", "x", []byte("3"))
	n.notice(ctx)
	_, err = n.table.Commit(ctx, corerecords.Transaction{
		Conditions: []corerecords.Condition{{Table: "claims", Key: "x", Revision: read.Revision}},
		Writes:     []corerecords.Write{{Table: "claims", Key: "x", Value: []byte("4")}},
	})
	var conflict *corerecords.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Failed) != 1 {
		t.Errorf("got error %v, want a conflict", err)
	}
	if got, _, _ := n.table.Get(ctx, "claims", "x"); string(got.Value) != "3" {
		t.Errorf("got value %q, want the one that was written since the restore", got.Value)
	}
}

func questionnaire(t *testing.T, revision uint64) *config.Config {
	t.Helper()
	c, err := config.Parse("questionnaire", []byte("[region north]\n[data-centre a]\nregion = north\n"))
	must(t, err)
	return c.WithRevision(revision)
}

// Changes of the configuration that the store lost, by two nodes, are there again with their
// audit entries, and none is applied before.
func TestChangesAreWrittenAgain(t *testing.T) {
	s, ctx := start(t)
	a, b := newNode(s), newNode(s)
	apply := func(n *node, base uint64, by string) error {
		_, err := n.configs.Apply(ctx, questionnaire(t, 0), base, corerecords.AuditEntry{By: by}, nil)
		return err
	}
	must(t, apply(a, 0, "one"))
	older := s.Copy()
	must(t, apply(a, 1, "two"))
	must(t, apply(b, 2, "three"))
	must(t, apply(a, 3, "four"))
	s.Restore(older)
	var f *fault.Error
	if err := apply(b, 1, "too early"); !errors.As(err, &f) || f.Code() != fault.PlatformUnavailable || f.Ran() != fault.NotRun {
		t.Errorf("a change before the others were written again: got error %v", err)
	}
	for range 2 {
		for _, n := range []*node{a, b} {
			n.notice(ctx)
			if _, err := n.configs.Rewrite(ctx); err != nil {
				t.Error(err)
			}
		}
	}
	head, err := b.configs.Head(ctx)
	must(t, err)
	trail, err := b.configs.AuditTrail(ctx, 10)
	must(t, err)
	var by []string
	for _, x := range trail {
		by = append(by, x.By)
	}
	if head.Revision != 4 || fmt.Sprint(by) != "[four three two one]" {
		t.Errorf("got revision %d and audit trail %q", head.Revision, by)
	}
	if c, err := b.configs.Load(ctx); err != nil || c.Revision() != 4 {
		t.Errorf("got configuration %v, error %v", c, err)
	}
}

// A change whose author is gone is written again from a node where it is in force, and the
// audit trail says so.
func TestChangeOfLostNodeIsReinstated(t *testing.T) {
	s, ctx := start(t)
	a, b := newNode(s), newNode(s)
	for base, by := range []string{"one", "two"} {
		_, err := a.configs.Apply(ctx, questionnaire(t, 0), uint64(base), corerecords.AuditEntry{By: by}, nil)
		must(t, err)
	}
	s.Restore(store.Copy{})
	b.notice(ctx)
	for _, want := range []bool{true, false} {
		written, err := b.configs.Reinstate(ctx, questionnaire(t, 2), corerecords.AuditEntry{Node: "b", Note: "reinstated"})
		if written != want || err != nil {
			t.Errorf("written %v, error %v; want %v", written, err, want)
		}
	}
	trail, err := b.configs.AuditTrail(ctx, 10)
	if err != nil || len(trail) != 1 || trail[0].Revision != 2 || trail[0].Note != "reinstated" || trail[0].By != "" {
		t.Errorf("got audit trail %+v, error %v", trail, err)
	}
}
