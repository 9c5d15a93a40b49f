package holder

import (
	"context"
	"time"

	"cicadabeam/core/answer"
	"cicadabeam/core/fault"
)

const (
	remoteReadWait  = time.Second
	remoteReadSlack = 700 * time.Millisecond
	copySilence     = 700 * time.Millisecond
	retryWait       = 100 * time.Millisecond
	// lostWait is how long a reader looks for an answer that nobody seems to have.
	lostWait = 5 * time.Second
)

// Reader reads one answer from a mark on, wherever the answer is.
type Reader struct {
	holder *Holder
	header answer.Header
	mark   answer.Mark
	local  *answer.Answer // the answer or a copy of it on this node, if any
	agreed uint64         // epoch under which the mark was found in local
	place  place
	missed time.Time // since when no node could be read
}

// reader returns a reader of an answer on this node.
func (h *Holder) reader(a *answer.Answer, r Request) (*Reader, error) {
	if err := checkReader(a.Header(), r); err != nil {
		return nil, err
	}
	if !a.Agrees(r.Mark) {
		return nil, diverged(r.Header.ID)
	}
	a.Join()
	x := &Reader{holder: h, header: a.Header(), mark: r.Mark, local: a}
	x.place.holder, x.place.epoch = a.Holder()
	h.ensureProducing(a)
	return x, nil
}

