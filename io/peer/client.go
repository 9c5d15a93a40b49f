// Package peer speaks to the other nodes of the system, by net/rpc over TCP. Both
// sides of a connection prove that they know the peers' secret.
//
// # Usage
//
//	s, err := peer.NewServer(listener, secret, serverTLS, handler, traffic, refused)
//	go s.Serve()
//	c := peer.NewClient(nodes, secret, clientTLS, traffic)
//	reply, err := c.Find(ctx, "node-2", holder.FindRequest{ID: id})
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/answer"
	"cicadabeam/core/claim"
	"cicadabeam/core/fault"
	"cicadabeam/core/holder"
	"cicadabeam/core/membership"
	"cicadabeam/core/replication"
	"cicadabeam/core/shard"
)

const (
	serviceName = "Peer"
	dialWait    = 500 * time.Millisecond
	callWait    = 2 * time.Second
)

// Nodes tells where nodes are and learns how calls to them went.
type Nodes interface {
	Find(name string) (membership.Node, bool)
	RecordSuccess(name string, now time.Time)
	RecordFailure(name string, now time.Time)
}

// channel names one of the connections to a node. Copies have their own, so that
// large replies don't hold them up.
type channel string

const (
	control channel = "control"
	copies  channel = "copies"
)

type linkName string

// Client calls other nodes.
type Client struct {
	nodes   Nodes
	secret  string
	tls     *tls.Config
	traffic *Traffic
	links   *shard.Map[linkName, *link]
}

// NewClient returns a client without connections. Without c they are not
// encrypted.
func NewClient(n Nodes, secret string, c *tls.Config, t *Traffic) *Client {
	return &Client{nodes: n, secret: secret, tls: c, traffic: t, links: shard.New[linkName, *link]()}
}

// link is one connection to a node, made when it is needed.
type link struct {
	mu      sync.Mutex
	address string
	client  *rpc.Client
}

// Close ends the connections.
func (c *Client) Close() {
	for _, l := range c.links.Values() {
		l.mu.Lock()
		l.drop(l.client)
		l.mu.Unlock()
	}
}

func (l *link) drop(client *rpc.Client) {
	if client == nil || l.client != client {
		return
	}
	_ = client.Close()
	l.client = nil
}

// connect returns the connection to an address, a new one if need be.
func (c *Client) connect(l *link, address string, deadline time.Time) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil && l.address == address {
		return l.client, nil
	}
	l.drop(l.client)
	if limit := time.Now().Add(dialWait); limit.Before(deadline) {
		deadline = limit
	}
	d := net.Dialer{Deadline: deadline}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	counted := c.traffic.count(conn)
	if c.tls != nil {
		counted = tls.Client(counted, c.tls)
	}
	if err := greetServer(counted, c.secret, deadline); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	l.address = address
	l.client = rpc.NewClient(counted)
	return l.client, nil
}

// call makes one call. A call that fails or runs out of time drops the
// connection, as a cut path would hold up a healed one for long.
func (c *Client) call(ctx context.Context, ch channel, node, method string, args, reply any) error {
	n, found := c.nodes.Find(node)
	if !found {
		return fault.Newf(fault.PeerUnavailable, method, node, "the node is not listed")
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callWait))
	defer cancel()
	deadline, _ := ctx.Deadline()
	l, _ := c.links.GetOrPut(linkName(string(ch)+" "+node), func() *link { return &link{} })
	client, err := c.connect(l, n.Address, deadline)
	if err != nil {
		c.nodes.RecordFailure(node, time.Now())
		return fault.Wrap(err, fault.PeerUnavailable, method, node)
	}
	pending := client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		err = pending.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		c.nodes.RecordSuccess(node, time.Now())
		return nil
	}
	if !errors.Is(err, context.Canceled) {
		c.nodes.RecordFailure(node, time.Now())
		l.mu.Lock()
		l.drop(client)
		l.mu.Unlock()
	}
	return fault.Wrap(err, fault.PeerUnavailable, method, node)
}

// Ping asks a node for a sign of life.
func (c *Client) Ping(ctx context.Context, node string) error {
	return c.call(ctx, control, node, "Ping", Nothing(0), new(Nothing))
}

// Heartbeat sends a heartbeat.
func (c *Client) Heartbeat(ctx context.Context, node string, h Heartbeat) (HeartbeatReply, error) {
	var r HeartbeatReply
	err := c.call(ctx, control, node, "Heartbeat", h, &r)
	return r, err
}

// Alarm sends an alarm.
func (c *Client) Alarm(ctx context.Context, node string, a Alarm) error {
	return c.call(ctx, control, node, "Alarm", a, new(Nothing))
}

// Config asks for a node's configuration.
func (c *Client) Config(ctx context.Context, node string) (ConfigReply, error) {
	var r ConfigReply
	err := c.call(ctx, control, node, "Config", Nothing(0), &r)
	return r, err
}

// Find implements holder.Peers.
func (c *Client) Find(ctx context.Context, node string, q holder.FindRequest) (holder.FindReply, error) {
	var r holder.FindReply
	err := c.call(ctx, control, node, "Find", q, &r)
	return r, err
}

// Read implements holder.Peers.
func (c *Client) Read(ctx context.Context, node string, q holder.ReadRequest) (holder.ReadReply, error) {
	var r holder.ReadReply
	err := c.call(ctx, control, node, "Read", q, &r)
	return r, err
}

// TakeOver implements holder.Peers.
func (c *Client) TakeOver(ctx context.Context, node string, q holder.TakeOverRequest) (holder.TakeOverReply, error) {
	var r holder.TakeOverReply
	err := c.call(ctx, control, node, "TakeOver", q, &r)
	return r, err
}

// OpenCopy implements replication.Peers.
func (c *Client) OpenCopy(ctx context.Context, node string, s answer.Snapshot) (replication.Result, error) {
	var r replication.Result
	err := c.call(ctx, copies, node, "OpenCopy", s, &r)
	return r, err
}

// AppendCopies implements replication.Peers.
func (c *Client) AppendCopies(ctx context.Context, node string, b []answer.Batch) ([]replication.Result, error) {
	var r Results
	err := c.call(ctx, copies, node, "AppendCopies", Batches{Batches: b}, &r)
	return r.Results, err
}

// CallStatus implements claim.Peers.
func (c *Client) CallStatus(ctx context.Context, node, incarnation string, key claim.Key, claimID string) (claim.Status, error) {
	// The answering node waits less than ctx allows, for the way back.
	until := time.Now().Add(callStatusWait)
	var w claim.Status
	err := c.call(ctx, control, node, "CallStatus", CallQuestion{Key: key, Incarnation: incarnation, ClaimID: claimID, Until: until.UnixMilli()}, &w)
	return w, err
}

const callStatusWait = 500 * time.Millisecond
