// Package cluster starts a complete system of processes on loopback addresses: entry
// hosts, stand-ins for the platform, the model engines and the application servers, and
// fault-injecting proxies between them.
//
// # Usage
//
//	c, err := cluster.Start(dir, bin, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 2})
//	defer c.Stop()
//	t := c.Node(0).Complete(ctx, cluster.CompletionRequest{Text: "tokens=100"})
package cluster

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"cicadabeam/core/config"
	"cicadabeam/core/records"
	"cicadabeam/io/operator"
	"cicadabeam/test/standin/application"
	"cicadabeam/test/standin/engine"
	"cicadabeam/test/standin/store"
)

const (
	peerSecret     = "peers-secret-of-the-tests"
	operatorSecret = "operators-secret-of-the-tests"

	portCallers   = 7001
	portOperators = 7002
	portPeers     = 7003
	portServer    = 7004
	portLinks     = 7100 // links get the ports after this one

	hostPlatform = 2 // last octet of the address, like those below
	hostLinks    = 3
	hostNodes    = 10  // of the first node
	hostEngines  = 100 // of the first engine
	hostApps     = 200 // of the first application server
)

// Layout describes the system to start.
type Layout struct {
	DataCentres          int // if Regions is 2, the last one is the only one in region-2
	Regions              int
	NodesPerDataCentre   int
	EnginesPerDataCentre int
	AppsPerDataCentre    int
	Slots                int
	TokenMS              int // time per token of an engine; -1 for none
	// ProxyNodes places a proxy on each connection between nodes and from each node to the
	// platform. Engines and application servers always have one.
	ProxyNodes              bool
	ExtraOrganisationConfig string // more lines for each organisation section
	ExtraServiceConfig      string // more lines for the section of the model service
	ExtraSettings           string // more sections for the settings of the nodes
	NodeFiles               int    // limit of file descriptors of the nodes, 0 for that of the test
	// OperatorTLS is the configuration of operator clients, if ExtraSettings has a
	// section tls.
	OperatorTLS *tls.Config
}

func (l Layout) withDefaults() Layout {
	l.DataCentres = max(l.DataCentres, 1)
	l.Regions = max(l.Regions, 1)
	l.NodesPerDataCentre = max(l.NodesPerDataCentre, 1)
	if l.Slots == 0 {
		l.Slots = 16
	}
	if l.TokenMS == 0 {
		l.TokenMS = 10
	}
	return l
}

// Organisations lists the organisations of each cluster. The API key of each is "key-"
// followed by its name.
var Organisations = []string{"kiosk-north", "kiosk-south", "forge"}

// Cluster is a running system.
type Cluster struct {
	dir          string
	binDir       string
	layout       Layout
	prefix       string // first three octets of all addresses, with a dot at the end
	platform     *Process
	nodes        []*Node
	engines      []*Engine
	apps         []*App
	links        map[string]*Link
	lastLinkPort int
}

var clusterCount atomic.Int64

// Start starts a system and waits until it serves requests. binDir contains the executables.
func Start(dir, binDir string, l Layout) (*Cluster, error) {
	n := clusterCount.Add(1)
	c := &Cluster{dir: dir, binDir: binDir, layout: l.withDefaults(), links: make(map[string]*Link), lastLinkPort: portLinks}
	c.prefix = fmt.Sprintf("127.%d.%d.", 120+os.Getpid()%130, n%250)
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	if err := c.startPlatform(); err != nil {
		return err
	}
	if err := c.startServers(); err != nil {
		return err
	}
	if err := c.createNodes(); err != nil {
		return err
	}
	if err := c.PublishHosts(); err != nil {
		return err
	}
	for _, n := range c.nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if err := awaitHTTP(n.url(portCallers) + "/health"); err != nil {
			return err
		}
	}
	if _, err := c.nodes[0].Apply(c.Questionnaire(), 0, "setup"); err != nil {
		return err
	}
	return c.AwaitReady()
}

// AwaitReady waits until every node accepts requests.
func (c *Cluster) AwaitReady() error {
	for _, n := range c.nodes {
		if err := awaitHTTP(n.url(portCallers) + "/ready"); err != nil {
			return err
		}
	}
	return nil
}

// Stop kills all processes and stops all proxies.
func (c *Cluster) Stop() {
	for _, p := range c.processes() {
		p.Kill()
	}
	for _, l := range c.links {
		l.stop()
	}
}

func (c *Cluster) processes() []*Process {
	var all []*Process
	for _, n := range c.nodes {
		all = append(all, n.Process)
	}
	for _, e := range c.engines {
		all = append(all, e.Process)
	}
	for _, a := range c.apps {
		all = append(all, a.Process)
	}
	if c.platform != nil {
		all = append(all, c.platform)
	}
	return all
}

func (c *Cluster) address(host, port int) string { return fmt.Sprintf("%s%d:%d", c.prefix, host, port) }

func (c *Cluster) path(name string) string { return filepath.Join(c.dir, name) }

// dataCentre returns the name of the data centre with index i.
func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i+1) }

