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

// Node is an entry host.
type Node struct {
	*Process
	cluster    *Cluster
	host       int
	dataCentre string
	region     string
	settings   string
}

func (c *Cluster) makeNodes() error {
	for i := range c.layout.DataCentres * c.layout.NodesEach {
		dc := i / c.layout.NodesEach
		name := fmt.Sprintf("node-%d", i+1)
		settings := c.file(name + ".ini")
		c.nodes = append(c.nodes, &Node{
			Process: NewProcess(name, filepath.Join(c.bin, "cicadabeam"), c.file(name+".out"), "serve", "--settings", settings),
			cluster: c, host: hostNodes + i, dataCentre: dataCentre(dc), region: c.region(dc), settings: settings,
		})
	}
	if c.layout.Linked {
		if err := c.linkNodes(); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if err := os.WriteFile(n.settings, []byte(c.settingsOf(n)), 0o600); err != nil {
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
			if _, err := c.link(a.Name(), b.Name(), c.address(b.host, portPeers)); err != nil {
				return err
			}
		}
		if _, err := c.link(a.Name(), "platform", c.address(hostPlatform, portServer)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) settingsOf(n *Node) string {
	platform := c.address(hostPlatform, portServer)
	if l := c.Link(n.Name(), "platform"); l != nil {
		platform = l.Address()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[node]\nname = %s\ndata-centre = %s\nregion = %s\n", n.Name(), n.dataCentre, n.region)
	fmt.Fprintf(&b, "[listen]\ncallers = %s\noperators = %s\npeers = %s\n", c.address(n.host, portCallers), c.address(n.host, portOperators), c.address(n.host, portPeers))
	fmt.Fprintf(&b, "[platform]\naddress = http://%s\n[secrets]\npeers = %s\noperators = %s\n", platform, peerSecret, operatorSecret)
	for _, o := range c.hosts(n.Name(), nil).EntryHosts {
		if o.Name != n.Name() {
			fmt.Fprintf(&b, "[peer %s]\naddress = %s\ndata-centre = %s\nregion = %s\n", o.Name, o.Address, o.DataCentre, o.Region)
		}
	}
	if !strings.Contains(c.layout.Settings, "[drain]") {
		b.WriteString("[drain]\ngrace = 200ms\nwait = 60s\n")
	}
	if !strings.Contains(c.layout.Settings, "[log]") {
		b.WriteString("[log]\nlevel = debug\n")
	}
	b.WriteString(c.layout.Settings)
	return b.String()
}

// DataCentre returns the name of the node's data centre.
func (n *Node) DataCentre() string { return n.dataCentre }

// Settings returns the file with the node's settings.
func (n *Node) Settings() string { return n.settings }

func (n *Node) url(port int) string { return "http://" + n.cluster.address(n.host, port) }

// URL returns the base URL for callers.
func (n *Node) URL() string { return n.url(portCallers) }

// OperatorsURL returns the base URL for operators.
func (n *Node) OperatorsURL() string {
	if n.cluster.layout.TLS != nil {
		return strings.Replace(n.url(portOperators), "http:", "https:", 1)
	}
	return n.url(portOperators)
}

// PeersAddress returns the address of the listener for other nodes.
func (n *Node) PeersAddress() string { return n.cluster.address(n.host, portPeers) }

// Restart starts a node that has ended and waits until it serves.
func (n *Node) Restart() error {
	if err := n.Start(); err != nil {
		return err
	}
	return awaitHTTP(n.URL() + "/ready")
}

// Ready tells whether the node takes new requests, as a balancer asks it.
func (n *Node) Ready() bool {
	r, err := callers.Get(n.URL() + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Status returns what the node tells operators.
func (n *Node) Status() (operator.Status, error) { return n.operators().Status(context.Background()) }

// Apply makes a questionnaire the configuration.
func (n *Node) Apply(questionnaire string, base uint64, by string) (records.AuditEntry, error) {
	return n.operators().Apply(context.Background(), []byte(questionnaire), base, by, "")
}

// Audit returns the newest entries of the audit trail.
func (n *Node) Audit(limit int) ([]records.AuditEntry, error) {
	return n.operators().Audit(context.Background(), limit)
}

// Revision returns the revision in force on the node, 0 if it can't be asked.
func (n *Node) Revision() uint64 {
	s, err := n.Status()
	if err != nil {
		return 0
	}
	return s.Revision
}

// StatusWithin is Status with a bound on how long to wait.
func (n *Node) StatusWithin(ctx context.Context, most time.Duration) (operator.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	return n.operators().Status(ctx)
}

// Profile writes a profile of the node's processor time to a file.
func (n *Node) Profile(path string, seconds int) error {
	b, err := n.get(fmt.Sprintf("/debug/pprof/profile?seconds=%d", seconds))
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o600)
}

// Metrics returns the node's metrics as text, "" if it can't be asked.
func (n *Node) Metrics() string {
	b, err := n.get("/metrics")
	if err != nil {
		return ""
	}
	return string(b)
}

// get asks the listener for operators.
func (n *Node) get(path string) ([]byte, error) {
	r, err := http.NewRequest(http.MethodGet, n.OperatorsURL()+path, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+operatorSecret)
	response, err := callers.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}
