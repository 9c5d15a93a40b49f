package records

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// hostsTable holds the entry hosts, each under its name.
const hostsTable = "nodes"

// EntryHost is an entry host as it registers itself.
type EntryHost struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Address    string `json:"address"` // of its listener for other nodes
	Leaving    bool   `json:"leaving,omitempty"`
}

// Hosts keeps the entry hosts in a table.
type Hosts struct {
	table Table
}

// NewHosts returns the entry hosts kept in a table.
func NewHosts(t Table) *Hosts { return &Hosts{table: t} }

// Register writes an entry host's row.
func (h *Hosts) Register(ctx context.Context, x EntryHost) error {
	value, err := json.Marshal(x)
	if err != nil {
		return errors.Wrap(err, "encode an entry host")
	}
	_, err = h.table.Commit(ctx, Transaction{Writes: []Write{{Table: hostsTable, Key: x.Name, Value: value}}})
	return err
}

// Remove takes an entry host's row away.
func (h *Hosts) Remove(ctx context.Context, name string) error {
	_, err := h.table.Commit(ctx, Transaction{Writes: []Write{{Table: hostsTable, Key: name, Remove: true}}})
	return err
}

// List returns the entry hosts by name. Rows that can't be read name none.
func (h *Hosts) List(ctx context.Context) ([]EntryHost, error) {
	rows, err := h.table.List(ctx, hostsTable, "")
	if err != nil {
		return nil, err
	}
	hosts := make([]EntryHost, 0, len(rows))
	for _, r := range rows {
		var x EntryHost
		if json.Unmarshal(r.Value, &x) == nil && x.Name == r.Key {
			hosts = append(hosts, x)
		}
	}
	return hosts, nil
}
