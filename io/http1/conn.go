// Package http1 is an HTTP/1.1 client for backend servers. It manages its own
// connections, so that the caller knows for each request whether any bytes of it may
// have been sent and whether a response belongs to it.
//
// # Usage
//
//	p := http1.NewPool()
//	c, err := p.Get(ctx, "10.0.0.7:8080", request.ID) // nothing of the request has been sent
//	err = c.Send(request, deadline)                   // bytes may have been sent
//	r, err := c.ReadResponse("GET", id, readID, deadline)
//	body, err := io.ReadAll(r.Body)
//	p.Put(c)                                                // only after the complete body
package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"cicadabeam/core/bytebudget"
	"cicadabeam/io/tcp"
)

const (
	// readBufferSize is the size in bytes of a connection's read buffer, slowReadBufferSize if its
	// first request is slow: it is held for long, and what arrives is short. Lines of chunk sizes and
	// the trailer have to fit into it.
	readBufferSize     = 2 << 10
	slowReadBufferSize = 1 << 10
	// dialTimeout limits a connection attempt. A round trip between regions takes 40 ms.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is the TCP user timeout: how long sent bytes may stay unacknowledged
	// before the kernel closes the connection.
	tcpUserTimeout = 3 * time.Second
	// maxResponsesRead limits the responses that ReadResponse reads, those to other
	// requests and interim ones (1xx) included.
	maxResponsesRead = 4
	// maxSyncBody is the size in bytes of the largest body that Send writes before it
	// returns. A larger one is sent while the response is read.
	maxSyncBody = 32 << 10
)

// keepAlive detects within 3 s that a server no longer responds to TCP probes while
// its response is awaited.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Request is a request to a server.
type Request struct {
	// ID identifies the request in responses. A request without one needs a connection that
	// has carried no other.
	ID     string
	Method string
	Target string // path and query
	Host   string
	Header http.Header
	Body   []byte
	// Slow is set if a sound server may take long to begin its response.
	Slow bool
}

// Conn is one connection to a server.
type Conn struct {
	net           net.Conn
	source        *limitedReader
	reader        *bufio.Reader // of source; nil before the first request
	address       string
	direct        bool // no other node is in between
	paths         Paths
	end           func(responded, evidence bool) // of the request that awaits its response, nil if none is to be observed
	reused        bool
	carried       requestIDs
	reusableUntil time.Time   // end of the period in which it may be reused while idle
	noReuse       atomic.Bool // closed, or to be closed after the response
	interrupted   atomic.Bool
	readsResponse bool       // a part of the next response has been read
	bodyResult    chan error // receives the result of sending a large body; nil if none is pending
	observe       func(*http.Response)
	held          *bytebudget.Holder // of the heads of responses, nil for no limit
}

// Dial opens a direct connection to a server.
func (p *Pool) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Deadline: time.Now().Add(dialTimeout), KeepAliveConfig: keepAlive, Control: tcp.UserTimeout(tcpUserTimeout)}
	if p.source != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.source}
	}
	return d.DialContext(ctx, "tcp", address)
}

