package relay

import (
	"fmt"
	"net/http"
	"testing"

	"cicadabeam/test/standin/backend"
)

// oneWeightVersion turns away requests for other weights than the server's, as engines do.
func oneWeightVersion(s backend.Step) backend.Step {
	return func(c *backend.Conn, r *http.Request, body []byte) bool {
		if v := r.Header.Get("X-Expect-Version"); v != "" && v != "1" {
			return backend.Misdirected()(c, r, body)
		}
		return s(c, r, body)
	}
}

// Guards against callers that take servers out of use for all others with one header.
func TestCallerThatExpectsVersionTakesNoServerOutOfUse(t *testing.T) {
	for service, path := range map[string]string{"read": "/read/", "report": "/report/"} {
		t.Run(service, func(t *testing.T) {
			h := newHarness(t)
			step, body := backend.Respond(200, "ok"), "ok"
			if service == "report" {
				step, body = backend.Stream(3, 0, 0, nil), eventText(1, 3)
			}
			for range 3 {
				h.startServer(service, "a", oneWeightVersion(step))
			}
			for i := range 6 {
				h.checkResponse(h.send(http.MethodGet, fmt.Sprint(path, i), func(r *http.Request) { r.Header.Set("X-Expect-Version", "999") }), 200, body)
			}
			h.checkResponse(h.send(http.MethodGet, path+"last", nil), 200, body)
		})
	}
}
