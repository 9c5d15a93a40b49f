// Package peer implements the protocol between nodes, net/rpc over TCP. Both sides of a
// connection authenticate each other with a shared secret.
//
// # Usage
//
//	s, err := peer.NewServer(listener, secret, serverTLS, handler, traffic, onRejected)
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
	dialTimeout = 500 * time.Millisecond
	callTimeout = 2 * time.Second
)

// Membership provides the addresses of nodes and records the results of calls to them.
type Membership interface {
	Find(name string) (membership.Node, bool)
	RecordSuccess(name string, now time.Time)
	RecordFailure(name string, now time.Time)
}

// channel identifies one of the connections to a node. Replication has a connection of
// its own, so that it is not delayed by large replies.
type channel string

const (
	controlChannel channel = "control"
	copyChannel    channel = "copies"
)

// connectionKey consists of a channel and the name of a node.
type connectionKey string

// Client calls other nodes.
type Client struct {
	nodes       Membership
	secret      string
	tls         *tls.Config
	traffic     *Traffic
	connections *shard.Map[connectionKey, *connection]
}

// NewClient returns a client that connects when it makes calls. If c is nil, the
// connections are not encrypted.
func NewClient(n Membership, secret string, c *tls.Config, t *Traffic) *Client {
	return &Client{nodes: n, secret: secret, tls: c, traffic: t, connections: shard.New[connectionKey, *connection]()}
}

// connection is the connection to a node for one channel, opened on the first call and
// reopened after a failure.
type connection struct {
	mu      sync.Mutex
	address string
	client  *rpc.Client
}

// Close closes the connections.
func (c *Client) Close() {
	for _, x := range c.connections.Values() {
		x.mu.Lock()
		x.discard(x.client)
		x.mu.Unlock()
	}
}

// discard closes client unless it has been replaced already.
func (x *connection) discard(client *rpc.Client) {
	if client == nil || x.client != client {
		return
	}
	_ = client.Close()
	x.client = nil
}

// connect returns a connection to the address. It opens a new one if there is none or if
// the node's address has changed.
func (c *Client) connect(x *connection, address string, deadline time.Time) (*rpc.Client, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.client != nil && x.address == address {
		return x.client, nil
	}
	x.discard(x.client)
	if limit := time.Now().Add(dialTimeout); limit.Before(deadline) {
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
	if err := clientHandshake(counted, c.secret, deadline); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	x.address = address
	x.client = rpc.NewClient(counted)
	return x.client, nil
}

// call makes one call. If the call fails or times out, the connection is closed: a
// connection that was cut off by a network failure would delay calls long after the
// network has recovered. A canceled call leaves the connection open.
func (c *Client) call(ctx context.Context, ch channel, node, method string, args, reply any) error {
	n, found := c.nodes.Find(node)
	if !found {
		return fault.Newf(fault.PeerUnavailable, method, node, "unknown node")
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callTimeout))
	defer cancel()
	deadline, _ := ctx.Deadline()
	x, _ := c.connections.GetOrPut(connectionKey(string(ch)+" "+node), func() *connection { return &connection{} })
	client, err := c.connect(x, n.Address, deadline)
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
		x.mu.Lock()
		x.discard(client)
		x.mu.Unlock()
	}
	return fault.Wrap(err, fault.PeerUnavailable, method, node)
}

// Ping checks whether a node responds.
func (c *Client) Ping(ctx context.Context, node string) error {
	return c.call(ctx, controlChannel, node, "Ping", Empty(0), new(Empty))
}

// Heartbeat sends a heartbeat and returns the reply.
func (c *Client) Heartbeat(ctx context.Context, node string, h Heartbeat) (HeartbeatReply, error) {
	var r HeartbeatReply
	err := c.call(ctx, controlChannel, node, "Heartbeat", h, &r)
	return r, err
}

// Alarm reports the requests that were running on a dead server, or quarantined requests.
func (c *Client) Alarm(ctx context.Context, node string, r CrashReport) error {
	return c.call(ctx, controlChannel, node, "Alarm", r, new(Empty))
}

// Config returns the configuration of a node.
func (c *Client) Config(ctx context.Context, node string) (ConfigReply, error) {
	var r ConfigReply
	err := c.call(ctx, controlChannel, node, "Config", Empty(0), &r)
	return r, err
}

// Find implements holder.Peers.
func (c *Client) Find(ctx context.Context, node string, q holder.FindRequest) (holder.FindReply, error) {
	var r holder.FindReply
	err := c.call(ctx, controlChannel, node, "Find", q, &r)
	return r, err
}

// Read implements holder.Peers.
func (c *Client) Read(ctx context.Context, node string, q holder.ReadRequest) (holder.ReadReply, error) {
	var r holder.ReadReply
	err := c.call(ctx, controlChannel, node, "Read", q, &r)
	return r, err
}

// TakeOver implements holder.Peers.
func (c *Client) TakeOver(ctx context.Context, node string, q holder.TakeOverRequest) (holder.TakeOverReply, error) {
	var r holder.TakeOverReply
	err := c.call(ctx, controlChannel, node, "TakeOver", q, &r)
	return r, err
}

// OpenCopy implements replication.Peers.
func (c *Client) OpenCopy(ctx context.Context, node string, s answer.Snapshot) (replication.Result, error) {
	var r replication.Result
	err := c.call(ctx, copyChannel, node, "OpenCopy", s, &r)
	return r, err
}

// AppendCopies implements replication.Peers.
func (c *Client) AppendCopies(ctx context.Context, node string, b []answer.Batch) ([]replication.Result, error) {
	var r AppendCopiesReply
	err := c.call(ctx, copyChannel, node, "AppendCopies", AppendCopiesRequest{Batches: b}, &r)
	return r.Results, err
}

// CallStatus implements claim.Peers.
func (c *Client) CallStatus(ctx context.Context, node, incarnation string, key claim.Key, claimID string) (claim.Status, error) {
	// The called node must respond before ctx ends, so that the reply arrives in time.
	var r claim.Status
	err := c.call(ctx, controlChannel, node, "CallStatus", CallStatusRequest{Key: key, Incarnation: incarnation, ClaimID: claimID, Wait: callStatusWait.Milliseconds()}, &r)
	return r, err
}

// callStatusWait is how long the called node may wait for the outcome of a call.
const callStatusWait = 500 * time.Millisecond
