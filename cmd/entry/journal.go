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
	// journalBytes bounds what waits to be written; further lines are dropped and
	// counted.
	journalBytes = 1 << 20
	// journalPause gathers lines, so that they are written with one call.
	journalPause = 100 * time.Millisecond
	// flushWait bounds the last write of a process.
	flushWait = time.Second
)

// journal writes lines without ever making their writers wait.
type journal struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  bytes.Buffer
	wake    chan struct{}
	dropped atomic.Int64
}

func newJournal(out io.Writer) *journal { return &journal{out: out, wake: make(chan struct{}, 1)} }

// Write implements io.Writer. It takes whole lines.
func (j *journal) Write(b []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.buffer.Len()+len(b) > journalBytes {
		j.dropped.Add(1)
		return len(b), nil
	}
	j.buffer.Write(b)
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

// run writes until done, and then what is left.
func (j *journal) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			j.flush()
			return
		case <-j.wake:
		}
		time.Sleep(journalPause)
		j.flush()
	}
}

func (j *journal) flush() {
	j.mu.Lock()
	b := append([]byte(nil), j.buffer.Bytes()...)
	j.buffer.Reset()
	j.mu.Unlock()
	if n := j.dropped.Swap(0); n > 0 {
		b = append(b, []byte("level=warn message=\"lines dropped\" count="+itoa(n)+"\n")...)
	}
	if len(b) > 0 {
		_, _ = j.out.Write(b)
	}
}

const (
	// linesPerSecond and linesBurst bound the lines of one kind of event. Under any
	// load that the system is made for a node writes fewer; what is more is counted.
	linesPerSecond = 400
	linesBurst     = 2000
	// droppedPeriod is how often the dropped lines are told.
	droppedPeriod = time.Second
)

// recorder turns decisions into lines and counts them.
type recorder struct {
	log     log.Interface
	metrics *metrics
	mu      sync.Mutex
	limits  map[string]*rate.Limiter
	dropped map[string]int
	told    time.Time
}

func newRecorder(l log.Interface, m *metrics) *recorder {
	return &recorder{log: l, metrics: m, limits: make(map[string]*rate.Limiter), dropped: make(map[string]int)}
}

// allowed tells whether a line of a kind may be written, and returns the kinds whose
// lines were dropped, now and then.
func (r *recorder) allowed(event string, now time.Time) (bool, map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limits[event]
	if l == nil {
		l = rate.NewLimiter(linesPerSecond, linesBurst)
		r.limits[event] = l
	}
	ok := l.AllowN(now, 1)
	if !ok {
		r.dropped[event]++
	}
	if len(r.dropped) == 0 || now.Sub(r.told) < droppedPeriod {
		return ok, nil
	}
	told := r.dropped
	r.dropped = make(map[string]int)
	r.told = now
	return ok, told
}

func newLogger(j *journal, level, node string) log.Interface {
	l := &log.Logger{Handler: logfmt.New(j), Level: log.MustParseLevel(level)}
	return l.WithField("node", node)
}

// Record implements relay.Recorder.
func (r *recorder) Record(event string, f relay.Fields) {
	r.metrics.count(event)
	if ms, found := f["ms"].(int64); found {
		r.metrics.took(event, time.Duration(ms)*time.Millisecond)
	}
	ok, dropped := r.allowed(event, time.Now())
	for kind, n := range dropped {
		r.log.WithFields(log.Fields{"event": kind, "count": n}).Warn("lines dropped")
	}
	if ok {
		r.log.WithFields(log.Fields(f)).Info(event)
	}
}
