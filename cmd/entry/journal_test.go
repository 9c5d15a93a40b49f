package entry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/io/relay"
)

// slow is an output that takes nothing until it is opened.
type slow struct {
	mu   sync.Mutex
	open chan struct{}
	got  bytes.Buffer
}

func (s *slow) Write(b []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

func TestBlockedOutputHoldsUpNobody(t *testing.T) {
	out := &slow{open: make(chan struct{})}
	j := newJournal(out)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() { j.run(done); close(ended) }()
	line := []byte(strings.Repeat("x", 199) + "\n")
	began := time.Now()
	for range 20000 { // 4 MB, four times what may wait
		if n, err := j.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("writers waited %v", d)
	}
	close(out.open)
	close(done)
	<-ended
	if !strings.Contains(out.got.String(), "lines dropped") || out.got.Len() > 3*journalBytes {
		t.Errorf("%d bytes were written, and the drop isn't told", out.got.Len())
	}
}

func TestOneKindOfLineIsBounded(t *testing.T) {
	m := newMetrics()
	defer m.close()
	var b bytes.Buffer
	j := newJournal(&b)
	r := newRecorder(newLogger(j, "info", "node-1"), m)
	for range 10000 {
		r.Record("attempt", relay.Fields{"request": "r"})
	}
	r.Record("answered", relay.Fields{"request": "r"})
	j.flush()
	text := b.String()
	if n := strings.Count(text, "message=attempt"); n < linesBurst || n > linesBurst+2*linesPerSecond {
		t.Errorf("%d of 10,000 lines were written", n)
	}
	if !strings.Contains(text, "message=answered") || !strings.Contains(text, `message="lines dropped"`) {
		t.Error("another kind is held back, or the drop isn't told")
	}
}
