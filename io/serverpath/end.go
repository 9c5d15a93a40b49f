package serverpath

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cicadabeam/io/tcp"
)

// What is sent while a path is cut arrives with the next retransmission, which may be seconds after the
// path has healed, and a reset is lost. So a connection that is given up is kept until its server knows
// of its end, or until a new connection shows that the path works, and is reset then.

const (
	// endCheckInterval is the time between two checks whether a server knows of the end of a connection,
	// and endTimeout the time until one may be reset: longer than the kernel's first retransmission takes,
	// as a reset ends these. None is due after an acknowledgement, and acknowledgedTimeout is the time
	// for the server to read it.
	endCheckInterval    = 10 * time.Millisecond
	lateCheckInterval   = 25 * time.Millisecond // once the server should have read it
	endTimeout          = 300 * time.Millisecond
	acknowledgedTimeout = 60 * time.Millisecond
	// tryDelay is the time until the path is tried with new connections, and tryInterval that between two
	// of them. They overlap, as one whose first packet is lost tells nothing of a path that has healed since.
	tryDelay    = 240 * time.Millisecond
	tryInterval = 100 * time.Millisecond
	// trySpacing is the least time between two attempts to any servers, unless one has just got through:
	// paths are often cut, and heal, together.
	trySpacing = 20 * time.Millisecond
	// pathTimeout limits an attempt to connect, and how long one that got through is proof that the path
	// works. A round trip between regions takes 40 ms.
	pathTimeout = 200 * time.Millisecond
	// keepTimeout limits the time for which a connection is kept, and maxKept their number.
	keepTimeout = 10 * time.Second
	maxKept     = 128
)

// Reason is why a connection that was given up was reset late.
type Reason string

// The reasons.
const (
	EndKnown    Reason = "the server knew of the end"
	PathWorks   Reason = "the path worked again"
	KeptTooLong Reason = "the server was not reached in time"
	KernelEnded Reason = "the kernel ended the connection"
	Untold      Reason = "the kernel does not tell"
)

// known reports whether the server is known to have learnt of the end.
func (r Reason) known() bool { return r == EndKnown || r == PathWorks }

// Conn is a direct connection to a server.
type Conn struct {
	*net.TCPConn
	dialer  *Dialer
	server  string // address
	givenUp atomic.Bool
	at      time.Time   // when it was given up
	lost    atomic.Bool // the kernel ended it before, and the server may not know
	end     *tcp.Notice
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	return n, c.observe(err)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	return n, c.observe(err)
}

func (c *Conn) observe(err error) error {
	if err != nil && tcp.Lost(err) {
		c.lost.Store(true)
	}
	return err
}

// GiveUp ends the connection, on which a request may be running that goes on elsewhere. The server
// learns of it soon after it is reached again.
func (c *Conn) GiveUp() {
	if c.givenUp.Swap(true) {
		return
	}
	_ = c.SetDeadline(time.Unix(1, 0))
	_ = c.CloseWrite()
	c.at = time.Now()
	switch reason, ended := c.ended(); {
	case reason == KernelEnded:
		c.endStale()
	case ended:
		c.reset(reason)
	case !c.dialer.ends.add(c):
		_ = c.TCPConn.Close()
		c.end.Tell(false)
	}
}

// AwaitEnd waits until a time at the latest and reports whether the server is known to have learnt of
// the end of the connection, which was given up. It reports false if that can't be known.
func (c *Conn) AwaitEnd(until time.Time) bool { return c.end.Await(until) }

// ended reports whether nothing more can be done to tell the server of the end, and why.
func (c *Conn) ended() (reason Reason, ended bool) {
	switch e := tcp.ReadEnd(c.TCPConn); {
	case e == tcp.EndPending:
		return "", false
	case e == tcp.EndLost, c.lost.Load():
		return KernelEnded, true
	case e == tcp.EndUntold:
		return Untold, true
	}
	return EndKnown, true
}

// Close implements net.Conn. A server that may work on, as only this host's kernel has ended the connection,
// learns of the end like that of one that was given up.
func (c *Conn) Close() error {
	if c.lost.Load() {
		c.GiveUp()
		return nil
	}
	if c.givenUp.Swap(true) {
		return nil
	}
	return c.TCPConn.Close()
}

func (c *Conn) reset(reason Reason) {
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
	c.end.Tell(reason.known())
}

