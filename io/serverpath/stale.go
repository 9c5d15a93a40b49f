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
		for until := c.at.Add(keepTimeout); reason == KeptTooLong && time.Now().Before(until); {
			reason = openFrom(local, c.server)
		}
		c.end.Tell(reason.known())
		if c.dialer.OnLateEnd != nil {
			c.dialer.OnLateEnd(c.server, reason, time.Since(c.at))
		}
	}()
}

// openFrom opens a connection to a server from a local address. It returns PathWorks if the server's host
// responds and has no other connection from there any more, KernelEnded if the connection was opened from
// another address, so that more attempts don't help, and KeptTooLong after pathTimeout.
func openFrom(local *net.TCPAddr, server string) Reason {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(pathTimeout))
	defer cancel()
	d := net.Dialer{Control: tcp.From(local)}
	c, err := d.DialContext(ctx, "tcp", server)
	if err == nil {
		x, ok := c.LocalAddr().(*net.TCPAddr)
		_ = c.(*net.TCPConn).SetLinger(0)
		if _ = c.Close(); ok && x.Port == local.Port {
			return PathWorks
		}
		return KernelEnded
	}
	if tcp.Refused(err) {
		return PathWorks
	}
	<-ctx.Done()
	return KeptTooLong
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
