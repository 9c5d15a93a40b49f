// Package httpserver runs an HTTP server that answers the requests that it has read before it
// ends.
//
// # Usage
//
//	s := httpserver.New(listener, &http.Server{Handler: h})
//	go s.Run()
//	s.Drain(until)    // answers what comes on open connections
//	s.Shutdown(until) // and closes what remains
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cicadabeam/core/bytebudget"
	"cicadabeam/core/connlimit"
)

const (
	// firstRequestTimeout is how long after a connection was accepted a server that drains
	// waits for its first request.
	firstRequestTimeout = time.Second
	pollInterval        = 20 * time.Millisecond
)

// Server is an HTTP server that answers the requests that it has read before it ends.
// http.Server.Shutdown drops those that it reads while it waits for others.
type Server struct {
	server   *http.Server
	listener *listener
	closed   chan struct{}
	mu       sync.Mutex
	draining bool
	ended    bool
	conns    map[net.Conn]*connState
	// lingering is the number of connections that are closed once their callers have got the last
	// response.
	lingering atomic.Int64
}

// connState is the state of a connection.
type connState struct {
	accepted time.Time
	waiting  bool // for its first request
	active   bool // a request is in progress
	closed   bool // by the server; nothing that is read on it runs
	limited  *connlimit.Conn
}

// connKey is the context key of a request's connection.
type connKey struct{}

// New returns a server for a listener. It sets the ConnState and ConnContext of s and wraps its
// handler.
func New(l net.Listener, s *http.Server) *Server {
	x := &Server{server: s, closed: make(chan struct{}), conns: make(map[net.Conn]*connState)}
	x.listener = &listener{Listener: l, lingering: &x.lingering}
	s.Handler, s.ConnState = x.tracked(s.Handler), x.recordState
	connContext := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	return x
}

// Limit makes heads of requests take what they need from a budget. Those that find no room are refused
// with status 503. It is called before Run.
func (s *Server) Limit(b *bytebudget.Budget) { s.listener.buffers = b }

// recordState follows a connection while no request is in progress on it.
func (s *Server) recordState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.conns[c]
	if t, ok := c.(*conn); ok && state != http.StateActive {
		t.head.release()
	}
	switch state {
	case http.StateNew:
		if x == nil {
			x = &connState{}
			s.conns[c] = x
		}
		x.accepted, x.waiting = time.Now(), true
	case http.StateIdle:
		x.waiting, x.active = false, false
		x.limited.Wait(time.Now())
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
		if _, removes := c.(*conn); !removes && x != nil {
			x.limited.Remove()
		}
	}
}

// tracked returns a handler that calls h unless the server has closed the connection of the
// request.
func (s *Server) tracked(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(net.Conn)
		limited, open := s.begin(c, r)
		if !open {
			panic(http.ErrAbortHandler)
		}
		x, ok := c.(*conn)
		if ok {
			x.head.complete()
		}
		s.announceClose(w)
		h.ServeHTTP(w, whenWhole(r, limited))
		s.announceClose(w)
		if ok {
			x.announced.Store(w.Header().Get("Connection") == "close")
		}
	})
}

// announceClose lets a response close its connection if the server drains.
func (s *Server) announceClose(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		w.Header().Set("Connection", "close")
	}
}

// begin records that a request begins and reports whether its connection is open.
func (s *Server) begin(c net.Conn, r *http.Request) (*connlimit.Conn, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.conns[c]
	if x == nil || x.closed || s.ended || !x.beginLimited(r) {
		return nil, false
	}
	x.active = true
	return x.limited, true
}

// Run serves until the server is closed.
func (s *Server) Run() error {
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

// Drain closes the listener and, as they become idle, the connections. It returns when all are
// closed, at the latest at a time.
func (s *Server) Drain(until time.Time) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	_ = s.listener.Close()
	for s.closeIdle(time.Now())+int(s.lingering.Load()) > 0 && time.Now().Before(until) {
		time.Sleep(pollInterval)
	}
}

// closeIdle closes the connections without a request and returns how many others there are.
func (s *Server) closeIdle(now time.Time) int {
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

// Shutdown drains the server and then closes what remains. It is called once.
func (s *Server) Shutdown(until time.Time) {
	s.Drain(until)
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	_ = s.server.Close()
	close(s.closed)
}