// ends are the connections that were given up and are kept, by the addresses of their servers.
type ends struct {
	mu      sync.Mutex
	conns   map[string][]*Conn
	count   int
	nextTry time.Time // to connect to any server
	worked  time.Time // when an attempt last got through
}

// mayTry reports whether another attempt to connect may be made now.
func (e *ends) mayTry(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.nextTry) && now.Sub(e.worked) > pathTimeout {
		return false
	}
	e.nextTry = now.Add(trySpacing)
	return true
}

func (e *ends) recordWorked(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.worked = now
}

// add keeps a connection. It reports false if too many are kept.
func (e *ends) add(c *Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.count >= maxKept {
		return false
	}
	_ = tcp.SetUserTimeout(c.TCPConn, keepTimeout)
	if e.conns == nil {
		e.conns = make(map[string][]*Conn)
	}
	e.count++
	e.conns[c.server] = append(e.conns[c.server], c)
	if len(e.conns[c.server]) == 1 {
		go c.dialer.awaitEnds(c.server)
	}
	return true
}

// resetFrom returns from when the connection may be reset.
func (c *Conn) resetFrom() time.Time {
	if tcp.EndAcknowledged(c.TCPConn) {
		return c.at.Add(acknowledgedTimeout)
	}
	return c.at.Add(endTimeout)
}

// tryFrom returns from when the path is tried with new connections.
func (c *Conn) tryFrom(now time.Time) time.Time {
	if first := c.at.Add(acknowledgedTimeout); now.Before(first) {
		return first
	}
	return earlier(c.resetFrom(), c.at.Add(tryDelay))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// resetEnded resets the connections to a server for which reason returns one. Of those that remain it
// returns from when the path is tried, and when the newest one was given up.
func (d *Dialer) resetEnded(server string, reason func(c *Conn) Reason) (tryFrom, newest time.Time, remain bool) {
	e := &d.ends
	now := time.Now()
	reset := make(map[*Conn]Reason)
	e.mu.Lock()
	var kept []*Conn
	for _, c := range e.conns[server] {
		if r := reason(c); r != "" {
			reset[c] = r
			continue
		}
		kept = append(kept, c)
		newest = c.at
		if t := c.tryFrom(now); tryFrom.IsZero() || t.Before(tryFrom) {
			tryFrom = t
		}
	}
	e.count -= len(reset)
	e.conns[server] = kept
	if len(kept) == 0 {
		delete(e.conns, server)
	}
	e.mu.Unlock()
	for c, r := range reset {
		c.reset(r)
		if lasted := time.Since(c.at); lasted > endTimeout && d.OnLateEnd != nil {
			d.OnLateEnd(server, r, lasted)
		}
	}
	return tryFrom, newest, len(kept) > 0
}

// awaitEnds resets the connections to a server that were given up, until none is left.
func (d *Dialer) awaitEnds(server string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var worked atomic.Pointer[time.Time] // when the last attempt began that got through
	var next time.Time                   // attempt
	for {
		now := time.Now()
		proof := worked.Load()
		if proof != nil && now.Sub(*proof) > pathTimeout {
			proof = nil
		}
		tryFrom, newest, remain := d.resetEnded(server, func(c *Conn) Reason {
			r, ended := c.ended()
			switch age := now.Sub(c.at); {
			case ended:
				return r
			case age > keepTimeout:
				return KeptTooLong
			case proof != nil && c.at.Before(*proof) && !now.Before(c.resetFrom()):
				return PathWorks
			}
			return ""
		})
		if !remain {
			return
		}
		if !now.Before(tryFrom) && !now.Before(next) && d.ends.mayTry(now) {
			began := now
			next = now.Add(tryInterval)
			go func() {
				if d.pathWorks(ctx, server) {
					worked.Store(&began)
					d.ends.recordWorked(time.Now())
				}
			}()
		}
		if now.Sub(newest) < tryDelay {
			time.Sleep(endCheckInterval)
		} else {
			time.Sleep(lateCheckInterval)
		}
	}
}

// pathWorks reports whether the host of a server responds to the opening of a connection.
func (d *Dialer) pathWorks(ctx context.Context, server string) bool {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(pathTimeout))
	defer cancel()
	c, err := d.Direct(ctx, server)
	if err != nil {
		return tcp.Refused(err)
	}
	_ = c.Close()
	return true
}
