package relay

import (
	"net/http"

	"cicadabeam/io/endtoend"
)

// copyResponseHeaders copies the headers of a server's response to the response to the
// caller.
func (x *exchange) copyResponseHeaders(r *http.Response) {
	header := x.w.Header()
	endtoend.Copy(header, r.Header)
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps net/http from detecting one
	}
	if x.h.draining.Load() != nil {
		header.Set("Connection", "close")
	}
}
