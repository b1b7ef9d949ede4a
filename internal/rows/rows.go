// Package rows is the platform's store of versioned rows, as the product uses
// it. An adapter speaks the platform's protocol; tests use package memory.
package rows

import (
	"context"
	"time"
)

// Key names a row. The empty Part is one like any other.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is a row with the version that the store gave it. Versions come from
// one counter for all rows, so that a higher one is newer.
type Row struct {
	Key
	Value   []byte
	Version uint64
}

// Change is a row that was written or removed.
type Change struct {
	Row
	Removed bool
}

// Snapshot holds all rows of a table as of one version.
type Snapshot struct {
	Rows    []Row
	Version uint64
}

// Condition asks that a row has a version; zero asks that it does not exist.
type Condition struct {
	Key     Key
	Version uint64
}

// ConflictError reports a transaction whose conditions did not hold.
type ConflictError struct {
	// Rows holds the rows of the conditions that exist, as they are.
	Rows []Row
	// Cause is of the kind fault.ConditionFailed.
	Cause error
}

// Error returns the cause's text.
func (e *ConflictError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ConflictError) Unwrap() error { return e.Cause }

// Transaction is applied as a whole or not at all. All rows share one part.
type Transaction struct {
	Conditions []Condition
	Writes     []Row
	Removes    []Key
}

// Store is the platform's store. Its failures have the kinds fault.Unavailable
// (nothing was done), fault.Throttled (nothing was done, and the caller should
// slow down), fault.UnknownOutcome (a write may have been or may yet be done)
// and those named below.
type Store interface {
	// List returns all rows of the table in all parts that the product uses.
	List(ctx context.Context, table string) (Snapshot, error)
	// Watch waits until a row of the table is newer than the version and
	// returns the changes in order, with the version to continue from. It
	// returns none when the wait ends, and fails with fault.Stale when the
	// store no longer has the history, so that the table has to be listed.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Commit applies the transaction and returns its version. It fails with
	// fault.ConditionFailed and a *ConflictError when a row has another version.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
	// Clock estimates the store's clock, a steady one that all VMs share. It
	// returns false before the first answer of the store.
	Clock() (time.Duration, bool)
}
