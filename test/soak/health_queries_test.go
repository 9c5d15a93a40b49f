package soak

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against requests of callers that lost their ID, and are taken for queries of a host.
func TestOnlyQueriesOfHostsHaveNoRequestID(t *testing.T) {
	request := func(method, path, body string, header ...string) (*http.Request, []byte) {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		for i := 0; i < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1])
		}
		return r, []byte(body)
	}
	if !isHealthQuery(request(http.MethodGet, "/", "", "Content-Length", "0")) {
		t.Error("the query of a host is none")
	}
	for name, x := range map[string]func() (*http.Request, []byte){
		"another path":   func() (*http.Request, []byte) { return request(http.MethodGet, "/read/1", "") },
		"another method": func() (*http.Request, []byte) { return request(http.MethodPost, "/", "") },
		"a body":         func() (*http.Request, []byte) { return request(http.MethodGet, "/", "x") },
		"an ID":          func() (*http.Request, []byte) { return request(http.MethodGet, "/", "", "X-Request-Id", "c1-1-1") },
		"a tenant":       func() (*http.Request, []byte) { return request(http.MethodGet, "/", "", "X-Tenant", organisation) },
		"a key": func() (*http.Request, []byte) {
			return request(http.MethodGet, "/", "", "Authorization", "Bearer key-1")
		},
		"a query": func() (*http.Request, []byte) { return request(http.MethodGet, "/?x=1", "") },
	} {
		if isHealthQuery(x()) {
			t.Errorf("a request with %s is taken for the query of a host", name)
		}
	}
}

func TestHealthQueriesNeedPartitionedHost(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1e9, 0).Add(time.Duration(s * float64(time.Second))).UTC() }
	line := func(s float64, message string) string {
		return "timestamp=" + at(s).Format(time.RFC3339Nano) + " level=info message=" + message + " node=node-0\n"
	}
	log := line(0, "started") + line(10, `"partitioned from servers"`) + line(10.5, "answered") + line(13, `"servers reached again"`) +
		line(20, `"partitioned from servers"`) + line(22, "started")
	partitions := partitionsIn([]byte(log), at(30))
	if len(partitions) != 2 {
		t.Fatalf("got %v, want two", partitions)
	}
	for _, x := range []struct {
		name       string
		at         []float64
		violations int
	}{
		{"within", []float64{10.1, 11, 12, 20.1}, 0},
		{"before", []float64{9.9}, 1},
		{"after", []float64{14}, 1},
		{"after the host started again", []float64{23}, 1},
		{"too often", []float64{10.1, 10.2, 10.3, 10.4, 10.5, 10.6, 10.7, 10.8, 10.9, 11, 11.1}, 1},
	} {
		c := &checker{env: &testEnv{}}
		for _, s := range x.at {
			c.healthQueries = append(c.healthQueries, Arrival{Server: "i-3", At: at(s)})
		}
		if c.checkHealthQueries(partitions); len(c.violations) != x.violations {
			t.Errorf("%s: got violations %q, want %d", x.name, c.violations, x.violations)
		}
	}
}
