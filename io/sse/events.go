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

	"cicadabeam/core/bytebudget"
)

// maxEventSize limits one event, in bytes, together with those before it that don't proceed.
const maxEventSize = 1 << 20

// initialBufferSize is the first capacity of the buffer, in bytes. Before each read at
// least a quarter of this size is free.
const initialBufferSize = 256

// keptBufferSize is the largest capacity of the buffer, in bytes, that is kept after a long event.
const keptBufferSize = 8 << 10

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
	held   *bytebudget.Holder
	buffer []byte
	start  int   // of the first event that was not returned
	line   int   // start of the first line that was not parsed
	next   int   // where the end of that line is looked for
	event  Event // what is known of the first event that was not returned
	data   bool  // it has a data field
	newest int64 // greatest ID so far
	idle   int   // size of the events since the last one that proceeds
	err    error
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{source: r, buffer: make([]byte, 0, initialBufferSize), event: Event{ID: noID}, newest: noID}
}

// Hold sets the holder that takes the size of the buffer. It is called before the first event is read.
func (r *Reader) Hold(h *bytebudget.Holder) {
	r.held = h
	_ = h.Take(cap(r.buffer)) // always granted to a new holder
}

// Next returns the next complete event. At the end of the source it returns io.EOF, or
// io.ErrUnexpectedEOF if the last event is truncated, and bytebudget.ErrSpent if there is no room for
// a longer one.
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
		if err := r.fill(); err != nil {
			return Event{}, err
		}
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
func (r *Reader) HasBufferedEvent() bool { return r.findEnd() }

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
func (r *Reader) fill() error {
	unread := len(r.buffer) - r.start
	size := cap(r.buffer)
	switch {
	case size-unread < initialBufferSize/4:
		size *= 2
	case size > keptBufferSize && unread <= initialBufferSize/2:
		size = initialBufferSize
	}
	if size > maxEventSize {
		size = maxEventSize + initialBufferSize
	}
	if err := r.move(size); err != nil {
		return err
	}
	free := r.buffer[len(r.buffer):cap(r.buffer)]
	left := maxEventSize + initialBufferSize/4 - r.idle - len(r.buffer)
	n, err := r.source.Read(free[:min(len(free), left)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	r.err = err
	return nil
}

// move moves what is unread to the beginning of a buffer of a size.
func (r *Reader) move(size int) error {
	unread, to := r.buffer[r.start:], r.buffer[:0]
	if size != cap(r.buffer) {
		if err := r.held.Replace(cap(r.buffer), size); err != nil {
			return err
		}
		to = make([]byte, 0, size)
		r.held.Give(cap(r.buffer))
	}
	r.buffer = append(to, unread...)
	r.line -= r.start
	r.next -= r.start
	r.start = 0
	return nil
}

// nextBuffered returns the next event in the buffer and reports whether there is a complete
// one.
func (r *Reader) nextBuffered() (Event, bool) {
	if !r.findEnd() {
		return Event{}, false
	}
	e := r.event
	r.start += len(e.Bytes)
	r.line, r.next = r.start, r.start
	e.Proceeds = e.ID > r.newest || e.ID < 0 && r.data
	r.newest = max(r.newest, e.ID)
	r.event, r.data = Event{ID: noID}, false
	return e, true
}

// findEnd parses the first event up to the blank line that ends it, and reports whether that is
// there. It looks at each byte once.
func (r *Reader) findEnd() bool {
	b := r.buffer
	for r.event.Bytes == nil {
		i := bytes.IndexByte(b[r.next:], '\n')
		if i < 0 {
			r.next = len(b)
			return false
		}
		i += r.next
		r.parse(b[r.line:i])
		after := b[i+1:]
		afterCR := i > r.start && b[i-1] == '\r'
		switch {
		case len(after) == 0, afterCR && len(after) == 1 && after[0] == '\r':
			r.next = i
			return false
		case after[0] == '\n':
			r.event.Bytes = b[r.start : i+2]
		case afterCR && after[0] == '\r' && after[1] == '\n':
			r.event.Bytes = b[r.start : i+3]
		default:
			r.line, r.next = i+1, i+1
		}
	}
	return true
}

// noID is the ID of an event whose id fields were not numeric so far.
const noID = -1

// parse records what a line says: whether there is a data field, and the first numeric value of the
// id fields.
func (r *Reader) parse(line []byte) {
	if len(line) == 0 || line[0] != 'd' && line[0] != 'i' {
		return
	}
	name, value, found := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(":"))
	switch {
	case string(name) == "data":
		r.data = true
	case found && string(name) == "id" && r.event.ID == noID:
		if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			r.event.ID = n
		}
	}
}
