package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/test/check"
	"cicadabeam/test/cluster"
)

type badRequest struct {
	name   string
	method string
	path   string
	key    string
	body   string
	header map[string]string
	status int
	code   string
}

var badRequests = []badRequest{
	{name: "no key", method: "POST", path: "/v1/chat/completions", body: `{}`, status: 401, code: "unauthorized"},
	{name: "wrong key", method: "POST", path: "/v1/chat/completions", key: "key-nobody", body: `{}`, status: 401, code: "unauthorized"},
	{name: "malformed JSON", method: "POST", path: "/v1/chat/completions", key: "key-forge", body: `{"model":`, status: 400, code: "bad_request"},
	{name: "unknown model", method: "POST", path: "/v1/chat/completions", key: "key-forge", body: `{"model":"none","messages":[{}]}`, status: 404, code: "not_found"},
	{name: "several choices", method: "POST", path: "/v1/completions", key: "key-forge", body: `{"model":"ledger","prompt":"x","n":3}`, status: 400, code: "bad_request"},
	{name: "bad event id", method: "POST", path: "/v1/chat/completions", key: "key-forge", body: `{"model":"ledger","messages":[{}]}`, header: map[string]string{"Last-Event-ID": "7"}, status: 400, code: "bad_request"},
	{name: "bad idempotency key", method: "POST", path: "/v1/chat/completions", key: "key-forge", body: `{"model":"ledger","messages":[{}]}`, header: map[string]string{"Idempotency-Key": "a b"}, status: 400, code: "bad_request"},
	{name: "too large", method: "POST", path: "/v1/chat/completions", key: "key-forge", body: `{"model":"` + strings.Repeat("x", 70000) + `"}`, status: 413, code: "too_large"},
	{name: "unknown path", method: "GET", path: "/v2/things", key: "key-forge", status: 404, code: "not_found"},
	{name: "wrong method", method: "DELETE", path: "/v1/chat/completions", key: "key-forge", status: 404, code: "not_found"},
	{name: "unknown answer", method: "GET", path: "/v1/answers/answer-0", key: "key-forge", status: 404, code: "not_found"},
	{name: "unknown service", method: "GET", path: "/services/none/x", key: "key-forge", status: 404, code: "not_found"},
	{name: "model as service", method: "GET", path: "/services/assistant/x", key: "key-forge", status: 404, code: "not_found"},
	{name: "purchase without key", method: "POST", path: "/services/purchase/x", key: "key-forge", body: "x", status: 400, code: "idempotency_key_required"},
}

// startWithInputLimits starts a cluster with low limits on the size of requests and the
// time to read them.
func startWithInputLimits(t *testing.T) *cluster.Cluster {
	t.Helper()
	return startCluster(t, cluster.Layout{EnginesPerDataCentre: 1, AppsPerDataCentre: 1, ExtraSettings: "[limits]\nbody-bytes = 65536\nheader-bytes = 4096\nheader-wait = 500ms\nbody-wait = 500ms\n"})
}

// Invalid requests are rejected with a complete error and reach no backend server.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	c := startWithInputLimits(t)
	for _, x := range badRequests {
		t.Run(x.name, func(t *testing.T) {
			r, err := http.NewRequest(x.method, c.Node(0).URL()+x.path, strings.NewReader(x.body))
			must(t, err)
			if x.key != "" {
				r.Header.Set("Authorization", "Bearer "+x.key)
			}
			for k, v := range x.header {
				r.Header.Set(k, v)
			}
			response, err := http.DefaultClient.Do(r)
			must(t, err)
			defer func() { _ = response.Body.Close() }()
			checkError(t, response, x.status, x.code)
		})
	}
	checkNothingForwarded(t, c)
}

func checkError(t *testing.T, r *http.Response, status int, code string) {
	t.Helper()
	var body struct {
		Error struct{ Message, Type, Code, Step, Ran string } `json:"error"`
	}
	must(t, json.NewDecoder(r.Body).Decode(&body))
	e := body.Error
	if r.StatusCode != status || e.Code != code || e.Message == "" || e.Type == "" || e.Step == "" || e.Ran == "" {
		t.Fatalf("status %d, %+v", r.StatusCode, e)
	}
}

