package entry

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"golang.org/x/time/rate"

	"cicadabeam/io/relay"
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
	mu      sync.Mutex
	buffer  bytes.Buffer
	wake    chan struct{}
	dropped atomic.Int64
}

func newLogWriter(out io.Writer) *logWriter {
	return &logWriter{out: out, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer. b holds whole lines.
func (w *logWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buffer.Len()+len(b) > maxBufferedBytes {
		w.dropped.Add(1)
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
		b = append(b, []byte("level=warn message=\"lines dropped\" count="+itoa(n)+"\n")...)
	}
	if len(b) > 0 {
		_, _ = w.out.Write(b)
	}
}

const (
	// maxLinesPerSecond and maxLineBurst limit the log lines of each event. Under any load
	// the system is designed for, a node writes fewer. Lines beyond the limit are dropped
	// and counted.
	maxLinesPerSecond = 400
	maxLineBurst      = 2000
	// dropReportInterval is the minimum time between reports of dropped lines.
	dropReportInterval = time.Second
)

// recorder writes events to the log and counts them in the metrics.
type recorder struct {
	log             log.Interface
	metrics         *metrics
	mu              sync.Mutex
	limits          map[string]*rate.Limiter
	dropped         map[string]int
	dropsReportedAt time.Time
}

func newRecorder(l log.Interface, m *metrics) *recorder {
	return &recorder{log: l, metrics: m, limits: make(map[string]*rate.Limiter), dropped: make(map[string]int)}
}

// allow reports whether a line of an event may be written. It also returns the number of
// dropped lines by event, at most once per dropReportInterval, or else nil.
func (r *recorder) allow(event string, now time.Time) (bool, map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limits[event]
	if l == nil {
		l = rate.NewLimiter(maxLinesPerSecond, maxLineBurst)
		r.limits[event] = l
	}
	ok := l.AllowN(now, 1)
	if !ok {
		r.dropped[event]++
	}
	if len(r.dropped) == 0 || now.Sub(r.dropsReportedAt) < dropReportInterval {
		return ok, nil
	}
	dropped := r.dropped
	r.dropped = make(map[string]int)
	r.dropsReportedAt = now
	return ok, dropped
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
	ok, dropped := r.allow(event, time.Now())
	for e, n := range dropped {
		r.log.WithFields(log.Fields{"event": e, "count": n}).Warn("lines dropped")
	}
	if ok {
		r.log.WithFields(log.Fields(f)).Info(event)
	}
}
