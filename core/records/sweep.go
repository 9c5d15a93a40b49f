package records

import (
	"context"
	"fmt"
	"time"

	"cicadabeam/core/claim"
)

// maxSweepBatch is the largest number of claims deleted in one transaction.
// sweepWindowDays is the number of days before the retention limit that are searched.
const (
	maxSweepBatch   = 64
	sweepWindowDays = 7
)

// DeleteExpired deletes one batch of expired claims and returns its size. If a claim of the
// batch is changed concurrently, Commit fails and the batch stays until the next call.
func (c *ClaimStore) DeleteExpired(ctx context.Context, now time.Time) (int, error) {
	newestDay := claim.NewestExpiredDay(now)
	for day := newestDay; day > newestDay-sweepWindowDays; day-- {
		rows, err := c.table.List(ctx, claimTable, fmt.Sprintf("%06d/", day))
		if err != nil {
			return 0, err
		}
		if len(rows) == 0 {
			continue
		}
		rows = rows[:min(len(rows), maxSweepBatch)]
		_, err = c.table.Commit(ctx, newRemoval(rows))
		return len(rows), err
	}
	return 0, nil
}

func newRemoval(rows []Row) Transaction {
	t := Transaction{}
	for _, r := range rows {
		t.Conditions = append(t.Conditions, Condition{Table: claimTable, Key: r.Key, Revision: r.Revision})
		t.Writes = append(t.Writes, Write{Table: claimTable, Key: r.Key, Remove: true})
	}
	return t
}
