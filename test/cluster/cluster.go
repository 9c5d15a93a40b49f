// Package cluster starts a whole system of real processes on this machine's
// loopback addresses: entry hosts, stand-ins for the platform, the model engines
// and the application servers, and proxies that inject faults between them.
//
// # Usage
//
//	c, err := cluster.Start(dir, bin, cluster.Layout{DataCentres: 2, NodesEach: 2, EnginesEach: 2})
//	defer c.Stop()
//	t := c.Node(0).Stream(ctx, cluster.Prompt{Text: "tokens=100"})
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
	portLinks     = 7100

	hostPlatform = 2
	hostLinks    = 3
	hostNodes    = 10
	hostEngines  = 100
	hostApps     = 200
)

// Layout says what to start.
type Layout struct {
	DataCentres int // the last one is in a region of its own if Regions is 2
	Regions     int
	NodesEach   int
	EnginesEach int
	AppsEach    int
	Slots       int
	TokenMS     int // -1 for none
	// Linked puts a proxy into each path between nodes, and from each to the
	// platform. Engines and application servers always have one.
	Linked       bool
	Organisation string // more lines for the organisations
	Service      string // more lines for the model's service
	Settings     string // more sections for the nodes
	// TLS tells whom operators believe, when Settings has a section tls.
	TLS *tls.Config
}

func (l Layout) withDefaults() Layout {
	l.DataCentres = max(l.DataCentres, 1)
	l.Regions = max(l.Regions, 1)
	l.NodesEach = max(l.NodesEach, 1)
	if l.Slots == 0 {
		l.Slots = 16
	}
	if l.TokenMS == 0 {
		l.TokenMS = 10
	}
	return l
}

// Organisations are the names of the organisations in each cluster; each has the
// API key "key-" and its name.
var Organisations = []string{"kiosk-north", "kiosk-south", "forge"}

// Cluster is a running system.
type Cluster struct {
	dir      string
	bin      string
	layout   Layout
	prefix   string // the first three numbers of its addresses
	platform *Process
	nodes    []*Node
	engines  []*Engine
	apps     []*App
	links    map[string]*Link
	ports    int
}

var clusters atomic.Int64