func (p *Pool) connect(ctx context.Context, address string) (*Conn, error) {
	var n net.Conn
	var err error
	direct := true
	if p.paths == nil {
		n, err = p.Dial(ctx, address)
	} else {
		n, direct, err = p.paths.Dial(ctx, address)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	c := newConn(n, address)
	c.direct, c.paths = direct, p.paths
	return c, nil
}

func newConn(n net.Conn, address string) *Conn {
	s := &limitedReader{source: n}
	return &Conn{net: n, address: address, source: s}
}

// prepareReader makes the reader of responses if there is none.
func (c *Conn) prepareReader(slow bool) {
	switch {
	case c.reader != nil:
	case slow:
		c.reader = bufio.NewReaderSize(c.source, slowReadBufferSize)
	default:
		c.reader = bufio.NewReaderSize(c.source, readBufferSize)
	}
}

// hasUnread reports whether something that was received has not been read.
func (c *Conn) hasUnread() bool { return c.reader != nil && c.reader.Buffered() > 0 }

// Close closes the connection.
func (c *Conn) Close() {
	c.noReuse.Store(true)
	c.endObserved(false, false)
	_ = c.net.Close()
}

// GiveUp closes the connection of a request that may be running and goes on elsewhere, or that nobody
// waits for any more. The server learns of it even if it can't be reached now.
func (c *Conn) GiveUp() {
	c.noReuse.Store(true)
	c.endObserved(false, false)
	x, ok := c.net.(interface{ GiveUp() })
	if !ok {
		_ = c.net.Close()
		return
	}
	c.Interrupt()
	x.GiveUp()
}

// EndBy gives the connection up and reports whether its server is known to have learnt of the end. It
// waits for that until a time at the latest.
func (c *Conn) EndBy(until time.Time) bool {
	c.GiveUp()
	x, ok := c.net.(interface{ AwaitEnd(until time.Time) bool })
	return ok && x.AwaitEnd(until)
}

// endObserved tells the pool's paths what became of the request that was sent.
func (c *Conn) endObserved(responded, evidence bool) {
	if c.end != nil {
		c.end(responded, evidence)
	}
}

// Observe sets a function that is called with the head of each response that is read until
// the connection is put back, those to other requests and interim ones (1xx) included. It
// must not read the body.
func (c *Conn) Observe(f func(*http.Response)) { c.observe = f }

// Hold sets the holder that takes what the heads of responses need, until the connection is put back.
// The caller releases it.
func (c *Conn) Hold(h *bytebudget.Holder) { c.held = h }

// Interrupt makes pending and later reads and writes fail.
func (c *Conn) Interrupt() {
	c.interrupted.Store(true)
	_ = c.net.SetDeadline(time.Unix(1, 0))
}

// Send writes a request. After an error, bytes of it may have been sent. A body larger
// than maxSyncBody is sent in the background while the caller reads the response.
func (c *Conn) Send(r *Request, deadline time.Time) error {
	c.carried.add(r.ID)
	c.prepareReader(r.Slow)
	_ = c.net.SetDeadline(deadline)
	if c.paths != nil && c.direct && !r.Slow {
		c.end = c.paths.Begin(c.address)
	}
	b := sendBuffers.Get().(*[]byte)
	*b = r.appendHead((*b)[:0])
	whole := len(r.Body) <= maxSyncBody
	if whole {
		*b = append(*b, r.Body...)
	}
	err := c.write(*b)
	if cap(*b) <= maxSendBuffer {
		sendBuffers.Put(b)
	}
	if err != nil || whole {
		return err
	}
	c.bodyResult = make(chan error, 1)
	go func() { c.bodyResult <- c.write(r.Body) }()
	return nil
}

func (c *Conn) write(b []byte) error {
	_, err := c.net.Write(b)
	return errors.Wrapf(err, "send request to %s", c.address)
}

// sendBuffers holds buffers for requests that are sent, of up to maxSendBuffer bytes.
var sendBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

const maxSendBuffer = 8 << 10

// appendHead appends the request line and the header fields.
func (r *Request) appendHead(b []byte) []byte {
	b = append(b, r.Method+" "+r.Target+" HTTP/1.1\r\nHost: "+r.Host+"\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name+": "+v+"\r\n"...)
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		b = append(b, "Content-Length: "+strconv.Itoa(len(r.Body))+"\r\n"...)
	}
	return append(b, "\r\n"...)
}

// ReadResponse reads the head of the response to the request with an ID. Responses to other
// requests, which arrive late or twice, are skipped. A response without an ID is
// accepted only on a connection that has not been reused. The error is bytebudget.ErrSpent if there
// is no room for the head. After an error the connection must be closed.
func (c *Conn) ReadResponse(method, id string, requestID func(http.Header) string, deadline time.Time) (*http.Response, error) {
	heads := byteBudget{left: maxHeadBytes, err: errHeadTooLarge, held: c.held}
	skipped := byteBudget{left: maxSkippedBytes, err: errSkippedTooLarge}
	defer func() { c.source.budget = nil }()
	for range maxResponsesRead {
		c.source.budget = &heads
		c.readsResponse = false
		r, err := c.readHead(method, deadline)
		c.endObserved(c.readsResponse, !c.interrupted.Load())
		if err != nil {
			return nil, errors.Wrapf(err, "read response from %s", c.address)
		}
		if c.observe != nil {
			c.observe(r)
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			continue
		}
		responseID := requestID(r.Header)
		if responseID == id || (responseID == "" && !c.reused) {
			c.SetReadDeadline(deadline)
			c.updateReuse(r)
			c.checkUpload(r)
			return r, nil
		}
		if r.Close || r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
			break
		}
		c.source.budget = &skipped
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil, errors.Wrapf(c.slowError(err, deadline), "skip response from %s to another request", c.address)
		}
	}
	return nil, errors.Newf("none of up to %d responses from %s matches the request", maxResponsesRead, c.address)
}

