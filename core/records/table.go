// Package records stores persistent data in a transactional table: configurations
// with their audit trail, the claims of calls that may run at most once, and the
// registrations of entry hosts.
//
// # Usage
//
//	c := records.NewConfigStore(table)
//	a, err := c.Apply(ctx, next, base, audit, changes)
//
// After an error of Commit other than a *ConflictError, it is unknown whether the
// transaction took effect.
package records

import (
	"context"
	"time"

	"cicadabeam/core/freshness"
)

// commitTimeout is the time limit of one transaction of claims.
const commitTimeout = 2 * time.Second

// Row is a row of a table. Revision increases with each change to any row.
type Row struct {
	Key      string
	Revision freshness.StoreVersion
	Value    []byte
	ReadMS   int64 // the store's clock when Get read the row, or found that there is none; 0 if unknown
}

// Condition requires that a row is at a revision; the zero revision requires that the row
// does not exist. A revision of an older era of the store never holds, as the store may
// have given it to another change since.
type Condition struct {
	Table    string
	Key      string
	Revision freshness.StoreVersion
}

// Write sets the value of a row or deletes the row.
type Write struct {
	Table  string
	Key    string
	Value  []byte
	Remove bool
}

// Transaction is applied atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// ConflictError lists the indexes of the conditions that did not hold.
type ConflictError struct {
	Failed []int
}

// Error implements error.
func (e *ConflictError) Error() string { return "a condition of the transaction does not hold" }

// Table is a store of rows.
type Table interface {
	// Get returns a row and reports whether it exists.
	Get(ctx context.Context, table, key string) (Row, bool, error)
	// List returns the rows of a table whose keys begin with prefix, in ascending
	// order of keys.
	List(ctx context.Context, table, prefix string) ([]Row, error)
	// Commit applies a transaction and returns the revision of its writes.
	Commit(ctx context.Context, t Transaction) (freshness.StoreVersion, error)
	// Unavailable reports whether all requests have failed for some time.
	Unavailable() bool
	// Eras returns the eras of the store.
	Eras() *freshness.Eras
	// Name returns the name under which errors refer to the store.
	Name() string
}
