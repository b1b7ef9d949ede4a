package platform

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// ConditionError says which writes of a transaction failed their condition.
// Nothing of the transaction took effect.
type ConditionError struct {
	// Failed holds the indexes of the writes, ascending.
	Failed []int
}

// Error lists the writes.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("conditions of writes %v failed", e.Failed)
}

// NewConditionError returns a failure of kind fault.ConditionFailed that
// names the writes.
func NewConditionError(failed ...int) error {
	return fault.Wrap(&ConditionError{Failed: failed}, fault.ConditionFailed, "transaction refused")
}

// FailedWrites returns the writes whose condition failed, or nil.
func FailedWrites(err error) []int {
	var condition *ConditionError
	if errors.As(err, &condition) {
		return condition.Failed
	}
	return nil
}
