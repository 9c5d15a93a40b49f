package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/io/relay"
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

// httpServer is an HTTP server that answers the requests in progress before it ends.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	closed   chan struct{}
}

// newHTTPServer listens on an address. ctx is the context of requests.
func newHTTPServer(ctx context.Context, address string, h http.Handler) (*httpServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &httpServer{listener: l, closed: make(chan struct{}), server: &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx }, ConnContext: relay.ConnContext,
	}}, nil
}

// run serves until the server is closed.
func (s *httpServer) run() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-s.closed
	}
	return err
}

// drain closes the listener and idle connections, and waits until the requests in progress
// are answered, at most until a time.
func (s *httpServer) drain(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	_ = s.server.Shutdown(ctx)
}

// shutdown drains the server and then closes what remains. It is called once.
func (s *httpServer) shutdown(until time.Time) {
	s.drain(until)
	_ = s.server.Close()
	close(s.closed)
}
