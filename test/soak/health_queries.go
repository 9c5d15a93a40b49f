package soak

import (
	"bytes"
	"net/http"
	"os"
	"regexp"
	"slices"
	"time"
)

const (
	// healthQueryInterval is the shortest time between two queries of a partitioned host.
	healthQueryInterval = 700 * time.Millisecond
	// unwrittenTime is the time before the restart of a host whose lines may be lost.
	unwrittenTime = 2 * time.Second
)

// isHealthQuery reports whether a request is the query of a host whether the server is there, which
// has nothing of a caller's request. The services have no health path; a server refuses such a
// query, as it has no request ID.
func isHealthQuery(r *http.Request, body []byte) bool {
	if r.Method != http.MethodGet || r.URL.Path != "/" || r.URL.RawQuery != "" || len(body) > 0 {
		return false
	}
	for name := range r.Header {
		if name != "Content-Length" {
			return false
		}
	}
	return true
}

// checkHealthQueries checks that servers were asked whether they are there only while a host took
// itself for partitioned, and no more often than such a host asks.
func (c *checker) checkHealthQueries(partitions []span) {
	allowed := 0
	for _, p := range partitions {
		allowed += 1 + int(p.to.Sub(p.from)/healthQueryInterval)
	}
	counted := 0
	for _, a := range c.healthQueries {
		if slices.ContainsFunc(c.env.hosts, func(h *host) bool { return h.disruptedIn(a.At, a.At.Add(unwrittenTime)) }) {
			continue
		}
		counted++
		if !slices.ContainsFunc(partitions, func(p span) bool { return a.At.After(p.from) && a.At.Before(p.to) }) {
			c.addViolation("%s was asked whether it is there while no host took itself for partitioned", a.Server)
		}
	}
	if counted > allowed {
		c.addViolation("servers were asked %d times whether they are there, want at most %d in the %d times that a host took itself for partitioned", counted, allowed, len(partitions))
	}
}

var partitionLine = regexp.MustCompile(`^timestamp=(\S+) .*message=("partitioned from servers"|"servers reached again"|started) `)

// partitions returns when hosts took themselves for partitioned, until now at most.
func (e *testEnv) partitions(now time.Time) []span {
	var all []span
	for _, h := range e.hosts {
		if b, err := os.ReadFile(h.OutputPath()); err == nil {
			all = append(all, partitionsIn(b, now)...)
		}
	}
	return all
}

// partitionsIn returns when the host with such a log took itself for partitioned.
func partitionsIn(log []byte, now time.Time) []span {
	var all []span
	var from time.Time
	end := func(to time.Time) {
		if !from.IsZero() {
			all = append(all, span{from: from, to: to.Add(tolerance)})
		}
		from = time.Time{}
	}
	for line := range bytes.Lines(log) {
		m := partitionLine.FindSubmatch(bytes.TrimRight(line, "\n"))
		if m == nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, string(m[1]))
		if err != nil {
			continue
		}
		end(at)
		if string(m[2]) == `"partitioned from servers"` {
			from = at
		}
	}
	end(now)
	return all
}
