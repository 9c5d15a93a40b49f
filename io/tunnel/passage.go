package tunnel

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/lease"
	"cicadabeam/io/tcp"
)

const (
	// lastFrameTimeout limits the time in which the node behind closes a tunnel that its server has ended,
	// and that for which it awaits the last frame of one that it has given up.
	lastFrameTimeout = time.Second
	// confirmTimeout limits the time until the server of a tunnel that was given up knows of that.
	confirmTimeout = 500 * time.Millisecond
)

// passage is a tunnel at the node between.
type passage struct {
	id       tunnelID
	server   string // address
	host     net.Conn
	backend  net.Conn
	openedAt time.Time
	mu       sync.Mutex
	ended    End
	writes   tcp.Writes // to the server
	until    time.Time  // for telling the node behind that the server knows of the end, if it was given up
}

// finish records how the tunnel ended, unless it is known already.
func (p *passage) finish(e End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == "" {
		p.ended = e
	}
}

func (p *passage) end() End {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// cut ends both connections of the tunnel.
func (p *passage) cut(e End) {
	p.finish(e)
	giveUp(p.backend)
	reset(p.host)
}

// giveUp ends the connection to the server, as the node behind has given the tunnel up. What is passed on to
// that one still, and whether the server knows, may take a while.
func (p *passage) giveUp(e End) {
	p.finish(e)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.until.IsZero() {
		return
	}
	p.until = time.Now().Add(confirmTimeout)
	_ = p.host.SetDeadline(p.until)
	giveUp(p.backend)
}

// confirm tells the node behind that the server knows of the end, if it does in time.
func (p *passage) confirm() {
	p.mu.Lock() // until it was given up
	until := p.until
	p.mu.Unlock()
	x, tells := p.backend.(interface{ AwaitEnd(until time.Time) bool })
	if !tells || !x.AwaitEnd(until) {
		reset(p.host)
		return
	}
	p.sendLast(frameGivenUp)
}

// sendLast sends the last frame.
func (p *passage) sendLast(kind byte) {
	_, _ = p.host.Write([]byte{0, 0, kind})
	// Bytes that are not read yet would make the kernel discard what was sent last.
	_ = p.host.SetReadDeadline(time.Now().Add(lastFrameTimeout))
	if t, ok := p.host.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
}

// run passes on what the node behind and the server send, until one of them ends.
func (p *passage) run() {
	var g sync.WaitGroup
	g.Go(p.passRequests)
	p.passResponses()
	g.Wait()
}

// passRequests passes on what the node behind sends. A server that reads nothing more may still respond.
func (p *passage) passRequests() {
	b := make([]byte, requestBytes)
	sending := true
	for {
		n, err := p.host.Read(b)
		if n > 0 && sending {
			_, sendErr := p.writes.Write(p.backend, b[:n])
			sending = sendErr == nil
		}
		if err != nil {
			p.giveUp(HostClosed)
			return
		}
	}
}

// passResponses passes on what the server sends, and how it ended.
func (p *passage) passResponses() {
	b := make([]byte, headerBytes+frameBytes)
	var err error
	for err == nil {
		var n int
		n, err = p.backend.Read(b[headerBytes:])
		if n == 0 {
			continue
		}
		binary.BigEndian.PutUint16(b, uint16(n))
		if _, sendErr := p.host.Write(b[:headerBytes+n]); sendErr != nil {
			p.cut(HostClosed)
			return
		}
	}
	e, kind := PathBroke, byte(0)
	switch {
	case errors.Is(err, io.EOF) && p.writes.Broke():
		e, kind = ServerBroke, frameBroke
	case errors.Is(err, io.EOF):
		e, kind = ServerEnded, frameEnded
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		e, kind = ServerBroke, frameBroke
	}
	p.finish(e)
	switch p.end() {
	case PathBroke:
		reset(p.host)
	case e:
		p.sendLast(kind)
	case HostClosed, HostReported:
		p.confirm()
	default:
		reset(p.host)
	}
}

// grant is the lease of a node that has tunnels through this one.
type grant struct {
	until    time.Time
	passages map[uint32]*passage
	timer    *time.Timer
}

// deadline returns until when a passage may work. One that was opened a moment ago may not be covered
// by the lease yet.
func (g *grant) deadline(p *passage) time.Time {
	if own := p.openedAt.Add(lease.Term); own.After(g.until) {
		return own
	}
	return g.until
}

func (n *Node) add(p *passage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := n.grants[p.id.lease]
	if g == nil {
		g = &grant{passages: make(map[uint32]*passage)}
		g.timer = time.AfterFunc(lease.Term, func() { n.expire(p.id.lease) })
		n.grants[p.id.lease] = g
	}
	g.passages[p.id.number] = p
}

func (n *Node) remove(p *passage) {
	n.mu.Lock()
	if g := n.grants[p.id.lease]; g != nil && g.passages[p.id.number] == p {
		delete(g.passages, p.id.number)
		if len(g.passages) == 0 {
			g.timer.Stop()
			delete(n.grants, p.id.lease)
		}
	}
	n.mu.Unlock()
	n.record("tunnel ended", p.host.RemoteAddr().String(), p.server, p.end(), time.Since(p.openedAt))
}

// expire cuts the passages of a lease that has ended.
func (n *Node) expire(id uint64) {
	n.mu.Lock()
	g := n.grants[id]
	if g == nil {
		n.mu.Unlock()
		return
	}
	now := time.Now()
	var expired []*passage
	next := now.Add(lease.Term)
	for _, p := range g.passages {
		d := g.deadline(p)
		if !now.Before(d) {
			expired = append(expired, p)
		} else if d.Before(next) {
			next = d
		}
	}
	g.timer.Reset(next.Sub(now))
	n.mu.Unlock()
	for _, p := range expired {
		p.cut(LeaseEnded)
	}
}

// renew extends the lease of a holder that has returned a stamp, and cuts the passages that it has closed.
func (n *Node) renew(id uint64, s lease.Stamp, closed []uint32) {
	n.mu.Lock()
	var cut []*passage
	if g := n.grants[id]; g != nil {
		if until, valid := n.grantor.Deadline(s, time.Now()); valid && until.After(g.until) {
			g.until = until
		}
		for _, number := range closed {
			if p := g.passages[number]; p != nil {
				cut = append(cut, p)
			}
		}
	}
	n.mu.Unlock()
	for _, p := range cut {
		p.giveUp(HostReported)
	}
}
