package tunnel

import (
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/lease"
	"cicadabeam/io/tcp"
)

const (
	// kinds of packets
	packetRenewal = 1
	packetStamp   = 2

	packetHeadBytes = 9 + stampBytes
	maxPacketBytes  = 1200
	// maxReported limits the closed tunnels that a packet names, and reportTime is how long each is named.
	maxReported = 250
	reportTime  = time.Second

	flagDraining = 1
)

var errLeaseLost = errors.New("the lease has ended")

// held is the lease for the tunnels of this node through another one.
type held struct {
	owner    *Node
	node     string // address of the node between
	id       uint64
	draining atomic.Bool // the node between leaves
	mu       sync.Mutex
	holder   lease.Holder
	conns    map[uint32]*Conn
	next     uint32
	opening  int
	reports  []closedTunnel
	running  bool
	lost     bool
}

// closedTunnel is a tunnel that is reported as closed until a time.
type closedTunnel struct {
	number uint32
	until  time.Time
}

// Dial opens a tunnel to a server through the node at an address, until the end of ctx.
func (n *Node) Dial(ctx context.Context, node, server string) (net.Conn, error) {
	h := n.lease(node)
	defer h.endOpening()
	id := tunnelID{h.id, h.number()}
	b := make([]byte, 1+stampBytes)
	c, err := connect(ctx, node, request{id, server}.bytes(), b)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s through %s", server, node)
	}
	x := newConn(c, h, id.number)
	if err := h.add(x, readStamp(b[1:])); err != nil {
		reset(c)
		return nil, errors.Wrapf(err, "connect to %s through %s", server, node)
	}
	return x, nil
}

// connect connects to a node, sends a request and reads the answer, of which only the first byte
// comes if the node refuses.
func connect(ctx context.Context, node string, request, answer []byte) (*net.TCPConn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}, Control: tcp.UserTimeout(userTimeout)}
	x, err := d.DialContext(ctx, "tcp", node)
	if err != nil {
		return nil, err
	}
	c := x.(*net.TCPConn)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if _, err = c.Write(request); err == nil {
		_, err = io.ReadFull(c, answer[:1])
	}
	if err == nil && answer[0] != opened {
		err = errRefused
	}
	if err == nil {
		_, err = io.ReadFull(c, answer[1:])
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return c, nil
}

// lease returns the lease for tunnels through a node.
func (n *Node) lease(node string) *held {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.leases[node]
	if h == nil || !h.beginOpening() {
		h = &held{owner: n, node: node, id: rand.Uint64(), conns: make(map[uint32]*Conn), opening: 1}
		n.leases[node], n.held[h.id] = h, h
	}
	return h
}

// beginOpening reports whether a tunnel may be opened under the lease.
func (h *held) beginOpening() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost {
		return false
	}
	h.opening++
	return true
}

func (h *held) endOpening() {
	h.mu.Lock()
	h.opening--
	unused := !h.running && h.opening == 0
	h.lost = h.lost || unused
	h.mu.Unlock()
	if unused {
		h.owner.drop(h)
	}
}

// drop forgets a lease, so that the next tunnel through the node begins another one.
func (n *Node) drop(h *held) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.held, h.id)
	if n.leases[h.node] == h {
		delete(n.leases, h.node)
	}
}

func (h *held) number() uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	return h.next
}

// add adds a tunnel that the node between opened with a stamp.
func (h *held) add(c *Conn, s lease.Stamp) error {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost {
		return errLeaseLost
	}
	h.holder.Receive(s, now)
	h.conns[c.number] = c
	if !h.running {
		h.running = true
		go h.renew()
	}
	return nil
}

// release removes a closed tunnel.
func (h *held) release(c *Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c.number)
	h.reports = append(h.reports, closedTunnel{c.number, time.Now().Add(reportTime)})
	if len(h.reports) > maxReported {
		h.reports = h.reports[1:]
	}
}

// renew renews the lease until it has ended or no tunnel is left.
func (h *held) renew() {
	address, err := netip.ParseAddrPort(h.node)
	for err == nil {
		packet, wait, done := h.step(time.Now())
		if done {
			return
		}
		if p := h.owner.packets.Load(); p != nil {
			_, _ = p.WriteToUDPAddrPort(packet, address)
		}
		time.Sleep(wait)
	}
	h.lose()
}

// step returns the next packet and the time until the one after it. done is set if there is none.
func (h *held) step(now time.Time) (packet []byte, wait time.Duration, done bool) {
	h.mu.Lock()
	h.reports = slices.DeleteFunc(h.reports, func(c closedTunnel) bool { return !now.Before(c.until) })
	idle := len(h.conns) == 0 && len(h.reports) == 0 && h.opening == 0
	left := h.holder.Until().Sub(now)
	done = idle || left <= 0
	h.lost = h.lost || done
	packet = appendStamp(binary.BigEndian.AppendUint64([]byte{packetRenewal}, h.id), h.holder.Latest())
	for _, c := range h.reports {
		packet = binary.BigEndian.AppendUint32(packet, c.number)
	}
	h.mu.Unlock()
	if done {
		h.lose()
		return nil, 0, true
	}
	return packet, min(left, lease.RenewInterval), false
}

// lose ends all tunnels of a lease that has ended.
func (h *held) lose() {
	h.owner.drop(h)
	h.mu.Lock()
	h.lost = true
	conns := make([]*Conn, 0, len(h.conns))
	for _, c := range h.conns {
		conns = append(conns, c)
	}
	h.mu.Unlock()
	for _, c := range conns {
		c.lose()
	}
	if len(conns) > 0 {
		h.owner.record("tunnels lost", h.node, "", LeaseEnded, 0)
	}
}

// ServeLeases exchanges the packets of leases until the connection is closed.
func (n *Node) ServeLeases(c *net.UDPConn) error {
	n.packets.Store(c)
	b := make([]byte, maxPacketBytes)
	for {
		size, from, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			return errors.Wrap(err, "tunnel: receive")
		}
		if size < packetHeadBytes {
			continue
		}
		id, s := binary.BigEndian.Uint64(b[1:]), readStamp(b[9:])
		switch b[0] {
		case packetRenewal:
			n.renew(id, s, readNumbers(b[packetHeadBytes:size]))
			_, _ = c.WriteToUDPAddrPort(n.stampPacket(id), from)
		case packetStamp:
			n.receive(id, s, size > packetHeadBytes && b[packetHeadBytes]&flagDraining != 0)
		}
	}
}

func readNumbers(b []byte) []uint32 {
	var all []uint32
	for ; len(b) >= 4; b = b[4:] {
		all = append(all, binary.BigEndian.Uint32(b))
	}
	return all
}

func (n *Node) stampPacket(id uint64) []byte {
	b := appendStamp(binary.BigEndian.AppendUint64([]byte{packetStamp}, id), n.grantor.Stamp(time.Now()))
	if n.draining.Load() {
		return append(b, flagDraining)
	}
	return append(b, 0)
}

// receive records a stamp of the node between.
func (n *Node) receive(id uint64, s lease.Stamp, draining bool) {
	n.mu.Lock()
	h := n.held[id]
	n.mu.Unlock()
	if h == nil {
		return
	}
	h.draining.Store(draining)
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := time.Now(); now.Before(h.holder.Until()) {
		h.holder.Receive(s, now)
	}
}
