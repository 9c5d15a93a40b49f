package rollouts

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
	"cicadabeam/core/rollout"
	"cicadabeam/io/neighbour"
	"cicadabeam/platform"
)

type emptyStore struct{}

func (emptyStore) Load(context.Context, string) (records.RolloutRow, error) {
	return records.RolloutRow{}, nil
}
func (emptyStore) Save(context.Context, rollout.State, freshness.StoreVersion) (freshness.StoreVersion, error) {
	return freshness.StoreVersion{}, nil
}
func (emptyStore) Era() uint64 { return 1 }

// newHost returns the roll-outs of a host at an uptime that the test sets.
func newHost(now *time.Duration) *Rollouts {
	return New(Host{
		Name: "host", Limits: rollout.Limits{ExposureShare: 0.1}, Fleet: fleet.New(fleet.Topology{}), Store: emptyStore{}, Uptime: func() time.Duration { return *now },
		Notify: func() {}, PassOn: func() {}, ReadsStore: func() bool { return true }, Origins: func() []Origin { return nil }, Log: func(string, map[string]any) {},
	})
}

func orderRow(version uint64, target string) platform.Row {
	return platform.Row{Key: "rollout/x", Version: version, Value: fmt.Appendf(nil, `{"Service":"x","To":%q,"DurationS":12}`, target)}
}

func (r *Rollouts) orderID(t *testing.T) uint64 {
	t.Helper()
	all := r.table.Orders()
	if len(all) != 1 {
		t.Fatalf("got orders %+v, want one", all)
	}
	return all[0].ID
}

// Guards against a roll-out that begins again, or is withdrawn, because the store came back from an
// older copy.
func TestOrdersAfterRestore(t *testing.T) {
	now := time.Hour
	r := newHost(&now)
	apply := func(full, settled, kept bool, rows ...platform.Row) {
		now += time.Second
		r.ApplyRows(rows, full, now, settled, kept)
	}
	apply(true, true, false, orderRow(120, "v2"))
	apply(true, false, true) // the copy is older than the order
	if id := r.orderID(t); id != 120 {
		t.Errorf("while the operator may write again: order %d, want 120", id)
	}
	apply(false, true, true, orderRow(105, "v2"))
	if id := r.orderID(t); id != 120 {
		t.Errorf("the same order, written again, has ID %d, want 120", id)
	}
	apply(false, true, true, orderRow(106, "v3"))
	if id := r.orderID(t); id <= 120 {
		t.Errorf("another order has ID %d, not a higher one", id)
	}
	apply(true, true, false)
	if all := r.table.Orders(); len(all) > 0 {
		t.Errorf("got orders %+v after the row was removed", all)
	}
	apply(true, true, false, platform.Row{Key: "rollout/x", Value: []byte("{")}, platform.Row{Key: platform.ConfigKey, Value: []byte("{}")})
	if all := r.table.Orders(); len(all) > 0 {
		t.Errorf("got orders %+v of rows that are none", all)
	}
}

// Guards against a permit that is prolonged by a report which waited on its way.
func TestReportOfUnknownAgePermitsNothing(t *testing.T) {
	now := time.Hour
	from, to := newHost(&now), newHost(&now)
	from.ApplyRows([]platform.Row{orderRow(7, "v2")}, true, now, true, false)
	s := rollout.State{Order: from.table.Orders()[0], Term: 1, Seq: 1, Driver: "d", Phase: rollout.Canary, Share: 0.08, LeaseUntilMS: 3000}
	from.table.Merge(s, 0, now)
	x := from.Report()
	if !to.Merge(x, UnknownSendTime) {
		t.Error("the host does not ask for news of unknown age")
	}
	if _, _, found := to.table.State("x", now); found || len(to.table.Orders()) > 0 {
		t.Error("a report of unknown age was applied")
	}
	sent := now
	now += 400 * time.Millisecond
	to.Merge(x, sent)
	if _, age, found := to.table.State("x", now); !found || age != 400*time.Millisecond || len(to.table.Orders()) != 1 {
		t.Errorf("state found %v with age %v, orders %+v", found, age, to.table.Orders())
	}
	if to.Merge(x, UnknownSendTime) {
		t.Error("the host asks for what it knows")
	}
}

// Guards against a roll-out that is completed before the hosts behind gateways have left the old servers.
func TestSumOfDataCentre(t *testing.T) {
	now := time.Hour
	r := newHost(&now)
	if x := r.Sum(nil); x != nil {
		t.Errorf("got the sum %+v without a roll-out", x)
	}
	r.ApplyRows([]platform.Row{orderRow(7, "v2")}, true, now, true, false)
	peer := &neighbour.RolloutReport{Progress: rollout.Report{"x": {OrderID: 7, Term: 1, Seq: 1, OldRuns: 3, Hosts: 1}}}
	x := r.Sum([]Origin{{Name: "a", Report: peer, Age: time.Second}, {Name: "old version"}})
	if p := x.Progress["x"]; p.Hosts != 3 || p.OldRuns != 3 || p.Term != 0 || p.Age < time.Second {
		t.Errorf("got %+v, want 3 hosts of which one follows nothing", p)
	}
}

// Guards against a cost for hosts without roll-outs.
func TestDisabledRollouts(t *testing.T) {
	r := New(Host{})
	r.ApplyRows(nil, true, 0, true, false)
	r.SetServers()
	r.Collect("a", nil)
	r.Gauges(nil)
	if r != nil || r.Traffic() != nil || r.Report() != nil || r.Sum(nil) != nil || r.Merge(&neighbour.RolloutReport{OrdersKnown: true}, 0) {
		t.Error("roll-outs are not disabled")
	}
}
