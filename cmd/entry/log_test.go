package entry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/io/relay"
)

// blockedWriter is an output that blocks until unblocked is closed.
type blockedWriter struct {
	mu        sync.Mutex
	unblocked chan struct{}
	written   bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockedWriter{unblocked: make(chan struct{})}
	w := newLogWriter(out)
	done, finished := make(chan struct{}), make(chan struct{})
	go func() { w.run(done); close(finished) }()
	line := []byte(strings.Repeat("x", 199) + "\n")
	start := time.Now()
	for range 20000 { // 4 MB, four times maxBufferedBytes
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	if d := time.Since(start); d > time.Second {
		t.Errorf("writers were blocked for %v", d)
	}
	close(out.unblocked)
	close(done)
	<-finished
	if !strings.Contains(out.written.String(), "lines dropped") || out.written.Len() > 3*maxBufferedBytes {
		t.Errorf("%d bytes were written: too many, or without a report of the dropped lines", out.written.Len())
	}
}

func TestLinesPerEventAreLimited(t *testing.T) {
	m := newMetrics()
	defer m.close()
	var b bytes.Buffer
	w := newLogWriter(&b)
	r := newRecorder(newLogger(w, "info", "node-1"), m)
	for range 10000 {
		r.Record("attempt", relay.Fields{"request": "r"})
	}
	r.Record("answered", relay.Fields{"request": "r"})
	w.flush()
	text := b.String()
	if n := strings.Count(text, "message=attempt"); n < maxLineBurst || n > maxLineBurst+2*maxLinesPerSecond {
		t.Errorf("%d of 10,000 lines were written, want at least the burst and at most the burst plus two seconds of the rate", n)
	}
	if !strings.Contains(text, "message=answered") || !strings.Contains(text, `message="lines dropped"`) {
		t.Error("a line of another event or the report of the dropped lines is missing")
	}
}
