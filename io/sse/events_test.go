package sse_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"cicadabeam/core/bytebudget"
	"cicadabeam/io/sse"
)

func TestNext(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid:2\ndata: b\ndata: c\n\n: comment\n\nid: x\r\ndata: d\r\n\r\n"
	want := []struct {
		bytes string
		id    int64
	}{{"id: 1\ndata: a\n\n", 1}, {"id:2\ndata: b\ndata: c\n\n", 2}, {": comment\n\n", -1}, {"id: x\r\ndata: d\r\n\r\n", -1}}
	for name, source := range map[string]io.Reader{"one read": strings.NewReader(text), "one byte per read": iotest.OneByteReader(strings.NewReader(text))} {
		r := sse.NewReader(source)
		for _, w := range want {
			e, err := r.Next()
			if err != nil || string(e.Bytes) != w.bytes || e.ID != w.id {
				t.Errorf("%s: got %q, ID %d, error %v; want %q, ID %d", name, e.Bytes, e.ID, err, w.bytes, w.id)
			}
		}
		if _, err := r.Next(); err != io.EOF {
			t.Errorf("%s: after the last event: got error %v, want io.EOF", name, err)
		}
	}
}

func TestTruncatedEvent(t *testing.T) {
	r := sse.NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n"))
	if _, err := r.Next(); err != nil {
		t.Fatal(err)
	}
	if e, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated event: got %q, error %v; want io.ErrUnexpectedEOF", e.Bytes, err)
	}
	r = sse.NewReader(iotest.TimeoutReader(strings.NewReader("id: 1\ndata")))
	if _, err := r.Next(); !errors.Is(err, iotest.ErrTimeout) {
		t.Errorf("read timeout: got error %v, want iotest.ErrTimeout", err)
	}
}

// repeated returns the same text without end.
type repeated string

func (r repeated) Read(p []byte) (int, error) {
	n := 0
	for n+len(r) <= len(p) {
		n += copy(p[n:], r)
	}
	return n, nil
}

func TestEndlessBytesWithoutProgress(t *testing.T) {
	for name, text := range map[string]string{"comments": ": alive\n\n", "blank lines": "\n", "repeated events": "id: 1\ndata: a\n\n", "no field": "data\x00\n\n", "no line end": "x"} {
		r := sse.NewReader(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), repeated(text)))
		read := 0
		e, err := r.Next()
		for err == nil && read < 4<<20 {
			if e.Proceeds != (read == 0) {
				t.Fatalf("%s: got progress %v for %q after %d bytes", name, e.Proceeds, e.Bytes, read)
			}
			read += len(e.Bytes)
			e, err = r.Next()
		}
		if err == nil || !strings.Contains(err.Error(), "1048576 bytes") || read > 1<<20+16 {
			t.Errorf("%s: got error %v after %d bytes, want that the event is too large", name, err, read)
		}
	}
}

// A body in chunks fills the buffer that it is given, however large.
func TestReadsOfEndlessEventStayWithinLimit(t *testing.T) {
	const event, comments, limit = "id: 1\ndata: a\n\n", 1 << 19, 1<<20 + 1<<10
	for _, test := range []struct {
		prefix string
		max    int // bytes
	}{{"", limit}, {event, limit + len(event)}, {event + strings.Repeat(": ok\n\n\n\n", comments/8), limit + len(event)}} {
		source := &countingReader{source: io.MultiReader(strings.NewReader(test.prefix), repeated("x"))}
		r := sse.NewReader(source)
		err := error(nil)
		for err == nil {
			_, err = r.Next()
		}
		if source.read > test.max {
			t.Errorf("after %d bytes: %d bytes were read, want at most %d", len(test.prefix), source.read, test.max)
		}
	}
}

type countingReader struct {
	source io.Reader
	read   int // bytes
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	c.read += n
	return n, err
}

