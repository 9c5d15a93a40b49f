package entry

import (
	"net"
	"testing"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
	"cicadabeam/io/neighbour"
)

// missingServerPeer returns a node that knows a server which has yet to register again after a
// restore, and the address at which it answers.
func missingServerPeer(t *testing.T) (*Node, string) {
	t.Helper()
	peer := testNode(t, "peer")
	peer.eras.Observe(1)
	peer.applyPeerServers(neighbour.ServerList{Fact: neighbour.VersionInfo{Known: true, Era: 1, Version: 7}, Whole: true, Changes: []neighbour.ServerChange{
		{Server: fleet.Server{ID: "s1", Service: "orders", Address: "127.0.0.1:9", DataCentre: "a", Slots: 6, StartedMS: 5}},
	}}, uptime(), "store")
	peer.eras.Observe(2)
	peer.deregisterServer("s1", freshness.StoreVersion{Era: 1, Version: 7}, time.Now().Add(reregistrationGrace))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = neighbour.Serve(l, peer, nil) }()
	return peer, l.Addr().String()
}

// Guards against a host that starts after a restore and lacks the servers that have yet to register
// again: the first report that told it of the restore came before it knew the peer, or its
// call to the peer failed.
func TestMissingServersAreFetchedLater(t *testing.T) {
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = nobody.Close()
	for _, x := range []struct {
		name string
		at   string // address of the peer as the first report arrives, none if it is unknown
	}{{"the peer is not known yet", ""}, {"the peer can't be reached", nobody.Addr().String()}, {"at once", "its own"}} {
		t.Run(x.name, func(t *testing.T) {
			peer, address := missingServerPeer(t)
			n := testNode(t, "host")
			n.eras.Observe(2)
			set := func(address string) {
				n.peers.set([]records.EntryHost{{Name: "peer", Address: address, DataCentre: "a", Region: "north"}}, time.Now())
			}
			switch x.at {
			case "":
			case "its own":
				set(address)
			default:
				set(x.at)
			}
			report := neighbour.NodeReport{Host: records.EntryHost{Name: "peer", DataCentre: "a", Region: "north"}, Era: peer.eras.Info()}
			n.handleReport(report, unknownSendTime)
			time.Sleep(100 * time.Millisecond)
			set(address)
			n.handleReport(report, unknownSendTime)
			for end := time.Now().Add(reregistrationGrace / 2); !n.fleet.Knows("s1") && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			if !n.fleet.Knows("s1") {
				t.Error("the host lacks a server that has yet to register again")
			}
		})
	}
}
