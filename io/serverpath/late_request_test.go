package serverpath

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"cicadabeam/io/tcp"
)

// Guards against requests that reach a server long after they were given up. The kernel ends a connection
// whose bytes stay unacknowledged for 3 s (http1.Pool.Dial); GiveUp raises that to keepTimeout, also for a
// request that no server has received yet, and beyond maxKept nothing resets it once the path works.
func TestRequestThatWasGivenUpDuringCutArrivesNoMore(t *testing.T) {
	for name, end := range map[string]func(c *Conn){"closed, as before": func(c *Conn) { _ = c.Close() }, "given up": (*Conn).GiveUp} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, d, _ := startEndedServer(t)
			direct := d.Direct
			d.Direct = func(ctx context.Context, server string) (net.Conn, error) {
				c, err := direct(ctx, server)
				if err == nil {
					err = tcp.SetUserTimeout(c.(*net.TCPConn), 3*time.Second) // as http1.Pool.Dial does
				}
				return c, err
			}
			all := s.connect(t, d, maxKept+1)
			s.mu.Lock()
			last := s.conns[maxKept]
			s.mu.Unlock()
			s.cut(t, true)
			_, _ = all[maxKept].Write([]byte("POST /buy/1 HTTP/1.1\r\n\r\n"))
			for _, c := range all {
				end(c)
			}
			sent := time.Now()
			time.Sleep(5 * time.Second)
			s.cut(t, false)
			_ = last.SetReadDeadline(time.Now().Add(3 * time.Second))
			b, err := io.ReadAll(last)
			if len(b) > 0 {
				t.Errorf("%v after it was given up the server got a request (%d of 24 bytes are left to read, error %v)", time.Since(sent), len(b), err)
			}
		})
	}
}
