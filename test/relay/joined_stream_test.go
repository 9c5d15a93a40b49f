package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

// rawResponse responds with a signed head, fields and a body as they are given.
func rawResponse(status int, fields, body string) backend.Step {
	return func(c *backend.Conn, r *http.Request, _ []byte) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Server-Signature: signed\r\nX-Request-Id: %s\r\n%s\r\n%s",
			status, http.StatusText(status), r.Header.Get("X-Request-Id"), fields, body)
		return err == nil
	}
}

func withLength(status int, fields, body string) backend.Step {
	return rawResponse(status, fmt.Sprintf("%sContent-Length: %d\r\n", fields, len(body)), body)
}

const (
	foreignText  = "an error of the server"
	eventStream  = "Content-Type: text/event-stream\r\n"
	errorEvent   = "event: error\ndata: " + foreignText + "\n\n"
	chunkedError = "1000\r\n"
)

// notContinuations are responses that don't continue a stream after its fifth event.
func notContinuations() map[string]backend.Step {
	all := map[string]backend.Step{
		"204":                     rawResponse(204, "", ""),
		"204 as event stream":     rawResponse(204, eventStream, ""),
		"200 as text":             withLength(200, "Content-Type: text/plain\r\n", foreignText),
		"200 as HTML":             withLength(200, "Content-Type: text/html\r\n", "<p>"+foreignText),
		"200 as JSON":             withLength(200, "Content-Type: application/json\r\n", `{"error":"`+foreignText+`"}`),
		"200 without type":        withLength(200, "", foreignText),
		"200 encoded":             withLength(200, eventStream+"Content-Encoding: gzip\r\n", "id: 6\ndata: "+foreignText+"\n\n"),
		"202 as text":             withLength(202, "Content-Type: text/plain\r\n", "accepted"),
		"206 as text":             withLength(206, "Content-Type: text/plain\r\n", foreignText),
		"error as event":          withLength(200, eventStream, errorEvent),
		"error event without end": rawResponse(200, eventStream+"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(errorEvent), errorEvent)),
		"no event":                withLength(200, eventStream, ""),
		"no event, chunked":       rawResponse(200, eventStream+"Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
		"comments only":           withLength(200, eventStream, ": overloaded\n\n"),
		"earlier events only":     withLength(200, eventStream, eventText(1, 3)),
		"later events":            withLength(200, eventStream, eventText(8, 9)),
		"text in an event stream": withLength(200, eventStream, foreignText),
		"no head":                 backend.WriteRaw(foreignText+"\r\n\r\n", false),
		"400":                     withLength(400, "Content-Type: text/plain\r\n", foreignText),
		"500 as event stream":     withLength(500, eventStream, errorEvent),
		"500 without length":      rawResponse(500, "", foreignText),
		"200 as text without end": rawResponse(200, "Content-Type: text/plain\r\nContent-Length: 4000\r\n", foreignText),
		"200 as text in chunks":   rawResponse(200, "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n", chunkedError+foreignText),
		"200 as text, no length": func(c *backend.Conn, r *http.Request, b []byte) bool {
			rawResponse(200, "Content-Type: text/plain\r\n", foreignText)(c, r, b)
			return false
		},
		"error as event, no length": func(c *backend.Conn, r *http.Request, b []byte) bool {
			rawResponse(200, eventStream, errorEvent)(c, r, b)
			return false
		},
	}
	return all
}

// A stream breaks off after its fifth event, and the next server responds with something that does
// not continue it: callers found foreign text in their stream, or a complete stream of five events.
func TestStreamIsContinuedByItsEventsOnly(t *testing.T) {
	const last = 20
	for name, step := range notContinuations() {
		for _, third := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", a sound server ", third), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				first := h.startServer("report", "a", backend.Stream(last, 5, time.Millisecond, backend.CloseConnection()))
				h.startServer("report", "b", func(c *backend.Conn, r *http.Request, b []byte) bool {
					h.fleet.Deregister(first.Address(), time.Now())
					if third {
						h.startServer("report", "c", backend.Stream(last, 0, time.Millisecond, nil))
					}
					return step(c, r, b)
				}, step, backend.CloseConnection())
				got := h.send(http.MethodPost, "/long/1", setTokenUsage)
				if strings.Contains(got.body, foreignText) {
					t.Errorf("the stream has foreign text: %q", got.body)
				}
				whole := got.body == eventText(1, last)
				if got.err == nil && got.status == http.StatusOK && !whole && !saysThatNothingFollows(name) {
					t.Errorf("the stream looks complete: %q", got.body)
				}
				if third && !whole {
					t.Errorf("got status %d, body %q, error %v; a sound server was there", got.status, got.body, got.err)
				}
			})
		}
	}
}