func (c *Cluster) region(dc int) string {
	if c.layout.Regions == 2 && dc == c.layout.DataCentres-1 {
		return "region-2"
	}
	return "region-1"
}

func (c *Cluster) addLink(from, to, upstream string) (*Link, error) {
	c.lastLinkPort++
	l, err := NewLink(from+">"+to, c.address(hostLinks, c.lastLinkPort), upstream)
	if err == nil {
		c.links[from+">"+to] = l
	}
	return l, err
}

// Link returns the link from one process to another by their names, or nil if there is
// none. Links to backend servers start at "nodes", and those to the platform end at
// "platform".
func (c *Cluster) Link(from, to string) *Link { return c.links[from+">"+to] }

func (c *Cluster) startPlatform() error {
	c.platform = NewProcess("platform", filepath.Join(c.binDir, "standin"), c.path("platform.out"), "--kind", "platform", "--listen", c.address(hostPlatform, portServer))
	if err := c.platform.Start(); err != nil {
		return err
	}
	return awaitHTTP("http://" + c.address(hostPlatform, portServer) + "/control/health")
}

// Platform returns the process of the platform stand-in.
func (c *Cluster) Platform() *Process { return c.platform }

// SetPlatformFaults sets the faults of the platform stand-in.
func (c *Cluster) SetPlatformFaults(f store.Faults) error {
	return post("http://"+c.address(hostPlatform, portServer)+"/control/faults", f)
}

// CopyPlatform makes the platform stand-in keep a copy of its store.
func (c *Cluster) CopyPlatform() error {
	return post("http://"+c.address(hostPlatform, portServer)+"/control/copy", nil)
}

// RestorePlatform makes the platform stand-in's store come back from the kept copy.
func (c *Cluster) RestorePlatform() error {
	return post("http://"+c.address(hostPlatform, portServer)+"/control/restore", nil)
}

// PublishHosts sets the nodes and servers that the platform lists. Each node gets the
// addresses of its own links to the other nodes.
func (c *Cluster) PublishHosts(leavingServers ...string) error {
	views := map[string]store.TableContents{"": c.hostList("", leavingServers)}
	for _, n := range c.nodes {
		views[n.Name()] = c.hostList(n.Name(), leavingServers)
	}
	return post("http://"+c.address(hostPlatform, portServer)+"/control/hosts", views)
}

// hostList returns the nodes and servers as listed for a node, with the given servers leaving.
func (c *Cluster) hostList(reader string, leaving []string) store.TableContents {
	t := store.TableContents{Servers: make(map[string]bool)}
	for _, n := range c.nodes {
		x := records.EntryHost{Name: n.Name(), DataCentre: n.dataCentre, Region: n.region, Address: c.address(n.host, portPeers)}
		if l := c.Link(reader, n.Name()); l != nil {
			x.Address = l.Address()
		}
		t.EntryHosts = append(t.EntryHosts, x)
	}
	leavingNames := strings.Join(leaving, " ") + " "
	for _, s := range c.serverNames() {
		t.Servers[s] = strings.Contains(leavingNames, s+" ")
	}
	return t
}

func (c *Cluster) serverNames() []string {
	var all []string
	for _, e := range c.engines {
		all = append(all, e.Name())
	}
	for _, a := range c.apps {
		all = append(all, a.Name())
	}
	return all
}

