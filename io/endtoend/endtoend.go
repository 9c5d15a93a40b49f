// Package endtoend tells the headers of a message that are meant for its receiver from those for the
// next hop.
//
// # Usage
//
//	forwarded := endtoend.Headers(r.Header)
package endtoend

import (
	"net/http"
	"strings"
)

var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// Headers returns a copy of the headers without the hop-by-hop ones.
func Headers(h http.Header) http.Header {
	out := make(http.Header, len(h))
	Copy(out, h)
	return out
}

// Copy copies the headers without the hop-by-hop ones to others.
func Copy(to, from http.Header) {
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
