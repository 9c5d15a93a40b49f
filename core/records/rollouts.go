package records

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/freshness"
	"cicadabeam/core/rollout"
)

// rolloutsTable has the state of the last roll-out of each service; the key of a row is the
// service's name.
const rolloutsTable = "rollouts"

// RolloutRow is the row of a service, and the store's clock when it was read.
type RolloutRow struct {
	State    rollout.State
	Found    bool
	Revision freshness.StoreVersion // zero if there is no row
	NowMS    int64
}

// RolloutStore stores the states of roll-outs, and with each the row that the operator reads.
type RolloutStore struct {
	table  Table
	status func(s rollout.State) Write
}

// NewRolloutStore returns the roll-outs in a table. status encodes the operator's row of a state.
func NewRolloutStore(t Table, status func(s rollout.State) Write) *RolloutStore {
	return &RolloutStore{table: t, status: status}
}

// Load reads the row of a service. A row that can't be decoded counts as one without a state, which the
// next write replaces.
func (r *RolloutStore) Load(ctx context.Context, service string) (RolloutRow, error) {
	row, exists, err := r.table.Get(ctx, rolloutsTable, service)
	if err != nil {
		return RolloutRow{}, err
	}
	x := RolloutRow{NowMS: row.ReadMS}
	if exists {
		x.Revision = row.Revision
		x.Found = json.Unmarshal(row.Value, &x.State) == nil && x.State.Service == service
	}
	return x, nil
}

// Save writes a state and the operator's row if the row is still at a revision. After an error other
// than a *ConflictError it is unknown whether they were written.
func (r *RolloutStore) Save(ctx context.Context, s rollout.State, revision freshness.StoreVersion) (freshness.StoreVersion, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return freshness.StoreVersion{}, errors.Wrap(err, "records: encode roll-out")
	}
	return r.table.Commit(ctx, Transaction{
		Conditions: []Condition{{Table: rolloutsTable, Key: s.Service, Revision: revision}},
		Writes:     []Write{{Table: rolloutsTable, Key: s.Service, Value: value}, r.status(s)},
	})
}

// Era returns the newest known era of the store.
func (r *RolloutStore) Era() uint64 { return r.table.Eras().Current() }
