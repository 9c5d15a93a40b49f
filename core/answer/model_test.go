package answer_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cicadabeam/core/answer"
)

const (
	fixedSeed   = "20261204"
	fixedChecks = "5000"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("MODEL") == "" {
		_ = flag.Set("rapid.seed", fixedSeed)
		_ = flag.Set("rapid.checks", fixedChecks)
	}
	os.Exit(m.Run())
}

// nodeState is a holder of an answer, present or former.
type nodeState struct {
	name   string
	answer *answer.Answer
	epoch  uint64
	pushed int
	mark   answer.Mark // of its own reader
	from   int
}

// copying is a batch or the whole answer on its way; it may arrive late, twice or
// never.
type copying struct {
	holder   *nodeState
	batch    answer.Batch
	snapshot *answer.Snapshot
}

func (c copying) deliver(to *answer.Answer) answer.Status {
	if c.snapshot != nil {
		return to.Adopt(*c.snapshot)
	}
	return to.Apply(c.batch)
}

// machine is one answer with one replica and the holders that follow one another.
type machine struct {
	replica *answer.Answer
	holders []*nodeState
	flying  []copying
	ended   uint64 // epoch under which the replica had the end, 0 for none
}

func newMachine() *machine {
	h := answer.Header{ID: "a"}
	first := &nodeState{name: "n1", answer: answer.New(h, "n1", 1), epoch: 1}
	return &machine{replica: answer.FromSnapshot(first.answer.Snapshot()), holders: []*nodeState{first}}
}

func (m *machine) pick(t *rapid.T) *nodeState { return rapid.SampledFrom(m.holders).Draw(t, "holder") }

// push lets a holder's engine send a piece; each holder's pieces are its own.
func (m *machine) push(t *rapid.T) {
	h := m.pick(t)
	h.pushed++
	h.answer.Push(h.epoch, fmt.Sprintf(" %s.%d", h.name, h.pushed), answer.Usage{Completion: h.pushed})
}

func (m *machine) send(t *rapid.T) {
	h := m.pick(t)
	if b, more := h.answer.Pending(); more {
		m.flying = append(m.flying, copying{holder: h, batch: b})
	}
}

// open sends the whole answer, as to a new replica.
func (m *machine) open(t *rapid.T) {
	h := m.pick(t)
	s := h.answer.Snapshot()
	if s.Epoch == h.epoch {
		m.flying = append(m.flying, copying{holder: h, batch: s.Batch, snapshot: &s})
	}
}

// arrive delivers a batch and, perhaps, its acknowledgement.
func (m *machine) arrive(t *rapid.T) {
	if len(m.flying) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.flying)-1).Draw(t, "batch")
	c := m.flying[i]
	if !rapid.Bool().Draw(t, "again") {
		m.flying = append(m.flying[:i:i], m.flying[i+1:]...)
	}
	status := c.deliver(m.replica)
	if rapid.Bool().Draw(t, "answer lost") {
		return
	}
	switch status {
	case answer.Applied:
		c.holder.answer.Acknowledge(c.batch)
	case answer.Stale:
		name, epoch := m.replica.Holder()
		c.holder.answer.Supersede(name, epoch)
	}
}

// promote makes a new node the holder.
func (m *machine) promote(t *rapid.T) {
	_, epoch := m.replica.Holder()
	name := fmt.Sprint("n", len(m.holders)+1)
	s, ok := m.replica.Promote(epoch, name)
	if !ok {
		t.Fatal("the replica refused its own epoch")
	}
	m.holders = append(m.holders, &nodeState{name: name, answer: answer.FromSnapshot(s), epoch: s.Epoch})
}

func (m *machine) end(t *rapid.T) {
	h := m.pick(t)
	h.answer.End(h.epoch, answer.Finish{Reason: "stop"}, answer.Usage{})
}

// check: what any holder has released is a beginning of what the newest one goes
// on from, and a reader's mark always names what it was given.
func (m *machine) check(t *rapid.T) {
	_, epoch := m.replica.Holder()
	if _, _, done := m.replica.Progress(); done {
		m.ended = epoch
	} else if m.ended == epoch {
		t.Fatalf("the replica had the end under epoch %d and has it no more", epoch)
	}
	newest := m.holders[len(m.holders)-1].answer.Text()
	for _, h := range m.holders[:len(m.holders)-1] {
		if released := text(h.answer); !strings.HasPrefix(newest, released) {
			t.Fatalf("%s released %q; %q goes on", h.name, released, newest)
		}
	}
	for _, h := range m.holders {
		v := h.answer.Read(h.from)
		for _, p := range v.Pieces() {
			h.mark = h.mark.Next(p)
			h.from++
		}
		if !h.answer.Matches(h.mark) {
			t.Fatalf("%s took back what its reader had", h.name)
		}
	}
}

func text(a *answer.Answer) string { return strings.Join(a.Read(0).Pieces(), "") }

func TestHoldersFollowOneAnother(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newMachine()
		r.Repeat(map[string]func(*rapid.T){
			"push": m.push, "push again": m.push, "send": m.send, "open": m.open, "arrive": m.arrive, "arrive again": m.arrive,
			"promote": m.promote, "end": m.end, "": m.check,
		})
	})
}

// Event ids of different texts differ, and survive their way as text.
func TestMarks(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a := rapid.SliceOf(rapid.String()).Draw(r, "a")
		b := rapid.SliceOf(rapid.String()).Draw(r, "b")
		x, y := markOf(a), markOf(b)
		if (x == y) != (strings.Join(a, "\x00") == strings.Join(b, "\x00") && len(a) == len(b)) {
			r.Fatalf("marks %v and %v of %q and %q", x, y, a, b)
		}
		if got, ok := answer.ParseMark(x.String()); !ok || got != x {
			r.Fatalf("%v came back as %v", x, got)
		}
	})
}

func markOf(pieces []string) answer.Mark {
	m := answer.Mark{}
	for _, p := range pieces {
		m = m.Next(p)
	}
	return m
}

func FuzzParseMark(f *testing.F) {
	f.Add("0-0")
	f.Add("-1-ff")
	f.Add("9999999999999999999-")
	f.Fuzz(func(t *testing.T, id string) {
		m, ok := answer.ParseMark(id)
		if ok && m.Position() < 0 {
			t.Fatal("negative position")
		}
	})
}
