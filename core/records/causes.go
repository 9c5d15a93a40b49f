package records

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/crashcause"
)

// causePrefix begins the keys of the rows that hold causes of crashes. They are in the table of
// entry hosts, which each host reads as it starts.
const causePrefix = "crash-cause/"

// suspicionPrefix begins the keys of the rows of those that are only suspected, which older versions
// must not take for the others.
const suspicionPrefix = "crash-suspicion/"

// PutCause inserts or overwrites the row of a cause of crashes, or deletes it if the cause need not
// be known any more. That of a conviction
// takes the place of that of a suspicion.
func (h *HostStore) PutCause(ctx context.Context, c crashcause.StoredCause) error {
	value, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "records: encode cause of crashes")
	}
	rows := []Write{{Table: hostsTable, Key: causePrefix + c.Name(), Value: value}, {Table: hostsTable, Key: suspicionPrefix + c.Name(), Remove: true}}
	if c.Probation != nil {
		rows = []Write{{Table: hostsTable, Key: suspicionPrefix + c.Name(), Value: value}}
	}
	if c.Expired(time.Now()) {
		rows[0].Value, rows[0].Remove = nil, true
	}
	_, err = h.table.Commit(ctx, Transaction{Writes: rows})
	return err
}

// decodeCause decodes a row that holds a cause of crashes.
func decodeCause(r Row) (crashcause.StoredCause, bool) {
	var c crashcause.StoredCause
	name, convicted := strings.CutPrefix(r.Key, causePrefix)
	name, suspected := strings.CutPrefix(name, suspicionPrefix)
	if !convicted && !suspected || json.Unmarshal(r.Value, &c) != nil {
		return c, false
	}
	return c, c.Name() == name && suspected == (c.Probation != nil)
}