func (h *Holder) remoteReader(ctx context.Context, p place, r Request) (*Reader, error) {
	x := &Reader{holder: h, header: r.Header, mark: r.Mark, place: p}
	reply, err := x.read(ctx, p.holder, time.Now())
	if err == nil {
		x.learn(reply)
		return x, x.refusal(reply)
	}
	// A caller who comes back with the id alone needs the header from a copy.
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

// learn takes the answer's header from who has it.
func (x *Reader) learn(r ReadReply) {
	if r.Header.ID != "" {
		x.header = r.Header
	}
}

func (x *Reader) refusal(r ReadReply) error {
	switch r.State {
	case ReadDiverged:
		return diverged(x.header.ID)
	case ReadOtherBody:
		return otherBody()
	case ReadForbidden:
		return noAnswer(x.header.ID)
	default:
		return nil
	}
}

// Header returns what stays the same about the answer.
func (x *Reader) Header() answer.Header { return x.header }

// Mark returns the prefix that was read so far.
func (x *Reader) Mark() answer.Mark { return x.mark }

// Close ends the reading.
func (x *Reader) Close() {
	if x.local != nil {
		x.local.Leave()
	}
}

// Next waits for the next pieces or the end. The error is a fault or that of
// ctx.
func (x *Reader) Next(ctx context.Context) (answer.View, error) {
	for {
		v, err := x.step(ctx)
		if err != nil {
			return v, err
		}
		if err := ctx.Err(); err != nil {
			return v, err
		}
		if len(v.Pieces()) > 0 || v.Finish().Done() {
			for _, p := range v.Pieces() {
				x.mark = x.mark.Next(p)
			}
			return v, nil
		}
	}
}

// step reads once; an empty view means to try again.
func (x *Reader) step(ctx context.Context) (answer.View, error) {
	if x.local == nil {
		return x.stepRemote(ctx)
	}
	v := x.local.Read(x.mark.Position())
	if !x.agrees(v.Epoch()) {
		return answer.View{}, diverged(x.header.ID)
	}
	if len(v.Pieces()) > 0 || v.Finish().Done() {
		return v, nil
	}
	if v.Holder() == x.holder.self() {
		x.holder.ensureProducing(x.local)
		wait(ctx, v.Changed(), remoteReadWait)
		return answer.View{}, nil
	}
	return x.stepCopy(ctx, v)
}

// agrees compares the mark with the text on this node, anew for each epoch until
// the text has reached the mark.
func (x *Reader) agrees(epoch uint64) bool {
	if x.agreed == epoch {
		return true
	}
	if x.local.Matches(x.mark) {
		x.agreed = epoch
		return true
	}
	return x.local.Agrees(x.mark)
}

// stepCopy waits on a copy that this node keeps; when nothing comes, its holder
// is asked for, and replaced if it is dead.
func (x *Reader) stepCopy(ctx context.Context, v answer.View) (answer.View, error) {
	if wait(ctx, v.Changed(), copySilence) || ctx.Err() != nil {
		return answer.View{}, nil
	}
	x.place = place{holder: v.Holder(), epoch: v.Epoch()}
	r, err := x.read(ctx, v.Holder(), time.Now())
	if err == nil && r.State == ReadOK {
		x.missed = time.Time{}
		return answer.NewView(x.mark.Position(), r.Pieces, r.Finish, r.Usage), nil
	}
	t := x.holder.takeOverLocal(ctx, x.local, v.Epoch(), x.holder.self())
	if t.State == Promoted {
		x.holder.ensureProducing(x.local)
	}
	return answer.View{}, nil
}

func (x *Reader) stepRemote(ctx context.Context) (answer.View, error) {
	if a, found := x.holder.answers.Get(answerID(x.header.ID)); found {
		a.Join()
		x.local = a
		return answer.View{}, nil
	}
	r, err := x.read(ctx, x.place.holder, time.Now().Add(remoteReadWait))
	if err == nil {
		return x.accept(ctx, r)
	}
	return x.recover(ctx)
}

// accept takes what the holder said.
func (x *Reader) accept(ctx context.Context, r ReadReply) (answer.View, error) {
	if err := x.refusal(r); err != nil {
		return answer.View{}, err
	}
	x.learn(r)
	switch r.State {
	case ReadMoved:
		x.place.holder, x.place.epoch = r.Holder, r.Epoch
		return answer.View{}, nil
	case ReadUnknown:
		return x.recover(ctx)
	default:
		x.missed = time.Time{}
		return answer.NewView(x.mark.Position(), r.Pieces, r.Finish, r.Usage), nil
	}
}

// recover reads through a copy, or takes the answer over with its help.
func (x *Reader) recover(ctx context.Context) (answer.View, error) {
	if x.missed.IsZero() {
		x.missed = time.Now()
	}
	p, found := x.holder.ask(ctx, x.header.ID, "", "", x.holder.nodes.Self().Region)
	if found {
		x.place = p
	}
	for _, node := range x.place.copies {
		v, done, err := x.recoverWith(ctx, node)
		if done || err != nil {
			return v, err
		}
	}
	if time.Since(x.missed) > lostWait {
		f := fault.Newf(fault.NotFound, "find-answer", x.place.holder, "the nodes that had the answer %s are gone", x.header.ID)
		return answer.View{}, f.WithRan(fault.Unknown).WithRetry(time.Now().Add(time.Second))
	}
	wait(ctx, nil, retryWait)
	return answer.View{}, nil
}

func (x *Reader) recoverWith(ctx context.Context, node string) (answer.View, bool, error) {
	c, cancel := context.WithDeadline(ctx, time.Now().Add(pingWait+remoteReadSlack))
	defer cancel()
	t, err := x.holder.link.TakeOver(c, node, TakeOverRequest{
		ID: x.header.ID, Organisation: x.header.Organisation, Epoch: x.place.epoch, Holder: x.holder.self(),
	})
	if err != nil {
		return answer.View{}, false, nil
	}
	switch t.State {
	case Promoted:
		return answer.View{}, true, x.adopt(t.Snapshot)
	case Moved:
		x.place.holder, x.place.epoch = t.Holder, t.Epoch
		return answer.View{}, true, nil
	case HolderAlive:
		r, err := x.read(ctx, node, time.Now().Add(remoteReadWait))
		if err != nil {
			return answer.View{}, false, nil
		}
		if r.State == ReadMoved {
			return answer.View{}, true, nil
		}
		v, err := x.accept(ctx, r)
		return v, true, err
	default:
		return answer.View{}, false, nil
	}
}

// adopt makes this node the holder.
func (x *Reader) adopt(s answer.Snapshot) error {
	if x.header.BodyHash != 0 && x.header.BodyHash != s.Header.BodyHash {
		return otherBody()
	}
	a, _ := x.holder.answers.GetOrPut(answerID(x.header.ID), func() *answer.Answer { return answer.FromSnapshot(s) })
	a.Join()
	x.local = a
	x.header = a.Header()
	x.holder.countTakeover()
	x.holder.ensureProducing(a)
	return nil
}

func (x *Reader) read(ctx context.Context, node string, until time.Time) (ReadReply, error) {
	if node == x.holder.self() || !x.holder.nodes.Alive(node, time.Now()) {
		return ReadReply{}, fault.New(fault.PeerAway, "read-answer", node)
	}
	c, cancel := context.WithDeadline(ctx, until.Add(remoteReadSlack))
	defer cancel()
	return x.holder.link.Read(c, node, ReadRequest{
		ID: x.header.ID, Organisation: x.header.Organisation, BodyHash: x.header.BodyHash,
		Mark: x.mark.String(), Until: until.UnixMilli(),
	})
}

// wait returns true when c is closed before the time is over.
func wait(ctx context.Context, c <-chan struct{}, most time.Duration) bool {
	t := time.NewTimer(most)
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
