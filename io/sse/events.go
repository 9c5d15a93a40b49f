// Package sse splits a stream of server-sent events (text/event-stream) into complete
// events without changing their bytes.
//
// # Usage
//
//	r := sse.NewReader(body)
//	e, err := r.Next()     // err is io.EOF only if the stream ends after a complete event
//	e.ID                   // 12 for "id: 12"
package sse

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventSize limits one event, in bytes, together with those before it that don't proceed.
const maxEventSize = 1 << 20

// initialBufferSize is the first capacity of the buffer, in bytes. Before each read at
// least a quarter of this size is free.
const initialBufferSize = 256

// Event is one event, including the blank line that ends it.
type Event struct {
	Bytes []byte // valid until the next call of Next
	ID    int64  // -1 without a numeric ID
	// Proceeds is set if the ID is greater than those before or, without an ID, if the event
	// has data. Others carry nothing for the caller, such as comments.
	Proceeds bool
}

// Reader reads events from a stream.
type Reader struct {
	source io.Reader
	buffer []byte
	start  int
	newest int64 // greatest ID so far
	idle   int   // size of the events since the last one that proceeds
	err    error
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{source: r, buffer: make([]byte, 0, initialBufferSize), newest: -1}
}

// Next returns the next complete event. At the end of the source it returns io.EOF, or
// io.ErrUnexpectedEOF if the last event is truncated.
func (r *Reader) Next() (Event, error) {
	for {
		if e, found := r.nextBuffered(); found {
			return e, r.checkProgress(e)
		}
		if r.err != nil {
			return Event{}, r.endError()
		}
		if r.idle+len(r.buffer)-r.start > maxEventSize {
			return Event{}, errTooLarge
		}
		r.fill()
	}
}

var errTooLarge = errors.Newf("no event that proceeds in %d bytes", maxEventSize)

// checkProgress returns an error if too much has been read since the last event that
// proceeds.
func (r *Reader) checkProgress(e Event) error {
	r.idle += len(e.Bytes)
	if r.idle > maxEventSize {
		return errTooLarge
	}
	if e.Proceeds {
		r.idle = 0
	}
	return nil
}

// HasBufferedEvent reports whether Next can return an event without reading from the
// source.
func (r *Reader) HasBufferedEvent() bool { return eventLength(r.buffer[r.start:]) > 0 }

// endError returns the error of the source, as io.ErrUnexpectedEOF if the source ended
// within an event.
func (r *Reader) endError() error {
	if errors.Is(r.err, io.EOF) && len(r.buffer) > r.start {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// fill reads more of the source into the buffer and discards the events already
// returned.
func (r *Reader) fill() {
	if r.start > 0 {
		n := copy(r.buffer, r.buffer[r.start:])
		r.buffer = r.buffer[:n]
		r.start = 0
	}
	if cap(r.buffer)-len(r.buffer) < initialBufferSize/4 {
		grown := make([]byte, len(r.buffer), 2*cap(r.buffer))
		copy(grown, r.buffer)
		r.buffer = grown
	}
	free := r.buffer[len(r.buffer):cap(r.buffer)]
	left := maxEventSize + initialBufferSize/4 - r.idle - len(r.buffer)
	n, err := r.source.Read(free[:min(len(free), left)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	r.err = err
}

// nextBuffered returns the next event in the buffer and reports whether there is a complete
// one.
func (r *Reader) nextBuffered() (Event, bool) {
	unread := r.buffer[r.start:]
	n := eventLength(unread)
	if n == 0 {
		return Event{}, false
	}
	r.start += n
	e := Event{Bytes: unread[:n], ID: eventID(unread[:n])}
	e.Proceeds = e.ID > r.newest || e.ID < 0 && hasData(e.Bytes)
	r.newest = max(r.newest, e.ID)
	return e, true
}

// eventLength returns the length of the first event, 0 if it is not complete.
func eventLength(b []byte) int {
	lf, crlf := bytes.Index(b, []byte("\n\n")), bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + len("\n\n")
	case crlf >= 0:
		return crlf + len("\r\n\r\n")
	default:
		return 0
	}
}

// hasData reports whether an event has a data field.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":")); string(name) == "data" {
			return true
		}
	}
	return false
}

// eventID returns the first numeric value of the event's id fields, -1 if there is none.
func eventID(event []byte) int64 {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if !found {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			return n
		}
	}
	return -1
}
