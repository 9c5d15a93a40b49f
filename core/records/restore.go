package records

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/claim"
	"cicadabeam/core/config"
)

const (
	rewriteConcurrency   = 32
	rewriteRetryInterval = 100 * time.Millisecond
	maxRecentChanges     = 16
)

// Rewritten counts the records that a node wrote again after a restore of the store.
type Rewritten struct {
	Written int
	Failed  int // unknown or not written before ctx was done
	Taken   int // another node had claimed the call
}

// Rewrite writes again, after a restore of the store, the claims that this node had written
// and that the store no longer has. It may overwrite claims that were made since the restore
// and before all nodes knew of it; those calls have not been sent.
func (c *ClaimStore) Rewrite(ctx context.Context) Rewritten {
	var written, failed, taken atomic.Int64
	var g sync.WaitGroup
	slots := make(chan struct{}, rewriteConcurrency)
	for _, x := range c.recent.before(c.table.Eras().Current(), time.Now()) {
		slots <- struct{}{}
		g.Go(func() {
			defer func() { <-slots }()
			switch ok, changed, err := c.rewrite(ctx, x); {
			case err != nil:
				failed.Add(1)
			case !ok:
				taken.Add(1)
			case changed:
				written.Add(1)
			}
		})
	}
	g.Wait()
	return Rewritten{Written: int(written.Load()), Failed: int(failed.Load()), Taken: int(taken.Load())}
}

// rewrite reports whether the store has the claim, and whether it was written again.
func (c *ClaimStore) rewrite(ctx context.Context, x recentClaim) (ok, changed bool, err error) {
	condition := Condition{Table: claimTable, Key: x.rowKey}
	for ctx.Err() == nil {
		ok, err = c.rewriteOnce(ctx, x, condition)
		if err == nil && ok {
			return true, true, nil
		}
		var row Row
		var found bool
		if err == nil {
			row, found, err = c.table.Get(ctx, claimTable, x.rowKey)
		}
		if err != nil {
			sleepFor(ctx, rewriteRetryInterval)
			continue
		}
		condition.Revision = row.Revision
		if !found {
			continue
		}
		var stored claim.Row
		if json.Unmarshal(row.Value, &stored) == nil && (stored.ID == x.row.ID && stored.State == x.row.State) {
			return true, false, nil
		}
		if stored.ID != x.row.ID && (x.row.State == claim.Abandoned || !Held(c.table.Eras())) {
			return false, false, nil
		}
	}
	return false, false, errors.CombineErrors(err, ctx.Err())
}

func (c *ClaimStore) rewriteOnce(ctx context.Context, x recentClaim, condition Condition) (bool, error) {
	p := &pendingWrite{conditions: []Condition{condition}, write: Write{Table: claimTable, Key: x.rowKey, Value: x.value}, done: make(chan writeResult, 1)}
	c.enqueue(p)
	select {
	case w := <-p.done:
		if w.ok && w.err == nil {
			c.recent.rewritten(x, w.revision.Era, time.Now())
		}
		return w.ok, w.err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func sleepFor(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// recentChange is a change of the configuration that this node wrote.
type recentChange struct {
	next  *config.Config
	entry AuditEntry
	at    time.Time // when the store acknowledged it, by this node's monotonic clock
	era   uint64
}

// recentChanges holds the newest changes that this node wrote.
type recentChanges struct {
	mu  sync.Mutex
	all []recentChange
}

func (c *recentChanges) add(x recentChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, x)
	c.all = c.all[max(0, len(c.all)-maxRecentChanges):]
}

// rewritten records that a change was written again.
func (c *recentChanges) rewritten(change string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.all {
		if c.all[i].entry.Change == change {
			c.all[i].at = now
		}
	}
}

// before returns the changes that were written in eras before one and may be missing from a copy.
func (c *recentChanges) before(era uint64, now time.Time) []recentChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []recentChange
	for _, x := range c.all {
		if x.era < era && now.Sub(x.at) <= MaxCopyAge {
			all = append(all, x)
		}
	}
	return all
}

// Rewrite writes again, after a restore of the store, the changes of the configuration that
// this node had written, with their audit entries, unless the store has them.
func (c *ConfigStore) Rewrite(ctx context.Context) (Rewritten, error) {
	var r Rewritten
	for _, x := range c.recent.before(c.table.Eras().Current(), time.Now()) {
		written, err := c.reinstate(ctx, x.next, x.entry)
		if err != nil {
			r.Failed++
			return r, err
		}
		if written {
			c.recent.rewritten(x.entry.Change, time.Now())
			r.Written++
		}
	}
	return r, nil
}

// Reinstate writes again, after a restore of the store, a configuration that is in force and
// that the store no longer has, for the case that the node that wrote it is gone. The audit
// entry says so, as the original one is lost.
func (c *ConfigStore) Reinstate(ctx context.Context, inForce *config.Config, a AuditEntry) (bool, error) {
	head, _, err := c.head(ctx)
	if err != nil || head.Revision >= inForce.Revision() {
		return false, err
	}
	a.Revision, a.At = inForce.Revision(), time.Now().UTC()
	return c.reinstate(ctx, inForce, a)
}

// reinstate makes next the configuration if the store has an older one, and writes the audit
// entry if it is missing. It reports whether it wrote anything.
func (c *ConfigStore) reinstate(ctx context.Context, next *config.Config, a AuditEntry) (bool, error) {
	for {
		head, rowRevision, err := c.head(ctx)
		if err != nil {
			return false, err
		}
		t, err := newApplyTransaction(next, rowRevision, a)
		if err != nil {
			return false, err
		}
		if head.Revision >= a.Revision {
			if _, found, err := c.table.Get(ctx, auditTable, auditKey(a.Revision)); err != nil || found {
				return false, err
			}
			t.Writes = t.Writes[len(t.Writes)-1:]
		}
		t.Conditions = append(t.Conditions, Condition{Table: auditTable, Key: auditKey(a.Revision)})
		_, err = c.table.Commit(ctx, t)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return err == nil, err
		}
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
	}
}
