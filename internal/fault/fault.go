// Package fault gives every failure of the system a type.
//
// An Error has a Kind, which programs branch on and which the administration
// API returns, and a message for people. Errors wrap their cause and carry a
// stack through github.com/cockroachdb/errors.
package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies a failure. Its text is part of the public API.
type Kind string

// Kinds of failure.
const (
	// Invalid means that input broke a documented rule.
	Invalid Kind = "invalid"
	// NotFound means that the named object does not exist.
	NotFound Kind = "not-found"
	// NumberTaken means that another ticket holds the number.
	NumberTaken Kind = "number-taken"
	// OutOfOrder means that a ticket's number is not the next one.
	OutOfOrder Kind = "out-of-order"
	// OpenMove means that a ticket touches what an open ticket is moving.
	OpenMove Kind = "open-move"
	// ConditionFailed means that a conditional write found another value.
	ConditionFailed Kind = "condition-failed"
	// Unavailable means that the platform did not carry out the operation.
	Unavailable Kind = "unavailable"
	// UnknownOutcome means that a write may have taken effect.
	UnknownOutcome Kind = "unknown-outcome"
	// Throttled means that the platform asked to slow down; nothing was written.
	Throttled Kind = "throttled"
	// Stale means that a message was older than what the receiver has.
	Stale Kind = "stale"
	// Inconsistent means that a state would break its own references.
	Inconsistent Kind = "inconsistent"
	// Unauthorized means that a token or certificate was missing or wrong.
	Unauthorized Kind = "unauthorized"
	// NotReady means that the daemon may not serve yet.
	NotReady Kind = "not-ready"
	// Overloaded means that work was refused because limits were reached.
	Overloaded Kind = "overloaded"
	// Protocol means that a peer sent a malformed message.
	Protocol Kind = "protocol"
	// Timeout means that a deadline passed.
	Timeout Kind = "timeout"
	// Internal means a failure that has no kind of its own.
	Internal Kind = "internal"
)

// Error is a typed failure.
type Error struct {
	// Kind classifies the failure.
	Kind Kind
	// Message describes the failure to people.
	Message string
	// Details lists single findings, for example each fault of a ticket.
	Details []string
	// Expected is the number that OutOfOrder would have accepted.
	Expected uint64
	cause    error
}

// Error returns the kind, the message and the cause.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Message, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.cause }

// New returns a failure of the kind.
func New(kind Kind, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Kind: kind, Message: fmt.Sprintf(format, args...)}, 1)
}

// Wrap returns a failure of the kind caused by err.
func Wrap(err error, kind Kind, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), cause: err}, 1)
}

// WithDetails returns a failure of the kind with a list of findings.
func WithDetails(kind Kind, message string, details []string) error {
	return errors.WithStackDepth(&Error{Kind: kind, Message: message, Details: details}, 1)
}

// As returns the first typed failure in err's chain, or nil.
func As(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return nil
}

// KindOf returns the kind of err, Internal for an untyped error, and "" for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	if typed := As(err); typed != nil {
		return typed.Kind
	}
	return Internal
}

// Is reports whether err has the kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }
