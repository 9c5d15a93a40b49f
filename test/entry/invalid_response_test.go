package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/backend"
)

const (
	// uploadBytes is more than fits into the buffers between a host and a server that reads nothing.
	uploadBytes = 8 << 20
	// partOfBody is what a server sends of a response before it breaks off.
	partOfBody = "id: 1\ndata: piece-1\n\nid: 2\nda"
	// earlyPause is how long a server waits before it breaks off: a reset discards what has not been read.
	earlyPause = 100 * time.Millisecond
)

// invalidCase is a response that is not to be passed on as a complete one.
type invalidCase struct {
	step   backend.Step
	upload int
	greets bool // the step is called before anything is read
}

// respondStatus responds with a status line that is not one of HTTP.
func respondStatus(status string) backend.Step {
	return func(c *backend.Conn, r *http.Request, _ []byte) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s OK\r\nX-Server-Signature: signed\r\nX-Request-Id: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 28\r\n\r\n"+
			"id: 1\ndata: piece-1\nend: 1\n\n", status, r.Header.Get("X-Request-Id"))
		return err == nil
	}
}

// respondEarly sends a part of a response without a length, and then ends the connection while the
// request's body is still being sent.
func respondEarly(resets bool) backend.Step {
	return func(c *backend.Conn, r *http.Request, _ []byte) bool {
		id := ""
		if r != nil {
			id = "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n"
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\n%sContent-Type: text/event-stream\r\n\r\n%s", id, partOfBody)
		time.Sleep(earlyPause)
		if t, ok := backend.TCP(c); ok && resets {
			_ = t.SetLinger(0)
		} else if ok {
			_ = t.CloseWrite()
			time.Sleep(earlyPause)
		}
		return false
	}
}

// respondBeforeUpload responds without a length, ends its response, and then reads the request's body.
func respondBeforeUpload(c *backend.Conn, r *http.Request, _ []byte) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\nX-Request-Id: %s\r\n\r\n%s", r.Header.Get("X-Request-Id"), partOfBody)
	if t, ok := backend.TCP(c); ok {
		_ = t.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return false
}

// upload sends a request with a body and returns the response, whose status is 0 if it broke off.
func (n *node) upload(path string, size int, chunked bool) (int, string) {
	var body io.Reader = bytes.NewReader(make([]byte, size))
	if chunked {
		body = io.MultiReader(body)
	}
	r, _ := http.NewRequest(http.MethodPost, "http://"+n.CallerAddress()+path, body)
	r.Host = "test.example"
	r.Header.Set("X-Request-Id", fmt.Sprintf("id-%d", time.Now().UnixNano()))
	r.Header.Set("X-Deadline-Ms", "4000")
	r.Header.Set("X-Token-Usage", "800,90")
	r.Header.Set("Authorization", "Bearer key-1")
	c := http.Client{Timeout: testTimeout}
	defer c.CloseIdleConnections()
	response, err := c.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(b)
	}
	return response.StatusCode, string(b)
}

// configureUploads allows large bodies.
func (s *system) configureUploads() {
	s.t.Helper()
	s.store.Put("op", "config", []byte(`{"Version":2,"Routes":[`+
		`{"Name":"buy","Host":"test.example","Prefix":"/buy/","Type":"unsafe","TimeoutMs":4000,"GoalMs":250,"Service":"orders","MaxAttempts":1,"Public":true},`+
		`{"Name":"read","Host":"test.example","Prefix":"/read/","Type":"safe","TimeoutMs":4000,"GoalMs":250,"Service":"orders","MaxAttempts":2,"Public":true},`+
		`{"Name":"report","Host":"test.example","Prefix":"/report/","Type":"stream","Resumable":true,"TimeoutMs":4000,"GoalMs":4000,"Service":"llm","MaxAttempts":2,"Public":true}],`+
		`"Services":[{"Name":"orders"},{"Name":"llm"}],"Limits":{"MaxBodyBytes":16777216}}`))
	for _, n := range s.nodes {
		s.awaitStatus(n, "/read/x", "", http.StatusOK, testTimeout)
	}
}

// Guards against invalid responses, or parts of them, that a caller gets as complete ones.
func TestInvalidResponsesAreNotPassedOn(t *testing.T) {
	cases := make(map[string]invalidCase)
	for _, status := range []string{"000", "099", "99", "1000"} {
		cases["status "+status] = invalidCase{step: respondStatus(status)}
	}
	for name, size := range map[string]int{"no upload": 0, "short upload": 1000, "long upload": uploadBytes} {
		cases["reset, "+name] = invalidCase{step: respondEarly(true), upload: size}
		cases["reset before the request, "+name] = invalidCase{step: respondEarly(true), upload: size, greets: true}
	}
	cases["end, long upload"] = invalidCase{step: respondEarly(false), upload: uploadBytes}
	cases["end before the request, long upload"] = invalidCase{step: respondEarly(false), upload: uploadBytes, greets: true}
	for _, through := range []bool{false, true} {
		t.Run(fmt.Sprintf("through another host %v", through), func(t *testing.T) {
			nodes := 1
			if through {
				nodes = 3
			}
			s := startWith(t, nodes, "[limits]\nmemory-mb = 512\n")
			var servers []*backend.Server
			for _, id := range []string{"orders-0", "orders-1", "orders-2", "llm-0", "llm-1", "llm-2"} {
				b, err := backend.StartEarly("127.0.0.1:0", backend.Respond(http.StatusOK, "ok"))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(b.Close)
				s.register(id, id[:len(id)-2], b.Address(), "ready")
				servers = append(servers, b)
			}
			s.configureUploads()
			n := s.nodes[0]
			if through {
				for _, b := range servers {
					b.SetPartition(backend.Hang, ipOf(n))
				}
				if !cluster.Await(testTimeout, func() bool {
					for _, x := range s.nodes {
						go x.send("/read/x", "")
					}
					time.Sleep(20 * time.Millisecond)
					return len(n.eventLines("partitioned from servers")) > 0
				}) {
					t.Fatal("the first host is not partitioned")
				}
				s.awaitStatus(n, "/read/x", "", http.StatusOK, testTimeout)
			}
			for name, x := range cases {
				for _, b := range servers {
					b.SetSteps(x.step)
					b.SetGreeting(nil)
					if x.greets {
						b.SetGreeting(x.step)
						b.CloseConnections()
					}
				}
				for _, path := range []string{"/buy/1", "/read/1", "/report/1"} {
					for _, chunked := range []bool{false, true} {
						if chunked && x.upload == 0 {
							continue
						}
						status, body := n.upload(path, x.upload, chunked)
						t.Logf("%s, %s, chunked %v: status %d, %q", name, path, chunked, status, body[:min(len(body), 150)])
						if status < 400 && status != 0 {
							t.Errorf("%s, %s, chunked %v: got status %d, want an error or no complete response", name, path, chunked, status)
						}
					}
				}
			}
			for _, b := range servers {
				b.SetSteps(respondBeforeUpload)
				b.SetGreeting(nil)
			}
			s.await("a server responds", testTimeout, func() bool { status, _ := n.upload("/read/1", 0, false); return status == http.StatusOK })
			if status, body := n.upload("/buy/1", uploadBytes, false); status != http.StatusOK || body != partOfBody {
				t.Errorf("a response that ends before the upload does: got status %d with %q", status, body)
			}
			select {
			case <-n.Exited():
				t.Error("the host ended")
			default:
			}
		})
	}
}
