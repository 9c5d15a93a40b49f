package relay

import (
	"bytes"
	"mime"
	"net/http"
	"strings"
	"time"

	"cicadabeam/core/bytebudget"
	"cicadabeam/io/sse"
)

// errorBodyTimeout limits the time in which the body of a response that is not an event
// stream arrives. A sound server may pause for more than a second.
const errorBodyTimeout = 3 * time.Second

const (
	// maxUnforwarded is how many parts of a response are read ahead of the caller, and
	// maxReadAhead the size in bytes of the largest event that more is read after.
	maxUnforwarded = 4
	maxReadAhead   = 2 << 10
)

// received is one part of the response to an attempt: the head, an event, or the error that
// ended the response, which is io.EOF if the response is complete.
type received struct {
	head     *http.Response
	body     []byte // of a head that is not that of an event stream
	complete bool   // body is complete
	event    sse.Event
	err      error
	handled  chan struct{} // closed when the event is no longer needed; nil for small events
}

// receive reads the response to an attempt until it ends or the attempt is closed. It runs
// apart from the handler, so that a stream can wait for its server and try another one at the
// same time.
func (s *stream) receive(a *streamAttempt) {
	held := s.h.Buffers.Hold(streamHolder, a.conn.Interrupt)
	defer held.Release()
	a.conn.Hold(held)
	r, err := a.conn.ReadResponse(s.r.Method, s.meta.ID, s.h.Codec.RequestID, s.deadline)
	err = spentError(err, held)
	x := received{head: r, err: err}
	isStream := err == nil && s.isEventStream(r)
	if err == nil && !isStream {
		a.conn.SetReadDeadline(earliest(s.deadline, time.Now().Add(errorBodyTimeout)))
		x.body, err = bytebudget.ReadAll(r.Body, maxBufferedBytes, r.ContentLength, held)
		x.complete = held.Keep() == nil && err == nil && len(x.body) < maxBufferedBytes
	}
	s.recordNoRoom(held, broken.String())
	if !a.deliver(x) {
		return
	}
	if !isStream {
		<-a.closed // the handler needs the body
		return
	}
	reader := sse.NewReader(r.Body)
	reader.Hold(held)
	for err == nil {
		var e sse.Event
		e, err = reader.Next()
		if err != nil {
			if kept := held.Keep(); kept != nil {
				err = kept
			}
			s.recordNoRoom(held, broken.String())
		}
		if err == nil && !e.Proceeds {
			continue // a server that sends only such events is as good as silent
		}
		if !a.deliverEvent(e, err) {
			return
		}
	}
}

// deliverEvent passes an event or the end of the response on. It returns false if the attempt
// was closed.
func (a *streamAttempt) deliverEvent(e sse.Event, err error) bool {
	if len(e.Bytes) <= maxReadAhead {
		e.Bytes = bytes.Clone(e.Bytes)
		return a.deliver(received{event: e, err: err})
	}
	x := received{event: e, err: err, handled: make(chan struct{})}
	if !a.deliver(x) {
		return false
	}
	select {
	case <-x.handled:
		return true
	case <-a.closed:
		return false
	}
}

// deliver passes a part of the response on. It returns false if the attempt was closed.
func (a *streamAttempt) deliver(x received) bool {
	select {
	case a.parts <- x:
		return true
	case <-a.closed:
		return false
	}
}

// isEventStream reports whether a response is a signed event stream, as one without a content type
// on such a route is taken for. Another successful response can't continue a stream of which the
// caller has received a part.
func (s *stream) isEventStream(r *http.Response) bool {
	switch r.StatusCode {
	case http.StatusNoContent, http.StatusResetContent, http.StatusPartialContent:
		return false
	}
	if r.StatusCode < 200 || r.StatusCode >= 300 || isEncoded(r) || !s.h.Codec.DecodeResponse(r).Signed {
		return false
	}
	contentType := r.Header.Get("Content-Type")
	t, _, err := mime.ParseMediaType(contentType)
	return contentType == "" || err == nil && t == "text/event-stream"
}

// isEncoded reports whether the body of a response has a content coding. Callers ask for none, so
// that it is not the server's.
func isEncoded(r *http.Response) bool {
	for _, v := range r.Header.Values("Content-Encoding") {
		if v = strings.TrimSpace(v); v != "" && !strings.EqualFold(v, "identity") {
			return true
		}
	}
	return false
}
