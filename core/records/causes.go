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

// PutCause inserts or overwrites the row of a cause of crashes, or deletes it if the cause need not
// be known any more.
func (h *HostStore) PutCause(ctx context.Context, c crashcause.StoredCause) error {
	value, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "records: encode cause of crashes")
	}
	w := Write{Table: hostsTable, Key: causePrefix + c.Name(), Value: value}
	if c.Expired(time.Now()) {
		w.Value, w.Remove = nil, true
	}
	_, err = h.table.Commit(ctx, Transaction{Writes: []Write{w}})
	return err
}

// decodeCause decodes a row that holds a cause of crashes.
func decodeCause(r Row) (crashcause.StoredCause, bool) {
	var c crashcause.StoredCause
	name, found := strings.CutPrefix(r.Key, causePrefix)
	return c, found && json.Unmarshal(r.Value, &c) == nil && c.Name() == name
}
