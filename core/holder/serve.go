package holder

import (
	"context"
	"time"

	"cicadabeam/core/answer"
	"cicadabeam/core/replication"
)

// OpenCopy takes the whole answer of a holder, as its replica.
func (h *Holder) OpenCopy(s answer.Snapshot) replication.Result {
	id := answerID(s.Header.ID)
	a, existed := h.answers.GetOrPut(id, func() *answer.Answer { return answer.FromSnapshot(s) })
	if !existed {
		return replication.Result{Status: answer.Applied}
	}
	return result(a, a.Adopt(s))
}

// AppendCopies takes new pieces, as the replica.
func (h *Holder) AppendCopies(all []answer.Batch) []replication.Result {
	results := make([]replication.Result, 0, len(all))
	for _, b := range all {
		results = append(results, h.appendCopy(b))
	}
	return results
}

func (h *Holder) appendCopy(b answer.Batch) replication.Result {
	a, found := h.answers.Get(answerID(b.ID))
	if !found {
		return replication.Result{Status: answer.Gap}
	}
	a.Touch()
	return result(a, a.Apply(b))
}

func result(a *answer.Answer, s answer.Status) replication.Result {
	holder, epoch := a.Holder()
	return replication.Result{Status: s, Holder: holder, Epoch: epoch}
}

// Read serves another node's reader. It waits until there is something to read
// or the request's time is over.
func (h *Holder) Read(ctx context.Context, r ReadRequest) ReadReply {
	a, found := h.answers.Get(answerID(r.ID))
	if !found {
		return ReadReply{State: ReadUnknown}
	}
	if a.Header().Organisation != r.Organisation {
		return ReadReply{State: ReadForbidden}
	}
	if r.BodyHash != 0 && r.BodyHash != a.Header().BodyHash {
		return ReadReply{State: ReadOtherBody}
	}
	m, ok := answer.ParseMark(r.Mark)
	if !ok || !a.Agrees(m) {
		return ReadReply{State: ReadDiverged}
	}
	a.Join()
	defer a.Leave()
	h.ensureProducing(a)
	return h.awaitPieces(ctx, a, m.Position(), time.UnixMilli(r.Until))
}

func (h *Holder) awaitPieces(ctx context.Context, a *answer.Answer, from int, until time.Time) ReadReply {
	_, first := a.Holder()
	for {
		v := a.Read(from)
		reply := ReadReply{Holder: v.Holder(), Epoch: v.Epoch(), Header: a.Header(), Pieces: v.Pieces(), Finish: v.Finish(), Usage: v.Usage()}
		if len(reply.Pieces) > 0 || reply.Finish.Done() {
			return reply
		}
		if v.Epoch() != first {
			reply.State = ReadMoved
			return reply
		}
		left := time.Until(until)
		if left <= 0 || ctx.Err() != nil {
			return reply
		}
		wait(ctx, v.Changed(), left)
	}
}

// TakeOver promotes another node to the holder of an answer of which this node
// has the copy, provided that the present holder can't be reached from here.
func (h *Holder) TakeOver(ctx context.Context, r TakeOverRequest) TakeOverReply {
	a, found := h.answers.Get(answerID(r.ID))
	if !found || a.Header().Organisation != r.Organisation {
		return TakeOverReply{State: NoCopy}
	}
	return h.takeOverLocal(ctx, a, r.Epoch, r.Holder)
}

func (h *Holder) takeOverLocal(ctx context.Context, a *answer.Answer, epoch uint64, to string) TakeOverReply {
	holder, now := a.Holder()
	if now != epoch {
		return TakeOverReply{State: Moved, Holder: holder, Epoch: now}
	}
	// A holder that asks for its own answer has lost it in a restart.
	if holder != to && (holder == h.self() || h.reaches(ctx, holder)) {
		return TakeOverReply{State: HolderAlive, Holder: holder, Epoch: now}
	}
	s, ok := a.Promote(epoch, to)
	if !ok {
		holder, now = a.Holder()
		return TakeOverReply{State: Moved, Holder: holder, Epoch: now}
	}
	if to == h.self() {
		h.countTakeover()
	}
	return TakeOverReply{State: Promoted, Holder: to, Epoch: s.Epoch, Snapshot: s}
}

func (h *Holder) countTakeover() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.takeovers++
}

func (h *Holder) reaches(ctx context.Context, node string) bool {
	if !h.nodes.Alive(node, time.Now()) {
		return false
	}
	c, cancel := context.WithDeadline(ctx, time.Now().Add(pingWait))
	defer cancel()
	return h.link.Ping(c, node) == nil
}
