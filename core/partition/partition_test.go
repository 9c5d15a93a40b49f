package partition_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/partition"
)

var now = time.Now()

const (
	reachable   = 50 * time.Millisecond // a server has just responded to another node
	unreachable = time.Minute
)

func TestServersThatOnlyPeersReachAreAPartition(t *testing.T) {
	d := partition.NewDetector()
	for i := range 3 {
		if d.Check(20, reachable, now) {
			t.Errorf("partitioned with %d servers without a path", i)
		}
		d.RecordReachedByPeer(fmt.Sprint(i), now)
		d.RecordReachedByPeer(fmt.Sprint(i), now)
	}
	if !d.Check(20, reachable, now) || !d.Partitioned() || d.Check(20, reachable, now) {
		t.Error("three servers without a path are no partition, or are news twice")
	}
	if !d.RecordProbe(now) || d.Partitioned() || d.RecordProbe(now) {
		t.Error("a probe does not end the partition, or ends it twice")
	}
}

// Guards against nodes that give up connections which live on.
func TestNodeWhoseConnectionsLiveOnIsNotPartitioned(t *testing.T) {
	d := partition.NewDetector()
	d.Begin("a", time.Now())(true, true)
	for i := range 5 {
		d.RecordReachedByPeer(fmt.Sprint(i), time.Now())
	}
	if d.Check(20, reachable, time.Now()) {
		t.Error("partitioned although a server responds")
	}
	if !d.Check(20, reachable, time.Now().Add(time.Second)) {
		t.Error("not partitioned a second after the last response")
	}
}

func TestServerThatIsConnectedEndsTheEvidence(t *testing.T) {
	d := partition.NewDetector()
	for i := range 9 {
		d.RecordReachedByPeer(fmt.Sprint(i), now)
		if i%2 == 1 {
			d.RecordConnected()
		}
	}
	if d.Check(20, reachable, now) {
		t.Error("partitioned although this node connects to servers")
	}
	d.RecordReachedByPeer("a", now)
	d.RecordReachedByPeer("b", now)
	if d.Check(20, reachable, now.Add(time.Minute)) {
		t.Error("old evidence counts")
	}
}

// Guards against outages of servers that are taken for a partition of this node.
func TestRequestsWithoutResponse(t *testing.T) {
	for _, x := range []struct {
		name    string
		servers int
		known   int
		peers   time.Duration
		after   time.Duration
		other   bool // another server responds
		want    bool
	}{
		{"all servers are silent, other nodes are served", 3, 9, reachable, time.Second, false, true},
		{"the only server is silent, other nodes are served", 1, 1, reachable, time.Second, false, true},
		{"nobody is served", 3, 9, unreachable, time.Second, false, false},
		{"two of nine servers are silent", 2, 9, reachable, time.Second, false, false},
		{"another server responds", 3, 9, reachable, time.Second, true, false},
		{"a moment of silence", 3, 9, reachable, 300 * time.Millisecond, false, false},
	} {
		d := partition.NewDetector()
		sent := time.Now()
		for i := range x.servers {
			d.Begin(fmt.Sprint(i), sent)
		}
		if x.other {
			d.Begin("other", sent)(true, true)
			sent = sent.Add(-time.Second / 2)
		}
		if got := d.Check(x.known, x.peers, sent.Add(x.after)); got != x.want {
			t.Errorf("%s: partitioned is %v, want %v", x.name, got, x.want)
		}
	}
}

func TestRequestsThatAreReset(t *testing.T) {
	d := partition.NewDetector()
	for i := range 3 {
		d.Begin(fmt.Sprint(i), now)(false, true)
	}
	d.Begin("ended by this node", now)(false, false)
	if !d.Check(9, reachable, time.Now()) {
		t.Error("three servers that reset requests are no partition")
	}
}
