package http1

import (
	"context"
	"sync"
	"time"
)

// idleLimit is the number of idle connections kept to one server.
const idleLimit = 4

// Choice tells which connections will do.
type Choice int

// Reuse takes an idle connection if there is one, Fresh makes a new one.
const (
	Reuse Choice = iota
	Fresh
)

// Pool keeps idle connections to servers.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*Conn
	opened int64
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*Conn)} }

// Opened returns the number of connections made.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Get returns a connection on which nothing was sent for this request. An idle one
// is given only if its server has neither closed it nor sent anything on it.
func (p *Pool) Get(ctx context.Context, address string, x Choice) (*Conn, error) {
	for x == Reuse {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.usable) && c.quiet() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	c, err := dial(ctx, address)
	if err == nil {
		p.mu.Lock()
		p.opened++
		p.mu.Unlock()
	}
	return c, err
}

func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[address]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	p.idle[address] = all[:len(all)-1]
	return c
}

// Put takes a connection whose answer was read whole.
func (p *Pool) Put(c *Conn) {
	if c.usable.IsZero() {
		c.usable = time.Now().Add(idleWait) // it has carried no request yet
	}
	if c.broken || !c.sent() || c.reader.Buffered() > 0 || !time.Now().Before(c.usable) {
		c.Close()
		return
	}
	_ = c.net.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[c.address]
	if len(all) >= idleLimit {
		c.Close()
		return
	}
	p.idle[c.address] = append(all, c)
}

// Expire closes the idle connections whose time is over.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, all := range p.idle {
		var kept []*Conn
		for _, c := range all {
			if now.Before(c.usable) {
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

// Forget closes the idle connections to a server.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}
