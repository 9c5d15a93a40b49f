package claim

import (
	"context"
	"time"

	"cicadabeam/core/fault"
)

// claim writes the claim. It returns the row's revision, or an outcome when this
// node must not send the call.
func (d *Dispatcher) claim(ctx context.Context, e *entry) (uint64, *Outcome) {
	c, cancel := context.WithDeadline(ctx, time.Now().Add(claimWait))
	defer cancel()
	var last error
	for c.Err() == nil {
		revision, ok, err := d.store.Insert(c, e.call.Key, d.row(e, Claimed))
		if err == nil && ok {
			return revision, nil
		}
		if err != nil {
			// It may have taken effect. The next try finds the row then.
			last = err
			if d.store.Away() {
				break
			}
			pause(c, storePause)
			continue
		}
		s, found, err := d.store.Read(c, e.call.Key)
		if err != nil || !found {
			last = err
			pause(c, storePause)
			continue
		}
		if s.Row.ID == e.claimID && s.Row.State == Claimed {
			return s.Revision, nil
		}
		return d.settle(ctx, e, s)
	}
	return 0, unsettled(last)
}

// unsettled is the outcome when the table could not be asked. This attempt was
// not sent, but an earlier one with the same key may have been.
func unsettled(cause error) *Outcome {
	if cause == nil {
		cause = context.DeadlineExceeded
	}
	f := fault.Wrap(cause, fault.PlatformAway, "claim", "platform").WithAttempt(fault.NotRun).WithRetry(time.Now().Add(retryAfter))
	return &Outcome{State: Abandoned, Failure: failure(f)}
}

// settle decides by the row of another claim.
func (d *Dispatcher) settle(ctx context.Context, e *entry, s Stored) (uint64, *Outcome) {
	if s.Row.BodyHash != e.call.BodyHash && s.Row.State != Abandoned {
		return 0, &Outcome{State: Abandoned, Failure: failure(keyReused())}
	}
	switch s.Row.State {
	case Done:
		return 0, done(s.Row)
	case Lost:
		return 0, lost(s.Row)
	case Abandoned:
		return d.takeOver(ctx, e, s)
	default:
		return d.ask(ctx, e, s)
	}
}

func done(r Row) *Outcome {
	if r.Response.Truncated {
		f := fault.Newf(fault.OutcomeUnknown, "repeat", r.Server, "the call ran; its response was too large to keep").WithRan(fault.DidRun)
		return &Outcome{State: Lost, Failure: failure(f)}
	}
	return &Outcome{State: Done, Response: r.Response, Server: r.Server}
}

func lost(r Row) *Outcome {
	f := fault.Newf(fault.OutcomeUnknown, "repeat", r.Server, "the call was sent and its outcome is not known; it is never sent again")
	return &Outcome{State: Lost, Server: r.Server, Failure: failure(f.WithRan(fault.Unknown))}
}

// takeOver makes an abandoned claim this node's.
func (d *Dispatcher) takeOver(ctx context.Context, e *entry, s Stored) (uint64, *Outcome) {
	c, cancel := context.WithDeadline(ctx, time.Now().Add(claimWait))
	defer cancel()
	e.created = s.Row.Created
	var last error
	for c.Err() == nil {
		revision, ok, err := d.store.Replace(c, e.call.Key, s.Revision, d.row(e, Claimed))
		if err == nil && ok {
			return revision, nil
		}
		last = err
		now, found, err := d.store.Read(c, e.call.Key)
		switch {
		case err != nil || !found:
			last = err
			pause(c, storePause)
		case now.Row.ID == e.claimID && now.Row.State == Claimed:
			return now.Revision, nil
		case now.Revision != s.Revision:
			return d.settle(c, e, now)
		}
	}
	return 0, unsettled(last)
}

// ask learns from the claiming node what became of the call.
func (d *Dispatcher) ask(ctx context.Context, e *entry, s Stored) (uint64, *Outcome) {
	for ctx.Err() == nil {
		x, err := d.askStatus(ctx, e.call.Key, s.Row)
		switch {
		case err != nil || !x.Known:
			return d.reread(ctx, e, s)
		case x.Outcome.State == Claimed:
			continue
		case x.Outcome.State == Abandoned:
			return d.takeOver(ctx, e, s)
		default:
			return 0, &x.Outcome
		}
	}
	return 0, claimantGone(s.Row)
}

func (d *Dispatcher) askStatus(ctx context.Context, key Key, r Row) (Status, error) {
	c, cancel := context.WithDeadline(ctx, time.Now().Add(askWait))
	defer cancel()
	if r.Node == d.node {
		return d.Status(c, r.Incarnation, key, r.ID), nil
	}
	return d.peers.AskCall(c, r.Node, r.Incarnation, key, r.ID)
}

// reread looks once more whether the outcome has been recorded, when the
// claiming node can't tell.
func (d *Dispatcher) reread(ctx context.Context, e *entry, s Stored) (uint64, *Outcome) {
	c, cancel := context.WithDeadline(ctx, time.Now().Add(recordWait))
	defer cancel()
	now, found, err := d.store.Read(c, e.call.Key)
	if err != nil || !found || now.Revision == s.Revision {
		return 0, claimantGone(s.Row)
	}
	return d.settle(ctx, e, now)
}

func claimantGone(r Row) *Outcome {
	f := fault.Newf(fault.OutcomeUnknown, "repeat", r.Node, "the node that claimed the call can't be asked")
	return &Outcome{State: Lost, Failure: failure(f.WithRan(fault.Unknown).WithRetry(time.Now().Add(retryAfter)))}
}
