package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/connlimit"
	"cicadabeam/io/httpserver"
	"cicadabeam/io/tcp"
)

const (
	// headerTimeout, idleTimeout and maxHeaderBytes limit callers' connections.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 3 * time.Minute
	maxHeaderBytes = 64 << 10
	// lastResponseTimeout limits the time in which requests that end because the node stops
	// are answered.
	lastResponseTimeout = 300 * time.Millisecond
)

// newHTTPServer listens on an address. ctx is the context of requests.
func newHTTPServer(ctx context.Context, address string, limit *connlimit.Limit, h http.Handler) (*httpserver.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := httpserver.New(l, &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx }, ConnContext: tcp.ConnContext,
	})
	s.LimitConnections(limit)
	return s, nil
}
