package httpserver

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"cicadabeam/core/connlimit"
	"cicadabeam/io/tcp"
)

const (
	// maxRefusals limits the connections that are refused with a response at a time. Others are closed.
	maxRefusals = 8
	// refusalTimeout limits the time in which a refused connection sends its request.
	refusalTimeout = 100 * time.Millisecond
)

// errGaveWay is the error of a request body whose connection was closed in favour of another.
var errGaveWay = errors.New("the connection was closed in favour of another")

// LimitConnections limits the connections that are open at a time. It is called before Run.
func (s *Server) LimitConnections(l *connlimit.Limit) {
	s.listener.limit, s.listener.accepted = l, s.recordAccepted
	s.listener.refusals = make(chan struct{}, maxRefusals)
}

// recordAccepted records a connection that counts toward the limit.
func (s *Server) recordAccepted(c net.Conn, x *connlimit.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = &connState{limited: x}
}

// beginLimited records that the head of a request was read. It reports false if the connection was closed
// in favour of another.
func (x *connState) beginLimited(r *http.Request) bool {
	if r.ContentLength == 0 {
		return x.limited.Begin()
	}
	return x.limited.Wait(time.Now())
}

// whenWhole returns a request that counts as in progress once its body was read. The server examines the
// body of its own request, which is not changed.
func whenWhole(r *http.Request, limited *connlimit.Conn) *http.Request {
	if limited == nil || r.ContentLength == 0 {
		return r
	}
	whole := *r
	whole.Body = &body{ReadCloser: r.Body, limited: limited}
	return &whole
}

// body is the body of a request on a limited connection.
type body struct {
	io.ReadCloser
	limited *connlimit.Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.limited.Begin() {
		return 0, errGaveWay
	}
	return n, err
}

// refuse refuses a connection for which there is no room. Nothing that is sent on it runs.
func (l *listener) refuse(c net.Conn) {
	if _, encrypted := c.(*tls.Conn); encrypted {
		closeNow(c)
		return
	}
	select {
	case l.refusals <- struct{}{}:
	default:
		closeNow(c)
		return
	}
	go func() {
		defer func() { closeNow(c); <-l.refusals }()
		_ = c.SetDeadline(time.Now().Add(refusalTimeout))
		if _, err := tcp.Underlying(c).Read(make([]byte, 4<<10)); err == nil {
			_, _ = c.Write([]byte(noRoom))
		}
	}()
}

// closeNow closes a connection without waiting for anything.
func closeNow(c net.Conn) { _ = tcp.Underlying(c).Close() }
