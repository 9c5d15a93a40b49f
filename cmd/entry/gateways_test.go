package entry

import (
	"testing"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/retrybudget"
	"cicadabeam/io/neighbour"
	"cicadabeam/io/relay"
)

type discardRecorder struct{}

func (discardRecorder) Record(string, relay.Fields) {}

// Aggregates tell other data centres which servers leave.
func TestAggregatesNameLeavingServers(t *testing.T) {
	now := time.Now()
	node := func(dataCentre string) *Node {
		n := &Node{settings: &Settings{topology: fleet.Topology{DataCentre: dataCentre}}, fleet: fleet.New(fleet.Topology{DataCentre: dataCentre})}
		limits := relay.Limits{RetryLimit: retrybudget.Limit{Window: time.Second}}
		n.handler = relay.New(relay.Dependencies{Fleet: n.fleet, Catalog: freshness.New(), Recorder: discardRecorder{}, Limits: limits})
		n.peers.init()
		n.fleet.Upsert(fleet.Server{ID: "s1", Service: "orders", Address: "10.0.0.1:80", DataCentre: "a", Slots: 6})
		return n
	}
	from, to := node("a"), node("b")
	from.fleet.RecordLeaving(from.fleet.Find("s1"), now.Add(-time.Second))
	x := from.aggregateOwnDataCentre(now)
	to.applyAggregates(map[string]neighbour.DataCentreReport{"a": x}, now)
	if to.fleet.FindUsable("s1", now) != nil {
		t.Errorf("the server is still used after the aggregate %+v", x)
	}
}
