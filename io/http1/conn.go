// Package http1 speaks HTTP/1.1 to backend servers over connections of its own, so
// that the caller knows of each request whether bytes of it may have left, and
// whether what comes back belongs to it.
//
// # Usage
//
//	p := http1.NewPool()
//	c, err := p.Get(ctx, "10.0.0.7:8080", http1.Reuse)      // nothing was sent yet
//	err = c.Send(request, deadline)                         // bytes may have left
//	r, err := c.Head("GET", id, readID, deadline)
//	body, err := io.ReadAll(r.Body)
//	p.Put(c)                                                // only after a whole body
package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	bufferBytes = 4 << 10
	// dialWait bounds a connection attempt. A round trip between regions takes 40 ms.
	dialWait = 400 * time.Millisecond
	// silentWait is after how long unacknowledged bytes end a connection.
	silentWait = 3 * time.Second
	// strayLimit is how many answers to other requests are passed over.
	strayLimit = 4
	// largeBody is from which size on a body is sent while the answer is read.
	largeBody = 32 << 10
)

// keepAlive finds out within 3 s that a server is silent while its answer is awaited.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Request is what goes to a server.
type Request struct {
	Method string
	Target string // path and query
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is one connection to a server.
type Conn struct {
	net     net.Conn
	reader  *bufio.Reader
	address string
	reused  bool
	usable  time.Time // idle till then it may be used again
	broken  bool
	sending chan error // of a large body
}

func dial(ctx context.Context, address string) (*Conn, error) {
	d := net.Dialer{Deadline: time.Now().Add(dialWait), KeepAliveConfig: keepAlive, Control: setSocket}
	n, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	return &Conn{net: n, address: address, reader: bufio.NewReaderSize(n, bufferBytes)}, nil
}

func setSocket(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentWait/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}

// Close ends the connection.
func (c *Conn) Close() {
	c.broken = true
	_ = c.net.Close()
}

// Interrupt makes reads and writes under way fail.
func (c *Conn) Interrupt() { _ = c.net.SetDeadline(time.Unix(1, 0)) }

// Send writes a request. After an error bytes may have left. A large body goes
// out while the answer is awaited.
func (c *Conn) Send(r *Request, deadline time.Time) error {
	head := r.head()
	_ = c.net.SetDeadline(deadline)
	if len(r.Body) <= largeBody {
		return c.write(append(head, r.Body...))
	}
	if err := c.write(head); err != nil {
		return err
	}
	c.sending = make(chan error, 1)
	go func() { c.sending <- c.write(r.Body) }()
	return nil
}

func (c *Conn) write(b []byte) error {
	_, err := c.net.Write(b)
	return errors.Wrapf(err, "send to %s", c.address)
}

func (r *Request) head() []byte {
	b := make([]byte, 0, 1024+len(r.Body))
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

// Head reads the head of the answer to the request with an id. Answers to other
// requests, which come late or twice, are passed over; an answer without an id is
// taken.
func (c *Conn) Head(method, id string, idOf func(http.Header) string, deadline time.Time) (*http.Response, error) {
	_ = c.net.SetReadDeadline(deadline)
	for range strayLimit {
		r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrapf(err, "read the answer of %s", c.address)
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			continue
		}
		got := idOf(r.Header)
		if got == id || (got == "" && !c.reused) {
			c.keep(r)
			return r, nil
		}
		if r.Close || r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
			break
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil, errors.Wrapf(err, "pass over an answer of %s to another request", c.address)
		}
	}
	return nil, errors.Newf("%s answered another request", c.address)
}

// idleWait is how long a connection is kept if the server doesn't say.
const idleWait = 2 * time.Second

// keep decides until when the connection may be used again.
func (c *Conn) keep(r *http.Response) {
	if r.Close || (r.ContentLength < 0 && len(r.TransferEncoding) == 0) {
		c.broken = true
		return
	}
	wait := idleWait
	for _, part := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		if v, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if s, err := strconv.Atoi(v); err == nil {
				wait = time.Duration(s) * time.Second / 2
			}
		}
	}
	c.usable = time.Now().Add(wait)
}

// SetReadDeadline bounds the next reads.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.net.SetReadDeadline(t) }

// sent tells whether a large body has gone out whole.
func (c *Conn) sent() bool {
	if c.sending == nil {
		return true
	}
	select {
	case err := <-c.sending:
		c.sending = nil
		return err == nil
	default:
		return false
	}
}

// quiet tells whether an idle connection is open and nothing waits to be read.
func (c *Conn) quiet() bool {
	s, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
