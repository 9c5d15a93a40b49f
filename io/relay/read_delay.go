package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"cicadabeam/io/tcp"
)

type connKey struct{}

// ConnContext makes the connection available to the handler, which asks the kernel how
// long a request waited there. It is to be set as http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// readDelay returns how long a request whose head has just been read may have waited in
// the kernel: the time since its connection last received data or, if longer, the stall
// that the process has just gone through. The former says little about a request whose
// body is still arriving, the latter nothing about one that is read late for another reason.
func (h *Handler) readDelay(r *http.Request) time.Duration {
	stall := h.StallDetector.RecentStall(h.Uptime())
	c := callerConn(r)
	if c == nil {
		return stall
	}
	waited, known := tcp.SinceLastReceived(c)
	if !known {
		return stall
	}
	return max(waited, stall)
}

// callerConn returns the connection that a request came on, nil if it isn't known.
func callerConn(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// connectionState returns the state of the caller's connection for the log.
func (x *exchange) connectionState() string { return tcp.State(callerConn(x.r)) }
