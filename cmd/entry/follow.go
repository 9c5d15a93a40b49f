package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/freshness"
	"cicadabeam/io/relay"
	"cicadabeam/platform"
)

const (
	// feedWait is how long a question for changes waits at the store. It bounds the
	// age of the proof that nothing has changed.
	feedWait = time.Second
	// feedGrace is how much later its answer may come.
	feedGrace = time.Second
	// rowsWait bounds the reading of a whole table.
	rowsWait = 3 * time.Second
	// pauses after a failure, drawn between these. They are for a few nodes; where more
	// ask, each asks less often, up to failFewer times, as one answer serves all.
	failPauseLeast = 100 * time.Millisecond
	failPauseMost  = 300 * time.Millisecond
	failNodes      = 8
	failFewer      = 4
)

// view is what the store said about a table: all of it, or what has changed.
type view struct {
	whole bool
	page  platform.Page
	as    time.Duration // uptime at which it was so, or later
}

// follower keeps up with a table of the store.
type follower struct {
	table    string
	store    *platform.Store
	uptime   func() time.Duration
	recorder relay.Recorder
	take     func(v view)
	took     func(event string, d time.Duration) // measures the calls
	// returned is when the store answered again after a failure.
	returned time.Time
	// active tells whether this node is to ask the store at all.
	active func() bool
	// nodes is the number of nodes that know of each other.
	nodes func() int
	// gather is waited after an answer with changes, so that the next one has more.
	gather  time.Duration
	clock   *freshness.StoreClock
	failing bool
	since   uint64
	loaded  bool
}

// restPeriod is how often a follower that rests looks whether it is to go on.
const restPeriod = 100 * time.Millisecond

// run asks once at the start in any case: after all nodes were lost, none can tell
// the others anything.
func (f *follower) run(ctx context.Context) error {
	asked := false
	for ctx.Err() == nil {
		if asked && !f.active() {
			f.loaded = false
			pause(ctx, restPeriod)
			continue
		}
		v, err := f.ask(ctx)
		asked = true
		if err == nil {
			f.answered()
			f.take(v)
			if len(v.page.Rows) > 0 {
				pause(ctx, f.gather)
			}
			continue
		}
		if errors.Is(err, platform.ErrHistoryLost) {
			f.recorder.Record("history lost", relay.Fields{"table": f.table, "since": f.since})
			f.loaded = false
			continue
		}
		f.failed(ctx, err)
	}
	return ctx.Err()
}

func (f *follower) ask(ctx context.Context) (view, error) {
	v := view{whole: !f.loaded}
	sent := f.uptime()
	wait := rowsWait
	if f.loaded {
		wait = feedWait + feedGrace
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(wait))
	defer cancel()
	var err error
	began := time.Now()
	if f.loaded {
		v.page, err = f.store.Changes(ctx, f.table, f.since, feedWait)
	} else {
		v.page, err = f.store.Rows(ctx, f.table)
	}
	f.took("store "+f.table, time.Since(began))
	if err != nil {
		return v, err
	}
	v.as = f.clock.ToLocal(v.page.NowMs, sent, f.uptime())
	f.since = max(f.since, v.page.Version)
	f.loaded = true
	return v, nil
}

func (f *follower) answered() {
	if f.failing {
		f.failing = false
		f.returned = time.Now()
		f.recorder.Record("store regained", relay.Fields{"table": f.table})
	}
}

func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.failing {
		f.failing = true
		f.recorder.Record("store lost", relay.Fields{"table": f.table, "error": err.Error()})
	}
	f.store.Reset()
	fewer := min(max(1, f.nodes()/failNodes), failFewer)
	pause(ctx, time.Duration(fewer)*(failPauseLeast+rand.N(failPauseMost-failPauseLeast)))
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
