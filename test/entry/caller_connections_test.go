package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/io/neighbour"
	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/backend"
)

const (
	// floodFiles is the limit of file descriptors of a host that gets too many connections.
	floodFiles       = 500
	floodConnections = 600
	// maxFloodFiles and maxFloodMemory are what the host may use meanwhile: some descriptors have to
	// be left for connections to servers.
	maxFloodFiles  = 400
	maxFloodMemory = 96 << 20
	// floodTime is how long the connections are kept open before a request is sent beside them.
	floodTime = time.Second
	// minUnread is how many responses are not read at a time, at least.
	minUnread = 6
)

// flood opens connections to an address that send some bytes and read nothing, until the test ends.
func flood(t *testing.T, address string, connections int, begin string) {
	t.Helper()
	f, err := cluster.OpenFlood(address, connections, begin)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
}

// startFlooded starts a host with few file descriptors and a server of orders.
func startFlooded(t *testing.T) (*system, *backend.Server) {
	t.Helper()
	s := startSystem(t, 1, &system{maxFiles: floodFiles})
	b := s.addServer("orders-0", "orders", backend.Respond(http.StatusOK, "ok"))
	s.awaitStatus(s.nodes[0], "/r1/1", "", http.StatusOK, testTimeout)
	return s, b
}

// checkFlooded checks that a host with too many connections serves a request, and stays within its
// file descriptors and memory.
func (s *system) checkFlooded() {
	s.t.Helper()
	n := s.nodes[0]
	time.Sleep(floodTime)
	files, err := n.OpenFiles()
	if err != nil {
		s.t.Fatal(err)
	}
	if status, _ := n.send("/r1/1", ""); status != http.StatusOK {
		s.t.Errorf("the request beside the connections got status %d, want 200", status)
	}
	if !n.Ready() {
		s.t.Error("the host is not ready")
	}
	if n.Metrics() == "" {
		s.t.Error("the metrics can't be read")
	}
	peak, err := n.PeakBytes()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Logf("%d descriptors, peak memory %d MB", files, peak>>20)
	if files > maxFloodFiles {
		s.t.Errorf("the host has %d open file descriptors, want at most %d", files, maxFloodFiles)
	}
	if peak > maxFloodMemory {
		s.t.Errorf("the peak memory is %d MB, want at most %d", peak>>20, maxFloodMemory>>20)
	}
}

// Guards against callers' connections that use up the host's file descriptors, so that no request is
// served any more.
func TestConnectionsWithoutRequestsLeaveRoom(t *testing.T) {
	for name, begin := range map[string]string{
		"silent":    "",
		"half head": "POST /buy/1 HTTP/1.1\r\nHost: test.example\r\nX-Field: ",
		"half body": "POST /r1/1 HTTP/1.1\r\nHost: test.example\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 500),
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := startFlooded(t)
			flood(t, s.nodes[0].CallerAddress(), floodConnections, begin)
			s.checkFlooded()
		})
	}
}

// Guards against connections to the other listeners that use up the host's file descriptors, so that
// readiness and metrics can't be read and other hosts can't connect.
func TestConnectionsToOtherListenersLeaveRoom(t *testing.T) {
	for name, x := range map[string]struct {
		address func(n *node) string
		begin   string
	}{
		"readiness, silent":    {(*node).ReadinessAddress, ""},
		"readiness, half head": {(*node).ReadinessAddress, "GET /v1/readyz HTTP/1.1\r\nHost: "},
		"metrics, silent":      {(*node).MetricsAddress, ""},
		"metrics, half head":   {(*node).MetricsAddress, "GET /metrics HTTP/1.1\r\nHost: "},
		"hosts, silent":        {(*node).PeerAddress, ""},
		"hosts, half message":  {(*node).PeerAddress, "\x7fabc"},
		"hosts, half tunnel":   {(*node).PeerAddress, "\x01"},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := startFlooded(t)
			flood(t, x.address(s.nodes[0]), floodConnections, x.begin)
			s.checkFlooded()
			c := neighbour.NewClient(s.nodes[0].PeerAddress())
			defer c.Close()
			if _, err := c.Hosts(time.Now().Add(testTimeout)); err != nil {
				t.Errorf("another host can't connect: %v", err)
			}
		})
	}
}

// Guards against callers that don't read their responses and keep others out as long as they like, or make
// the host hold what they don't read.
func TestCallersThatDoNotReadEnd(t *testing.T) {
	large := backend.ForPath("/r1/large", backend.Respond(http.StatusOK, strings.Repeat("x", 8<<20)), backend.Respond(http.StatusOK, "ok"))
	request := "POST %s HTTP/1.1\r\nHost: test.example\r\nAuthorization: Bearer key-1\r\nX-Token-Usage: 800,90\r\nX-Deadline-Ms: 60000\r\n\r\n"
	for name, path := range map[string]string{"large bodies": "/r1/large", "long streams": "/report/1"} {
		t.Run(name, func(t *testing.T) {
			s, orders := startFlooded(t)
			n := s.nodes[0]
			llm := s.addServer("llm-0", "llm", backend.Stream(2, 0, 0, nil))
			s.awaitStatus(n, "/report/1", "key-1", http.StatusOK, testTimeout)
			orders.SetSteps(large)
			llm.SetSteps(backend.Stream(10_000_000, 0, 0, nil))
			began := len(orders.Requests()) + len(llm.Requests())
			flood(t, n.CallerAddress(), floodConnections, fmt.Sprintf(request, path))
			s.await("responses are not read", testTimeout, func() bool { return len(orders.Requests())+len(llm.Requests()) >= began+minUnread })
			s.awaitStatus(n, "/r1/1", "", http.StatusOK, 2*testTimeout)
			s.checkFlooded()
		})
	}
}

// Guards against kinds of misbehaving connections that a host withstands alone, but not together.
func TestConnectionsOfAllKindsLeaveRoom(t *testing.T) {
	s, orders := startFlooded(t)
	n := s.nodes[0]
	orders.SetSteps(backend.ForPath("/r1/large", backend.Respond(http.StatusOK, strings.Repeat("x", 8<<20)), backend.Respond(http.StatusOK, "ok")))
	half := "GET / HTTP/1.1\r\nHost: test.example\r\nX-Field: "
	for _, x := range []struct{ address, begin string }{
		{n.CallerAddress(), ""},
		{n.CallerAddress(), half},
		{n.CallerAddress(), "POST /r1/1 HTTP/1.1\r\nHost: test.example\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 500)},
		{n.CallerAddress(), "POST /r1/large HTTP/1.1\r\nHost: test.example\r\nX-Deadline-Ms: 60000\r\n\r\n"},
		{n.ReadinessAddress(), half},
		{n.MetricsAddress(), half},
		{n.PeerAddress(), ""},
		{n.PeerAddress(), "\x01"},
	} {
		flood(t, x.address, floodConnections/4, x.begin)
	}
	s.awaitStatus(n, "/r1/1", "", http.StatusOK, 2*testTimeout)
	s.checkFlooded()
}