// checkNothingForwarded checks that no request has reached an engine or application server.
func checkNothingForwarded(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	log, err := c.EngineLog()
	must(t, err)
	runs, err := c.AppLog()
	must(t, err)
	if len(log)+len(runs) > 0 {
		t.Fatalf("%d log entries of engines and %d runs for requests that were rejected", len(log), len(runs))
	}
}

// Requests that an HTTP library would not send: an incomplete header, an incomplete body,
// an oversized header, and data that is not HTTP.
func TestMalformedRequests(t *testing.T) {
	t.Parallel()
	c := startWithInputLimits(t)
	head := "POST /services/purchase/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-forge\r\nIdempotency-Key: half\r\n"
	cases := map[string]struct {
		sent  string
		close bool
		want  string
	}{
		"incomplete body, then no data": {head + "Content-Length: 100\r\n\r\nabc", false, "400"},
		"incomplete body, then closed":  {head + "Content-Length: 100\r\n\r\nabc", true, ""},
		"incomplete header":             {"POST /services/purchase/x HTTP/1.1\r\nHost: x\r\nAuth", false, ""},
		"header too large":              {head + "X-Long: " + strings.Repeat("x", 20000) + "\r\n\r\n", false, "431"},
		"not HTTP":                      {"\x00\x01\x02\r\n\r\n", false, "400"},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(c.Node(0).URL(), "http://"))
			must(t, err)
			defer func() { _ = conn.Close() }()
			must(t, conn.SetDeadline(time.Now().Add(testTimeout)))
			_, _ = io.WriteString(conn, x.sent)
			if x.close {
				must(t, conn.(*net.TCPConn).CloseWrite())
			}
			line, _ := bufio.NewReader(conn).ReadString('\n')
			if !strings.Contains(line, x.want) {
				t.Fatalf("status line %q", line)
			}
		})
	}
	checkNothingForwarded(t, c)
	checkComplete(t, c, c.Node(0).Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=20"}), 20)
}

// The listeners for peers and operators reject clients without the secret.
func TestListenersRequireSecret(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{EnginesPerDataCentre: 1})
	conn, err := net.Dial("tcp", c.Node(0).PeerAddress())
	must(t, err)
	defer func() { _ = conn.Close() }()
	must(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = conn.Write(make([]byte, 48))
	must(t, err)
	if n, _ := io.Copy(io.Discard, conn); n > 16 {
		t.Fatalf("unauthenticated client received %d bytes, more than the nonce", n)
	}
	for _, path := range []string{"/v1/status", "/v1/configuration", "/v1/audit", "/metrics"} {
		r, err := http.Get(c.Node(0).OperatorURL() + path)
		must(t, err)
		_ = r.Body.Close()
		if r.StatusCode != http.StatusUnauthorized {
			t.Errorf("%s without the secret: status %d", path, r.StatusCode)
		}
	}
}

// A caller that does not read its answer is disconnected, and the node serves others.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{EnginesPerDataCentre: 1, TokenMS: -1, ExtraSettings: "[limits]\nwrite-wait = 300ms\n"})
	conn, err := net.Dial("tcp", strings.TrimPrefix(c.Node(0).URL(), "http://"))
	must(t, err)
	defer func() { _ = conn.Close() }()
	must(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	body := `{"model":"ledger","stream":true,"messages":[{"role":"user","content":"tokens=300000 marker=slow"}]}`
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-forge\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	must(t, err)
	await(t, "request is in flight", func() bool { return requestsInFlight(c) == 1 })
	await(t, "slow reader is disconnected", func() bool { return requestsInFlight(c) == 0 })
	log, err := c.EngineLog()
	must(t, err)
	must(t, check.PartialAnswer("", "slow", log))
	checkComplete(t, c, c.Node(0).Complete(testContext(t), cluster.CompletionRequest{Text: "tokens=20"}), 20)
}

// requestsInFlight returns the number of requests that the first node reports, or -1 if it
// reports no status.
func requestsInFlight(c *cluster.Cluster) int {
	s, err := c.Node(0).Status()
	if err != nil {
		return -1
	}
	return s.Requests
}
