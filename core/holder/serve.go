package holder

import (
	"context"
	"time"

	"cicadabeam/core/answer"
	"cicadabeam/core/replication"
)

// OpenCopy creates or replaces the copy of an answer from its holder's snapshot.
func (s *AnswerStore) OpenCopy(x answer.Snapshot) replication.Result {
	id := answerID(x.Header.ID)
	a, existed := s.answers.GetOrPut(id, func() *answer.Answer { return answer.FromSnapshot(x) })
	if !existed {
		return replication.Result{Status: answer.StatusApplied}
	}
	return result(a, a.ApplySnapshot(x))
}

// AppendCopies appends batches of new pieces to the copies on this node.
func (s *AnswerStore) AppendCopies(batches []answer.Batch) []replication.Result {
	results := make([]replication.Result, 0, len(batches))
	for _, b := range batches {
		results = append(results, s.appendCopy(b))
	}
	return results
}

func (s *AnswerStore) appendCopy(b answer.Batch) replication.Result {
	a, found := s.answers.Get(answerID(b.ID))
	if !found {
		return replication.Result{Status: answer.StatusGap}
	}
	a.ResetIdle()
	return result(a, a.ApplyBatch(b))
}

func result(a *answer.Answer, s answer.Status) replication.Result {
	holder, epoch := a.Holder()
	return replication.Result{Status: s, Holder: holder, Epoch: epoch}
}

// Read serves a ReadRequest of another node. It waits until there are pieces to
// return, the answer ends or moves, or the request's deadline passes.
func (s *AnswerStore) Read(ctx context.Context, r ReadRequest) ReadReply {
	a, found := s.answers.Get(answerID(r.ID))
	if !found {
		return ReadReply{State: ReadNotFound}
	}
	if a.Header().Organisation != r.Organisation {
		return ReadReply{State: ReadForbidden}
	}
	if r.BodyHash != 0 && r.BodyHash != a.Header().BodyHash {
		return ReadReply{State: ReadBodyMismatch}
	}
	e, ok := answer.ParseEventID(r.Mark)
	if !ok || !a.MayHavePrefix(e) {
		return ReadReply{State: ReadDiverged}
	}
	a.AddReader()
	defer a.RemoveReader()
	s.ensureGenerating(a)
	return s.awaitPieces(ctx, a, e.Position(), r.Deadline(time.Now()))
}

func (s *AnswerStore) awaitPieces(ctx context.Context, a *answer.Answer, from int, until time.Time) ReadReply {
	_, startEpoch := a.Holder()
	for {
		v := a.Read(from)
		reply := ReadReply{Holder: v.Holder(), Epoch: v.Epoch(), Header: a.Header(), Pieces: v.Pieces(), Finish: v.Finish(), Usage: v.Usage()}
		if len(reply.Pieces) > 0 || reply.Finish.Done() {
			return reply
		}
		if v.Epoch() != startEpoch {
			reply.State = ReadMoved
			return reply
		}
		remaining := time.Until(until)
		if remaining <= 0 || ctx.Err() != nil {
			return reply
		}
		wait(ctx, v.Changed(), remaining)
	}
}

// TakeOver promotes the requesting node to the holder of an answer of which this
// node has a copy, provided that this node can't reach the current holder.
func (s *AnswerStore) TakeOver(ctx context.Context, r TakeOverRequest) TakeOverReply {
	a, found := s.answers.Get(answerID(r.ID))
	if !found || a.Header().Organisation != r.Organisation {
		return TakeOverReply{State: TakeOverNoCopy}
	}
	return s.takeOverLocal(ctx, a, r.Epoch, r.Holder)
}

func (s *AnswerStore) takeOverLocal(ctx context.Context, a *answer.Answer, epoch uint64, newHolder string) TakeOverReply {
	holder, currentEpoch := a.Holder()
	if currentEpoch != epoch {
		return TakeOverReply{State: TakeOverMoved, Holder: holder, Epoch: currentEpoch}
	}
	// A holder that requests its own answer has lost it in a restart.
	if holder != newHolder && (holder == s.self() || s.canReach(ctx, holder)) {
		return TakeOverReply{State: TakeOverHolderAlive, Holder: holder, Epoch: currentEpoch}
	}
	x, ok := a.Promote(epoch, newHolder)
	if !ok {
		holder, currentEpoch = a.Holder()
		return TakeOverReply{State: TakeOverMoved, Holder: holder, Epoch: currentEpoch}
	}
	if newHolder == s.self() {
		s.countTakeover()
	}
	return TakeOverReply{State: TakeOverPromoted, Holder: newHolder, Epoch: x.Epoch, Snapshot: x}
}

func (s *AnswerStore) countTakeover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeovers++
}

func (s *AnswerStore) canReach(ctx context.Context, node string) bool {
	if !s.nodes.Alive(node, time.Now()) {
		return false
	}
	c, cancel := context.WithDeadline(ctx, time.Now().Add(pingTimeout))
	defer cancel()
	return s.peers.Ping(c, node) == nil
}
