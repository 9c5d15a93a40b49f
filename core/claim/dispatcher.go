package claim

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fault"
	"cicadabeam/core/freshness"
	"cicadabeam/core/shard"
)

const (
	claimTimeout        = 2 * time.Second
	recordTimeout       = time.Second
	recordRetryInterval = 500 * time.Millisecond
	storeRetryInterval  = 50 * time.Millisecond
	statusTimeout       = time.Second
	retryAfter          = 2 * time.Second
	outcomeRetention    = time.Hour
	// abandonPublishDelay is the time between reporting to the caller that its call
	// was not run and letting other callers take over the abandoned claim.
	abandonPublishDelay = 100 * time.Millisecond
	// maxStoredBody is the size in bytes of the largest response body that is stored
	// in the table to answer repeated calls.
	maxStoredBody = 256 << 10
)

type callKey string

type claimUUID string

// endedClaim is the outcome of a claim that ended without a response. It is kept
// separately so that it stays available after the caller has retried under another
// claim.
type endedClaim struct {
	outcome     Outcome
	visibleFrom time.Time // when other callers may see the outcome
	expiresAt   time.Time
}

// Dispatcher executes the calls of one node.
type Dispatcher struct {
	node        string
	incarnation string
	store       Store
	peers       Peers
	sender      Sender
	calls       *shard.Map[callKey, *callEntry]
	endedClaims *shard.Map[claimUUID, endedClaim]
	inFlight    callGroup
	ctx         context.Context
	stop        context.CancelFunc
}

// New returns the dispatcher of a node. incarnation must be unique to each start
// of the process.
func New(node, incarnation string, s Store, p Peers, x Sender) *Dispatcher {
	ctx, stop := context.WithCancel(context.Background())
	return &Dispatcher{
		node: node, incarnation: incarnation, store: s, peers: p, sender: x, ctx: ctx, stop: stop,
		calls:       shard.New[callKey, *callEntry](),
		endedClaims: shard.New[claimUUID, endedClaim](),
	}
}

// Close refuses further calls and waits until those in flight have ended and their
// outcomes are recorded, or ctx is done.
func (d *Dispatcher) Close(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.inFlight.closeAndWait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	d.stop()
}

// Running returns the number of calls without an outcome.
func (d *Dispatcher) Running() int {
	n := 0
	for _, e := range d.calls.Values() {
		if !e.ended() {
			n++
		}
	}
	return n
}

// callEntry is a running or completed call on this node.
type callEntry struct {
	call      Call
	claimID   string
	created   int64 // Unix time in seconds of the claim
	done      chan struct{}
	outcome   Outcome
	expiresAt time.Time
}

func (e *callEntry) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// Do executes a call. If a call with the same key is in flight, Do waits for it;
// if one has completed, Do returns its outcome. The call continues after ctx is
// done.
func (d *Dispatcher) Do(ctx context.Context, c Call) (Response, error) {
	e := d.begin(c)
	if e.call.BodyHash != c.BodyHash {
		return Response{}, keyReused()
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		code := fault.OutcomeUnknown
		if errors.Is(ctx.Err(), context.Canceled) {
			code = fault.CallerLeft
		}
		return Response{}, fault.Wrap(ctx.Err(), code, "wait-call", "").WithRetryAt(time.Now().Add(retryAfter))
	}
	if e.outcome.Failure != nil {
		return Response{}, e.outcome.Failure.Err()
	}
	return e.outcome.Response, nil
}

func keyReused() error {
	return fault.Newf(fault.IdempotencyKeyReused, "claim", "", "the idempotency key was already used with a different request body")
}

// begin returns the call in flight or starts a new one. A call that ended without
// a response may be started again; the row in the table decides whether it is sent.
func (d *Dispatcher) begin(c Call) *callEntry {
	name := callKey(c.Key.String())
	now := time.Now()
	candidate := &callEntry{call: c, claimID: uuid.NewString(), created: now.Unix(), done: make(chan struct{}), expiresAt: now.Add(outcomeRetention)}
	for {
		e, loaded := d.calls.GetOrPut(name, func() *callEntry { return candidate })
		if !loaded {
			if !d.inFlight.start(func() { d.run(e) }) {
				d.finish(e, closedOutcome())
			}
			return e
		}
		if !e.ended() || e.outcome.State == Done {
			return e
		}
		d.calls.DeleteIf(func(_ callKey, x *callEntry) bool { return x == e })
	}
}

// closedOutcome returns the outcome of a call that came after Close. It was not sent, but
// an earlier one with the same key may have been.
func closedOutcome() Outcome {
	f := fault.Newf(fault.Draining, "claim", "", "the node is shutting down")
	return Outcome{State: Abandoned, Failure: failure(f.WithRan(fault.RanUnknown).WithAttempt(fault.NotRun).WithRetryAt(time.Now().Add(retryAfter)))}
}

