// Package serverpath opens connections to servers: directly, or through another node where that takes
// too long or fails.
//
// # Usage
//
//	d := &serverpath.Dialer{Direct: dial, Through: dialThrough, Nodes: nodes, Partitioned: f, OnDirect: g, OnIndirect: h}
//	c, direct, err := d.Dial(ctx, "10.1.0.7:80")
//	if x, ok := c.(*serverpath.Conn); ok { x.GiveUp() } // the request goes on elsewhere
//	known := x.AwaitEnd(time.Now().Add(100 * time.Millisecond)) // false: the server may work on
package serverpath

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/io/tcp"
)

const (
	// timeout limits the time to connect to a server.
	timeout = 400 * time.Millisecond
	// secondDelay is how long a connection may take until one of the other kind is attempted beside
	// it, and nodeDelay how long one through a node may take until another node is tried.
	secondDelay = 120 * time.Millisecond
	nodeDelay   = 80 * time.Millisecond
)

var errNoNode = errors.New("no other node reaches servers")

// Dialer opens connections to servers. Its fields must not change while it is used.
type Dialer struct {
	// Direct opens a connection itself, Through one through the node at an address.
	Direct  func(ctx context.Context, server string) (net.Conn, error)
	Through func(ctx context.Context, node, server string) (net.Conn, error)
	// Nodes returns the addresses of the nodes to try, the best ones first.
	Nodes func() []string
	// Partitioned reports whether connections through other nodes are to be tried first.
	Partitioned func() bool
	// OnDirect is called for each direct connection, OnIndirect for each one through a node of a
	// node that is not partitioned.
	OnDirect   func()
	OnIndirect func(server string)
	// OnLateEnd is called for each connection that was given up and whose server learnt of it late, if
	// it isn't nil.
	OnLateEnd func(server string, reason Reason, lasted time.Duration)

	ends ends
}

// DialDirect opens a connection to a server without a node in between.
func (d *Dialer) DialDirect(ctx context.Context, server string) (net.Conn, error) {
	c, err := d.Direct(ctx, server)
	if t, ok := c.(*net.TCPConn); ok && err == nil {
		return &Conn{TCPConn: t, dialer: d, server: server, end: tcp.NewNotice()}, nil
	}
	return c, err
}

// attempt opens a connection until the end of a context.
type attempt func(context.Context) result

type result struct {
	conn   net.Conn
	direct bool
	err    error
}

// Dial opens a connection to a server and reports whether it is direct.
func (d *Dialer) Dial(ctx context.Context, server string) (net.Conn, bool, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(timeout))
	defer cancel()
	partitioned := d.Partitioned()
	kinds := []attempt{
		func(ctx context.Context) result { c, err := d.DialDirect(ctx, server); return result{c, true, err} },
		func(ctx context.Context) result { c, err := d.throughAny(ctx, server); return result{c, false, err} },
	}
	if partitioned {
		kinds[0], kinds[1] = kinds[1], kinds[0]
	}
	x := first(ctx, kinds, secondDelay)
	switch {
	case x.err != nil:
		return nil, true, x.err
	case x.direct:
		d.OnDirect()
	case !partitioned:
		d.OnIndirect(server)
	}
	return x.conn, x.direct, nil
}

// throughAny opens a connection through one of the nodes.
func (d *Dialer) throughAny(ctx context.Context, server string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var attempts []attempt
	for _, node := range d.Nodes() {
		attempts = append(attempts, func(ctx context.Context) result {
			c, err := d.Through(ctx, node, server)
			return result{conn: c, err: err}
		})
	}
	if len(attempts) == 0 {
		return nil, errNoNode
	}
	x := first(ctx, attempts, nodeDelay)
	return x.conn, x.err
}

// first returns the first success of some attempts, or the failure of the first one. Each attempt
// begins once the one before has failed or has taken the delay. Connections that come later are closed.
// The first attempt runs in the caller's goroutine: most are alone, and the stacks of many goroutines
// that dial at once would stay behind.
func first(ctx context.Context, attempts []attempt, delay time.Duration) result {
	if len(attempts) == 1 {
		return attempts[0](ctx)
	}
	own, cancel := context.WithCancel(ctx)
	defer cancel()
	others := make(chan result, 1)
	next := time.AfterFunc(delay, func() {
		y := first(ctx, attempts[1:], delay)
		others <- y
		if y.err == nil {
			cancel()
		}
	})
	x := attempts[0](own)
	switch {
	case !next.Stop(): // the others have begun
		return x.or(others)
	case x.err == nil, ctx.Err() != nil:
		return x
	}
	if y := first(ctx, attempts[1:], delay); y.err == nil {
		return y
	}
	return x
}

// or returns the result of attempts beside this one if they have succeeded, or do where this one
// has failed.
func (x result) or(others <-chan result) result {
	if x.err == nil {
		select {
		case y := <-others:
			if y.err != nil {
				return x
			}
			_ = x.conn.Close()
			return y
		default:
			go closeLater(others)
			return x
		}
	}
	if y := <-others; y.err == nil {
		return y
	}
	return x
}

func closeLater(others <-chan result) {
	if y := <-others; y.conn != nil {
		_ = y.conn.Close()
	}
}