// An event that proceeds ends a sequence of comments, however many there are in all.
func TestCommentsBetweenEvents(t *testing.T) {
	part := strings.Repeat(": alive\n\n", 60_000) + "data: a\n\n"
	r := sse.NewReader(strings.NewReader(strings.Repeat(part, 4)))
	read := 0
	for e, err := r.Next(); err != io.EOF; e, err = r.Next() {
		if err != nil {
			t.Fatalf("after %d bytes: %v", read, err)
		}
		read += len(e.Bytes)
	}
	if read != 4*len(part) {
		t.Errorf("got %d bytes, want %d", read, 4*len(part))
	}
}

// Guards against a reader that keeps the buffer of a long event, or grows without room for it.
func TestBufferOfLongEventIsHeldOnlyWhileItIsRead(t *testing.T) {
	long := "data: " + strings.Repeat("x", 100_000) + "\n\n"
	b := bytebudget.New(1 << 20)
	h := b.Hold("event", nil)
	r := sse.NewReader(io.MultiReader(strings.NewReader(long), iotest.OneByteReader(strings.NewReader("data: a\n\n"))))
	r.Hold(h)
	for _, most := range []int64{256 << 10, 256} {
		if _, err := r.Next(); err != nil || b.Held() > most {
			t.Errorf("%d bytes are held, error %v; want at most %d", b.Held(), err, most)
		}
	}
	r = sse.NewReader(strings.NewReader(long))
	r.Hold(bytebudget.New(50_000).Hold("event", nil))
	if e, err := r.Next(); !errors.Is(err, bytebudget.ErrSpent) {
		t.Errorf("got %d bytes, error %v, want bytebudget.ErrSpent", len(e.Bytes), err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, slow := sse.NewReader(strings.NewReader(string(text))), sse.NewReader(iotest.OneByteReader(strings.NewReader(string(text))))
		var got []byte
		for {
			e, err := r.Next()
			same, slowErr := slow.Next()
			if string(e.Bytes) != string(same.Bytes) || e.ID != same.ID || e.Proceeds != same.Proceeds || !errors.Is(slowErr, err) {
				t.Fatalf("got %q, ID %d, error %v; one byte at a time %q, ID %d, error %v", e.Bytes, e.ID, err, same.Bytes, same.ID, slowErr)
			}
			if err != nil {
				break
			}
			got = append(got, e.Bytes...)
		}
		if !strings.HasPrefix(string(text), string(got)) {
			t.Errorf("events of %q are %q, not a prefix of it", text, got)
		}
	})
}

// benchmarkReader reads a text that is repeated to a number of bytes.
func benchmarkReader(b *testing.B, text string, size int) {
	source := strings.Repeat(text, size/len(text))
	b.SetBytes(int64(len(source)))
	b.ReportAllocs()
	for b.Loop() {
		r := sse.NewReader(iotest.DataErrReader(strings.NewReader(source)))
		for {
			if _, err := r.Next(); err != nil {
				break
			}
		}
	}
}

func BenchmarkEventsThatDoNotProceed(b *testing.B) { benchmarkReader(b, ": x\n\n", 1<<20) }

func BenchmarkEventWithoutEnd(b *testing.B) { benchmarkReader(b, "x", 1<<20) }

func BenchmarkShortEvents(b *testing.B) { benchmarkReader(b, "data: token of text\n\n", 1<<20) }

// shortReads returns few bytes at each read, as a connection does.
type shortReads struct{ source io.Reader }

func (s shortReads) Read(p []byte) (int, error) { return s.source.Read(p[:min(len(p), 1<<10)]) }

func BenchmarkLongEventInShortReads(b *testing.B) {
	source := strings.Repeat("x", 1<<20)
	b.SetBytes(int64(len(source)))
	for b.Loop() {
		r := sse.NewReader(shortReads{strings.NewReader(source)})
		for {
			if _, err := r.Next(); err != nil {
				break
			}
		}
	}
}
