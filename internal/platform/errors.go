package platform

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// ConditionError reports the writes of a transaction whose condition failed.
// No write of the transaction took effect.
type ConditionError struct {
	// Failed holds the indexes of the writes in ascending order.
	Failed []int
}

// Error returns a message with the indexes of the writes.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("conditions of writes %v failed", e.Failed)
}

// NewConditionError returns an error of kind fault.ConditionFailed that wraps a
// ConditionError with the indexes of the writes.
func NewConditionError(failed ...int) error {
	return fault.Wrap(&ConditionError{Failed: failed}, fault.ConditionFailed, "transaction refused")
}

// FailedWrites returns the indexes of the writes whose condition failed, or nil
// if err has no ConditionError.
func FailedWrites(err error) []int {
	var condition *ConditionError
	if errors.As(err, &condition) {
		return condition.Failed
	}
	return nil
}