// saysThatNothingFollows reports whether a response is a complete event stream without a further
// event. If all servers there are say so, twice, it is believed.
func saysThatNothingFollows(name string) bool {
	return strings.HasPrefix(name, "no event") || name == "comments only" || name == "earlier events only"
}

// One server that says that nothing follows is not believed if another one goes on.
func TestEndWithoutEventsIsConfirmed(t *testing.T) {
	const last = 20
	for _, ends := range []int{5, last} {
		t.Run(fmt.Sprint("after event ", ends), func(t *testing.T) {
			h := newHarness(t)
			first := h.startServer("report", "a", backend.Stream(last, ends, time.Millisecond, backend.CloseConnection()))
			second := h.startServer("report", "b", withLength(200, eventStream, ""), backend.Stream(last, 0, 0, nil))
			time.AfterFunc(10*time.Millisecond, func() { h.fleet.Deregister(first.Address(), time.Now()) })
			got := h.send(http.MethodPost, "/long/1", setTokenUsage)
			h.checkResponse(got, 200, eventText(1, last))
			h.checkRequestCount(second, 2)
		})
	}
}

// Nothing tells a server where a stream of events without IDs is to go on: the next one began
// anew, and callers got events twice.
func TestStreamWithoutIDsIsNotContinued(t *testing.T) {
	body := "data: a\n\ndata: b\n\n"
	head := eventStream + "Transfer-Encoding: chunked\r\n"
	for name, part := range map[string]string{"no IDs": body, "none at last": "id: 1\ndata: a\n\ndata: b\n\n"} {
		for _, end := range []string{"cut", "silent"} {
			t.Run(name+" "+end, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				broken := rawResponse(200, head, fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
				h.startServer("report", "a", func(c *backend.Conn, r *http.Request, b []byte) bool {
					broken(c, r, b)
					if end == "silent" {
						return backend.NoResponse()(c, r, b)
					}
					return false
				})
				h.startServer("report", "b", withLength(200, eventStream, part+"data: c\n\n"))
				got := h.send(http.MethodPost, "/long/1", setTokenUsage)
				if got.err == nil || got.body != part {
					t.Errorf("got body %q, error %v; want %q, broken off", got.body, got.err, part)
				}
			})
		}
	}
}

// A stream whose head has no content type broke off within an event, at the end of its connection:
// it must not be taken for a complete response of another type.
func TestStreamWithoutContentTypeIsAStream(t *testing.T) {
	h := newHarness(t)
	h.startServer("report", "a", func(c *backend.Conn, r *http.Request, b []byte) bool {
		rawResponse(200, "", eventText(1, 3)+"id: 4\ndat")(c, r, b)
		return false
	})
	got := h.send(http.MethodPost, "/single/1", setTokenUsage)
	if got.err == nil && got.status == http.StatusOK {
		t.Errorf("the stream looks complete: %q", got.body)
	}
	h.startServer("report", "b", backend.Stream(9, 0, 0, nil))
	h.checkResponse(h.send(http.MethodPost, "/long/1", setTokenUsage), 200, eventText(1, 9))
}

// A stream that has not begun: a server's complete response is the caller's, whatever it is.
func TestResponseThatIsNoStreamIsPassedOn(t *testing.T) {
	h := newHarness(t)
	h.startServer("report", "a", withLength(200, "Content-Type: text/plain\r\n", "nothing to report"))
	h.checkResponse(h.send(http.MethodPost, "/report/1", setTokenUsage), 200, "nothing to report")
	h.startServer("once", "a", rawResponse(204, "", ""))
	h.checkResponse(h.send(http.MethodPost, "/once/1", setTokenUsage), 204, "")
}

// A response with a content coding that nobody asked for is not the server's body: callers got it
// with its signature.
func TestEncodedResponseIsNotPassedOn(t *testing.T) {
	encoded := withLength(200, "Content-Encoding: gzip\r\n", foreignText)
	for path, want := range map[string]int{"/buy/1": 502, "/read/1": 200, "/report/1": 200, "/once/1": 502} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			service := strings.Split(path, "/")[1]
			h.startServer(service, "a", encoded)
			h.startServer(service, "b", encoded, backend.Respond(200, "sound"))
			time.AfterFunc(20*time.Millisecond, func() { h.startServer(service, "c", withLength(200, eventStream, eventText(1, 1))) })
			got := h.send(http.MethodPost, path, setTokenUsage)
			if strings.Contains(got.body, foreignText) || got.status == http.StatusOK && want != http.StatusOK {
				t.Errorf("got status %d, body %q; want %d", got.status, got.body, want)
			}
		})
	}
}
