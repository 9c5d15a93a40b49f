package entry

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabeam/core/fleet"
	"cicadabeam/core/records"
	"cicadabeam/io/neighbour"
)

// link is the link of one host, whose bandwidth all its connections share.
type link struct {
	net.Listener
	bytesPerSecond float64
	mu             sync.Mutex
	free           time.Time
}

type linkConn struct {
	net.Conn
	link *link
}

func (l *link) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return linkConn{c, l}, err
}

func (c linkConn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		part := b[sent:min(len(b), sent+4096)]
		c.link.mu.Lock()
		if now := time.Now(); c.link.free.Before(now) {
			c.link.free = now
		}
		c.link.free = c.link.free.Add(time.Duration(float64(len(part)) / c.link.bytesPerSecond * float64(time.Second)))
		at := c.link.free
		c.link.mu.Unlock()
		time.Sleep(time.Until(at))
		n, err := c.Conn.Write(part)
		if sent += n; err != nil {
			return sent, err
		}
	}
	return sent, nil
}

func testNode(t *testing.T, name string) *Node {
	t.Helper()
	n := New(&Settings{name: name, logLevel: "warn", platform: "127.0.0.1:1", topology: fleet.Topology{DataCentre: "a", Regions: map[string]string{"a": "north"}}}, io.Discard)
	n.recorder.metrics = &metrics{scope: tally.NoopScope, counters: make(map[string]tally.Counter), histograms: make(map[string]tally.Histogram)} // a process registers metrics once
	return n
}

// serveOverLink serves a node's peers over a link and returns its address.
func serveOverLink(t *testing.T, n *Node, bytesPerSecond float64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = neighbour.Serve(&link{Listener: l, bytesPerSecond: bytesPerSecond}, n, nil) }()
	return l.Addr().String()
}

// All hosts of a data centre that start together ask the first one that has the list. Sent to all
// at once over its link, none had it before its request timed out, and all asked again.
func TestWholeListReachesStartingHostsOverSlowLink(t *testing.T) {
	const hosts, servers = 50, 3000
	first := testNode(t, "first")
	all := make([]neighbour.ServerChange, servers)
	for i := range all {
		all[i].Server = fleet.Server{
			ID: fmt.Sprintf("i-%010x", uint32(i)*2654435761), Service: "llm", Address: fmt.Sprintf("10.1.%d.%d:8020", i/250, i%250), DataCentre: "a", Slots: 8, StartedMS: int64(1e12 + i),
		}
	}
	first.applyPeerServers(neighbour.ServerList{Fact: neighbour.VersionInfo{Known: true, Version: 7}, Whole: true, Changes: all}, uptime(), "store")
	address := serveOverLink(t, first, 20e6/8)
	began := time.Now()
	var done sync.WaitGroup
	for i := range hosts {
		n := testNode(t, fmt.Sprint("host-", i))
		n.peers.set([]records.EntryHost{{Name: "first", Address: address, DataCentre: "a", Region: "north"}}, began)
		done.Go(func() {
			for time.Since(began) < 10*time.Second && !n.serversKnown() {
				if err := n.fetchServers(n.peers.all["first"]); err != nil {
					t.Errorf("%s, after %v: %v", n.settings.name, time.Since(began), err)
				}
			}
			if got := len(n.fleet.IDs()); got != servers {
				t.Errorf("%s knows %d servers after %v", n.settings.name, got, time.Since(began))
			}
		})
	}
	done.Wait()
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("%d hosts knew the servers after %v, want 4s at most", hosts, took)
	}
}
