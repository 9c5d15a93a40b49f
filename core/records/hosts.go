package records

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/crashcause"
)

// hostsTable is the table of entry hosts; the key of a row is the host's name.
const hostsTable = "nodes"

// EntryHost is the registration of an entry host.
type EntryHost struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Address    string `json:"address"` // of the listener for other nodes
	Leaving    bool   `json:"leaving,omitempty"`
	Revision   uint64 `json:"-"` // of its row, as freshness.StoreVersion.Token; 0 if it did not come from the store
}

// HostStore stores the registrations of entry hosts in a table.
type HostStore struct {
	table Table
}

// NewHostStore returns the entry hosts stored in a table.
func NewHostStore(t Table) *HostStore { return &HostStore{table: t} }

// Register inserts or overwrites the row of an entry host.
func (h *HostStore) Register(ctx context.Context, x EntryHost) error {
	value, err := json.Marshal(x)
	if err != nil {
		return errors.Wrap(err, "records: encode entry host")
	}
	_, err = h.table.Commit(ctx, Transaction{Writes: []Write{{Table: hostsTable, Key: x.Name, Value: value}}})
	return err
}

// Remove deletes the row of an entry host.
func (h *HostStore) Remove(ctx context.Context, name string) error {
	_, err := h.table.Commit(ctx, Transaction{Writes: []Write{{Table: hostsTable, Key: name, Remove: true}}})
	return err
}

// List returns the entry hosts by name, and the causes of crashes. Rows that cannot be decoded, or
// whose key is not the name of the host or cause, are skipped.
func (h *HostStore) List(ctx context.Context) ([]EntryHost, []crashcause.StoredCause, error) {
	rows, err := h.table.List(ctx, hostsTable, "")
	if err != nil {
		return nil, nil, err
	}
	hosts := make([]EntryHost, 0, len(rows))
	var causes []crashcause.StoredCause
	for _, r := range rows {
		if c, found := decodeCause(r); found {
			causes = append(causes, c)
			continue
		}
		var x EntryHost
		if json.Unmarshal(r.Value, &x) == nil && x.Name == r.Key {
			x.Revision = r.Revision.Token()
			hosts = append(hosts, x)
		}
	}
	return hosts, causes, nil
}
