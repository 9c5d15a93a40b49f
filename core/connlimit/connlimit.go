// Package connlimit limits the connections that a listener has open at a time. When the limit is
// reached, connections without a complete request give way to new ones, oldest first. Those with a
// request in progress are kept; if there are no others, the new connection is refused.
//
// Addresses matter only under pressure, as callers behind a load balancer share one: an address that has
// more than a quarter of the connections without a request gives way first, and none gets the last
// eighth of the limit.
//
// # Usage
//
//	l := connlimit.New(900)
//	c := l.Add("10.0.0.7", time.Now(), func() { _ = conn.Close() }) // nil: no room for it
//	if c.Begin() { ... }    // a complete request was read; false if the connection was closed
//	c.Wait(time.Now())      // the request has ended, or only its head was read
//	c.Remove()              // the connection is closed
package connlimit

import (
	"container/list"
	"sync"
	"time"
)

const (
	// heavyShare is the inverse of the share of the limit from which an address gives way first.
	heavyShare = 4
	// reservedShare is the inverse of the share of the limit that no single address gets.
	reservedShare = 8
)

// Limit is a number of connections. Its methods may be called by several goroutines.
type Limit struct {
	max     int
	observe func(Decision)

	mu        sync.Mutex
	open      int
	waiting   list.List // of *Conn, the one that has waited longest first
	addresses map[string]*address
	closed    int64
	refused   int64
}

// address counts the connections from one address.
type address struct {
	name    string
	open    int
	waiting list.List // of *Conn
}

// Conn is a connection that counts toward a limit. A nil Conn counts toward none.
type Conn struct {
	limit   *Limit
	address *address
	close   func()
	since   time.Time     // it has waited
	all     *list.Element // in Limit.waiting, nil while a request is in progress
	own     *list.Element // in address.waiting
	removed bool
}

// Decision describes a connection that was closed in favour of another, or a new one that was refused.
type Decision struct {
	Address string // of the connection that was closed or refused
	Refused bool
	Waited  time.Duration // how long it had waited for a complete request
	Open    int           // connections, the new one included
	Waiting int           // of them without a complete request
	Max     int
}

// New returns a limit.
func New(maximum int) *Limit {
	return &Limit{max: max(maximum, 1), addresses: make(map[string]*address)}
}

// Observe sets a function that is called with each decision. It is called before Add.
func (l *Limit) Observe(f func(Decision)) { l.observe = f }

// Add adds a new connection, which waits for its first request. At the limit, another one is closed by
// the function that was given with it. Add returns nil if there is no room.
func (l *Limit) Add(from string, now time.Time, closeConn func()) *Conn {
	c, victim, d := l.add(from, now, closeConn)
	if victim != nil {
		victim.close()
	}
	if d != nil && l.observe != nil {
		l.observe(*d)
	}
	return c
}

func (l *Limit) add(from string, now time.Time, closeConn func()) (added, victim *Conn, d *Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.addresses[from]
	if a == nil {
		a = &address{name: from}
		l.addresses[from] = a
	}
	if full, e := l.candidate(a); full {
		d = &Decision{Address: from, Refused: e == nil, Open: l.open + 1, Waiting: l.waiting.Len() + 1, Max: l.max}
		if e == nil {
			l.refused++
			l.forget(a)
			return nil, nil, d
		}
		victim = e.Value.(*Conn)
		d.Address, d.Waited = victim.address.name, now.Sub(victim.since)
		l.closed++
		l.remove(victim)
		l.addresses[from] = a // it may have been the victim's
	}
	c := &Conn{limit: l, address: a, close: closeConn}
	l.open++
	a.open++
	l.wait(c, now)
	return c, victim, d
}

// candidate reports whether a connection has to be closed for a new one from an address, and returns
// which, nil for none.
func (l *Limit) candidate(a *address) (bool, *list.Element) {
	if a.open >= l.max-l.max/reservedShare {
		return true, a.waiting.Front()
	}
	if l.open < l.max {
		return false, nil
	}
	var heaviest *address
	for _, x := range l.addresses {
		if x.waiting.Len() > l.max/heavyShare && (heaviest == nil || x.waiting.Len() > heaviest.waiting.Len()) {
			heaviest = x
		}
	}
	if heaviest != nil {
		return true, heaviest.waiting.Front()
	}
	return true, l.waiting.Front()
}

func (l *Limit) wait(c *Conn, now time.Time) {
	c.since = now
	c.all, c.own = l.waiting.PushBack(c), c.address.waiting.PushBack(c)
}

// unlist takes a connection from those that wait.
func (l *Limit) unlist(c *Conn) {
	if c.all != nil {
		l.waiting.Remove(c.all)
		c.address.waiting.Remove(c.own)
		c.all, c.own = nil, nil
	}
}

func (l *Limit) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	l.unlist(c)
	l.open--
	c.address.open--
	l.forget(c.address)
}

// forget drops an address without connections.
func (l *Limit) forget(a *address) {
	if a.open == 0 {
		delete(l.addresses, a.name)
	}
}

// Begin records that a complete request was read. It reports false if the connection was closed: the
// request must not run.
func (c *Conn) Begin() bool {
	if c == nil {
		return true
	}
	c.limit.mu.Lock()
	defer c.limit.mu.Unlock()
	c.limit.unlist(c)
	return !c.removed
}

// Wait records that no complete request is in progress from now on. It reports false if the connection
// was closed.
func (c *Conn) Wait(now time.Time) bool {
	if c == nil {
		return true
	}
	c.limit.mu.Lock()
	defer c.limit.mu.Unlock()
	if c.removed {
		return false
	}
	c.limit.unlist(c)
	c.limit.wait(c, now)
	return true
}

// Remove records that the connection is closed.
func (c *Conn) Remove() {
	if c == nil {
		return
	}
	c.limit.mu.Lock()
	defer c.limit.mu.Unlock()
	c.limit.remove(c)
}

// Open returns the number of connections.
func (l *Limit) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Max returns the limit.
func (l *Limit) Max() int { return l.max }

// Totals returns how many connections were closed in favour of others, and refused.
func (l *Limit) Totals() (closed, refused int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed, l.refused
}
