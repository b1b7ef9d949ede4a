// Package rows defines the interface to the platform's store of versioned rows.
// Package platform implements it with the platform's protocol.
package rows

import (
	"context"
	"time"
)

// Key identifies a row. An empty Part is a valid part.
type Key struct {
	Table string
	Part  string
	Name  string
}

// counterBits is the number of low bits of a version that hold the store's counter.
const counterBits = 40

// Version returns the version for a value of the store's counter in an era. A
// restore of the store from a backup starts the next era, in which the counter
// continues from the backup. A version of a later era is higher than all versions
// of earlier eras, and the counter zero stands for a row that does not exist.
func Version(era, counter uint64) uint64 { return era<<counterBits | Counter(counter) }

// Era returns the era of the version.
func Era(version uint64) uint64 { return version >> counterBits }

// Counter returns the value of the store's counter in the version.
func Counter(version uint64) uint64 { return version & (1<<counterBits - 1) }

// Row is a row with the version that the store assigned to it. All rows share
// one version counter, so a higher version is newer. Rows that a restore brought
// back have versions of the new era, like rows that were written since.
type Row struct {
	Key
	Value   []byte
	Version uint64
}

// Change is the write or the removal of a row.
type Change struct {
	Row
	Removed bool
}

// Snapshot holds all rows of a table at one version.
type Snapshot struct {
	Rows    []Row
	Version uint64
}

// Condition requires that a row has the version; the counter zero and versions of
// an earlier era than the store's require that the row does not exist.
type Condition struct {
	Key     Key
	Version uint64
}

// ConflictError reports a transaction whose conditions did not hold.
type ConflictError struct {
	// Rows holds the current rows of the conditions, without those that do not
	// exist.
	Rows []Row
	// Cause has the kind fault.ConditionFailed.
	Cause error
}

// Error returns the cause's text.
func (e *ConflictError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ConflictError) Unwrap() error { return e.Cause }

// Transaction is applied atomically. All its rows are in one part.
type Transaction struct {
	Conditions []Condition
	Writes     []Row
	Removes    []Key
}

// Store is the platform's store. Its errors have the kinds fault.Unavailable
// (nothing was applied), fault.Throttled (nothing was applied, and the caller
// should reduce its rate), fault.UnknownOutcome (a write may have been applied or
// may still be applied) and those of the methods below.
type Store interface {
	// List returns all rows of the table in all parts that the product uses.
	List(ctx context.Context, table string) (Snapshot, error)
	// Watch waits until a row of the table is newer than the version and
	// returns the changes in order, with the version to continue from. It
	// returns no changes when the wait times out, and fails with fault.Stale when
	// the store no longer has the history or is in a later era than the version, so
	// that the table must be listed again.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Commit applies the transaction and returns its version. It fails with
	// fault.ConditionFailed and a *ConflictError when a condition does not hold, and
	// with fault.UnknownOutcome when the store was restored meanwhile.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
	// Clock estimates the time on the store's clock, a monotonic clock that all
	// VMs share. It returns false before the store's first response.
	Clock() (time.Duration, bool)
}
