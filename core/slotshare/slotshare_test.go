package slotshare_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/slotshare"
)

var start = time.Now()

// nodes returns the tables of some nodes that have reported their requests a second to each other.
func nodes(now time.Time, requests ...int) []*slotshare.Table {
	all := make([]*slotshare.Table, len(requests))
	for i, n := range requests {
		all[i] = slotshare.New(fmt.Sprintf("a/%03d", i))
		all[i].Name("orders", now)
		for k := range n {
			all[i].RecordRequest("orders", now.Add(-2*time.Second+time.Duration(k-n)*time.Millisecond))
		}
	}
	for i, x := range all {
		for k, y := range all {
			if i != k {
				y.Merge(fmt.Sprintf("a/%03d", i), x.Report(now), 1, now)
			}
		}
	}
	return all
}

// Guards against nodes that each use all slots of a server.
func TestQuotasOfAllNodesAddUpToNoMoreThanTheSlots(t *testing.T) {
	for _, requests := range [][]int{{100}, {100, 100, 100, 100}, {400, 0, 0, 0}, {0, 0, 0}, {1, 50, 300, 2, 2, 2, 9}, make([]int, 195)} {
		for _, slots := range []int{1, 4, 6, 48} {
			total := 0
			all := nodes(start, requests...)
			for server := range 20 {
				sum := 0
				for _, x := range all {
					sum += x.Quota("orders", fmt.Sprint(server), slots, len(requests), start)
				}
				if sum > slots {
					t.Errorf("requests %v: quotas of a server with %d slots add up to %d", requests, slots, sum)
				}
				total += sum
			}
			if slots > 1 && float64(total) < 0.6*float64(20*slots) {
				t.Errorf("requests %v: %d of %d slots are used", requests, total, 20*slots)
			}
		}
	}
}

func TestQuotaFollowsRequests(t *testing.T) {
	sum := func(x *slotshare.Table) (n int) {
		for server := range 10 {
			n += x.Quota("orders", fmt.Sprint(server), 6, 4, start)
		}
		return n
	}
	all := nodes(start, 300, 100, 0, 0)
	if a, b, c := sum(all[0]), sum(all[1]), sum(all[2]); a < 2*b || b < c || a < 30 {
		t.Errorf("nodes with 300, 100 and 0 requests may have %d, %d and %d at a time", a, b, c)
	}
}

// Guards against nodes whose parts grow beyond one while the requests of all rise.
func TestQuotasAddUpWhileRequestsRise(t *testing.T) {
	const count, lag = 4, 300 * time.Millisecond
	all := make([]*slotshare.Table, count)
	for i := range all {
		all[i] = slotshare.New(fmt.Sprintf("a/%d", i))
		all[i].Name("orders", start)
	}
	type sent struct {
		at     time.Time
		from   int
		report slotshare.Report
	}
	var onTheWay []sent
	for ms := range 4000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i, x := range all {
			every := 200
			if ms > 2000 {
				every = 10
			}
			if ms%every == i {
				x.RecordRequest("orders", now)
			}
			if ms%200 == 0 {
				x.Name("orders", now)
				onTheWay = append(onTheWay, sent{now.Add(lag), i, x.Report(now)})
			}
		}
		for len(onTheWay) > 0 && !onTheWay[0].at.After(now) {
			m := onTheWay[0]
			onTheWay = onTheWay[1:]
			for i, x := range all {
				if i != m.from {
					x.Merge(fmt.Sprintf("a/%d", m.from), m.report, 1, now)
				}
			}
		}
		for server := range 10 {
			sum := 0
			for _, x := range all {
				sum += x.Quota("orders", fmt.Sprint(server), 4, count, now)
			}
			if ms > 1000 && sum > 4 {
				t.Fatalf("after %d ms the quotas of a server with 4 slots add up to %d", ms, sum)
			}
		}
	}
}

func TestBrittleServersEnd(t *testing.T) {
	a, b := slotshare.New("a/1"), slotshare.New("a/2")
	if a.Any() || a.End("orders", start) {
		t.Error("brittle from the beginning on")
	}
	if !a.Name("orders", start) || a.Name("orders", start.Add(time.Second)) || !a.Brittle("orders", start) {
		t.Error("a statement is no news, or twice")
	}
	if changed := b.Merge("a/1", a.Report(start.Add(time.Second)), 1, start.Add(time.Second)); len(changed) != 1 || !b.Brittle("orders", start) {
		t.Errorf("changed %v", changed)
	}
	if a.End("orders", start.Add(1100*time.Millisecond)) {
		t.Error("a response that was overtaken ends it")
	}
	if !a.End("orders", start.Add(3*time.Second)) || a.Any() {
		t.Error("a response does not end it")
	}
	b.Merge("a/1", a.Report(start.Add(3*time.Second)), 1, start.Add(3*time.Second))
	if b.Any() {
		t.Error("the end is not reported")
	}
	a.Name("orders", start.Add(4*time.Second))
	if a.Brittle("orders", start.Add(time.Minute)) {
		t.Error("brittle a minute after the last response")
	}
}
