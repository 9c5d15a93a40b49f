package entry

import (
	"slices"
	"testing"
	"time"

	"cicadabeam/core/records"
	"cicadabeam/io/neighbour"
)

// Guards against tunnels without a lease through nodes that grant leases and have not reported yet.
func TestTunnelsGoThroughPeersThatReported(t *testing.T) {
	now := time.Now()
	n := newAggregatingNode("a")
	add := func(name, dataCentre string, p peer) {
		p.host = records.EntryHost{Name: name, Address: name + ":7020", DataCentre: dataCentre}
		n.peers.all[name] = &p
	}
	add("new", "a", peer{addedAt: now})
	add("granting", "b", peer{addedAt: now, reportedAt: now, report: neighbour.NodeReport{Leases: true}})
	add("plain", "a", peer{addedAt: now, reportedAt: now})
	if got, want := n.peersWithPath(now), []string{"granting:7020", "plain:7020"}; !slices.Equal(got, want) {
		t.Errorf("got paths through %v, want %v", got, want)
	}
}

// Guards against tunnels without a lease through a node that has taken over the address of another one.
func TestLeasesAreThoseOfTheLivePeer(t *testing.T) {
	now := time.Now()
	n := newAggregatingNode("a")
	for i := range 20 {
		before, after := records.EntryHost{Name: "before", Address: "10.0.0.9:7020"}, records.EntryHost{Name: "after", Address: "10.0.0.9:7020"}
		n.peers.all["before"] = &peer{host: before, reportedAt: now.Add(-2 * livenessTimeout)}
		n.peers.all["after"] = &peer{host: after, reportedAt: now, report: neighbour.NodeReport{Leases: true}}
		if grants, known := n.grantsLeases("10.0.0.9:7020", now); !grants || !known {
			t.Fatalf("round %d: the report of a node that is gone is taken for that of its successor", i)
		}
	}
}
