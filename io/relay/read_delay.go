package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"cicadabeam/io/tcp"
)

type connKey struct{}

// connection is a caller's connection. Unlike the contexts of its requests, base does not end
// when the caller stops sending.
type connection struct {
	net  net.Conn
	base context.Context
}

// ConnContext makes the connection available to the handler, which asks the kernel how
// long a request waited there. It is to be set as http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connection{net: c, base: ctx})
}

// readDelay returns how long a request whose head has just been read may have waited in
// the kernel: the time since its connection last received data or, if longer, the stall
// that the process has just gone through. The former says little about a request whose
// body is still arriving, the latter nothing about one that is read late for another reason.
func (h *Handler) readDelay(r *http.Request) time.Duration {
	stall := h.StallDetector.RecentStall(h.Uptime())
	waited, known := tcp.SinceLastReceived(callerConn(r).net)
	if !known {
		return stall
	}
	return max(waited, stall)
}

// callerConn returns the connection that a request came on. If it isn't known, base is the
// context of the request.
func callerConn(r *http.Request) connection {
	if c, ok := r.Context().Value(connKey{}).(connection); ok {
		return c
	}
	return connection{base: r.Context()}
}

// connectionState returns the state of the caller's connection for the log.
func (x *exchange) connectionState() string { return tcp.State(callerConn(x.r).net) }
