package cluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cicadabeam/core/records"
	"cicadabeam/io/operator"
)

// Node is an entry host of the cluster.
type Node struct {
	*Process
	cluster    *Cluster
	host       int // last octet of its address
	dataCentre string
	region     string
	settings   string
}

func (c *Cluster) createNodes() error {
	for i := range c.layout.DataCentres * c.layout.NodesPerDataCentre {
		dc := i / c.layout.NodesPerDataCentre
		name := fmt.Sprintf("node-%d", i+1)
		settings := c.path(name + ".ini")
		c.nodes = append(c.nodes, &Node{
			Process: NewProcess(name, filepath.Join(c.binDir, "cicadabeam"), c.path(name+".out"), "serve", "--settings", settings),
			cluster: c, host: hostNodes + i, dataCentre: dataCentre(dc), region: c.region(dc), settings: settings,
		})
	}
	for _, n := range c.nodes {
		n.LimitFiles(c.layout.NodeFiles)
	}
	if c.layout.ProxyNodes {
		if err := c.linkNodes(); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if err := os.WriteFile(n.settings, []byte(c.nodeSettings(n)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) linkNodes() error {
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			if a == b {
				continue
			}
			if _, err := c.addLink(a.Name(), b.Name(), c.address(b.host, portPeers)); err != nil {
				return err
			}
		}
		if _, err := c.addLink(a.Name(), "platform", c.address(hostPlatform, portServer)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) nodeSettings(n *Node) string {
	platform := c.address(hostPlatform, portServer)
	if l := c.Link(n.Name(), "platform"); l != nil {
		platform = l.Address()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[node]\nname = %s\ndata-centre = %s\nregion = %s\n", n.Name(), n.dataCentre, n.region)
	fmt.Fprintf(&b, "[listen]\ncallers = %s\noperators = %s\npeers = %s\n", c.address(n.host, portCallers), c.address(n.host, portOperators), c.address(n.host, portPeers))
	fmt.Fprintf(&b, "[platform]\naddress = http://%s\n[secrets]\npeers = %s\noperators = %s\n", platform, peerSecret, operatorSecret)
	for _, o := range c.hostList(n.Name(), nil).EntryHosts {
		if o.Name != n.Name() {
			fmt.Fprintf(&b, "[peer %s]\naddress = %s\ndata-centre = %s\nregion = %s\n", o.Name, o.Address, o.DataCentre, o.Region)
		}
	}
	if !strings.Contains(c.layout.ExtraSettings, "[drain]") {
		b.WriteString("[drain]\ngrace = 200ms\nwait = 60s\n")
	}
	if !strings.Contains(c.layout.ExtraSettings, "[log]") {
		b.WriteString("[log]\nlevel = debug\n")
	}
	b.WriteString(c.layout.ExtraSettings)
	return b.String()
}

// DataCentre returns the name of the data centre of the node.
func (n *Node) DataCentre() string { return n.dataCentre }

// SettingsPath returns the path of the settings file.
func (n *Node) SettingsPath() string { return n.settings }

func (n *Node) url(port int) string { return "http://" + n.cluster.address(n.host, port) }

// URL returns the base URL of the caller listener.
func (n *Node) URL() string { return n.url(portCallers) }

// OperatorURL returns the base URL of the operator listener.
func (n *Node) OperatorURL() string {
	if n.cluster.layout.OperatorTLS != nil {
		return strings.Replace(n.url(portOperators), "http:", "https:", 1)
	}
	return n.url(portOperators)
}

// PeerAddress returns the address of the peer listener.
func (n *Node) PeerAddress() string { return n.cluster.address(n.host, portPeers) }

// Restart starts a node that has exited and waits until it is ready.
func (n *Node) Restart() error {
	if err := n.Start(); err != nil {
		return err
	}
	return awaitHTTP(n.URL() + "/ready")
}

// Ready reports whether the node accepts new requests, using the check of load balancers.
func (n *Node) Ready() bool {
	r, err := callerClient.Get(n.URL() + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Status returns the status that the operator API reports.
func (n *Node) Status() (operator.Status, error) {
	return n.operatorClient().Status(context.Background())
}

// Apply applies a questionnaire as the new configuration.
func (n *Node) Apply(questionnaire string, base uint64, by string) (records.AuditEntry, error) {
	return n.operatorClient().Apply(context.Background(), []byte(questionnaire), base, by, "")
}

// Audit returns the newest entries of the audit trail.
func (n *Node) Audit(limit int) ([]records.AuditEntry, error) {
	return n.operatorClient().AuditTrail(context.Background(), limit)
}

// Revision returns the configuration revision in force on the node, or 0 if the node does not
// respond.
func (n *Node) Revision() uint64 {
	s, err := n.Status()
	if err != nil {
		return 0
	}
	return s.Revision
}

// StatusWithin is Status with a timeout.
func (n *Node) StatusWithin(ctx context.Context, timeout time.Duration) (operator.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.operatorClient().Status(ctx)
}

// WriteCPUProfile writes a CPU profile of the node to a file.
func (n *Node) WriteCPUProfile(path string, seconds int) error {
	b, err := n.get(fmt.Sprintf("/debug/pprof/profile?seconds=%d", seconds))
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o600)
}

// Metrics returns the metrics of the node as text, or "" if the node does not respond.
func (n *Node) Metrics() string {
	b, err := n.get("/metrics")
	if err != nil {
		return ""
	}
	return string(b)
}

// get sends a GET request to the operator listener and returns the response body.
func (n *Node) get(path string) ([]byte, error) {
	r, err := http.NewRequest(http.MethodGet, n.OperatorURL()+path, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+operatorSecret)
	response, err := callerClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}
