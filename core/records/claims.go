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
)

const (
	claimTable = "claims"
	maxGroup   = 64
)

// Claims keeps the claims of calls in the platform's table. Writes that arrive
// while a transaction is under way go together with the next one.
type Claims struct {
	table Table

	mu      sync.Mutex
	waiting []*pending
	busy    bool
}

// NewClaims returns the claims kept in a table.
func NewClaims(t Table) *Claims { return &Claims{table: t} }

// pending is one write on its way into a group.
type pending struct {
	conditions []Condition
	write      Write
	done       chan written
}

type written struct {
	revision uint64
	ok       bool
	err      error
}

// Insert implements claim.Store.
func (c *Claims) Insert(ctx context.Context, key claim.Key, r claim.Row) (uint64, bool, error) {
	var absent []Condition
	for _, day := range r.Day().Near() {
		absent = append(absent, Condition{Table: claimTable, Key: rowKey(day, key)})
	}
	return c.put(ctx, key, absent, r)
}

// Replace implements claim.Store.
func (c *Claims) Replace(ctx context.Context, key claim.Key, revision uint64, r claim.Row) (uint64, bool, error) {
	return c.put(ctx, key, []Condition{{Table: claimTable, Key: rowKey(r.Day(), key), Revision: revision}}, r)
}

// rowKey returns the key of a claim's row. Days sort before all else.
func rowKey(day claim.Day, key claim.Key) string { return fmt.Sprintf("%06d/%s", day, key) }

// Away implements claim.Store.
func (c *Claims) Away() bool { return c.table.Away() }

// Read implements claim.Store.
func (c *Claims) Read(ctx context.Context, key claim.Key) (claim.Stored, bool, error) {
	for _, day := range claim.DayOf(time.Now().Unix()).Near() {
		row, found, err := c.table.Get(ctx, claimTable, rowKey(day, key))
		if err != nil {
			return claim.Stored{}, false, err
		}
		if !found {
			continue
		}
		s := claim.Stored{Revision: row.Revision}
		err = json.Unmarshal(row.Value, &s.Row)
		return s, err == nil, errors.Wrapf(err, "records: claim %s", key)
	}
	return claim.Stored{}, false, nil
}

func (c *Claims) put(ctx context.Context, key claim.Key, conditions []Condition, r claim.Row) (uint64, bool, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, false, errors.Wrapf(err, "records: claim %s", key)
	}
	p := &pending{
		conditions: conditions,
		write:      Write{Table: claimTable, Key: rowKey(r.Day(), key), Value: value},
		done:       make(chan written, 1),
	}
	c.enqueue(p)
	select {
	case w := <-p.done:
		return w.revision, w.ok, w.err
	case <-ctx.Done():
		return 0, false, fault.Wrap(ctx.Err(), fault.PlatformAway, "write-claim", c.table.Name())
	}
}

func (c *Claims) enqueue(p *pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = append(c.waiting, p)
	if !c.busy {
		c.busy = true
		go c.commitAll()
	}
}

func (c *Claims) commitAll() {
	for {
		group := c.take()
		if len(group) == 0 {
			return
		}
		c.commit(group)
	}
}

// take returns the next group. Writes to a row that the group has already wait
// for the one after it.
func (c *Claims) take() []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	var group, left []*pending
	seen := make(map[string]bool)
	for _, p := range c.waiting {
		if len(group) == maxGroup || seen[p.write.Key] {
			left = append(left, p)
			continue
		}
		seen[p.write.Key] = true
		group = append(group, p)
	}
	c.waiting = left
	c.busy = len(group) > 0
	return group
}

// commit writes a group. Those whose conditions do not hold are answered, and the
// others go again without them.
func (c *Claims) commit(group []*pending) {
	for len(group) > 0 {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(requestWait))
		revision, err := c.table.Commit(ctx, transactionOf(group))
		cancel()
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			for _, p := range group {
				p.done <- written{revision: revision, ok: err == nil, err: err}
			}
			return
		}
		group = answerConflicts(group, conflict)
	}
}

func transactionOf(group []*pending) Transaction {
	t := Transaction{}
	for _, p := range group {
		t.Conditions = append(t.Conditions, p.conditions...)
		t.Writes = append(t.Writes, p.write)
	}
	return t
}

// answerConflicts answers the writes whose conditions failed and returns the rest.
func answerConflicts(group []*pending, conflict *ConflictError) []*pending {
	failed := make(map[int]bool, len(conflict.Failed))
	for _, i := range conflict.Failed {
		failed[i] = true
	}
	var left []*pending
	at := 0
	for _, p := range group {
		lost := len(failed) == 0
		for range p.conditions {
			lost = lost || failed[at]
			at++
		}
		if lost {
			p.done <- written{}
			continue
		}
		left = append(left, p)
	}
	return left
}