func (d *Dispatcher) run(e *callEntry) {
	ctx, cancel := context.WithDeadline(d.ctx, e.call.Deadline)
	defer cancel()
	r, o := d.claim(ctx, e)
	if o != nil {
		d.finish(e, *o)
		return
	}
	outcome := d.send(ctx, e, r)
	if outcome.State == Abandoned {
		d.finish(e, outcome)
		sleep(d.ctx, abandonPublishDelay)
		d.retryRecord(e, r, outcome)
		return
	}
	recorded := d.recordOutcome(e, r, outcome)
	d.finish(e, outcome)
	if !recorded {
		d.retryRecord(e, r, outcome)
	}
}

func (d *Dispatcher) finish(e *callEntry, o Outcome) {
	e.outcome = o
	if o.State != Done {
		d.endedClaims.Put(claimUUID(e.claimID), endedClaim{outcome: o, visibleFrom: time.Now().Add(abandonPublishDelay), expiresAt: e.expiresAt})
	}
	close(e.done)
}

func (d *Dispatcher) row(e *callEntry, s State) Row {
	return Row{ID: e.claimID, Node: d.node, Incarnation: d.incarnation, BodyHash: e.call.BodyHash, State: s, Created: e.created}
}

// send sends the claimed call. It checks the deadline again before the first byte,
// because the node may have been paused.
func (d *Dispatcher) send(ctx context.Context, e *callEntry, revision freshness.StoreVersion) Outcome {
	if time.Now().After(e.call.Deadline) || ctx.Err() != nil {
		return Outcome{State: Abandoned, Failure: failure(fault.Newf(fault.Overloaded, "send", "", "the deadline passed before the call was sent"))}
	}
	r, server, sent, err := d.sender.Send(ctx, e.call, revision.Token())
	switch {
	case err == nil:
		return Outcome{State: Done, Response: r, Server: server}
	case sent:
		f := fault.Wrap(err, fault.OutcomeUnknown, "send", server)
		return Outcome{State: Lost, Server: server, Failure: failure(f)}
	default:
		return Outcome{State: Abandoned, Failure: failure(fault.From(err).WithRan(fault.NotRun))}
	}
}

// recordOutcome writes the outcome to the claim, retrying for up to recordTimeout, and
// reports whether the store confirmed the write or reported that the row has changed.
func (d *Dispatcher) recordOutcome(e *callEntry, revision freshness.StoreVersion, o Outcome) bool {
	ctx, cancel := context.WithDeadline(d.ctx, time.Now().Add(recordTimeout))
	defer cancel()
	return d.writeOutcome(ctx, e, revision, o)
}

func (d *Dispatcher) writeOutcome(ctx context.Context, e *callEntry, revision freshness.StoreVersion, o Outcome) bool {
	row := d.row(e, o.State)
	row.Server = o.Server
	row.Response = o.Response
	if len(row.Response.Body) > maxStoredBody {
		row.Response = Response{Status: o.Response.Status, Truncated: true}
	}
	for ctx.Err() == nil {
		_, ok, err := d.store.Replace(ctx, e.call.Key, revision, row)
		if err == nil && ok {
			return true
		}
		if err == nil {
			// The row has changed: either an earlier attempt of this write took
			// effect and its response was lost, or the abandoned claim has been
			// taken over.
			return true
		}
		sleep(ctx, storeRetryInterval)
	}
	return false
}

// retryRecord retries until the outcome is written to the claim or the dispatcher
// is closed.
func (d *Dispatcher) retryRecord(e *callEntry, revision freshness.StoreVersion, o Outcome) {
	for d.ctx.Err() == nil {
		if d.recordOutcome(e, revision, o) {
			return
		}
		sleep(d.ctx, recordRetryInterval)
	}
}

// Expire removes calls whose retention has ended from memory; their claims remain
// in the table.
func (d *Dispatcher) Expire(now time.Time) {
	d.calls.DeleteIf(func(_ callKey, e *callEntry) bool { return e.ended() && now.After(e.expiresAt) })
	d.endedClaims.DeleteIf(func(_ claimUUID, x endedClaim) bool { return now.After(x.expiresAt) })
}

// Status reports to another node the status of a call that this node claimed. It
// waits for the call to complete until ctx is done.
func (d *Dispatcher) Status(ctx context.Context, incarnation string, key Key, claimID string) Status {
	if incarnation != d.incarnation {
		return Status{}
	}
	e, found := d.calls.Get(callKey(key.String()))
	if found && e.claimID == claimID {
		select {
		case <-e.done:
		case <-ctx.Done():
			return runningStatus()
		}
		if e.outcome.State == Done {
			return Status{Known: true, Outcome: e.outcome}
		}
	}
	return d.endedClaimStatus(ctx, claimUUID(claimID))
}

// endedClaimStatus returns the status of a claim that ended without a response. It
// waits until the claim's own caller has been given the outcome.
func (d *Dispatcher) endedClaimStatus(ctx context.Context, id claimUUID) Status {
	x, found := d.endedClaims.Get(id)
	if !found {
		return Status{}
	}
	sleep(ctx, time.Until(x.visibleFrom))
	if time.Now().Before(x.visibleFrom) {
		return runningStatus()
	}
	return Status{Known: true, Outcome: x.outcome}
}

func runningStatus() Status { return Status{Known: true, Outcome: Outcome{State: Claimed}} }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
