package tcp

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// CallerConn is the connection that a request came on. Unlike the contexts of its requests, Base does
// not end when the caller stops sending.
type CallerConn struct {
	Net  net.Conn
	Base context.Context
}

// ConnContext makes the connection available to handlers, which ask the kernel how long a request
// waited there. It is to be set as http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, CallerConn{Net: c, Base: ctx})
}

// CallerConnOf returns the connection that a request came on. If it isn't known, Base is the context
// of the request.
func CallerConnOf(r *http.Request) CallerConn {
	if c, ok := r.Context().Value(connKey{}).(CallerConn); ok {
		return c
	}
	return CallerConn{Base: r.Context()}
}
