package backend

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// maxWritten is the number of bytes after which an Endless gives up, so that a caller
// that never stops reading doesn't keep a test busy.
const maxWritten = 256 << 20

// Endless writes bytes until the caller closes the connection.
type Endless struct {
	Head    string        // written once; $ID stands for the ID of the request
	Repeat  string        // written without end
	Pause   time.Duration // before each write of Repeat
	Before  func()        // called before each write; nil for none
	written atomic.Int64
	closed  atomic.Int64
}

// Written returns the number of bytes written so far, on all connections.
func (e *Endless) Written() int64 { return e.written.Load() }

// Closed returns the number of connections that callers have closed.
func (e *Endless) Closed() int64 { return e.closed.Load() }

// Step returns the step that writes.
func (e *Endless) Step() Step {
	return func(c *Conn, r *http.Request, _ []byte) bool {
		if t, ok := TCP(c); ok {
			_ = t.SetWriteBuffer(16 << 10) // so that few of the bytes written wait in the kernel
		}
		text := strings.ReplaceAll(e.Head, "$ID", r.Header.Get("X-Request-Id"))
		for e.written.Load() < maxWritten {
			if e.Before != nil {
				e.Before()
			}
			n, err := io.WriteString(c, text)
			e.written.Add(int64(n))
			if err != nil {
				e.closed.Add(1)
				return false
			}
			time.Sleep(e.Pause)
			text = e.Repeat
		}
		return false
	}
}

// Head returns the head of a signed response for Endless, with more header fields.
func Head(fields string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\nX-Request-Id: $ID\r\n%s\r\n", fields)
}
