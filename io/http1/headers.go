package http1

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
	CopyEndToEnd(out, h)
	return out
}

// CopyEndToEnd copies the headers without the hop-by-hop ones to others.
func CopyEndToEnd(to, from http.Header) {
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
