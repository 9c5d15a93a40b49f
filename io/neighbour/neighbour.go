// Package neighbour implements the protocol between entry hosts, net/rpc over TCP. Nodes
// report to each other the work that they have in flight and the versions of the
// configuration and of the server list that they know, with the age of this information.
//
// # Usage
//
//	go neighbour.Serve(listener, handler)
//	c := neighbour.NewClient("10.1.0.7:7200")
//	theirs, err := c.Exchange(ours, deadline)
package neighbour

import (
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/canary"
	"cicadabeam/core/crashcause"
	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
	"cicadabeam/core/retrybudget"
	"cicadabeam/core/rollout"
	"cicadabeam/core/serverlimit"
	"cicadabeam/core/slotshare"
	"cicadabeam/core/streamversion"
	"cicadabeam/io/tcp"
	"cicadabeam/io/tunnel"
)

const (
	serviceName = "Neighbour"
	dialTimeout = 300 * time.Millisecond
	// tcpUserTimeout is how long sent data may remain unacknowledged before the
	// connection is closed.
	tcpUserTimeout = 2 * time.Second
)

// VersionInfo is the version of the configuration or of the server list that a node
// knows, and the time since this version was last confirmed to be the newest.
type VersionInfo struct {
	Known   bool
	Era     uint64 // of the store, for versions that the store gives out
	Version uint64
	Age     time.Duration
}

// At returns the version of the store.
func (v VersionInfo) At() freshness.StoreVersion {
	return freshness.StoreVersion{Era: v.Era, Version: v.Version}
}

// NodeReport is the report that nodes exchange periodically.
type NodeReport struct {
	Host          records.EntryHost
	Leaving       bool
	StoreLost     bool // the last query to the store failed
	Era           freshness.EraInfo
	Young         bool // the node has just started; its peers send it all known prompts
	Configuration VersionInfo
	Servers       VersionInfo
	HostList      VersionInfo                  // Version is a hash of the list, the age that of its reading
	Work          map[string]fleet.Work        // by server ID
	Usage         map[string]retrybudget.Usage // by service
	Prompts       map[string]string            // server that processed a prompt recently, by prompt
	Crashes       crashcause.Report            // recent crashes of servers, and what causes them
	Limits        serverlimit.Report           // that servers named, and the node's use of these servers
	Lost          map[string]time.Duration     // time since the node lost contact with a server, by server ID
	Handed        map[string]DataCentreReport  // aggregated reports, by data centre
	// AggregateAges are the ages of the aggregated reports that the node has, by data centre.
	AggregateAges map[string]time.Duration
	// LeavingServers said recently that they leave, to this node or to one that told it.
	LeavingServers []fleet.LeavingServer
	Streams        streamversion.Report // that the node began, with their software versions
	Brittle        slotshare.Report
	Partitioned    bool // the node reaches no server itself
	// ServerAge is the time since a server last responded to the node itself, negative if none has.
	ServerAge time.Duration
	Leases    bool // the node grants leases for tunnels
	Rollouts  *RolloutReport
}

// RolloutReport is what a node knows of roll-outs, nil if they are disabled. A report of a data centre
// has Progress and Evidence only.
type RolloutReport struct {
	OrdersKnown bool
	OrdersAge   time.Duration // since these were known to be the orders in the store
	Orders      []rollout.Order
	States      []rollout.Announced
	Progress    rollout.Report
	Evidence    canary.Report
}

// DataCentreReport is the aggregated report of a data centre. One of its nodes compiles
// the report for the nodes of other data centres.
type DataCentreReport struct {
	Nodes int
	Age   time.Duration
	Work  map[string]fleet.Work        // by server ID
	Usage map[string]retrybudget.Usage // by service
	Lost  map[string]time.Duration     // time from the loss of contact with a server to this report, by server ID
	// LeavingServers said recently that they leave; the ages are those at this report.
	LeavingServers []fleet.LeavingServer
	Crashes        crashcause.Report
	Limits         serverlimit.Report
	Streams        streamversion.Report
	Brittle        slotshare.Report
	Rollouts       *RolloutReport
}

// ConfigurationRequest says in which forms the caller understands a configuration. It is an integer, as
// the empty request of earlier versions is.
type ConfigurationRequest int

// AcceptsPacked says that the caller understands Packed and Busy.
const AcceptsPacked ConfigurationRequest = 1

// ConfigurationReply carries a configuration in the form in which the operator wrote it, or that form
// compressed by PackBytes, and the orders beside it. A node that has just sent too many sets Busy
// instead.
type ConfigurationReply struct {
	Fact     VersionInfo
	Value    []byte
	Packed   []byte
	Busy     bool
	Rollouts *RolloutReport
}

