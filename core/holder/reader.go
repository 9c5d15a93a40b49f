package holder

import (
	"context"
	"time"

	"cicadabeam/core/answer"
	"cicadabeam/core/fault"
)

const (
	// longPollWait is how long one read waits for new pieces.
	longPollWait = time.Second
	// rpcMargin is the time allowed for a call beyond the wait that it requests.
	rpcMargin = 700 * time.Millisecond
	// copyReadTimeout is how long a reader waits for a local copy to grow before
	// it asks the holder.
	copyReadTimeout = 700 * time.Millisecond
	retryDelay      = 100 * time.Millisecond
	// recoveryTimeout is how long a reader searches for an answer that no node can
	// serve.
	recoveryTimeout = 5 * time.Second
)

// Reader reads one answer, starting after an event ID, from this node or another one.
type Reader struct {
	store            *AnswerStore
	header           answer.Header
	eventID          answer.EventID
	local            *answer.Answer // the answer or a copy of it on this node, if any
	matchedEpoch     uint64         // epoch in which eventID matched the text of local
	location         location
	unreachableSince time.Time // first failure since the last successful read; zero if none
}

// localReader returns a reader of an answer or a copy on this node.
func (s *AnswerStore) localReader(a *answer.Answer, r Request) (*Reader, error) {
	if err := checkRequest(a.Header(), r); err != nil {
		return nil, err
	}
	if !a.MayHavePrefix(r.EventID) {
		return nil, divergedError(r.Header.ID)
	}
	a.AddReader()
	x := &Reader{store: s, header: a.Header(), eventID: r.EventID, local: a}
	x.location.holder, x.location.epoch = a.Holder()
	s.ensureGenerating(a)
	return x, nil
}