// readHead waits for a response and reads its head. From its first byte on, maxHeadTime
// limits reads.
func (c *Conn) readHead(method string, deadline time.Time) (*http.Response, error) {
	c.SetReadDeadline(deadline)
	if _, err := c.reader.Peek(1); err == nil {
		c.readsResponse = true
		if limit := time.Now().Add(maxHeadTime); limit.Before(deadline) {
			c.SetReadDeadline(limit)
		}
	}
	r, err := http.ReadResponse(c.reader, requestWith(method))
	return r, c.slowError(err, deadline)
}

var (
	headRequest = &http.Request{Method: http.MethodHead}
	anyRequest  = &http.Request{Method: http.MethodGet}
)

// requestWith returns a request of a method for http.ReadResponse, which tells HEAD from other
// methods only and doesn't change it.
func requestWith(method string) *http.Request {
	if method == http.MethodHead {
		return headRequest
	}
	return anyRequest
}

// ObserveLate waits until a time for the response to a request that was given up while nothing
// of it had arrived, calls the function of Observe with its head, and closes the connection.
func (c *Conn) ObserveLate(method string, until time.Time) {
	defer c.Close()
	if c.readsResponse {
		return
	}
	c.source.budget = &byteBudget{left: maxHeadBytes, err: errHeadTooLarge, held: c.held}
	for time.Now().Before(until) {
		_ = c.net.SetReadDeadline(until)
		_, err := c.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // an Interrupt may have come late
		}
		if err != nil {
			return
		}
		if r, err := http.ReadResponse(c.reader, requestWith(method)); err == nil && c.observe != nil {
			c.observe(r)
		}
		return
	}
}

// slowError replaces a timeout by errHeadTooSlow if it is due to maxHeadTime.
func (c *Conn) slowError(err error, deadline time.Time) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) && !c.interrupted.Load() {
		return errHeadTooSlow
	}
	return err
}

// defaultIdleTimeout is how long an idle connection is reusable if the server gives no
// timeout.
const defaultIdleTimeout = 2 * time.Second

// updateReuse sets until when the connection may be reused: for half of the server's
// Keep-Alive timeout, and not at all if the end of the response closes the connection.
func (c *Conn) updateReuse(r *http.Response) {
	if r.Close || (r.ContentLength < 0 && len(r.TransferEncoding) == 0) {
		c.noReuse.Store(true)
		return
	}
	timeout := defaultIdleTimeout
	for _, parameter := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		if v, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout="); found {
			if s, err := strconv.Atoi(v); err == nil {
				timeout = time.Duration(s) * time.Second / 2
			}
		}
	}
	c.reusableUntil = time.Now().Add(timeout)
}

// SetReadDeadline sets the deadline of pending and later reads. It has no effect after
// Interrupt.
func (c *Conn) SetReadDeadline(t time.Time) {
	_ = c.net.SetReadDeadline(t)
	if c.interrupted.Load() {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// bodySent reports whether the body has been sent completely.
func (c *Conn) bodySent() bool {
	if c.bodyResult == nil {
		return true
	}
	select {
	case err := <-c.bodyResult:
		c.bodyResult = nil
		return err == nil
	default:
		return false
	}
}

// Through returns the address of the node in between, "" for a direct connection.
func (c *Conn) Through() string {
	if x, ok := c.net.(interface{ Through() string }); ok {
		return x.Through()
	}
	return ""
}

// isIdle reports whether the connection is open and has no data to read.
func (c *Conn) isIdle() bool {
	if x, ok := c.net.(interface{ Reusable() bool }); ok && !x.Reusable() {
		return false
	}
	s, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = e == unix.EAGAIN
		return true
	})
	return err == nil && idle
}
