package integration

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/test/cluster"
)

const (
	// floodFiles is the limit of file descriptors of a node that gets too many connections.
	floodFiles       = 500
	floodConnections = 600
	// maxFloodFiles and maxFloodMemory are what the node may use meanwhile.
	maxFloodFiles  = 400
	maxFloodMemory = 96 << 20
	// floodTime is how long the connections are kept open before requests are sent beside them.
	floodTime = time.Second
)

// Guards against connections without complete requests that use up a node's file descriptors, so that it
// serves nobody any more.
func TestConnectionsWithoutRequestsLeaveRoom(t *testing.T) {
	address := func(url string) string { return strings.TrimPrefix(url, "http://") }
	callers := func(n *cluster.Node) string { return address(n.URL()) }
	operators := func(n *cluster.Node) string { return address(n.OperatorURL()) }
	for name, x := range map[string]struct {
		address func(n *cluster.Node) string
		begin   string
	}{
		"callers, silent":      {callers, ""},
		"callers, half head":   {callers, "GET /health HTTP/1.1\r\nHost: "},
		"callers, half body":   {callers, "POST /services/purchase/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-forge\r\nIdempotency-Key: half\r\nContent-Length: 100\r\n\r\nabc"},
		"operators, half head": {operators, "GET /metrics HTTP/1.1\r\nHost: "},
		"nodes, silent":        {(*cluster.Node).PeerAddress, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, cluster.Layout{EnginesPerDataCentre: 1, AppsPerDataCentre: 1, NodeFiles: floodFiles})
			n := c.Node(0)
			f, err := cluster.OpenFlood(x.address(n), floodConnections, x.begin)
			must(t, err)
			defer f.Close()
			time.Sleep(floodTime)
			files, err := n.OpenFiles()
			must(t, err)
			r := n.CallService(testContext(t), http.MethodPost, "/services/purchase/x", "beside", "x")
			if r.Err != nil || r.Status != http.StatusOK {
				t.Errorf("the request beside the connections got status %d, %v, want 200", r.Status, r.Err)
			}
			if _, err := n.Status(); err != nil {
				t.Errorf("the node's status can't be read: %v", err)
			}
			peak, err := n.PeakBytes()
			must(t, err)
			t.Logf("%d descriptors, peak memory %d MB", files, peak>>20)
			if files > maxFloodFiles || peak > maxFloodMemory {
				t.Errorf("%d descriptors and %d MB, want at most %d and %d", files, peak>>20, maxFloodFiles, maxFloodMemory>>20)
			}
		})
	}
}
