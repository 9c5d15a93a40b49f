package aggregation_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/aggregation"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against aggregates that are sent to peers that have them already.
func TestKnownAggregateIsNotSentAgain(t *testing.T) {
	f := aggregation.NewForwarding()
	if f.RecordKnown("b", map[string]time.Duration{}, start); !f.Needs("b", "dc", start, true, start) {
		t.Error("an unknown aggregate was not sent")
	}
	if f.Needs("b", "dc", at(20*time.Millisecond), true, at(30*time.Millisecond)) {
		t.Error("the aggregate was sent again before the peer reported")
	}
	f.RecordKnown("b", map[string]time.Duration{"dc": 0}, at(100*time.Millisecond))
	if f.Needs("b", "dc", at(100*time.Millisecond), true, at(150*time.Millisecond)) {
		t.Error("the peer has the aggregate")
	}
	if !f.Needs("b", "dc", at(400*time.Millisecond), true, at(400*time.Millisecond)) {
		t.Error("a newer aggregate was not sent")
	}
}

// Guards against an aggregate that is lost with its message and is never sent again.
func TestLostAggregateIsSentAgain(t *testing.T) {
	f := aggregation.NewForwarding()
	f.RecordKnown("b", map[string]time.Duration{}, start)
	_ = f.Needs("b", "dc", start, true, start)
	f.RecordKnown("b", map[string]time.Duration{}, at(500*time.Millisecond))
	if !f.Needs("b", "dc", start, true, at(500*time.Millisecond)) {
		t.Error("the aggregate that did not arrive was not sent again")
	}
}

// Guards against a node without a path to the gateways that gets no aggregates.
func TestOthersForwardToNodesThatGatewaysDoNotReach(t *testing.T) {
	f := aggregation.NewForwarding()
	f.RecordKnown("b", map[string]time.Duration{"dc": 400 * time.Millisecond}, start)
	if f.Needs("b", "dc", start, false, start) {
		t.Error("a node that is no gateway sent an aggregate that the gateways send")
	}
	f.RecordKnown("b", map[string]time.Duration{"dc": 1500 * time.Millisecond}, start)
	if !f.Needs("b", "dc", start, false, start) {
		t.Error("nobody sent the aggregate")
	}
}

// Guards against peers of an earlier version, which don't say what they have, that get nothing.
func TestPeerOfEarlierVersionGetsAllAggregates(t *testing.T) {
	f := aggregation.NewForwarding()
	f.RecordKnown("b", nil, start)
	for range 2 {
		if !f.Needs("b", "dc", start, false, start) {
			t.Error("the aggregate was not sent")
		}
	}
}

// Load: one data centre of 14 nodes, two of them gateways, that exchange reports all with all every 100 ms while
// servers are lost, and five other data centres with a new aggregate each 60 ms. Guards against traffic between nodes
// that grows with the square of their number: each node got each aggregate from each other one.
func TestAggregatesReachEachNodeAboutOnce(t *testing.T) {
	const nodes, gateways, dataCentres = 14, 2, 5
	all := make([]*aggregation.Forwarding, nodes)
	known := make([]map[string]time.Time, nodes)
	for i := range all {
		all[i], known[i] = aggregation.NewForwarding(), make(map[string]time.Time)
	}
	sent, updates, oldest := 0, 0, time.Duration(0)
	for now := start; now.Before(at(3 * time.Second)); now = now.Add(20 * time.Millisecond) {
		for g := range gateways {
			for d := range dataCentres {
				if now.Sub(start)%(60*time.Millisecond) == 0 {
					known[g][fmt.Sprint(d)] = now
					updates++
				}
			}
		}
		for a := range nodes {
			for b := range nodes {
				if a == b || (now.Sub(start)/(20*time.Millisecond)+time.Duration(a+b))%5 != 0 {
					continue
				}
				ages := make(map[string]time.Duration)
				for dc, x := range known[b] {
					ages[dc] = now.Sub(x)
				}
				all[a].RecordKnown(fmt.Sprint(b), ages, now)
				due, _ := all[a].Due(fmt.Sprint(b), true, now)
				for dc, x := range known[a] {
					if due && all[a].Needs(fmt.Sprint(b), dc, x, a < gateways, now) {
						sent++
						known[b][dc] = x
					}
				}
			}
		}
		for _, k := range known {
			for _, x := range k {
				if now.Sub(start) > time.Second {
					oldest = max(oldest, now.Sub(x))
				}
			}
		}
	}
	if most := updates / gateways * nodes; sent > most {
		t.Errorf("%d aggregates were sent for %d updates of %d nodes, want %d at most", sent, updates/gateways, nodes, most)
	}
	if oldest > 400*time.Millisecond {
		t.Errorf("a node's aggregate was %v old", oldest)
	}
}
