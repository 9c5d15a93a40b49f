package http1

import (
	"io"
	"net/http"
	"time"
)

// uploadTimeout limits how long a server that has ended its response goes on reading the request's body.
const uploadTimeout = time.Second

// checkUpload makes the body of a response without a length end with an error unless the whole request
// was sent. If a server resets the connection while the request's body is being sent, the kernel reports
// that to the pending write only, and reads end as if the response were complete.
func (c *Conn) checkUpload(r *http.Response) {
	if c.bodyResult != nil && r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		r.Body = &unframedBody{ReadCloser: r.Body, sent: c.bodyResult}
	}
}

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	sent <-chan error // the result of sending the request's body
	err  error        // in place of io.EOF, once that was read
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if b.err == nil {
		b.err = b.end(time.Now().Add(uploadTimeout))
	}
	return n, b.err
}

// end returns io.EOF if the request's body has been sent by a time.
func (b *unframedBody) end(until time.Time) error {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case err := <-b.sent:
		if err == nil {
			return io.EOF
		}
	case <-t.C:
	}
	return io.ErrUnexpectedEOF
}
