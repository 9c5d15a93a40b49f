package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

// Guards against two servers that work on one request because the second one's response is late on its way.
func TestRunEndsAlthoughHeadOfNextOneIsLate(t *testing.T) {
	for _, late := range []time.Duration{300 * time.Millisecond, 550 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			t.Parallel()
			began := make(chan time.Time, 1)
			ended := make(chan time.Time, 2) // of either server
			h := newHarness(t)
			h.startServer("report", "a", backend.Stream(20, 5, 0, func(c *backend.Conn, _ *http.Request, _ []byte) bool {
				<-c.CloseNotify()
				ended <- time.Now()
				return false
			}), backend.Stream(20, 0, 0, nil))
			h.startServer("report", "b", func(c *backend.Conn, r *http.Request, b []byte) bool {
				began <- time.Now()
				select {
				case <-c.CloseNotify():
				case <-time.After(late):
					backend.Stream(20, 0, 25*time.Millisecond, nil)(c, r, b)
				}
				ended <- time.Now()
				return false
			}, backend.Stream(20, 0, 0, nil))
			started := time.Now()
			h.checkResponse(h.sendLong("/long/1"), 200, eventText(1, 20))
			beside := (<-ended).Sub(<-began)
			if beside > maxSideBySide {
				t.Errorf("both servers worked for %v", beside)
			}
			t.Logf("both servers worked for %v, the stream took %v", beside, time.Since(started))
		})
	}
}
