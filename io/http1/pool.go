package http1

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Paths opens connections to servers, and learns what becomes of requests.
type Paths interface {
	// Dial opens a connection. direct is set if no other node is in between.
	Dial(ctx context.Context, address string) (c net.Conn, direct bool, err error)
	// MayReuse reports whether an idle connection to a server may be used for another request.
	MayReuse(address string, direct bool) bool
	// Begin is called when a request has been sent on a direct connection. end is called once the
	// server has responded, or the request has ended without any response; evidence is set if
	// that wasn't this node's decision.
	Begin(address string) (end func(responded, evidence bool))
}

// maxIdlePerServer is the number of idle connections kept per server.
const maxIdlePerServer = 4

// Pool keeps idle connections to servers.
type Pool struct {
	mu                sync.Mutex
	idle              map[string][]*Conn
	openedConnections int64
	source            net.IP // from which connections are opened, nil if the system chooses it
	paths             Paths  // nil: all connections are direct
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*Conn)} }

// From makes the pool open connections from an address of this host. It is called before the
// pool is used.
func (p *Pool) From(source net.IP) { p.source = source }

// Use makes the pool open connections by paths. It is called before the pool is used.
func (p *Pool) Use(paths Paths) { p.paths = paths }

// OpenedConnections returns the number of connections opened so far.
func (p *Pool) OpenedConnections() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openedConnections
}

// Get returns a connection for the request with an ID, on which nothing of it has been sent
// yet. An idle connection is reused only if the server has neither closed it nor sent data on
// it, and if it has not carried a request with this ID before: a late copy of that one's
// response could not be told from the response that is awaited.
func (p *Pool) Get(ctx context.Context, address, id string) (*Conn, error) {
	for id != "" {
		c := p.takeIdle(address, id)
		if c == nil {
			break
		}
		if time.Now().Before(c.reusableUntil) && !c.interrupted.Load() && p.mayReuse(c) && c.isIdle() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	return p.GetNew(ctx, address)
}

// GetNew opens a connection that has carried no request.
func (p *Pool) GetNew(ctx context.Context, address string) (*Conn, error) {
	c, err := p.connect(ctx, address)
	if err == nil {
		p.mu.Lock()
		p.openedConnections++
		p.mu.Unlock()
	}
	return c, err
}

// GetDirect opens a connection to a server without another node in between. It is not reused.
func (p *Pool) GetDirect(ctx context.Context, address string) (*Conn, error) {
	n, err := p.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	c := newConn(n, address)
	c.noReuse.Store(true)
	return c, nil
}

func (p *Pool) mayReuse(c *Conn) bool { return p.paths == nil || p.paths.MayReuse(c.address, c.direct) }

// takeIdle removes and returns the idle connection that was put back last of those that have
// not carried a request with this ID, nil if there is none.
func (p *Pool) takeIdle(address, id string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i, c := range slices.Backward(conns) {
		if !c.carried.contains(id) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// Put returns a connection to the pool after its response has been read completely. A
// connection that can't be reused, or exceeds maxIdlePerServer, is closed.
func (p *Pool) Put(c *Conn) {
	if c.reusableUntil.IsZero() {
		c.reusableUntil = time.Now().Add(defaultIdleTimeout) // no request has been sent on it yet
	}
	if c.noReuse.Load() || c.interrupted.Load() || c.carried.full() || !c.bodySent() || c.hasUnread() || !time.Now().Before(c.reusableUntil) {
		c.Close()
		return
	}
	_ = c.net.SetDeadline(time.Time{})
	c.observe, c.held = nil, nil
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.address]
	if len(conns) >= maxIdlePerServer {
		c.Close()
		return
	}
	p.idle[c.address] = append(conns, c)
}

// CloseUnusable closes the idle connections whose reuse period has ended, that the server has
// closed, or on which it sends something.
func (p *Pool) CloseUnusable(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		var kept []*Conn
		for _, c := range conns {
			if now.Before(c.reusableUntil) && p.mayReuse(c) && c.isIdle() {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}
