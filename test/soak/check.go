package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// tolerance allows for clock differences and for transmission on a busy machine.
	tolerance = 300 * time.Millisecond
	// maxDeadlineExcess is by how much the time left that is sent to a server may exceed
	// the time that is left for the caller, not counting stalls of this process.
	maxDeadlineExcess = 500 * time.Millisecond
)

// check compares the results at callers with the arrivals at servers and returns all
// violations.
func (e *testEnv) check() []string {
	results, arrivals := e.results.list(), e.arrivals.list()
	c := &checker{env: e, results: make(map[string]Result, len(results)), runs: make(map[string][]Arrival)}
	for _, x := range results {
		c.results[x.ID] = x
	}
	for _, a := range arrivals {
		if a.ID == probeID {
			continue
		}
		if a.HealthQuery {
			c.healthQueries = append(c.healthQueries, a)
			continue
		}
		if a.Executed {
			c.runs[a.ID] = append(c.runs[a.ID], a)
		}
		c.checkArrival(a)
	}
	for _, x := range results {
		c.checkResult(x)
	}
	c.checkHealthQueries(e.partitions(time.Now()))
	c.checkNotices(arrivals)
	c.checkParts(arrivals)
	c.checkLimits(arrivals)
	c.checkUnframed()
	c.checkVersions(results)
	c.checkRollout(arrivals)
	e.logFault("%d paths from a host to a server that it said leaves, %d rests, %d responses without length, %d limited servers, %d crashes by a part, %d streams taken up, %d of them went on, %d of two versions", c.leavingPaths, c.rests, c.unframed, c.limits, len(e.crashes), c.takenUp, c.wentOn, c.mixed)
	return c.violations
}

// checker holds the data and the violations of one check.
type checker struct {
	env        *testEnv
	results    map[string]Result
	runs       map[string][]Arrival
	violations []string

	healthQueries       []Arrival
	leavingPaths, rests int // checked by checkNotices
	limits              int // servers checked by checkLimits
	unframed            int // responses checked by checkUnframed
	// streams counted by checkVersions
	takenUp, wentOn, mixed int
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkArrival checks a request that reached a server.
func (c *checker) checkArrival(a Arrival) {
	x, ok := c.results[a.ID]
	switch {
	case !ok:
		c.addViolation("request %q for %s was not sent by a caller and reached %s", a.ID, a.Path, a.Server)
		return
	case a.Path != x.Path:
		c.addViolation("request %s for %s reached %s as %s", a.ID, x.Path, a.Server, a.Path)
	case a.Key != "" || a.Forged:
		c.addViolation("request %s reached %s with a key or a forged header", a.ID, a.Server)
	case a.Organisation != organisation:
		c.addViolation("request %s reached %s for organisation %q", a.ID, a.Server, a.Organisation)
	}
	until := x.Sent.Add(deadlineOf(x) + maxDeadlineExcess + c.env.stalls.within(x.Sent, a.At))
	if a.Remaining <= 0 || a.At.Add(a.Remaining).After(until) {
		c.addViolation("request %s reached %s %v after it was sent with %v left", a.ID, a.Server, a.At.Sub(x.Sent), a.Remaining)
	}
	if a.Executed && a.Service != serviceOf[x.Kind] {
		c.addViolation("request %s of kind %s ran at %s of service %s", a.ID, x.Kind, a.Server, a.Service)
	}
	if revoked, ok := c.env.revokedAt(x.Key); ok && a.Executed && x.Sent.Sub(revoked) > revokeLimit {
		c.addViolation("request %s was executed although it was sent %v after its key was revoked", a.ID, x.Sent.Sub(revoked))
	}
	if drained, ok := c.env.drainingSince(a.Server); ok && a.Executed && a.At.Sub(drained) > drainLimit+tolerance && c.env.faultFree(drained.Add(-settleTime), a.At) {
		c.addViolation("request %s reached %s %v after the server started draining or deregistered", a.ID, a.Server, a.At.Sub(drained))
	}
}

func deadlineOf(x Result) time.Duration {
	if isStream(x.Kind) {
		return streamDeadline
	}
	return callDeadline
}

// checkResult checks the result that a caller received.
func (c *checker) checkResult(x Result) {
	runs := c.runs[x.ID]
	if isAtMostOnce(x.Kind) && len(runs) > 1 {
		c.addViolation("request %s, which may run at most once, ran %d times", x.ID, len(runs))
	}
	switch x.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if isAtMostOnce(x.Kind) && len(runs) > 0 {
			c.addViolation("request %s, which may run at most once, got status %d and ran at %s", x.ID, x.Status, runs[0].Server)
		}
		if x.Status == http.StatusServiceUnavailable && !x.HasRetryAfter {
			c.addViolation("request %s got status 503 without Retry-After", x.ID)
		}
	case http.StatusOK:
		c.checkSuccess(x)
	case http.StatusUnauthorized:
		if _, ok := c.env.revokedAt(x.Key); !ok {
			c.addViolation("request %s with a valid key got status 401", x.ID)
		}
	case http.StatusNotFound, http.StatusForbidden:
		c.addViolation("request %s for an existing route got status %d", x.ID, x.Status)
	}
	c.checkAnswered(x)
	if late := x.Finished.Sub(x.Sent) - deadlineOf(x); late > maxLateness && c.env.faultFree(x.Sent.Add(-settleTime), x.Finished) {
		c.addViolation("request %s ended %v after its deadline", x.ID, late)
	}
}

// checkAnswered checks that a request ended with a complete response, from a server or from
// the host, if nothing but harmless faults could have prevented it.
func (c *checker) checkAnswered(x Result) {
	timeLeft := deadlineOf(x) - x.Finished.Sub(x.Sent)
	if x.Status != 0 && !x.Truncated || timeLeft <= tolerance || !c.env.onlyHarmlessFaults(x.Sent.Add(-settleTime), x.Finished) {
		return
	}
	if x.Status == 0 {
		c.addViolation("request %s of kind %s to %s ended without a response, %v before its deadline, although no server or host failed", x.ID, x.Kind, x.Host, timeLeft)
		return
	}
	c.addViolation("the response to %s of kind %s from %s was broken off after %d bytes, %v before its deadline, although no server or host failed", x.ID, x.Kind, x.Host, len(x.Body), timeLeft)
}

// maxLateness is how long after its deadline a request may end while no fault is active.
const maxLateness = time.Second

// checkSuccess checks a response with status 200.
func (c *checker) checkSuccess(x Result) {
	switch {
	case !x.HasSignature:
		c.addViolation("the response to %s is not signed", x.ID)
	case !isStream(x.Kind) && !x.Truncated && x.Body != ResponseBody(x.ID):
		c.addViolation("the response to %s has the wrong body %q", x.ID, x.Body)
	case isStream(x.Kind):
		c.checkStream(x)
	}
}

// checkStream checks the content and order of the events of a stream.
func (c *checker) checkStream(x Result) {
	var want strings.Builder
	for i := x.LastEventID + 1; i <= streamLength; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", i, EventData(x.Path, i))
	}
	if !strings.HasPrefix(want.String(), x.Body) {
		c.addViolation("the stream %s has wrong or unordered events: %q", x.ID, x.Body)
		return
	}
	if !x.Truncated && x.Body != want.String() {
		c.addViolation("the stream %s ended without an error after %d of %d bytes", x.ID, len(x.Body), want.Len())
	}
}
