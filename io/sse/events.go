// Package sse splits a stream of events (text/event-stream) into whole events
// without changing their bytes.
//
// # Usage
//
//	r := sse.NewReader(body)
//	e, err := r.Next()     // err is io.EOF only between events
//	e.ID                   // 12 for "id: 12"
package sse

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

const readBytes = 4 << 10

// Event is one event with the blank line that ends it.
type Event struct {
	Bytes []byte // valid until the next call
	ID    int64  // -1 if there is none that is a number
}

// Reader reads events.
type Reader struct {
	source io.Reader
	buffer []byte
	start  int
	err    error
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{source: r, buffer: make([]byte, 0, readBytes)} }

// Next returns the next whole event. At the end of the source it returns io.EOF, or
// io.ErrUnexpectedEOF if an event was cut.
func (r *Reader) Next() (Event, error) {
	for {
		if e, found := r.event(); found {
			return e, nil
		}
		if r.err != nil {
			return Event{}, r.end()
		}
		if len(r.buffer)-r.start > maxEvent {
			return Event{}, errors.Newf("an event has more than %d bytes", maxEvent)
		}
		r.fill()
	}
}

// Buffered tells whether a whole event can be had without reading.
func (r *Reader) Buffered() bool { return boundary(r.buffer[r.start:]) > 0 }

func (r *Reader) end() error {
	if errors.Is(r.err, io.EOF) && len(r.buffer) > r.start {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

func (r *Reader) fill() {
	if r.start > 0 {
		n := copy(r.buffer, r.buffer[r.start:])
		r.buffer = r.buffer[:n]
		r.start = 0
	}
	if cap(r.buffer)-len(r.buffer) < readBytes/4 {
		grown := make([]byte, len(r.buffer), 2*cap(r.buffer))
		copy(grown, r.buffer)
		r.buffer = grown
	}
	n, err := r.source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	r.err = err
}

func (r *Reader) event() (Event, bool) {
	rest := r.buffer[r.start:]
	n := boundary(rest)
	if n == 0 {
		return Event{}, false
	}
	r.start += n
	return Event{Bytes: rest[:n], ID: id(rest[:n])}, true
}

// boundary returns the length of the first event, 0 if none is whole.
func boundary(b []byte) int {
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

// id returns the number in the event's id line.
func id(event []byte) int64 {
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
