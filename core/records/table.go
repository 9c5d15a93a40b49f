// Package records keeps what must last in a transactional table: configurations with
// their audit trail, the claims of calls that may run once, and the entry hosts.
//
// # Usage
//
//	c := records.NewConfigs(table)
//	a, err := c.Apply(ctx, next, base, audit, changes)
//
// An error of Commit other than a *ConflictError leaves open whether the
// transaction took effect.
package records

import (
	"context"
	"time"
)

// commitTimeout bounds one transaction of claims.
const commitTimeout = 2 * time.Second

// Row is a row of a table. Revision grows with each change of any row.
type Row struct {
	Key      string
	Revision uint64
	Value    []byte
}

// Condition holds when a row is at a revision; revision 0 means there is none.
type Condition struct {
	Table    string
	Key      string
	Revision uint64
}

// Write sets the value of a row, or removes the row.
type Write struct {
	Table  string
	Key    string
	Value  []byte
	Remove bool
}

// Transaction is applied whole if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// ConflictError names the conditions, by index, that did not hold.
type ConflictError struct {
	Failed []int
}

// Error implements error.
func (e *ConflictError) Error() string { return "a condition of the transaction does not hold" }

// Table is a store of rows.
type Table interface {
	// Get returns a row and whether there is one.
	Get(ctx context.Context, table, key string) (Row, bool, error)
	// List returns the rows of a table whose keys begin with prefix, by rising key.
	List(ctx context.Context, table, prefix string) ([]Row, error)
	// Commit applies a transaction and returns the revision of its writes.
	Commit(ctx context.Context, t Transaction) (uint64, error)
	// Away tells whether every call has failed for a while.
	Away() bool
	// Name names the store in errors.
	Name() string
}
