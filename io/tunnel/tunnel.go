// Package tunnel implements connections to servers through another node, for a node that doesn't
// reach them itself.
//
// The node behind opens a TCP connection to the node between, which connects to the server. Towards
// the server, bytes are passed on as they are. What the server sends is passed on in frames, so that
// the end of its connection, its break-off and the end of the node between differ.
//
// A tunnel lasts as long as its lease: the node behind renews the lease of all its tunnels through one
// node by small UDP packets, which also name the tunnels that it has closed. If the lease ends, the
// node between ends the connections to the servers. Reads of the node behind fail with ErrLost once
// the lease has surely ended there, so that it may send a request elsewhere.
//
// A node behind that gives a tunnel up closes its sending side. The node between gives the connection to
// the server up too, and its last frame says so once the server is known to know. Any other end, that
// of a node between of an earlier version included, says nothing of that.
//
// # Usage
//
//	n := tunnel.New(dial, record)
//	go n.ServeLeases(packetConn)
//	go n.ServeConn(conn, tunnel.Mark) // after Mark, the first byte of the connection, was read
//	c, err := n.Dial(ctx, "10.1.0.7:7200", "10.1.64.2:80")
//	if _, err := c.Read(b); errors.Is(err, tunnel.ErrLost) { ... }
//	c.(*tunnel.Conn).GiveUp() // the request goes on elsewhere
//	known := c.(*tunnel.Conn).AwaitEnd(time.Now().Add(100 * time.Millisecond)) // false: the server may work on
package tunnel

import (
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/lease"
)

const (
	// PlainMark and Mark are the first bytes of connections that are to become tunnels. They begin no
	// message of net/rpc. PlainMark is that of nodes that know no leases.
	PlainMark = 0
	Mark      = 1

	// answers to a request for a tunnel
	opened  = 1
	refused = 2

	// maxTunnels limits the tunnels through a node.
	maxTunnels      = 512
	maxAddressBytes = 64
	// headTimeout limits the time in which a node sends the request for a tunnel.
	headTimeout = time.Second
	// frames have a header with the length of their data in bytes. One without data ends the tunnel
	// and has a byte that tells how.
	headerBytes  = 2
	frameBytes   = 16 << 10
	requestBytes = 4 << 10 // buffer for what is sent to a server
	// userTimeout is how long sent data may remain unacknowledged before a connection is closed.
	userTimeout = 2 * time.Second
)

// End is how a tunnel ended, as the node between saw it.
type End string

// The ends of a tunnel. The first two are passed on to the node behind.
const (
	ServerEnded  End = "the server ended the connection"
	ServerBroke  End = "the server broke the connection off"
	PathBroke    End = "the server was not reached"
	HostClosed   End = "the host behind closed the connection"
	HostReported End = "the host behind reported it closed"
	LeaseEnded   End = "the lease ended"
)

// ErrLost is the end of a tunnel that doesn't come from the server: the node between ended, or its
// lease did. Nothing is known of the server.
var ErrLost = errors.New("the path through another host was lost")

var (
	errRefused = errors.New("the other node could not connect to the server")
	errBroke   = errors.New("connection reset by the server behind another host")
	errGivenUp = errors.New("the tunnel was given up")
)

// Record records an event about a tunnel: at the node between how it ended, at the node behind that
// all tunnels through a node were lost.
type Record func(event string, peer, server string, end End, lasted time.Duration)

// Node opens tunnels through other nodes and passes on those of others.
type Node struct {
	dial     func(ctx context.Context, address string) (net.Conn, error)
	record   Record
	grantor  *lease.Grantor
	draining atomic.Bool
	packets  atomic.Pointer[net.UDPConn]

	mu     sync.Mutex
	open   int
	grants map[uint64]*grant // by the ID of the holder's lease
	leases map[string]*held  // by the address of the node between
	held   map[uint64]*held  // the same by their ID
}

// New returns a node. dial connects to a server, or fails if the address is not that of one.
func New(dial func(ctx context.Context, address string) (net.Conn, error), record Record) *Node {
	return &Node{
		dial: dial, record: record, grantor: lease.NewGrantor(rand.Uint64()|1, time.Now()),
		grants: make(map[uint64]*grant), leases: make(map[string]*held), held: make(map[uint64]*held),
	}
}

// Count returns the number of open tunnels of other nodes.
func (n *Node) Count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open
}

// Drain makes the node refuse further tunnels and tell the nodes behind that it leaves.
func (n *Node) Drain() { n.draining.Store(true) }

// ServeConn serves a connection of another node whose mark has been read.
func (n *Node) ServeConn(c net.Conn, mark byte) {
	defer func() { _ = c.Close() }()
	if !n.acquire() {
		_, _ = c.Write([]byte{refused})
		return
	}
	defer n.release()
	_ = c.SetDeadline(time.Now().Add(headTimeout))
	if mark == PlainMark {
		n.servePlain(c)
		return
	}
	r, err := readRequest(c)
	if err != nil {
		return
	}
	s, err := n.dial(context.Background(), r.server)
	if err != nil {
		_, _ = c.Write([]byte{refused})
		return
	}
	defer func() { _ = s.Close() }()
	p := &passage{id: r.id, server: r.server, host: c, backend: s, openedAt: time.Now()}
	n.add(p)
	defer n.remove(p)
	answer := appendStamp([]byte{opened}, n.grantor.Stamp(p.openedAt))
	if _, err := c.Write(answer); err != nil {
		return
	}
	_ = c.SetDeadline(time.Time{})
	p.run()
}

func (n *Node) acquire() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.draining.Load() || n.open >= maxTunnels {
		return false
	}
	n.open++
	return true
}

func (n *Node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open--
}

// tunnelID identifies a tunnel by its lease and its number there.
type tunnelID struct {
	lease  uint64
	number uint32
}

// request is a request for a tunnel.
type request struct {
	id     tunnelID
	server string
}

func (r request) bytes() []byte {
	b := []byte{Mark}
	b = binary.BigEndian.AppendUint64(b, r.id.lease)
	b = binary.BigEndian.AppendUint32(b, r.id.number)
	b = append(b, byte(len(r.server)))
	return append(b, r.server...)
}

// readRequest reads a request, after its mark, and no further.
func readRequest(c io.Reader) (request, error) {
	var head [13]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return request{}, errors.Wrap(err, "read request")
	}
	r := request{id: tunnelID{binary.BigEndian.Uint64(head[:8]), binary.BigEndian.Uint32(head[8:12])}}
	if head[12] > maxAddressBytes {
		return request{}, errors.New("the address is too long")
	}
	address := make([]byte, head[12])
	if _, err := io.ReadFull(c, address); err != nil {
		return request{}, errors.Wrap(err, "read address")
	}
	r.server = string(address)
	return r, nil
}

const stampBytes = 16

func appendStamp(b []byte, s lease.Stamp) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, s.Grantor), uint64(s.At))
}

func readStamp(b []byte) lease.Stamp {
	return lease.Stamp{Grantor: binary.BigEndian.Uint64(b), At: time.Duration(binary.BigEndian.Uint64(b[8:]))}
}

// reset makes the end of a connection a reset, and ends it.
func reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// giveUp ends a connection to a server whose request may go on elsewhere: by its own means, if it has
// any that reach the server later too.
func giveUp(c net.Conn) {
	if x, ok := c.(interface{ GiveUp() }); ok {
		x.GiveUp()
		return
	}
	reset(c)
}