// Start starts a system and waits until it serves.
func Start(dir, bin string, l Layout) (*Cluster, error) {
	n := clusters.Add(1)
	c := &Cluster{dir: dir, bin: bin, layout: l.withDefaults(), links: make(map[string]*Link), ports: portLinks}
	c.prefix = fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, n%250)
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
	if err := c.makeNodes(); err != nil {
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

// AwaitReady waits until each running node takes requests.
func (c *Cluster) AwaitReady() error {
	for _, n := range c.nodes {
		if err := awaitHTTP(n.url(portCallers) + "/ready"); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all processes and proxies.
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

func (c *Cluster) file(name string) string { return filepath.Join(c.dir, name) }

// dataCentre returns the name of a data centre by number.
func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i+1) }

func (c *Cluster) region(dc int) string {
	if c.layout.Regions == 2 && dc == c.layout.DataCentres-1 {
		return "region-2"
	}
	return "region-1"
}

func (c *Cluster) link(from, to, upstream string) (*Link, error) {
	c.ports++
	l, err := NewLink(from+">"+to, c.address(hostLinks, c.ports), upstream)
	if err == nil {
		c.links[from+">"+to] = l
	}
	return l, err
}

// Link returns the path from one process to another, by names. Paths to backend
// servers begin at "nodes", those to the platform end at "platform".
func (c *Cluster) Link(from, to string) *Link { return c.links[from+">"+to] }

func (c *Cluster) startPlatform() error {
	c.platform = NewProcess("platform", filepath.Join(c.bin, "standin"), c.file("platform.out"), "--kind", "platform", "--listen", c.address(hostPlatform, portServer))
	if err := c.platform.Start(); err != nil {
		return err
	}
	return awaitHTTP("http://" + c.address(hostPlatform, portServer) + "/control/health")
}

// Platform returns the process of the platform's stand-in.
func (c *Cluster) Platform() *Process { return c.platform }

// SetPlatform makes the platform fail in a way.
func (c *Cluster) SetPlatform(f store.Faults) error {
	return post("http://"+c.address(hostPlatform, portServer)+"/control/faults", f)
}

// PublishHosts makes the platform list all nodes and servers, each node seeing the
// others behind its links.
func (c *Cluster) PublishHosts(leavingServers ...string) error {
	views := map[string]store.Listed{"": c.hosts("", leavingServers)}
	for _, n := range c.nodes {
		views[n.Name()] = c.hosts(n.Name(), leavingServers)
	}
	return post("http://"+c.address(hostPlatform, portServer)+"/control/hosts", views)
}

func (c *Cluster) hosts(reader string, leaving []string) store.Listed {
	h := store.Listed{Servers: make(map[string]bool)}
	for _, n := range c.nodes {
		x := records.EntryHost{Name: n.Name(), DataCentre: n.dataCentre, Region: n.region, Address: c.address(n.host, portPeers)}
		if l := c.Link(reader, n.Name()); l != nil {
			x.Address = l.Address()
		}
		h.EntryHosts = append(h.EntryHosts, x)
	}
	gone := strings.Join(leaving, " ") + " "
	for _, s := range c.serverNames() {
		h.Servers[s] = strings.Contains(gone, s+" ")
	}
	return h
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
	for i := range c.layout.DataCentres * c.layout.EnginesEach {
		e := &Engine{server: c.newServer("engine", i, hostEngines+i, i/c.layout.EnginesEach,
			"--slots", fmt.Sprint(c.layout.Slots), "--token-ms", fmt.Sprint(max(c.layout.TokenMS, 0)))}
		c.engines = append(c.engines, e)
	}
	for i := range c.layout.DataCentres * c.layout.AppsEach {
		c.apps = append(c.apps, &App{server: c.newServer("application", i, hostApps+i, i/c.layout.AppsEach)})
	}
	for _, s := range c.servers() {
		if _, err := c.link("nodes", s.Name(), s.address); err != nil {
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

func (c *Cluster) newServer(kind string, i, host, dc int, more ...string) *server {
	name := fmt.Sprintf("%s-%d", kind, i+1)
	address := c.address(host, portServer)
	args := append([]string{"--kind", kind, "--name", name, "--listen", address, "--log", c.file(name + ".log")}, more...)
	return &server{
		Process: NewProcess(name, filepath.Join(c.bin, "standin"), c.file(name+".out"), args...),
		address: address, dataCentre: dataCentre(dc), log: c.file(name + ".log"),
	}
}

// Questionnaire returns the questionnaire of the cluster.
func (c *Cluster) Questionnaire() string {
	var b strings.Builder
	for i := range c.layout.Regions {
		fmt.Fprintf(&b, "[region region-%d]\n", i+1)
	}
	for i := range c.layout.DataCentres {
		fmt.Fprintf(&b, "[data-centre %s]\nregion = %s\n", dataCentre(i), c.region(i))
	}
	for _, o := range Organisations {
		fmt.Fprintf(&b, "[organisation %s]\nkey-sha256 = %s\n%s", o, config.HashKey("key-"+o), c.layout.Organisation)
	}
	fmt.Fprintf(&b, "[service assistant]\nmodel = ledger\n%s", c.layout.Service)
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

// Engine returns a model engine by number.
func (c *Cluster) Engine(i int) *Engine { return c.engines[i] }

// EngineNamed returns a model engine by name.
func (c *Cluster) EngineNamed(name string) *Engine {
	for _, e := range c.engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}

// Engines returns the model engines.
func (c *Cluster) Engines() []*Engine { return c.engines }

// App returns an application server by number.
func (c *Cluster) App(i int) *App { return c.apps[i] }

// Apps returns the application servers.
func (c *Cluster) Apps() []*App { return c.apps }

// Node returns an entry host by number.
func (c *Cluster) Node(i int) *Node { return c.nodes[i] }

// NodeNamed returns an entry host by name.
func (c *Cluster) NodeNamed(name string) *Node {
	for _, n := range c.nodes {
		if n.Name() == name {
			return n
		}
	}
	return nil
}

// Nodes returns the entry hosts.
func (c *Cluster) Nodes() []*Node { return c.nodes }

// server is a backend server's stand-in.
type server struct {
	*Process
	address    string
	dataCentre string
	log        string
}

// DataCentre returns the name of the server's data centre.
func (s *server) DataCentre() string { return s.dataCentre }

// Restart starts a server that has ended and waits until it serves.
func (s *server) Restart() error {
	if err := s.Start(); err != nil {
		return err
	}
	return awaitHTTP("http://" + s.address + "/health")
}

// Engine is a model engine's stand-in.
type Engine struct{ *server }

// Set makes the engine fail in a way.
func (e *Engine) Set(f engine.Faults) error { return post("http://"+e.address+"/control/faults", f) }

// Log returns what the engine wrote to its log.
func (e *Engine) Log() ([]engine.Record, error) { return readLog[engine.Record](e.log) }

// App is an application server's stand-in.
type App struct{ *server }

// Set makes the server fail in a way.
func (a *App) Set(f application.Faults) error { return post("http://"+a.address+"/control/faults", f) }

// Log returns the runs that the server wrote to its log.
func (a *App) Log() ([]application.Record, error) { return readLog[application.Record](a.log) }

// EngineLog returns the logs of all engines.
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

// Runs returns the logs of all application servers.
func (c *Cluster) Runs() ([]application.Record, error) {
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
			return all, nil // The last line of a killed process may be cut.
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
		return fmt.Errorf("%s: status %d", url, r.StatusCode)
	}
	return nil
}

// operators returns a client for a node's operators.
func (n *Node) operators() *operator.Client {
	return operator.NewClient(n.OperatorsURL(), operatorSecret, n.cluster.layout.TLS)
}

// URL returns the engine's own base URL, past its link.
func (e *Engine) URL() string { return "http://" + e.address }
