package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
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
	// firstRequestTimeout is how long after a connection was accepted a server that drains
	// waits for its first request.
	firstRequestTimeout = time.Second
)

// httpServer is an HTTP server that answers the requests that it has read before it ends.
// http.Server.Shutdown drops those that it reads while it waits for others.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	closed   chan struct{}
	mu       sync.Mutex
	draining bool
	ended    bool
	conns    map[net.Conn]*connState
}

// connState is the state of a connection.
type connState struct {
	accepted time.Time
	waiting  bool // for its first request
	active   bool // a request is in progress
	closed   bool // by the server; nothing that is read on it runs
}

// connKey is the context key of a request's connection.
type connKey struct{}

// newHTTPServer listens on an address. ctx is the context of requests.
func newHTTPServer(ctx context.Context, address string, h http.Handler) (*httpServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &httpServer{listener: l, closed: make(chan struct{}), conns: make(map[net.Conn]*connState)}
	s.server = &http.Server{
		Handler: s.tracked(h), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx }, ConnState: s.recordState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return relay.ConnContext(context.WithValue(ctx, connKey{}, c), c)
		},
	}
	return s, nil
}

// recordState follows a connection while no request is in progress on it.
func (s *httpServer) recordState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.conns[c]
	switch state {
	case http.StateNew:
		s.conns[c] = &connState{accepted: time.Now(), waiting: true}
	case http.StateIdle:
		x.waiting, x.active = false, false
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// tracked returns a handler that calls h unless the server has closed the connection of the
// request.
func (s *httpServer) tracked(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(net.Conn)
		if !s.begin(c) {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// begin records that a request begins and reports whether its connection is open.
func (s *httpServer) begin(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.conns[c]
	if x == nil || x.closed || s.ended {
		return false
	}
	x.active = true
	return true
}

// run serves until the server is closed.
func (s *httpServer) run() error {
	err := s.server.Serve(s.listener)
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		<-s.closed
		return http.ErrServerClosed
	}
	return err
}

// drain closes the listener and, as they become idle, the connections. It returns when all are
// closed, at the latest at a time.
func (s *httpServer) drain(until time.Time) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	_ = s.listener.Close()
	for s.closeIdle(time.Now()) > 0 && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}

// closeIdle closes the connections without a request and returns how many others there are.
func (s *httpServer) closeIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for c, x := range s.conns {
		switch {
		case x.closed:
		case x.active, x.waiting && now.Sub(x.accepted) < firstRequestTimeout:
			open++
		default:
			x.closed = true
			_ = c.Close()
		}
	}
	return open
}

// shutdown drains the server and then closes what remains. It is called once.
func (s *httpServer) shutdown(until time.Time) {
	s.drain(until)
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	_ = s.server.Close()
	close(s.closed)
}
