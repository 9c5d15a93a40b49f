package relay

import (
	"net/http"
	"strings"
)

var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// EndToEndHeaders returns a copy of the headers without the hop-by-hop ones.
func EndToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	copyEndToEnd(out, h)
	return out
}

// copyEndToEnd copies the headers without the hop-by-hop ones to others.
func copyEndToEnd(to, from http.Header) {
	named := make(map[string]bool)
	for _, v := range from.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !hopByHopHeaders[name] && !named[name] {
			to[name] = values
		}
	}
}

// copyResponseHeaders copies the headers of a server's response to the response to the
// caller.
func (x *exchange) copyResponseHeaders(r *http.Response) {
	header := x.w.Header()
	copyEndToEnd(header, r.Header)
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps net/http from detecting one
	}
	if x.h.draining.Load() != nil {
		header.Set("Connection", "close")
	}
}