func (c *Cluster) startServers() error {
	for i := range c.layout.DataCentres * c.layout.EnginesPerDataCentre {
		e := &Engine{server: c.newServer("engine", i, hostEngines+i, i/c.layout.EnginesPerDataCentre,
			"--slots", fmt.Sprint(c.layout.Slots), "--token-ms", fmt.Sprint(max(c.layout.TokenMS, 0)))}
		c.engines = append(c.engines, e)
	}
	for i := range c.layout.DataCentres * c.layout.AppsPerDataCentre {
		c.apps = append(c.apps, &App{server: c.newServer("application", i, hostApps+i, i/c.layout.AppsPerDataCentre)})
	}
	for _, s := range c.servers() {
		if _, err := c.addLink("nodes", s.Name(), s.address); err != nil {
			return err
		}
		if err := s.Start(); err != nil {
			return err
		}
	}
	for _, s := range c.servers() {
		if err := awaitHTTP("http://" + s.address + "/health"); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) servers() []*server {
	var all []*server
	for _, e := range c.engines {
		all = append(all, e.server)
	}
	for _, a := range c.apps {
		all = append(all, a.server)
	}
	return all
}

func (c *Cluster) newServer(kind string, i, host, dc int, extraArgs ...string) *server {
	name := fmt.Sprintf("%s-%d", kind, i+1)
	address := c.address(host, portServer)
	args := append([]string{"--kind", kind, "--name", name, "--listen", address, "--log", c.path(name + ".log")}, extraArgs...)
	return &server{
		Process: NewProcess(name, filepath.Join(c.binDir, "standin"), c.path(name+".out"), args...),
		address: address, dataCentre: dataCentre(dc), logPath: c.path(name + ".log"),
	}
}

// Questionnaire returns the questionnaire that configures the cluster.
func (c *Cluster) Questionnaire() string {
	var b strings.Builder
	for i := range c.layout.Regions {
		fmt.Fprintf(&b, "[region region-%d]\n", i+1)
	}
	for i := range c.layout.DataCentres {
		fmt.Fprintf(&b, "[data-centre %s]\nregion = %s\n", dataCentre(i), c.region(i))
	}
	for _, o := range Organisations {
		fmt.Fprintf(&b, "[organisation %s]\nkey-sha256 = %s\n%s", o, config.HashKey("key-"+o), c.layout.ExtraOrganisationConfig)
	}
	fmt.Fprintf(&b, "[service assistant]\nmodel = ledger\n%s", c.layout.ExtraServiceConfig)
	b.WriteString("[service lookup]\nidempotent = yes\n[service purchase]\nidempotent = no\ncall-wait = 8s\nqueue-wait = 3s\n")
	for _, e := range c.engines {
		c.writeServer(&b, e.server, "assistant")
	}
	for _, a := range c.apps {
		c.writeServer(&b, a.server, "lookup, purchase")
	}
	return b.String()
}

func (c *Cluster) writeServer(b *strings.Builder, s *server, services string) {
	fmt.Fprintf(b, "[server %s]\ndata-centre = %s\naddress = http://%s\nslots = %d\nservices = %s\n",
		s.Name(), s.dataCentre, c.Link("nodes", s.Name()).Address(), c.layout.Slots, services)
}

// Engine returns the model engine with index i.
func (c *Cluster) Engine(i int) *Engine { return c.engines[i] }

// EngineNamed returns the model engine with the given name, or nil.
func (c *Cluster) EngineNamed(name string) *Engine {
	for _, e := range c.engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}

// Engines returns all model engines.
func (c *Cluster) Engines() []*Engine { return c.engines }

// App returns the application server with index i.
func (c *Cluster) App(i int) *App { return c.apps[i] }

// Apps returns all application servers.
func (c *Cluster) Apps() []*App { return c.apps }

// Node returns the entry host with index i.
func (c *Cluster) Node(i int) *Node { return c.nodes[i] }

// NodeNamed returns the entry host with the given name, or nil.
func (c *Cluster) NodeNamed(name string) *Node {
	for _, n := range c.nodes {
		if n.Name() == name {
			return n
		}
	}
	return nil
}

// Nodes returns all entry hosts.
func (c *Cluster) Nodes() []*Node { return c.nodes }

// server is the stand-in for a backend server.
type server struct {
	*Process
	address    string
	dataCentre string
	logPath    string
}

// Address returns the IP address and port of the server.
func (s *server) Address() string { return s.address }

// DataCentre returns the name of the server's data centre.
func (s *server) DataCentre() string { return s.dataCentre }

// Restart starts a server that has exited and waits until it serves requests.
func (s *server) Restart() error {
	if err := s.Start(); err != nil {
		return err
	}
	return awaitHTTP("http://" + s.address + "/health")
}

// Engine is the stand-in for a model engine.
type Engine struct{ *server }

// SetFaults sets the faults of the engine.
func (e *Engine) SetFaults(f engine.Faults) error {
	return post("http://"+e.address+"/control/faults", f)
}

// Log returns the records in the log of the engine.
func (e *Engine) Log() ([]engine.Record, error) { return readLog[engine.Record](e.logPath) }

// App is the stand-in for an application server.
type App struct{ *server }

// SetFaults sets the faults of the server.
func (a *App) SetFaults(f application.Faults) error {
	return post("http://"+a.address+"/control/faults", f)
}

// Log returns the requests that the server ran, from its log.
func (a *App) Log() ([]application.Record, error) { return readLog[application.Record](a.logPath) }

// EngineLog returns the log records of all engines.
func (c *Cluster) EngineLog() ([]engine.Record, error) {
	var all []engine.Record
	for _, e := range c.engines {
		x, err := e.Log()
		if err != nil {
			return nil, err
		}
		all = append(all, x...)
	}
	return all, nil
}

// AppLog returns the requests that all application servers ran.
func (c *Cluster) AppLog() ([]application.Record, error) {
	var all []application.Record
	for _, a := range c.apps {
		x, err := a.Log()
		if err != nil {
			return nil, err
		}
		all = append(all, x...)
	}
	return all, nil
}

func readLog[T any](path string) ([]T, error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var all []T
	d := json.NewDecoder(bytes.NewReader(text))
	for d.More() {
		var x T
		if err := d.Decode(&x); err != nil {
			return all, nil // The last line of a killed process may be truncated.
		}
		all = append(all, x)
	}
	return all, nil
}

func post(url string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r, err := http.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("POST %s: status %d", url, r.StatusCode)
	}
	return nil
}

// operatorClient returns a client for the operator API of the node.
func (n *Node) operatorClient() *operator.Client {
	return operator.NewClient(n.OperatorURL(), operatorSecret, n.cluster.layout.OperatorTLS)
}

// URL returns the base URL of the engine, which bypasses its link.
func (e *Engine) URL() string { return "http://" + e.address }
