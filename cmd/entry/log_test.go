package entry

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabeam/cmd/linelimit"
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
	var dropped atomic.Int64
	w := newLogWriter(out, "node-1", func() { dropped.Add(1) })
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
	if n := dropped.Load(); n < 10000 || !strings.Contains(out.written.String(), fmt.Sprintf("count=%d ", n)) {
		t.Errorf("%d lines were counted as dropped, and the report says %q", n, out.written.String()[max(0, out.written.Len()-200):])
	}
}

func TestLinesPerEventAreLimited(t *testing.T) {
	m := newMetrics()
	defer m.close()
	var b bytes.Buffer
	w := newLogWriter(&b, "node-1", func() {})
	r := newRecorder(newLogger(w, "info", "node-1"), m)
	for range 10000 {
		r.Record("attempt", relay.Fields{"request": "r"})
	}
	r.Record("answered", relay.Fields{"request": "r"})
	w.flush()
	text := b.String()
	if n := strings.Count(text, "message=attempt"); n < linelimit.MaxLineBurst || n > linelimit.MaxLineBurst+2*linelimit.MaxLinesPerSecond {
		t.Errorf("%d of 10,000 lines were written, want at least the burst and at most the burst plus two seconds of the rate", n)
	}
	if !strings.Contains(text, "message=answered") || !strings.Contains(text, `message="lines dropped"`) {
		t.Error("a line of another event or the report of the dropped lines is missing")
	}
}

var droppedLine = regexp.MustCompile(`message="lines dropped" count=(\d+) event=attempt`)

// Guards against lines of which nobody hears because nothing is logged after the burst, and
// against lines that no metric counts.
func TestDroppedLinesAreReportedAtTheEndOfTheBurst(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := &metrics{scope: scope, counters: make(map[string]tally.Counter), histograms: make(map[string]tally.Histogram)}
	var b bytes.Buffer
	w := newLogWriter(&b, "node-1", func() {})
	r := newRecorder(newLogger(w, "info", "node-1"), m)
	done := make(chan struct{})
	defer close(done)
	go r.run(done)
	const lines = 10000
	for range lines {
		r.Record("attempt", relay.Fields{"request": "r"})
	}
	time.Sleep(dropReportInterval + 200*time.Millisecond)
	w.flush()
	reported := 0
	for _, x := range droppedLine.FindAllStringSubmatch(b.String(), -1) {
		n, _ := strconv.Atoi(x[1])
		reported += n
	}
	if written := strings.Count(b.String(), "message=attempt"); written+reported != lines {
		t.Errorf("%d lines were written and %d reported as dropped, want %d together", written, reported, lines)
	}
	counted := scope.Snapshot().Counters()["log_lines_dropped+event=attempt,reason=limit"]
	if counted == nil || counted.Value() != int64(reported) {
		t.Errorf("the metric counts %v dropped lines, want %d", counted, reported)
	}
}
