package relay

import (
	"bytes"
	"net/http"
	"time"

	"cicadabeam/io/sse"
)

// errorBodyTimeout limits the time in which the body of a response that is not an event
// stream arrives. A sound server may pause for more than a second.
const errorBodyTimeout = 3 * time.Second

// maxUnforwarded is how many parts of a response are read ahead of the caller.
const maxUnforwarded = 4

// received is one part of the response to an attempt: the head, an event, or the error that
// ended the response, which is io.EOF if the response is complete.
type received struct {
	head  *http.Response
	event sse.Event
	err   error
}

// receive reads the response to an attempt until it ends or the attempt is closed. Of a
// response that is not an event stream it reads the head only. It runs apart from the
// handler, so that a stream can wait for its server and try another one at the same time.
func (s *stream) receive(a *streamAttempt) {
	r, err := a.conn.ReadResponse(s.r.Method, s.meta.ID, s.h.Codec.RequestID, s.deadline)
	if err == nil && !s.isEventStream(r) {
		a.conn.SetReadDeadline(earliest(s.deadline, time.Now().Add(errorBodyTimeout)))
	}
	if !a.deliver(received{head: r, err: err}) || err != nil || !s.isEventStream(r) {
		return
	}
	reader := sse.NewReader(r.Body)
	for {
		e, err := reader.Next()
		if err == nil && !e.Proceeds {
			continue // a server that sends only such events is as good as silent
		}
		e.Bytes = bytes.Clone(e.Bytes)
		if !a.deliver(received{event: e, err: err}) || err != nil {
			return
		}
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

// isEventStream reports whether a response is a signed event stream.
func (s *stream) isEventStream(r *http.Response) bool {
	return r.StatusCode >= 200 && r.StatusCode < 300 && s.h.Codec.DecodeResponse(r).Signed
}
