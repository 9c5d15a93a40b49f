package claim

import (
	"context"
	"time"

	"cicadabeam/core/fault"
	"cicadabeam/core/freshness"
)

// claim inserts the claim into the table. It returns the row's revision, or an
// outcome when this node must not send the call.
func (d *Dispatcher) claim(ctx context.Context, e *callEntry) (freshness.StoreVersion, *Outcome) {
	c, cancel := context.WithDeadline(ctx, time.Now().Add(claimTimeout))
	defer cancel()
	var lastErr error
	for c.Err() == nil {
		revision, ok, err := d.store.Insert(c, e.call.Key, d.row(e, Claimed))
		if err == nil && ok {
			return revision, nil
		}
		if err != nil {
			// The write may have taken effect; if so, the next attempt finds the row.
			lastErr = err
			if d.store.Unavailable() {
				break
			}
			sleep(c, storeRetryInterval)
			continue
		}
		v, found, err := d.store.Read(c, e.call.Key)
		if err != nil || !found {
			lastErr = err
			sleep(c, storeRetryInterval)
			continue
		}
		if v.Row.ID == e.claimID && v.Row.State == Claimed {
			return v.Revision, nil
		}
		return d.resolve(ctx, e, v)
	}
	return freshness.StoreVersion{}, unresolved(lastErr)
}

// unresolved returns the outcome for a claim that could not be written or read.
// This attempt was not sent, but an earlier one with the same key may have been.
func unresolved(cause error) *Outcome {
	if cause == nil {
		cause = context.DeadlineExceeded
	}
	f := fault.Wrap(cause, fault.PlatformUnavailable, "claim", "platform").WithAttempt(fault.NotRun).WithRetryAt(time.Now().Add(retryAfter))
	return &Outcome{State: Abandoned, Failure: failure(f)}
}

// resolve decides from the existing row of another claim. It returns the outcome, or,
// after taking over an abandoned claim, the revision with which this node may send the
// call.
func (d *Dispatcher) resolve(ctx context.Context, e *callEntry, v VersionedRow) (freshness.StoreVersion, *Outcome) {
	if v.Row.BodyHash != e.call.BodyHash && v.Row.State != Abandoned {
		return freshness.StoreVersion{}, &Outcome{State: Abandoned, Failure: failure(keyReused())}
	}
	switch v.Row.State {
	case Done:
		return freshness.StoreVersion{}, doneOutcome(v.Row)
	case Lost:
		return freshness.StoreVersion{}, lostOutcome(v.Row)
	case Abandoned:
		return d.takeOver(ctx, e, v)
	default:
		return d.queryClaimant(ctx, e, v)
	}
}

func doneOutcome(r Row) *Outcome {
	if r.Response.Truncated {
		f := fault.Newf(fault.OutcomeUnknown, "repeat", r.Server, "the call ran; its response was too large to store").WithRan(fault.DidRun)
		return &Outcome{State: Lost, Failure: failure(f)}
	}
	return &Outcome{State: Done, Response: r.Response, Server: r.Server}
}

func lostOutcome(r Row) *Outcome {
	f := fault.Newf(fault.OutcomeUnknown, "repeat", r.Server, "the call was sent and its outcome is unknown; it will not be sent again")
	return &Outcome{State: Lost, Server: r.Server, Failure: failure(f.WithRan(fault.RanUnknown))}
}

// takeOver replaces an abandoned claim with a claim of this node.
func (d *Dispatcher) takeOver(ctx context.Context, e *callEntry, v VersionedRow) (freshness.StoreVersion, *Outcome) {
	c, cancel := context.WithDeadline(ctx, time.Now().Add(claimTimeout))
	defer cancel()
	e.created = v.Row.Created
	var lastErr error
	for c.Err() == nil {
		revision, ok, err := d.store.Replace(c, e.call.Key, v.Revision, d.row(e, Claimed))
		if err == nil && ok {
			return revision, nil
		}
		lastErr = err
		current, found, err := d.store.Read(c, e.call.Key)
		switch {
		case err != nil || !found:
			lastErr = err
			sleep(c, storeRetryInterval)
		case current.Row.ID == e.claimID && current.Row.State == Claimed:
			return current.Revision, nil
		case current.Revision != v.Revision:
			return d.resolve(c, e, current)
		}
	}
	return freshness.StoreVersion{}, unresolved(lastErr)
}

// queryClaimant queries the claiming node for the outcome of the call until the
// call has ended or ctx is done.
func (d *Dispatcher) queryClaimant(ctx context.Context, e *callEntry, v VersionedRow) (freshness.StoreVersion, *Outcome) {
	for ctx.Err() == nil {
		x, err := d.claimantStatus(ctx, e.call.Key, v.Row)
		switch {
		case err != nil || !x.Known:
			return d.rereadRow(ctx, e, v)
		case x.Outcome.State == Claimed:
			continue
		case x.Outcome.State == Abandoned:
			return d.takeOver(ctx, e, v)
		default:
			return freshness.StoreVersion{}, &x.Outcome
		}
	}
	return freshness.StoreVersion{}, claimantUnavailable(v.Row)
}

func (d *Dispatcher) claimantStatus(ctx context.Context, key Key, r Row) (Status, error) {
	c, cancel := context.WithDeadline(ctx, time.Now().Add(statusTimeout))
	defer cancel()
	if r.Node == d.node {
		return d.Status(c, r.Incarnation, key, r.ID), nil
	}
	return d.peers.CallStatus(c, r.Node, r.Incarnation, key, r.ID)
}

// rereadRow reads the row once more when the claiming node cannot report the
// outcome, in case it has been recorded in the meantime.
func (d *Dispatcher) rereadRow(ctx context.Context, e *callEntry, v VersionedRow) (freshness.StoreVersion, *Outcome) {
	c, cancel := context.WithDeadline(ctx, time.Now().Add(recordTimeout))
	defer cancel()
	current, found, err := d.store.Read(c, e.call.Key)
	if err != nil || !found || current.Revision == v.Revision {
		return freshness.StoreVersion{}, claimantUnavailable(v.Row)
	}
	return d.resolve(ctx, e, current)
}

func claimantUnavailable(r Row) *Outcome {
	f := fault.Newf(fault.OutcomeUnknown, "repeat", r.Node, "the node that claimed the call has not reported its outcome")
	return &Outcome{State: Lost, Failure: failure(f.WithRan(fault.RanUnknown).WithRetryAt(time.Now().Add(retryAfter)))}
}
