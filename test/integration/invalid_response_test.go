package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/backend"
)

const (
	uploadBytes = 8 << 20
	partOfBody  = "part"
	// earlyPause is how long a server waits before it breaks off: a reset discards what has not been read.
	earlyPause = 100 * time.Millisecond
)

// respondEarly sends a part of a response without a length, and ends the connection while the request's
// body is being sent: by a reset, or by one that follows an end.
func respondEarly(ends bool) backend.Step {
	return func(c *backend.Conn, _ *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n%s", partOfBody)
		time.Sleep(earlyPause)
		t, ok := backend.TCP(c)
		if !ok {
			return false
		}
		if ends {
			_ = t.CloseWrite()
			time.Sleep(earlyPause)
		}
		_ = t.SetLinger(0)
		return false
	}
}

// Guards against invalid responses, or parts of them, that a caller gets as complete ones.
func TestInvalidResponsesAreNotPassedOn(t *testing.T) {
	c := startCluster(t, cluster.Layout{EnginesPerDataCentre: 1, AppsPerDataCentre: 1, ExtraSettings: "[limits]\nbody-bytes = 16777216\nbuffer-bytes = 67108864\n"})
	c.App(0).Kill()
	sound := func(s backend.Step) backend.Step {
		return backend.ForPath("/health", backend.Respond(http.StatusOK, ""), backend.ForPath("/load", backend.Respond(http.StatusOK, "{}"), s))
	}
	b, err := backend.StartEarly(c.App(0).Address(), sound(backend.Respond(http.StatusOK, "ok")))
	must(t, err)
	t.Cleanup(b.Close)
	for name, x := range map[string]struct {
		step   backend.Step
		upload int
	}{
		"status 000":      {step: backend.WriteRaw("HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\npart", false)},
		"status 099":      {step: backend.WriteRaw("HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\npart", false)},
		"status 99":       {step: backend.WriteRaw("HTTP/1.1 99 OK\r\nContent-Length: 4\r\n\r\npart", false)},
		"status 1000":     {step: backend.WriteRaw("HTTP/1.1 1000 OK\r\nContent-Length: 4\r\n\r\npart", false)},
		"reset":           {step: respondEarly(false), upload: uploadBytes},
		"end, then reset": {step: respondEarly(true), upload: uploadBytes},
	} {
		for _, service := range []string{"purchase", "lookup"} {
			t.Run(name+", "+service, func(t *testing.T) {
				b.SetSteps(sound(x.step))
				r := c.Node(0).CallService(testContext(t), http.MethodPost, "/services/"+service+"/x", strings.ReplaceAll(name+service, " ", ""), strings.Repeat("x", x.upload))
				t.Logf("status %d, %q, error %v", r.Status, r.Body, r.Err)
				if r.Err != nil || r.Status != http.StatusBadGateway {
					t.Errorf("got status %d with %q, error %v; want 502", r.Status, r.Body, r.Err)
				}
			})
		}
	}
}
