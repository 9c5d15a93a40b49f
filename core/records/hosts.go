package records

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/crashcause"
	"cicadabeam/core/streamversion"
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

// HostTable is the content of the table of entry hosts.
type HostTable struct {
	Hosts    []EntryHost
	Causes   []crashcause.StoredCause       // of crashes
	Versions []streamversion.ServiceVersion // that services have lately had
}

// List returns the entry hosts by name, and what else outlives all hosts. Rows that cannot be
// decoded, or whose key is not the name of what they hold, are skipped.
func (h *HostStore) List(ctx context.Context) (HostTable, error) {
	rows, err := h.table.List(ctx, hostsTable, "")
	if err != nil {
		return HostTable{}, err
	}
	t := HostTable{Hosts: make([]EntryHost, 0, len(rows))}
	for _, r := range rows {
		if c, found := decodeCause(r); found {
			t.Causes = append(t.Causes, c)
			continue
		}
		if v, found := decodeVersion(r); found {
			t.Versions = append(t.Versions, v)
			continue
		}
		var x EntryHost
		if json.Unmarshal(r.Value, &x) == nil && x.Name == r.Key {
			x.Revision = r.Revision.Token()
			t.Hosts = append(t.Hosts, x)
		}
	}
	return t, nil
}
