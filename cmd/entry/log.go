package entry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"cicadabeam/cmd/linelimit"
	"cicadabeam/io/relay"
	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

const (
	// maxBufferedBytes limits the bytes waiting to be written. Further lines are dropped
	// and counted.
	maxBufferedBytes = 1 << 20
	// flushDelay is the delay before a write, so that lines are written in batches.
	flushDelay = 100 * time.Millisecond
	// finalFlushTimeout limits the final write before the process exits.
	finalFlushTimeout = time.Second
)

// logWriter writes log lines to an output without blocking the goroutines that log.
type logWriter struct {
	out     io.Writer
	node    string
	onDrop  func() // called for each dropped line
	mu      sync.Mutex
	buffer  bytes.Buffer
	wake    chan struct{}
	dropped atomic.Int64
}

func newLogWriter(out io.Writer, node string, onDrop func()) *logWriter {
	return &logWriter{out: out, node: node, onDrop: onDrop, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer. b holds whole lines.
func (w *logWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buffer.Len()+len(b) > maxBufferedBytes {
		w.dropped.Add(1)
		w.onDrop()
		return len(b), nil
	}
	w.buffer.Write(b)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

// run writes buffered lines until done is closed, and then those that remain.
func (w *logWriter) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			w.flush()
			return
		case <-w.wake:
		}
		time.Sleep(flushDelay)
		w.flush()
	}
}

func (w *logWriter) flush() {
	w.mu.Lock()
	b := append([]byte(nil), w.buffer.Bytes()...)
	w.buffer.Reset()
	w.mu.Unlock()
	if n := w.dropped.Swap(0); n > 0 {
		b = fmt.Appendf(b, "timestamp=%s level=warn message=\"lines dropped\" count=%d event=any node=%s\n", time.Now().Format(time.RFC3339Nano), n, w.node)
	}
	if len(b) > 0 {
		_, _ = w.out.Write(b)
	}
}

// dropReportInterval is the time between reports of dropped lines.
const dropReportInterval = time.Second

// recorder writes events to the log and counts them in the metrics.
type recorder struct {
	log     log.Interface
	metrics *metrics
	limit   *linelimit.Limit

	mu                sync.Mutex
	droppedReportedAt time.Time
}

func newRecorder(l log.Interface, m *metrics) *recorder {
	return &recorder{log: l, metrics: m, limit: linelimit.New()}
}

// run reports dropped lines until done is closed, also when nothing is logged any more.
func (r *recorder) run(done <-chan struct{}) {
	t := time.NewTicker(dropReportInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			r.reportDropped()
		}
	}
}

// reportDroppedIfDue reports dropped lines, at most once per dropReportInterval.
func (r *recorder) reportDroppedIfDue(now time.Time) {
	r.mu.Lock()
	due := now.Sub(r.droppedReportedAt) >= dropReportInterval
	r.mu.Unlock()
	if due {
		r.reportDropped()
	}
}

func (r *recorder) reportDropped() {
	all := r.limit.TakeDropped()
	if len(all) == 0 {
		return
	}
	r.mu.Lock()
	r.droppedReportedAt = time.Now()
	r.mu.Unlock()
	for e, n := range all {
		r.log.WithFields(log.Fields{"event": e, "count": n}).Warn("lines dropped")
	}
}

func newLogger(w *logWriter, level, node string) log.Interface {
	l := &log.Logger{Handler: logfmt.New(w), Level: log.MustParseLevel(level)}
	return l.WithField("node", node)
}

// Record implements relay.Recorder.
func (r *recorder) Record(event string, f relay.Fields) {
	r.metrics.count(event)
	if ms, found := f["ms"].(int64); found {
		r.metrics.observe(event, time.Duration(ms)*time.Millisecond)
	}
	now := time.Now()
	ok := r.limit.Allow(event, now)
	if ok {
		r.log.WithFields(log.Fields(f)).Info(event)
	} else {
		r.metrics.countDropped(event, "limit")
	}
	r.reportDroppedIfDue(now)
}
