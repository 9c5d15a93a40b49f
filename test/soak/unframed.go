package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cicadabeam/test/entryhost"
	"cicadabeam/test/standin/backend"
)

// brokenShare is the fraction of responses without length or chunks that may break off.
const brokenShare = 0.3

// addUnframedServers starts a server of each service whose responses have neither a length nor
// chunks and end with their connection. No fault touches it: the proxy of a link turns a reset
// into an end.
func (e *testEnv) addUnframedServers(seed uint64) error {
	for i, service := range []string{"orders", "llm"} {
		a := &serverAddress{listen: entryhost.NextAddress() + ":9001", unframed: true}
		e.unframed = append(e.unframed, a)
		if err := e.startServer(a, service, seed*100+uint64(50+i)); err != nil {
			return err
		}
	}
	return nil
}

// breakUnframed lets responses without length break off until a time.
func (e *testEnv) breakUnframed(until time.Time) {
	if len(e.unframed) == 0 {
		return
	}
	defer e.recordFault(fault{}, time.Now())
	for time.Now().Before(until) {
		e.setUnframedFaults(brokenShare)
		time.Sleep(pollPeriod)
	}
	e.setUnframedFaults(0)
}

func (e *testEnv) setUnframedFaults(rate float64) {
	for _, a := range e.unframed {
		a.faultMu.Lock()
		a.current.setFaultRate(rate)
		a.faultMu.Unlock()
	}
}

// address returns the address that the server registers.
func (a *serverAddress) address() string {
	if a.link == nil {
		return a.listen
	}
	return a.link.Address()
}

// sendUnframed sends a response that ends with its connection, or breaks off: a stream by a
// reset or the end of the connection within an event, a call by a reset.
func (s *incarnation) sendUnframed(c *backend.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	isStream := r.Header.Get("X-Token-Usage") != ""
	parts := []string{ResponseBody(id)}
	if isStream {
		parts = nil
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := first + 1; i <= streamLength; i++ {
			parts = append(parts, fmt.Sprintf("id: %d\ndata: %s\n\n", i, EventData(r.URL.Path, i)))
		}
	}
	breakAt := len(parts)
	if s.faulty() {
		breakAt = int(s.randomFloat() * float64(len(parts)))
	}
	s.setProgress(id, 0)
	defer s.setProgress(id, -1)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\nX-Request-Id: %s\r\n\r\n", id)
	for i, part := range parts {
		time.Sleep(streamInterval)
		if err != nil {
			return false
		}
		if i == breakAt {
			s.breakOff(c, part, isStream && s.randomFloat() < 0.5)
			return false
		}
		s.setProgress(id, i+1)
		_, err = fmt.Fprint(c, part)
		if isStream && hasCrashingPart(r) {
			time.Sleep(streamInterval)
			s.crash()
			return false
		}
	}
	if err == nil {
		s.recordWhole(id)
	}
	return false
}

// breakOff sends half of a part and ends the connection, by a reset or not.
func (s *incarnation) breakOff(c *backend.Conn, part string, end bool) {
	_, _ = fmt.Fprint(c, part[:len(part)/2])
	if t, ok := backend.TCP(c); ok && !end {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (e *testEnv) recordWhole(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.whole[id] = true
}

// checkUnframed checks that responses that end with their connection reached their callers
// whole. That others don't look complete is checked as for all responses.
func (c *checker) checkUnframed() {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	for id := range c.env.whole {
		x := c.results[id]
		took := x.Finished.Sub(x.Sent)
		if len(c.runs[id]) != 1 || took > deadlineOf(x)-tolerance || c.env.hostAt(x.Host).disruptedIn(x.Sent, x.Finished.Add(settleTime)) {
			continue
		}
		c.unframed++
		if x.Status != http.StatusOK || x.Truncated {
			c.addViolation("the whole response without length to %s of kind %s arrived with status %d after %v, truncated: %v, bytes: %d", id, x.Kind, x.Status, took, x.Truncated, len(x.Body))
		}
	}
}
