package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/test/cluster"
)

// Callers may send a purchase slowly to a node that stops.
func TestDrainAnswersCallsWhoseBodyComesTooLate(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{EnginesPerDataCentre: 1, AppsPerDataCentre: 1, ExtraSettings: "[drain]\ngrace = 2s\nwait = 4s\n"})
	n := c.Node(0)
	if r := n.CallService(testContext(t), http.MethodPost, purchasePath, "first", "litres=20"); r.Status != http.StatusOK {
		t.Fatalf("%+v", r)
	}
	stopped := time.Now().Add(200 * time.Millisecond)
	var g sync.WaitGroup
	for _, end := range []time.Duration{time.Second, 2100 * time.Millisecond, 6 * time.Second} {
		g.Go(func() {
			key := fmt.Sprintf("slow-%v", end)
			conn, err := net.Dial("tcp", strings.TrimPrefix(n.URL(), "http://"))
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(stopped.Add(10 * time.Second))
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-%s\r\nIdempotency-Key: %s\r\nContent-Length: 9\r\n\r\nlitres", purchasePath, cluster.Organisations[0], key)
			rest := time.AfterFunc(time.Until(stopped.Add(end)), func() { _, _ = io.WriteString(conn, "=20") })
			defer rest.Stop()
			r, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Errorf("a purchase whose body ended after %v got no response after %v: %v", end, time.Since(stopped), err)
				return
			}
			runs := countRuns(t, c, key)
			t.Logf("%v: status %d after %v, %d runs", end, r.StatusCode, time.Since(stopped), runs)
			if r.StatusCode != http.StatusOK && r.StatusCode != http.StatusServiceUnavailable || (r.StatusCode == http.StatusOK) != (runs == 1) {
				t.Errorf("a purchase whose body ended after %v got status %d and ran %d times", end, r.StatusCode, runs)
			}
		})
	}
	time.Sleep(time.Until(stopped))
	n.Terminate()
	g.Wait()
}
