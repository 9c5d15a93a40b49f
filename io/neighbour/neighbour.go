// Package neighbour speaks to the other entry hosts, by net/rpc over TCP: nodes tell
// each other what they have under way, what they know of the configuration and the
// servers, and how fresh that is.
//
// # Usage
//
//	go neighbour.Serve(listener, handler)
//	c := neighbour.NewClient("10.1.0.7:7200")
//	theirs, err := c.Exchange(ours, deadline)
package neighbour

import (
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"cicadabeam/core/fleet"
	"cicadabeam/core/quarantine"
	"cicadabeam/core/records"
	"cicadabeam/core/retrybudget"
)

const (
	serviceName = "Neighbour"
	dialWait    = 300 * time.Millisecond
	// silentWait is after how long unacknowledged bytes end a connection.
	silentWait = 2 * time.Second
)

// Fact is how new something is that a node knows, and how long ago that was proved.
type Fact struct {
	Known   bool
	Version uint64
	Age     time.Duration
}

// News is what nodes tell each other regularly.
type News struct {
	Host          records.EntryHost
	Leaving       bool
	Young         bool // the node has just started and knows little
	Configuration Fact
	Servers       Fact
	Work          map[string]fleet.Work        // by server
	Usage         map[string]retrybudget.Usage // by service
	Prompts       map[string]string            // the servers that read prompts lately, by prompt
	Deaths        []quarantine.Suspicion       // the servers that died lately, with what they ran
	Lost          map[string]time.Duration     // how long ago the node lost servers, by server
	Handed        map[string]Handed            // what whole data centres have under way, handed on
}

// Handed is what the nodes of a data centre have under way, put together by one of
// them, for the nodes of others.
type Handed struct {
	Nodes int
	Age   time.Duration
	Work  map[string]fleet.Work        // by server
	Usage map[string]retrybudget.Usage // by service
	Lost  map[string]time.Duration     // how long before the handing they lost servers, by server
}

// Configuration carries a configuration as the operator wrote it.
type Configuration struct {
	Fact  Fact
	Value []byte
}

// Change is a server's new state, or that it is gone after a time.
type Change struct {
	Server fleet.Server
	Gone   bool
	In     time.Duration
}

// Servers carries the servers that a node knows, or those that have changed.
type Servers struct {
	Fact    Fact
	Whole   bool // servers that aren't named are gone
	Changes []Change
}

// Since asks for changes after a version, 0 for all servers.
type Since uint64

// Nothing is an empty message.
type Nothing int

// Handler answers other nodes.
type Handler interface {
	Exchange(n News) News
	Configuration() Configuration
	Servers(since uint64) Servers
}

type methods struct{ handler Handler }

func (m *methods) Exchange(n News, r *News) error {
	*r = m.handler.Exchange(n)
	return nil
}

func (m *methods) Configuration(_ Nothing, r *Configuration) error {
	*r = m.handler.Configuration()
	return nil
}

func (m *methods) Servers(s Since, r *Servers) error {
	*r = m.handler.Servers(uint64(s))
	return nil
}

// Serve answers nodes that connect, until the listener is closed.
func Serve(l net.Listener, h Handler) error {
	s := rpc.NewServer()
	if err := s.RegisterName(serviceName, &methods{handler: h}); err != nil {
		return errors.Wrap(err, "neighbour: register")
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return errors.Wrap(err, "neighbour: accept")
		}
		go s.ServeConn(c)
	}
}

// Client calls one node, over a connection that is made when it is needed.
type Client struct {
	address string
	mu      sync.Mutex
	rpc     *rpc.Client
}

// NewClient returns a client of the node at an address.
func NewClient(address string) *Client { return &Client{address: address} }

// Address returns the node's address.
func (c *Client) Address() string { return c.address }

// Exchange tells the node the news and returns its own.
func (c *Client) Exchange(n News, deadline time.Time) (News, error) {
	r := new(News)
	if err := c.call("Exchange", n, r, deadline); err != nil {
		return News{}, err // an answer that comes now is still written to r
	}
	return *r, nil
}

// Configuration returns the node's configuration.
func (c *Client) Configuration(deadline time.Time) (Configuration, error) {
	r := new(Configuration)
	if err := c.call("Configuration", Nothing(0), r, deadline); err != nil {
		return Configuration{}, err // an answer that comes now is still written to r
	}
	return *r, nil
}

// Servers returns the servers that the node knows, or those that have changed after a
// version.
func (c *Client) Servers(since uint64, deadline time.Time) (Servers, error) {
	r := new(Servers)
	if err := c.call("Servers", Since(since), r, deadline); err != nil {
		return Servers{}, err // an answer that comes now is still written to r
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
		err = errors.New("no answer in time")
	}
	if err != nil {
		c.drop(conn)
	}
	return errors.Wrapf(err, "neighbour %s: %s", c.address, method)
}

func (c *Client) connect() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		return c.rpc, nil
	}
	d := net.Dialer{Timeout: dialWait, KeepAlive: -1, Control: setSocket}
	n, err := d.Dial("tcp", c.address)
	if err != nil {
		return nil, err
	}
	c.rpc = rpc.NewClient(n)
	return c.rpc, nil
}

func setSocket(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentWait/time.Millisecond))
	})
	return errors.CombineErrors(err, failed)
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		_ = c.rpc.Close()
		c.rpc = nil
	}
}

func (c *Client) drop(r *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = r.Close()
	if c.rpc == r {
		c.rpc = nil
	}
}
