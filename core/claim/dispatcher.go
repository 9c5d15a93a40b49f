package claim

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fault"
	"cicadabeam/core/shard"
)

const (
	claimWait   = 2 * time.Second
	recordWait  = time.Second
	recordPause = 500 * time.Millisecond
	storePause  = 50 * time.Millisecond
	askWait     = time.Second
	retryAfter  = 2 * time.Second
	keeping     = time.Hour
	// abandonLead is by how much the caller who is told that its call was not run
	// comes before others who may then run it.
	abandonLead = 100 * time.Millisecond
	// maxKept is the size in bytes of the largest response body that the table
	// keeps for repeats.
	maxKept = 256 << 10
)

type keyName string

type claimName string

// ended is the outcome of a claim that brought no response. It stays known when
// the caller has begun again under another claim.
type ended struct {
	outcome Outcome
	from    time.Time // when other callers may learn of it
	until   time.Time
}

// Dispatcher runs the calls of one node.
type Dispatcher struct {
	node        string
	incarnation string
	store       Store
	peers       Peers
	sender      Sender
	calls       *shard.Map[keyName, *entry]
	past        *shard.Map[claimName, ended]
	work        sync.WaitGroup
	ctx         context.Context
	stop        context.CancelFunc
}

// New returns the dispatcher of a node. incarnation differs for each start of the process.
func New(node, incarnation string, s Store, p Peers, x Sender) *Dispatcher {
	ctx, stop := context.WithCancel(context.Background())
	return &Dispatcher{
		node: node, incarnation: incarnation, store: s, peers: p, sender: x, ctx: ctx, stop: stop,
		calls: shard.New[keyName, *entry](),
		past:  shard.New[claimName, ended](),
	}
}

// Close waits for the calls under way and their records until ctx is done.
func (d *Dispatcher) Close(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.work.Wait()
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

// entry is one call on this node.
type entry struct {
	call    Call
	claimID string
	created int64 // Unix time in seconds of the claim
	done    chan struct{}
	outcome Outcome
	until   time.Time
}

func (e *entry) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// Do runs a call, or waits for the one under way with the same key, or returns
// the outcome of an earlier one. The call goes on when ctx ends.
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
		return Response{}, fault.Wrap(ctx.Err(), code, "wait-call", "").WithRetry(time.Now().Add(retryAfter))
	}
	if e.outcome.Failure != nil {
		return Response{}, e.outcome.Failure.Err()
	}
	return e.outcome.Response, nil
}

func keyReused() error {
	return fault.Newf(fault.KeyReused, "claim", "", "the key was used with another body")
}

// begin returns the call under way, or starts one. A call that ended without a
// response may be started again: what is in the table decides.
func (d *Dispatcher) begin(c Call) *entry {
	name := keyName(c.Key.String())
	now := time.Now()
	made := &entry{call: c, claimID: uuid.NewString(), created: now.Unix(), done: make(chan struct{}), until: now.Add(keeping)}
	for {
		e, existed := d.calls.GetOrPut(name, func() *entry { return made })
		if !existed {
			d.work.Go(func() { d.run(e) })
			return e
		}
		if !e.ended() || e.outcome.State == Done {
			return e
		}
		d.calls.DeleteIf(func(_ keyName, x *entry) bool { return x == e })
	}
}

func (d *Dispatcher) run(e *entry) {
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
		pause(d.ctx, abandonLead)
		d.recordLater(e, r, outcome)
		return
	}
	recorded := d.record(e, r, outcome)
	d.finish(e, outcome)
	if !recorded {
		d.recordLater(e, r, outcome)
	}
}

func (d *Dispatcher) finish(e *entry, o Outcome) {
	e.outcome = o
	if o.State != Done {
		d.past.Put(claimName(e.claimID), ended{outcome: o, from: time.Now().Add(abandonLead), until: e.until})
	}
	close(e.done)
}

func (d *Dispatcher) row(e *entry, s State) Row {
	return Row{ID: e.claimID, Node: d.node, Incarnation: d.incarnation, BodyHash: e.call.BodyHash, State: s, Created: e.created}
}

// send runs the claimed call. Before the first byte the deadline is looked at
// again, as the node may have been paused.
func (d *Dispatcher) send(ctx context.Context, e *entry, revision uint64) Outcome {
	if time.Now().After(e.call.Deadline) || ctx.Err() != nil {
		return Outcome{State: Abandoned, Failure: failure(fault.Newf(fault.Overloaded, "send", "", "the deadline passed before the call was sent"))}
	}
	r, server, sent, err := d.sender.Send(ctx, e.call, revision)
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

// record writes the outcome to the claim, within a short time.
func (d *Dispatcher) record(e *entry, revision uint64, o Outcome) bool {
	ctx, cancel := context.WithDeadline(d.ctx, time.Now().Add(recordWait))
	defer cancel()
	return d.tryRecord(ctx, e, revision, o)
}

func (d *Dispatcher) tryRecord(ctx context.Context, e *entry, revision uint64, o Outcome) bool {
	row := d.row(e, o.State)
	row.Server = o.Server
	row.Response = o.Response
	if len(row.Response.Body) > maxKept {
		row.Response = Response{Status: o.Response.Status, Truncated: true}
	}
	for ctx.Err() == nil {
		_, ok, err := d.store.Replace(ctx, e.call.Key, revision, row)
		if err == nil && ok {
			return true
		}
		if err == nil {
			// The row has changed since: by this record, whose answer was lost,
			// or by a node that took over an abandoned claim.
			return true
		}
		pause(ctx, storePause)
	}
	return false
}

// recordLater goes on until the platform takes the outcome.
func (d *Dispatcher) recordLater(e *entry, revision uint64, o Outcome) {
	for d.ctx.Err() == nil {
		if d.record(e, revision, o) {
			return
		}
		pause(d.ctx, recordPause)
	}
}

// Expire forgets calls that ended long ago; the table has them.
func (d *Dispatcher) Expire(now time.Time) {
	d.calls.DeleteIf(func(_ keyName, e *entry) bool { return e.ended() && now.After(e.until) })
	d.past.DeleteIf(func(_ claimName, x ended) bool { return now.After(x.until) })
}

// Status answers another node's question about a call that this one claimed. It
// waits for the end of the call until ctx is done.
func (d *Dispatcher) Status(ctx context.Context, incarnation string, key Key, claimID string) Status {
	if incarnation != d.incarnation {
		return Status{}
	}
	e, found := d.calls.Get(keyName(key.String()))
	if found && e.claimID == claimID {
		select {
		case <-e.done:
		case <-ctx.Done():
			return stillRunning()
		}
		if e.outcome.State == Done {
			return Status{Known: true, Outcome: e.outcome}
		}
	}
	return d.pastStatus(ctx, claimName(claimID))
}

// pastStatus tells of a claim that ended without a response, once its own caller
// has been told.
func (d *Dispatcher) pastStatus(ctx context.Context, id claimName) Status {
	x, found := d.past.Get(id)
	if !found {
		return Status{}
	}
	pause(ctx, time.Until(x.from))
	if time.Now().Before(x.from) {
		return stillRunning()
	}
	return Status{Known: true, Outcome: x.outcome}
}

func stillRunning() Status { return Status{Known: true, Outcome: Outcome{State: Claimed}} }

func pause(ctx context.Context, most time.Duration) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
