// Package platform is the client of the platform: a transactional table and an
// object store, which hold the system's durable state. Both have outages, slow
// periods, and responses that are lost after a write took effect.
package platform

import "context"

// MaxTransactWrites is the maximum number of writes in one transaction.
const MaxTransactWrites = 100

// Key identifies an item of the table.
type Key struct {
	Partition string
	Sort      string
}

// Item is one entry of the table.
type Item struct {
	Key Key
	// Rev is the revision number that conditions compare.
	Rev  uint64
	Body []byte
}

// Op is the operation of a Write.
type Op int

// Operations of a Write.
const (
	Put Op = iota
	Delete
	// Check tests the condition and writes nothing.
	Check
)

// Condition is the precondition of a Write.
type Condition int

// Conditions of a Write.
const (
	// Always holds.
	Always Condition = iota
	// IfAbsent holds when no item has the key.
	IfAbsent
	// IfRev holds when the item exists and its Rev equals Write.WantRev.
	IfRev
)

// Write is one operation of a transaction.
type Write struct {
	Op        Op
	Condition Condition
	WantRev   uint64
	Item      Item
}

// Table is the transactional table. Its failures have the kinds
// fault.NotFound (Get only), fault.ConditionFailed (Transact only, as
// *ConditionError), fault.Unavailable and fault.Throttled (nothing was
// written), and fault.UnknownOutcome (the write may have taken effect).
type Table interface {
	// Get reads an item with strong consistency.
	Get(ctx context.Context, key Key) (Item, error)
	// Query returns up to limit items of the partition whose sort key is
	// greater than after, in the order of the sort key.
	Query(ctx context.Context, partition, after string, limit int) ([]Item, error)
	// Transact carries out all writes or none of them.
	Transact(ctx context.Context, writes []Write) error
}

// Objects is the object store. Its failures have the same kinds as those of
// Table.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Store holds both parts of the platform.
type Store struct {
	Table   Table
	Objects Objects
}
