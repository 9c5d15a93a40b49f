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

// holderState is a node that is or was the holder of the answer.
type holderState struct {
	name     string
	answer   *answer.Answer
	epoch    uint64
	appended int
	eventID  answer.EventID // of the pieces that its reader has received
	from     int            // number of pieces that its reader has received
}

// transfer is a batch or snapshot in transit from a holder to the replica. It may
// be delayed, duplicated or lost.
type transfer struct {
	holder   *holderState
	batch    answer.Batch
	snapshot *answer.Snapshot
}

func (t transfer) applyTo(to *answer.Answer) answer.Status {
	if t.snapshot != nil {
		return to.ApplySnapshot(*t.snapshot)
	}
	return to.ApplyBatch(t.batch)
}

// machine is a model of one answer with one replica and a succession of holders.
type machine struct {
	replica    *answer.Answer
	holders    []*holderState
	inFlight   []transfer
	endedEpoch uint64 // epoch in which the replica had the finish, 0 if it had none
}

func newMachine() *machine {
	h := answer.Header{ID: "a"}
	first := &holderState{name: "n1", answer: answer.New(h, "n1", 1), epoch: 1}
	return &machine{replica: answer.FromSnapshot(first.answer.Snapshot()), holders: []*holderState{first}}
}

func (m *machine) drawHolder(t *rapid.T) *holderState {
	return rapid.SampledFrom(m.holders).Draw(t, "holder")
}

// appendPiece appends a piece to a holder. The text of each piece is unique to its holder.
func (m *machine) appendPiece(t *rapid.T) {
	h := m.drawHolder(t)
	h.appended++
	h.answer.Append(h.epoch, fmt.Sprintf(" %s.%d", h.name, h.appended), answer.Usage{Completion: h.appended})
}

// sendBatch puts the holder's pending pieces in transit.
func (m *machine) sendBatch(t *rapid.T) {
	h := m.drawHolder(t)
	if b, more := h.answer.Unreplicated(); more {
		m.inFlight = append(m.inFlight, transfer{holder: h, batch: b})
	}
}

// sendSnapshot puts a snapshot in transit, as for a new replica.
func (m *machine) sendSnapshot(t *rapid.T) {
	h := m.drawHolder(t)
	s := h.answer.Snapshot()
	if s.Epoch == h.epoch {
		m.inFlight = append(m.inFlight, transfer{holder: h, batch: s.Batch, snapshot: &s})
	}
}

// deliver hands a transfer to the replica, may keep it in transit for a duplicate
// delivery, and may lose the response.
func (m *machine) deliver(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "batch")
	x := m.inFlight[i]
	if !rapid.Bool().Draw(t, "again") {
		m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
	}
	status := x.applyTo(m.replica)
	if rapid.Bool().Draw(t, "answer lost") {
		return
	}
	switch status {
	case answer.StatusApplied:
		x.holder.answer.Acknowledge(x.batch)
	case answer.StatusStale:
		name, epoch := m.replica.Holder()
		x.holder.answer.Supersede(name, epoch)
	}
}

// promote makes a new node the holder under the next epoch.
func (m *machine) promote(t *rapid.T) {
	_, epoch := m.replica.Holder()
	name := fmt.Sprint("n", len(m.holders)+1)
	s, ok := m.replica.Promote(epoch, name)
	if !ok {
		t.Fatal("replica rejected a promotion at its own epoch")
	}
	m.holders = append(m.holders, &holderState{name: name, answer: answer.FromSnapshot(s), epoch: s.Epoch})
}

func (m *machine) end(t *rapid.T) {
	h := m.drawHolder(t)
	h.answer.End(h.epoch, answer.Finish{Reason: "stop"}, answer.Usage{})
}

// check verifies three invariants: the replica never loses a finish within an
// epoch, the pieces released by any earlier holder are a prefix of the newest
// holder's text, and a reader's event ID matches the pieces it has received.
func (m *machine) check(t *rapid.T) {
	_, epoch := m.replica.Holder()
	if _, _, done := m.replica.Progress(); done {
		m.endedEpoch = epoch
	} else if m.endedEpoch == epoch {
		t.Fatalf("replica lost the finish that it had in epoch %d", epoch)
	}
	newest := m.holders[len(m.holders)-1].answer.Text()
	for _, h := range m.holders[:len(m.holders)-1] {
		if released := text(h.answer); !strings.HasPrefix(newest, released) {
			t.Fatalf("%s released %q, which is not a prefix of the newest holder's text %q", h.name, released, newest)
		}
	}
	for _, h := range m.holders {
		v := h.answer.Read(h.from)
		for _, p := range v.Pieces() {
			h.eventID = h.eventID.Append(p)
			h.from++
		}
		if !h.answer.HasPrefix(h.eventID) {
			t.Fatalf("%s: reader's event ID does not match the released pieces", h.name)
		}
	}
}

func text(a *answer.Answer) string { return strings.Join(a.Read(0).Pieces(), "") }

func TestSuccessiveHolders(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newMachine()
		r.Repeat(map[string]func(*rapid.T){
			"push": m.appendPiece, "push again": m.appendPiece, "send": m.sendBatch, "open": m.sendSnapshot, "arrive": m.deliver, "arrive again": m.deliver,
			"promote": m.promote, "end": m.end, "": m.check,
		})
	})
}

// Event IDs are equal only for equal lists of pieces, and String and ParseEventID are
// inverse to each other.
func TestEventIDs(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a := rapid.SliceOf(rapid.String()).Draw(r, "a")
		b := rapid.SliceOf(rapid.String()).Draw(r, "b")
		x, y := eventIDOfPieces(a), eventIDOfPieces(b)
		if (x == y) != (strings.Join(a, "\x00") == strings.Join(b, "\x00") && len(a) == len(b)) {
			r.Fatalf("got event IDs %v and %v for pieces %q and %q", x, y, a, b)
		}
		if got, ok := answer.ParseEventID(x.String()); !ok || got != x {
			r.Fatalf("event ID %v parsed as %v", x, got)
		}
	})
}

func eventIDOfPieces(pieces []string) answer.EventID {
	e := answer.EventID{}
	for _, p := range pieces {
		e = e.Append(p)
	}
	return e
}

func FuzzParseEventID(f *testing.F) {
	f.Add("0-0")
	f.Add("-1-ff")
	f.Add("9999999999999999999-")
	f.Fuzz(func(t *testing.T, id string) {
		e, ok := answer.ParseEventID(id)
		if ok && e.Position() < 0 {
			t.Fatal("ParseEventID accepted a negative position")
		}
	})
}
