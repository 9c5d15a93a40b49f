package serverpath

import (
	"context"
	"net"
	"time"

	"cicadabeam/io/tcp"
)

// Nothing can be sent on a connection that this host's kernel has ended as its server was not reached, and
// the server works on until its own kernel notices. Opening a connection from the same port makes the
// server's kernel ask for the state of the one that it still has, and this one's answer is a reset (RFC
// 5961, section 4). Where a kernel does otherwise, a connection is opened and closed.

// endStale ends such a connection at the server.
func (c *Conn) endStale() {
	local, _ := c.LocalAddr().(*net.TCPAddr)
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
	if local == nil || !c.dialer.ends.reserve() {
		c.end.Tell(false)
		return
	}
	go func() {
		defer c.dialer.ends.unreserve()
		reason := KeptTooLong
		for until := c.at.Add(keepTimeout); time.Now().Before(until); {
			if openedFrom(local, c.server) {
				reason = PathWorks
				break
			}
		}
		c.end.Tell(reason.known())
		if c.dialer.OnLateEnd != nil {
			c.dialer.OnLateEnd(c.server, reason, time.Since(c.at))
		}
	}()
}

// openedFrom reports whether the server's host responds to the opening of a connection from a local
// address, and has no other one from there any more. It takes pathTimeout if not.
func openedFrom(local *net.TCPAddr, server string) bool {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(pathTimeout))
	defer cancel()
	d := net.Dialer{Control: tcp.From(local)}
	c, err := d.DialContext(ctx, "tcp", server)
	if err == nil {
		x, same := c.LocalAddr().(*net.TCPAddr)
		same = same && x.Port == local.Port
		_ = c.(*net.TCPConn).SetLinger(0)
		if _ = c.Close(); same {
			return true
		}
	} else if tcp.Refused(err) {
		return true
	}
	<-ctx.Done()
	return false
}

// reserve counts a connection that is kept. It reports false if too many are.
func (e *ends) reserve() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.count >= maxKept {
		return false
	}
	e.count++
	return true
}

func (e *ends) unreserve() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count--
}
