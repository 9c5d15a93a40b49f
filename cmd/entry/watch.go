package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/freshness"
	"cicadabeam/io/relay"
	"cicadabeam/platform"
)

const (
	// longPollGrace is how long after the end of its wait the response to a query for
	// changes may arrive.
	longPollGrace = time.Second
	// tableReadTimeout limits the reading of a whole table.
	tableReadTimeout = 3 * time.Second
	// minRetryDelay and maxRetryDelay limit the random delay after a failure if there are
	// few nodes. With more nodes the delay is multiplied by their number divided by
	// nodesPerRetryDelay, up to maxRetryDelayFactor, because one response serves all
	// nodes.
	minRetryDelay       = 100 * time.Millisecond
	maxRetryDelay       = 300 * time.Millisecond
	nodesPerRetryDelay  = 8
	maxRetryDelayFactor = 4
)

// tableUpdate is the content of a table or the changes since the previous update.
type tableUpdate struct {
	full bool
	page platform.Page
	asOf time.Duration // the content was current at this uptime or later
}

// tableWatcher follows the changes of a table of the store.
type tableWatcher struct {
	table    string
	store    *platform.StoreClient
	uptime   func() time.Duration
	recorder relay.Recorder
	onUpdate func(u tableUpdate)
	observe  func(event string, d time.Duration) // records the duration of a call
	// recoveredAt is when the store last became reachable again after a failure.
	recoveredAt time.Time
	// shouldRead reports whether this node is to read from the store, and pollWait returns
	// how long a query for changes may wait there.
	shouldRead func() bool
	pollWait   func() time.Duration
	// awaitPeerState waits after the start and reports whether peers sent the table.
	awaitPeerState func(ctx context.Context) bool
	// knownNodes returns the number of known nodes.
	knownNodes func() int
	// batchDelay is the delay after a response with changes, so that the next one
	// contains several.
	batchDelay time.Duration
	eras       *freshness.Eras
	clock      *freshness.StoreClock
	failing    atomic.Bool
	since      freshness.StoreVersion
	loaded     bool
}

// idlePollInterval is how often an idle watcher checks whether it is to read again.
const idlePollInterval = 100 * time.Millisecond

// run reads the table until ctx is done. The first read is unconditional unless peers sent
// the table: after the loss of all nodes, none has it.
func (w *tableWatcher) run(ctx context.Context) error {
	readOnce := w.awaitPeerState(ctx)
	for ctx.Err() == nil {
		if readOnce && !w.shouldRead() {
			w.loaded = false
			sleep(ctx, idlePollInterval)
			continue
		}
		if w.since.Era != w.eras.Current() {
			w.loaded = false // the versions of the store have another meaning now
			*w.clock = freshness.StoreClock{}
		}
		u, err := w.read(ctx)
		readOnce = true
		if err == nil {
			w.recordSuccess()
			w.onUpdate(u)
			if len(u.page.Rows) > 0 {
				sleep(ctx, w.batchDelay)
			}
			continue
		}
		if errors.Is(err, platform.ErrHistoryLost) {
			w.recorder.Record("history lost", relay.Fields{"table": w.table, "since": w.since.Version, "era": w.since.Era})
			w.loaded = false
			continue
		}
		if errors.Is(err, platform.ErrTooLarge) && w.loaded {
			w.recorder.Record("changes too large", relay.Fields{"table": w.table, "since": w.since.Version, "era": w.since.Era})
			w.loaded = false // the table has each row once, in pages
			continue
		}
		if errors.Is(err, platform.ErrOlderEra) {
			w.loaded = false
			sleep(ctx, minRetryDelay)
			continue
		}
		w.handleFailure(ctx, err)
	}
	return ctx.Err()
}

func (w *tableWatcher) read(ctx context.Context) (tableUpdate, error) {
	u := tableUpdate{full: !w.loaded}
	sent := w.uptime()
	wait := w.pollWait()
	if w.failing.Load() {
		wait = 0 // the age of the state is confirmed as soon as the store responds again
	}
	timeout := tableReadTimeout
	if w.loaded {
		timeout = wait + longPollGrace
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(timeout))
	defer cancel()
	var err error
	start := time.Now()
	if w.loaded {
		u.page, err = w.store.Changes(ctx, w.table, w.since.Version, wait)
	} else {
		u.page, err = w.store.Rows(ctx, w.table)
	}
	w.observe("store "+w.table, time.Since(start))
	if err != nil {
		return u, err
	}
	if at := u.page.At(); !w.loaded || at.After(w.since) {
		if w.loaded && at.Era != w.since.Era {
			return u, errors.Wrapf(platform.ErrOlderEra, "changes since version %d of era %d", w.since.Version, w.since.Era)
		}
		w.since = at
	}
	u.asOf = w.clock.ToLocal(u.page.NowMs, sent, w.uptime())
	w.loaded = true
	return u, nil
}

func (w *tableWatcher) recordSuccess() {
	if w.failing.Swap(false) {
		w.recoveredAt = time.Now()
		w.recorder.Record("store regained", relay.Fields{"table": w.table})
	}
}

func (w *tableWatcher) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !w.failing.Swap(true) {
		w.recorder.Record("store lost", relay.Fields{"table": w.table, "error": err.Error()})
	}
	w.store.CloseIdleConnections()
	factor := min(max(1, w.knownNodes()/nodesPerRetryDelay), maxRetryDelayFactor)
	sleep(ctx, time.Duration(factor)*(minRetryDelay+rand.N(maxRetryDelay-minRetryDelay)))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
