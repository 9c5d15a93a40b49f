package httpserver

import (
	"net"
	"sync"
	"time"

	"cicadabeam/core/bytebudget"
)

const (
	// headHolder is what holds bytes for heads of requests, as named in metrics.
	headHolder = "request head"
	// ordinaryHead is what is read of a connection without holding bytes: net/http's buffer.
	ordinaryHead = 4 << 10
	// headMemory is the memory, in bytes, that a byte of a head needs while net/http parses it.
	headMemory = 4
	// noRoom is the response to a request for whose head there is no room.
	noRoom = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// noRoomTimeout limits the time in which it is written.
	noRoomTimeout = 10 * time.Millisecond
)

// head holds what a long head of a connection's request needs, until the request has ended.
type head struct {
	budget *bytebudget.Budget
	mu     sync.Mutex
	held   *bytebudget.Holder // nil for an ordinary head
	size   int                // bytes read
	read   bool               // the head is complete
}

// takeHead takes what n further bytes need, unless they are not of a head.
func (c *conn) takeHead(n int) error {
	h := &c.head
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.read || h.budget == nil {
		return nil
	}
	h.size += n
	if h.size <= ordinaryHead {
		return nil
	}
	if h.held == nil {
		h.held = h.budget.Hold(headHolder, func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	}
	return h.held.Take(headMemory * n)
}

// evicted reports whether the head that is read had to give way to others.
func (h *head) evicted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.held.Refused()
	return !h.read && r != nil && r.Evicted
}

// complete records that the head has been read.
func (h *head) complete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.read = true
	_ = h.held.Keep()
}

// release gives back what is held, as the next request is awaited or the connection has ended.
func (h *head) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held.Release()
	h.held, h.size, h.read = nil, 0, false
}

// Read implements net.Conn. A head that finds no room is refused at once.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	spent := c.takeHead(n)
	if spent == nil && (err == nil || !c.head.evicted()) {
		return n, err
	}
	_ = c.SetWriteDeadline(time.Now().Add(noRoomTimeout))
	_, _ = c.Write([]byte(noRoom))
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: bytebudget.ErrSpent} // net/http writes nothing more
}
