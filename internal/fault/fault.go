// Package fault defines the typed errors of the system.
//
// An Error has a Kind, which programs branch on and which the administration
// API returns, and a message for people. Errors wrap their cause and carry a
// stack trace through github.com/cockroachdb/errors.
package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies a failure. Its text is part of the public API.
type Kind string

// Kinds of failure.
const (
	// Invalid means that input violates a documented rule.
	Invalid Kind = "invalid"
	// NotFound means that the named object does not exist.
	NotFound Kind = "not-found"
	// NumberTaken means that another ticket has the same number.
	NumberTaken Kind = "number-taken"
	// OutOfOrder means that a ticket's number is not the next one.
	OutOfOrder Kind = "out-of-order"
	// OpenMove means that a ticket conflicts with the move of an open ticket.
	OpenMove Kind = "open-move"
	// ConditionFailed means that the condition of a write did not hold.
	ConditionFailed Kind = "condition-failed"
	// Unavailable means that the platform did not carry out the operation.
	Unavailable Kind = "unavailable"
	// UnknownOutcome means that a write may have taken effect.
	UnknownOutcome Kind = "unknown-outcome"
	// Throttled means that the platform throttled the operation; nothing was
	// written.
	Throttled Kind = "throttled"
	// Stale means that a message is older than the receiver's state.
	Stale Kind = "stale"
	// Inconsistent means that a state refers to an object that does not exist.
	Inconsistent Kind = "inconsistent"
	// Unauthorized means that a token or certificate was missing or wrong.
	Unauthorized Kind = "unauthorized"
	// NotReady means that the daemon is not ready to serve.
	NotReady Kind = "not-ready"
	// Overloaded means that a request was rejected because a limit was reached.
	Overloaded Kind = "overloaded"
	// Protocol means that a peer sent a malformed message.
	Protocol Kind = "protocol"
	// Timeout means that a deadline passed.
	Timeout Kind = "timeout"
	// Internal means a failure that none of the other kinds describes.
	Internal Kind = "internal"
)

// Error is a typed failure.
type Error struct {
	// Kind classifies the failure.
	Kind Kind
	// Message describes the failure to people.
	Message string
	// Details lists individual findings, for example each error in a ticket.
	Details []string
	// Expected is the next ticket number; it is set for OutOfOrder.
	Expected uint64
	cause    error
}

// Error returns the kind, the message and the cause, if any.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Message, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of the kind with a formatted message.
func New(kind Kind, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Kind: kind, Message: fmt.Sprintf(format, args...)}, 1)
}

// Wrap returns an error of the kind that has err as its cause.
func Wrap(err error, kind Kind, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), cause: err}, 1)
}

// WithDetails returns an error of the kind with a list of findings.
func WithDetails(kind Kind, message string, details []string) error {
	return errors.WithStackDepth(&Error{Kind: kind, Message: message, Details: details}, 1)
}

// As returns the first *Error in err's chain, or nil.
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

// Is reports whether err is not nil and KindOf(err) is kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }
