package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/io/relay"
	"cicadabeam/test/standin/backend"
)

// The deadline passes before the body has been read, as the node has just started.
func TestDeadlineBeforeBodyIsReadIsAnswered(t *testing.T) {
	for name, body := range map[string]string{"with a body": "ab", "without a body": ""} {
		for _, path := range []string{"/read/1", "/buy/1", "/report/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				h := newHarnessWith(t, func(d *relay.Dependencies) { d.Ready = make(chan struct{}) })
				s := h.startServer(strings.Split(path, "/")[1], "a", backend.Respond(200, "ok"))
				got := h.send(http.MethodPost, path, func(r *http.Request) {
					setTokenUsage(r)
					r.Header.Set("X-Deadline-Ms", "100")
					r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
				})
				h.checkResponse(got, 503, "")
				h.checkRequestCount(s, 0)
			})
		}
	}
}

func TestStoppingNodeAnswersRequests(t *testing.T) {
	for path, status := range map[string]int{"/read/1": 502, "/buy/1": 502, "/report/1": 502, "/once/1": 502} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.startServer(strings.Split(path, "/")[1], "a", backend.NoResponse())
			time.AfterFunc(200*time.Millisecond, h.stop)
			started := time.Now()
			h.checkResponse(h.send(http.MethodPost, path, setTokenUsage), status, "")
			if d := time.Since(started); d > time.Second {
				t.Errorf("the response took %v, want at most 1 s", d)
			}
		})
	}
}