// ServerChange is the new state of a server or, if Gone is set, its deregistration, which
// takes effect after In.
type ServerChange struct {
	Server fleet.Server
	Gone   bool
	In     time.Duration
}

// ServerList carries all servers that a node knows, or those that changed since the
// requested version.
type ServerList struct {
	Fact    VersionInfo
	Whole   bool // the list is complete: servers not in Changes are deregistered
	Changes []ServerChange
}

// WholeServerList carries all servers that a node knows, compressed by Pack. A node that has
// just sent too many of them sets Busy instead.
type WholeServerList struct {
	Fact   VersionInfo
	Busy   bool
	Packed []byte
}

// HostList carries the entry hosts that are registered in the store.
type HostList struct {
	Fact  VersionInfo
	Hosts []records.EntryHost
}

// SinceVersion requests the changes after a version of the server list; the zero version
// requests all servers.
type SinceVersion freshness.StoreVersion

// StreamBegun tells a node that a server of a software version made the first event of a stream.
type StreamBegun struct {
	Stream  streamversion.ID
	Version string
}

// FoundStream is the first of the requested streams that a node knows.
type FoundStream struct {
	Found   bool
	Index   int
	Version string
}

// Empty is an empty message.
type Empty int

// Handler handles the requests of other nodes.
type Handler interface {
	Exchange(n NodeReport) NodeReport
	Configuration(r ConfigurationRequest) ConfigurationReply
	Servers(since freshness.StoreVersion) ServerList
	WholeServers() WholeServerList
	Hosts() HostList
	RecordStream(s StreamBegun)
	FindStream(ids []streamversion.ID) FoundStream
	// Rollouts returns the orders and states that the node knows.
	Rollouts() RolloutReport
}

type methods struct{ handler Handler }

func (m *methods) Exchange(n NodeReport, r *NodeReport) error {
	*r = m.handler.Exchange(n)
	return nil
}

func (m *methods) Configuration(q ConfigurationRequest, r *ConfigurationReply) error {
	*r = m.handler.Configuration(q)
	return nil
}

func (m *methods) Servers(s SinceVersion, r *ServerList) error {
	*r = m.handler.Servers(freshness.StoreVersion(s))
	return nil
}

func (m *methods) WholeServers(_ Empty, r *WholeServerList) error {
	*r = m.handler.WholeServers()
	return nil
}

func (m *methods) Hosts(_ Empty, r *HostList) error {
	*r = m.handler.Hosts()
	return nil
}

func (m *methods) RecordStream(s StreamBegun, _ *Empty) error {
	m.handler.RecordStream(s)
	return nil
}

func (m *methods) FindStream(ids []streamversion.ID, r *FoundStream) error {
	*r = m.handler.FindStream(ids)
	return nil
}

func (m *methods) Rollouts(_ Empty, r *RolloutReport) error {
	*r = m.handler.Rollouts()
	return nil
}

// Tunnels serves connections that are to become tunnels, after their first byte was read.
type Tunnels interface {
	ServeConn(c net.Conn, mark byte)
}

// Serve handles connections from other nodes until the listener is closed. Without t it opens no
// tunnels.
func Serve(l net.Listener, h Handler, t Tunnels) error {
	s := rpc.NewServer()
	if err := s.RegisterName(serviceName, &methods{handler: h}); err != nil {
		return errors.Wrap(err, "neighbour: register")
	}
	for {
		c, err := tcp.Accept(l)
		if err != nil {
			return errors.Wrap(err, "neighbour: accept")
		}
		go serveConn(c, s.ServeConn, t)
	}
}

// Client calls one node. It connects on the first call and reconnects after a failure.
type Client struct {
	address string
	mu      sync.Mutex
	rpc     *rpc.Client
}

// NewClient returns a client for the node at the given address.
func NewClient(address string) *Client { return &Client{address: address} }

// Address returns the node's address.
func (c *Client) Address() string { return c.address }

// Exchange sends this node's report and returns that of the called node.
func (c *Client) Exchange(n NodeReport, deadline time.Time) (NodeReport, error) {
	r := new(NodeReport)
	if err := c.call("Exchange", n, r, deadline); err != nil {
		return NodeReport{}, err // net/rpc may still decode a late reply into r
	}
	return *r, nil
}