func (s *AnswerStore) remoteReader(ctx context.Context, l location, r Request) (*Reader, error) {
	x := &Reader{store: s, header: r.Header, eventID: r.EventID, location: l}
	reply, err := x.read(ctx, l.holder, time.Now())
	if err == nil {
		x.updateHeader(reply)
		return x, x.stateError(reply)
	}
	// A resumed request has only the answer's ID, so it needs the header from a
	// node with a copy.
	for x.header.Path == "" {
		if _, err := x.recover(ctx); err != nil {
			return nil, err
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	return x, nil
}

// updateHeader replaces the answer's header by that of the reply, if it carries one.
func (x *Reader) updateHeader(r ReadReply) {
	if r.Header.ID != "" {
		x.header = r.Header
	}
}

func (x *Reader) stateError(r ReadReply) error {
	switch r.State {
	case ReadDiverged:
		return divergedError(x.header.ID)
	case ReadBodyMismatch:
		return keyReusedError()
	case ReadForbidden:
		return notFoundError(x.header.ID)
	default:
		return nil
	}
}

// Header returns the answer's header.
func (x *Reader) Header() answer.Header { return x.header }

// EventID returns the event ID after the last piece read.
func (x *Reader) EventID() answer.EventID { return x.eventID }

// Close detaches the reader from the answer.
func (x *Reader) Close() {
	if x.local != nil {
		x.local.RemoveReader()
	}
}

// Next waits for the next pieces or the end of the answer. The error is a fault
// or that of ctx.
func (x *Reader) Next(ctx context.Context) (answer.View, error) {
	for {
		v, err := x.readOnce(ctx)
		if err != nil {
			return v, err
		}
		if err := ctx.Err(); err != nil {
			return v, err
		}
		if len(v.Pieces()) > 0 || v.Finish().Done() {
			for _, p := range v.Pieces() {
				x.eventID = x.eventID.Append(p)
			}
			return v, nil
		}
	}
}

// readOnce makes one attempt to read; an empty view means that the caller must
// try again.
func (x *Reader) readOnce(ctx context.Context) (answer.View, error) {
	if x.local == nil {
		return x.readRemote(ctx)
	}
	v := x.local.Read(x.eventID.Position())
	if !x.matchesEventID(v.Epoch()) {
		return answer.View{}, divergedError(x.header.ID)
	}
	if len(v.Pieces()) > 0 || v.Finish().Done() {
		return v, nil
	}
	if v.Holder() == x.store.self() {
		x.store.ensureGenerating(x.local)
		wait(ctx, v.Changed(), longPollWait)
		return answer.View{}, nil
	}
	return x.readLocalCopy(ctx, v)
}

// matchesEventID reports whether the local text agrees with the event ID. In each epoch it
// repeats the comparison until the text has reached its position.
func (x *Reader) matchesEventID(epoch uint64) bool {
	if x.matchedEpoch == epoch {
		return true
	}
	if x.local.HasPrefix(x.eventID) {
		x.matchedEpoch = epoch
		return true
	}
	return x.local.MayHavePrefix(x.eventID)
}

// readLocalCopy waits for this node's copy to grow. If it does not, the pieces are
// read from the holder; if that fails, this node tries to take the answer over.
func (x *Reader) readLocalCopy(ctx context.Context, v answer.View) (answer.View, error) {
	if wait(ctx, v.Changed(), copyReadTimeout) || ctx.Err() != nil {
		return answer.View{}, nil
	}
	x.location = location{holder: v.Holder(), epoch: v.Epoch()}
	r, err := x.read(ctx, v.Holder(), time.Now())
	if err == nil && r.State == ReadOK {
		x.unreachableSince = time.Time{}
		return answer.NewRemoteView(x.eventID.Position(), r.Pieces, r.Finish, r.Usage), nil
	}
	t := x.store.takeOverLocal(ctx, x.local, v.Epoch(), x.store.self())
	if t.State == TakeOverPromoted {
		x.store.ensureGenerating(x.local)
	}
	return answer.View{}, nil
}

func (x *Reader) readRemote(ctx context.Context) (answer.View, error) {
	if a, found := x.store.answers.Get(answerID(x.header.ID)); found {
		a.AddReader()
		x.local = a
		return answer.View{}, nil
	}
	r, err := x.read(ctx, x.location.holder, time.Now().Add(longPollWait))
	if err == nil {
		return x.handleReply(ctx, r)
	}
	return x.recover(ctx)
}

// handleReply turns the reply of the holder or a replica into a view or an error.
func (x *Reader) handleReply(ctx context.Context, r ReadReply) (answer.View, error) {
	if err := x.stateError(r); err != nil {
		return answer.View{}, err
	}
	x.updateHeader(r)
	switch r.State {
	case ReadMoved:
		x.location.holder, x.location.epoch = r.Holder, r.Epoch
		return answer.View{}, nil
	case ReadNotFound:
		return x.recover(ctx)
	default:
		x.unreachableSince = time.Time{}
		return answer.NewRemoteView(x.eventID.Position(), r.Pieces, r.Finish, r.Usage), nil
	}
}

// recover is called when the holder can't be read. It reads from a replica or has
// the replica promote this node to the holder.
func (x *Reader) recover(ctx context.Context) (answer.View, error) {
	if x.unreachableSince.IsZero() {
		x.unreachableSince = time.Now()
	}
	l, found := x.store.queryCandidates(ctx, x.header.ID, "", "", x.store.nodes.Self().Region)
	if found {
		x.location = l
	}
	for _, node := range x.location.copies {
		v, done, err := x.recoverVia(ctx, node)
		if done || err != nil {
			return v, err
		}
	}
	if time.Since(x.unreachableSince) > recoveryTimeout {
		f := fault.Newf(fault.NotFound, "find-answer", x.location.holder, "answer %s could not be read from its holder or from a copy", x.header.ID)
		return answer.View{}, f.WithRan(fault.RanUnknown).WithRetryAt(time.Now().Add(time.Second))
	}
	wait(ctx, nil, retryDelay)
	return answer.View{}, nil
}

func (x *Reader) recoverVia(ctx context.Context, node string) (answer.View, bool, error) {
	c, cancel := context.WithDeadline(ctx, time.Now().Add(pingTimeout+rpcMargin))
	defer cancel()
	t, err := x.store.peers.TakeOver(c, node, TakeOverRequest{
		ID: x.header.ID, Organisation: x.header.Organisation, Epoch: x.location.epoch, Holder: x.store.self(),
	})
	if err != nil {
		return answer.View{}, false, nil
	}
	switch t.State {
	case TakeOverPromoted:
		return answer.View{}, true, x.becomeHolder(t.Snapshot)
	case TakeOverMoved:
		x.location.holder, x.location.epoch = t.Holder, t.Epoch
		return answer.View{}, true, nil
	case TakeOverHolderAlive:
		r, err := x.read(ctx, node, time.Now().Add(longPollWait))
		if err != nil {
			return answer.View{}, false, nil
		}
		if r.State == ReadMoved {
			return answer.View{}, true, nil
		}
		v, err := x.handleReply(ctx, r)
		return v, true, err
	default:
		return answer.View{}, false, nil
	}
}

// becomeHolder stores the snapshot and continues the answer on this node.
func (x *Reader) becomeHolder(s answer.Snapshot) error {
	if x.header.BodyHash != 0 && x.header.BodyHash != s.Header.BodyHash {
		return keyReusedError()
	}
	a, _ := x.store.answers.GetOrPut(answerID(x.header.ID), func() *answer.Answer { return answer.FromSnapshot(s) })
	a.AddReader()
	x.local = a
	x.header = a.Header()
	x.store.countTakeover()
	x.store.ensureGenerating(a)
	return nil
}

func (x *Reader) read(ctx context.Context, node string, until time.Time) (ReadReply, error) {
	if node == x.store.self() || !x.store.nodes.Alive(node, time.Now()) {
		return ReadReply{}, fault.New(fault.PeerUnavailable, "read-answer", node)
	}
	c, cancel := context.WithDeadline(ctx, until.Add(rpcMargin))
	defer cancel()
	return x.store.peers.Read(c, node, ReadRequest{
		ID: x.header.ID, Organisation: x.header.Organisation, BodyHash: x.header.BodyHash,
		Mark: x.eventID.String(), Wait: time.Until(until).Milliseconds(),
	})
}

// wait reports whether c was closed before ctx was done or the timeout expired.
func wait(ctx context.Context, c <-chan struct{}, timeout time.Duration) bool {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-c:
		return true
	case <-ctx.Done():
		return false
	case <-t.C:
		return false
	}
}
