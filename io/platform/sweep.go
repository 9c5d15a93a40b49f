package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"cicadabeam/core/claim"
)

// sweepGroup is the number of claims that are taken away in one transaction, and
// sweepDays the number of days that are looked at.
const (
	sweepGroup = 64
	sweepDays  = 7
)

// namedRow is a row with its key.
type namedRow struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// keys returns rows of a table whose keys begin with prefix, without their values.
func (c *Client) keys(ctx context.Context, table, prefix string, limit int) ([]namedRow, error) {
	c.reads.Add(1)
	q := url.Values{"prefix": {prefix}, "limit": {itoa(limit)}}
	var rows []namedRow
	err := c.do(ctx, http.MethodGet, "/v1/keys/"+table+"?"+q.Encode(), nil, &rows)
	return rows, err
}

// Sweep takes away some of the claims that are old enough to be forgotten, and
// returns their number. A claim that changes meanwhile stays until the next time.
func (c *Claims) Sweep(ctx context.Context, now time.Time) (int, error) {
	newest := claim.Forgettable(now)
	for day := newest; day > newest-sweepDays; day-- {
		rows, err := c.client.keys(ctx, claimTable, fmt.Sprintf("%06d/", day), sweepGroup)
		if err != nil {
			return 0, err
		}
		if len(rows) == 0 {
			continue
		}
		_, err = c.client.Commit(ctx, removal(rows))
		return len(rows), err
	}
	return 0, nil
}

func removal(rows []namedRow) Transaction {
	t := Transaction{}
	for _, r := range rows {
		t.Conditions = append(t.Conditions, Condition{Table: claimTable, Key: r.Key, Revision: r.Revision})
		t.Writes = append(t.Writes, Write{Table: claimTable, Key: r.Key, Value: json.RawMessage("null"), Remove: true})
	}
	return t
}
