package entry

import (
	"slices"
	"testing"
	"time"

	"cicadabeam/core/crashcause"
	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/partition"
	"cicadabeam/core/records"
	"cicadabeam/core/retrybudget"
	"cicadabeam/core/streamversion"
	"cicadabeam/io/neighbour"
	"cicadabeam/io/relay"
)

type discardRecorder struct{}

func (discardRecorder) Record(string, relay.Fields) {}

// newAggregatingNode returns a node of a data centre with one server in data centre a.
func newAggregatingNode(dataCentre string) *Node {
	n := &Node{settings: &Settings{topology: fleet.Topology{DataCentre: dataCentre}}, streamVersions: streamversion.New(nil), partition: partition.NewDetector(), fleet: fleet.New(fleet.Topology{DataCentre: dataCentre})}
	limits := relay.Limits{RetryLimit: retrybudget.Limit{Window: time.Second}}
	n.handler = relay.New(relay.Dependencies{Fleet: n.fleet, Catalog: freshness.New(), Recorder: discardRecorder{}, Limits: limits, NotifyPeers: func() {}})
	n.peers.init()
	n.fleet.Upsert(fleet.Server{ID: "s1", Service: "orders", Address: "10.0.0.1:80", DataCentre: "a", Slots: 6})
	return n
}

// Aggregates tell other data centres which servers leave.
func TestAggregatesNameLeavingServers(t *testing.T) {
	now := time.Now()
	from, to := newAggregatingNode("a"), newAggregatingNode("b")
	from.fleet.RecordLeaving(from.fleet.Find("s1"), now.Add(-time.Second))
	x := from.aggregateOwnDataCentre(now)
	to.applyAggregates(map[string]neighbour.DataCentreReport{"a": x}, now)
	if to.fleet.FindUsable("s1", now) != nil {
		t.Errorf("the server is still used after the aggregate %+v", x)
	}
}

// Aggregates tell other data centres which servers crashed and what crashes them.
func TestAggregatesCarryCrashesAndCauses(t *testing.T) {
	now := time.Now()
	from, to := newAggregatingNode("a"), newAggregatingNode("b")
	part := []crashcause.Feature{crashcause.PromptPart("m", "9d40c3b1")}
	r := crashcause.Report{
		Crashes: []crashcause.CrashReport{{Server: "s1/0", Age: time.Second, Requests: []crashcause.Request{crashcause.NewRequest("m", part...)}}},
		Causes:  []crashcause.CauseReport{{Features: part, Remaining: part, Left: time.Minute}},
	}
	from.handler.MergeCrashes(r, "peer", now)
	from.peers.all["peer"] = &peer{host: records.EntryHost{DataCentre: "a"}, report: neighbour.NodeReport{Crashes: r}, reportedAt: now}
	x := from.aggregateOwnDataCentre(now)
	if len(x.Crashes.Crashes) != 1 {
		t.Errorf("the aggregate has the crashes %+v", x.Crashes.Crashes)
	}
	to.applyAggregates(map[string]neighbour.DataCentreReport{"a": x}, now)
	got := to.handler.CrashReport(now)
	if len(got.Causes) != 1 || !slices.Equal(got.Causes[0].Remaining, part) {
		t.Errorf("the other data centre knows the causes %+v", got.Causes)
	}
}
