package records

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/claim"
	"cicadabeam/core/fault"
	"cicadabeam/core/freshness"
)

const (
	claimTable = "claims"
	maxBatch   = 64 // writes per transaction
)

// ClaimStore stores the claims of calls in the platform's table. Writes that arrive
// while a transaction is in progress are batched into the next one.
type ClaimStore struct {
	table  Table
	recent recentClaims

	mu         sync.Mutex
	queue      []*pendingWrite
	committing bool
}

// NewClaimStore returns the claims stored in a table.
func NewClaimStore(t Table) *ClaimStore { return &ClaimStore{table: t} }

// pendingWrite is a write that waits for its batch to be committed.
type pendingWrite struct {
	conditions []Condition
	write      Write
	done       chan writeResult
}

type writeResult struct {
	revision freshness.StoreVersion
	ok       bool
	err      error
}

// Insert implements claim.Store.
func (c *ClaimStore) Insert(ctx context.Context, key claim.Key, r claim.Row) (freshness.StoreVersion, bool, error) {
	var absent []Condition
	for _, day := range r.Day().AdjacentDays() {
		absent = append(absent, Condition{Table: claimTable, Key: rowKey(day, key)})
	}
	return c.put(ctx, key, absent, r)
}

// Replace implements claim.Store.
func (c *ClaimStore) Replace(ctx context.Context, key claim.Key, revision freshness.StoreVersion, r claim.Row) (freshness.StoreVersion, bool, error) {
	return c.put(ctx, key, []Condition{{Table: claimTable, Key: rowKey(r.Day(), key), Revision: revision}}, r)
}

// rowKey returns the key of a claim's row. The day comes first, so that the claims
// of a day can be listed by prefix.
func rowKey(day claim.Day, key claim.Key) string { return fmt.Sprintf("%06d/%s", day, key) }

// Unavailable implements claim.Store.
func (c *ClaimStore) Unavailable() bool { return c.table.Unavailable() }

// Read implements claim.Store.
func (c *ClaimStore) Read(ctx context.Context, key claim.Key) (claim.VersionedRow, bool, error) {
	for _, day := range claim.DayOf(time.Now().Unix()).AdjacentDays() {
		row, found, err := c.table.Get(ctx, claimTable, rowKey(day, key))
		if err != nil {
			return claim.VersionedRow{}, false, err
		}
		if !found {
			continue
		}
		v := claim.VersionedRow{Revision: row.Revision}
		err = json.Unmarshal(row.Value, &v.Row)
		c.recent.found(rowKey(day, key), v.Row.ID)
		return v, err == nil, errors.Wrapf(err, "records: decode claim %s", key)
	}
	return claim.VersionedRow{}, false, nil
}

// put writes a claim. After a restore of the store, claims to send a call wait until all
// nodes have written theirs again.
func (c *ClaimStore) put(ctx context.Context, key claim.Key, conditions []Condition, r claim.Row) (freshness.StoreVersion, bool, error) {
	if r.State == claim.Claimed && Held(c.table.Eras()) {
		return freshness.StoreVersion{}, false, heldError("write-claim")
	}
	value, err := json.Marshal(r)
	if err != nil {
		return freshness.StoreVersion{}, false, errors.Wrapf(err, "records: encode claim %s", key)
	}
	p := &pendingWrite{
		conditions: conditions,
		write:      Write{Table: claimTable, Key: rowKey(r.Day(), key), Value: value},
		done:       make(chan writeResult, 1),
	}
	x := &recentClaim{rowKey: p.write.Key, row: r, value: value, at: time.Now(), era: c.table.Eras().Current()}
	c.recent.add(x)
	c.enqueue(p)
	select {
	case w := <-p.done:
		return c.result(x, w)
	case <-ctx.Done():
		return freshness.StoreVersion{}, false, fault.Wrap(ctx.Err(), fault.PlatformUnavailable, "write-claim", c.table.Name())
	}
}

// result returns the result of a write. A claim that took effect in a newer era than was known
// when it was written has to wait like others.
func (c *ClaimStore) result(x *recentClaim, w writeResult) (freshness.StoreVersion, bool, error) {
	switch {
	case w.err != nil:
		return freshness.StoreVersion{}, false, w.err
	case !w.ok:
		c.recent.reject(x)
		return freshness.StoreVersion{}, false, nil
	}
	rose := w.revision.Era != x.era
	c.recent.written(x, w.revision.Era)
	if rose && x.row.State == claim.Claimed && Held(c.table.Eras()) {
		return freshness.StoreVersion{}, false, heldError("write-claim")
	}
	return w.revision, true, nil
}

func (c *ClaimStore) enqueue(p *pendingWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, p)
	if !c.committing {
		c.committing = true
		go c.commitAll()
	}
}

func (c *ClaimStore) commitAll() {
	for {
		batch := c.nextBatch()
		if len(batch) == 0 {
			return
		}
		c.commit(batch)
	}
}

// nextBatch removes the next batch from the queue. A batch has at most one write
// per row; further writes to the same row stay in the queue.
func (c *ClaimStore) nextBatch() []*pendingWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, remaining []*pendingWrite
	seen := make(map[string]bool)
	for _, p := range c.queue {
		if len(batch) == maxBatch || seen[p.write.Key] {
			remaining = append(remaining, p)
			continue
		}
		seen[p.write.Key] = true
		batch = append(batch, p)
	}
	c.queue = remaining
	c.committing = len(batch) > 0
	return batch
}

// commit writes a batch in one transaction. If conditions fail, it reports the
// conflict to the writes they belong to and retries the transaction without them.
func (c *ClaimStore) commit(batch []*pendingWrite) {
	for len(batch) > 0 {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(commitTimeout))
		revision, err := c.table.Commit(ctx, newTransaction(batch))
		cancel()
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			for _, p := range batch {
				p.done <- writeResult{revision: revision, ok: err == nil, err: err}
			}
			return
		}
		batch = rejectConflicts(batch, conflict)
	}
}

func newTransaction(batch []*pendingWrite) Transaction {
	t := Transaction{}
	for _, p := range batch {
		t.Conditions = append(t.Conditions, p.conditions...)
		t.Writes = append(t.Writes, p.write)
	}
	return t
}

// rejectConflicts reports the conflict to the writes whose conditions failed and
// returns the others. If the store named no condition, all writes are rejected.
func rejectConflicts(batch []*pendingWrite, conflict *ConflictError) []*pendingWrite {
	failed := make(map[int]bool, len(conflict.Failed))
	for _, i := range conflict.Failed {
		failed[i] = true
	}
	var remaining []*pendingWrite
	index := 0
	for _, p := range batch {
		conflicted := len(failed) == 0
		for range p.conditions {
			conflicted = conflicted || failed[index]
			index++
		}
		if conflicted {
			p.done <- writeResult{}
			continue
		}
		remaining = append(remaining, p)
	}
	return remaining
}