// Configuration returns the configuration of the called node.
func (c *Client) Configuration(deadline time.Time) (ConfigurationReply, error) {
	r := new(ConfigurationReply)
	if err := c.call("Configuration", AcceptsPacked, r, deadline); err != nil {
		return ConfigurationReply{}, err // net/rpc may still decode a late reply into r
	}
	if len(r.Packed) == 0 {
		return *r, nil
	}
	var err error
	r.Value, err = UnpackBytes(r.Packed)
	return *r, err
}

// Servers returns the servers that changed after the version since, or all servers that
// the called node knows.
func (c *Client) Servers(since freshness.StoreVersion, deadline time.Time) (ServerList, error) {
	r := new(ServerList)
	if err := c.call("Servers", SinceVersion(since), r, deadline); err != nil {
		return ServerList{}, err // net/rpc may still decode a late reply into r
	}
	return *r, nil
}

// WholeServers returns all servers that the called node knows.
func (c *Client) WholeServers(deadline time.Time) (WholeServerList, error) {
	r := new(WholeServerList)
	if err := c.call("WholeServers", Empty(0), r, deadline); err != nil {
		return WholeServerList{}, err // net/rpc may still decode a late reply into r
	}
	return *r, nil
}

// Hosts returns the registered entry hosts as the called node last learnt them.
func (c *Client) Hosts(deadline time.Time) (HostList, error) {
	r := new(HostList)
	if err := c.call("Hosts", Empty(0), r, deadline); err != nil {
		return HostList{}, err // net/rpc may still decode a late reply into r
	}
	return *r, nil
}

// RecordStream tells the called node of a stream.
func (c *Client) RecordStream(s StreamBegun, deadline time.Time) error {
	return c.call("RecordStream", s, new(Empty), deadline)
}

// FindStream asks the called node for the first of some streams that it knows.
func (c *Client) FindStream(ids []streamversion.ID, deadline time.Time) (FoundStream, error) {
	r := new(FoundStream)
	if err := c.call("FindStream", ids, r, deadline); err != nil {
		return FoundStream{}, err // net/rpc may still decode a late reply into r
	}
	return *r, nil
}

// Rollouts returns the orders and states that the called node knows.
func (c *Client) Rollouts(deadline time.Time) (RolloutReport, error) {
	r := new(RolloutReport)
	if err := c.call("Rollouts", Empty(0), r, deadline); err != nil {
		return RolloutReport{}, err // net/rpc may still decode a late reply into r
	}
	return *r, nil
}

func (c *Client) call(method string, in, out any, deadline time.Time) error {
	conn, err := c.connect()
	if err != nil {
		return errors.Wrapf(err, "neighbour %s: connect", c.address)
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	call := conn.Go(serviceName+"."+method, in, out, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-t.C:
		err = errors.New("no response before the deadline")
	}
	if err != nil {
		c.discard(conn)
	}
	return errors.Wrapf(err, "neighbour %s: %s", c.address, method)
}

func (c *Client) connect() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		return c.rpc, nil
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: tcp.UserTimeout(tcpUserTimeout)}
	conn, err := d.Dial("tcp", c.address)
	if err != nil {
		return nil, err
	}
	c.rpc = rpc.NewClient(conn)
	return c.rpc, nil
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		_ = c.rpc.Close()
		c.rpc = nil
	}
}

// discard closes a failed connection, so that the next call opens a new one.
func (c *Client) discard(r *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = r.Close()
	if c.rpc == r {
		c.rpc = nil
	}
}

// markedConn is a connection of which the first byte was read.
type markedConn struct {
	net.Conn
	first []byte
}

// Read implements net.Conn.
func (c *markedConn) Read(b []byte) (int, error) {
	if len(c.first) > 0 && len(b) > 0 {
		n := copy(b, c.first)
		c.first = c.first[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// keptConn is a connection that doesn't give way to others once a request on it is answered.
type keptConn struct {
	*tcp.LimitedConn
	kept bool // used by Write only
}

// Write implements net.Conn.
func (c *keptConn) Write(b []byte) (int, error) {
	if !c.kept {
		c.kept = tcp.Keep(c.LimitedConn)
	}
	return c.LimitedConn.Write(b)
}

// serveConn serves a connection by its first byte.
func serveConn(c net.Conn, rpc func(io.ReadWriteCloser), t Tunnels) {
	first := make([]byte, 1)
	if _, err := io.ReadFull(c, first); err != nil {
		_ = c.Close()
		return
	}
	if x, ok := c.(*tcp.LimitedConn); ok {
		c = &keptConn{LimitedConn: x}
	}
	if t != nil && (first[0] == tunnel.PlainMark || first[0] == tunnel.Mark) {
		t.ServeConn(c, first[0])
		return
	}
	rpc(&markedConn{Conn: c, first: first})
}
