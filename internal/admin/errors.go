package admin

import (
	"net/http"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// statusOf maps each kind of failure to its HTTP status.
var statusOf = map[fault.Kind]int{
	fault.Invalid:         http.StatusBadRequest,
	fault.NotFound:        http.StatusNotFound,
	fault.NumberTaken:     http.StatusConflict,
	fault.OutOfOrder:      http.StatusConflict,
	fault.OpenMove:        http.StatusConflict,
	fault.ConditionFailed: http.StatusConflict,
	fault.Unavailable:     http.StatusServiceUnavailable,
	fault.UnknownOutcome:  http.StatusGatewayTimeout,
	fault.Throttled:       http.StatusTooManyRequests,
	fault.Stale:           http.StatusConflict,
	fault.Inconsistent:    http.StatusUnprocessableEntity,
	fault.Unauthorized:    http.StatusUnauthorized,
	fault.NotReady:        http.StatusServiceUnavailable,
	fault.Overloaded:      http.StatusServiceUnavailable,
	fault.Protocol:        http.StatusBadRequest,
	fault.Timeout:         http.StatusGatewayTimeout,
	fault.Internal:        http.StatusInternalServerError,
}

// HTTPStatus returns the status that the API answers with for the kind.
func HTTPStatus(kind fault.Kind) int {
	if status, ok := statusOf[kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Refused reports whether the kind is a definite answer, which another
// attempt with the same ticket would receive again.
func Refused(kind fault.Kind) bool {
	switch kind {
	case fault.Invalid, fault.NotFound, fault.NumberTaken, fault.OutOfOrder, fault.OpenMove,
		fault.ConditionFailed, fault.Stale, fault.Inconsistent, fault.Unauthorized, fault.Protocol:
		return true
	}
	return false
}

// UnreachableError is the cause of a failure when no daemon gave an answer.
type UnreachableError struct {
	// Server is the last daemon that was tried.
	Server string
	cause  error
}

// Error names the daemon and the cause.
func (e *UnreachableError) Error() string {
	return "no answer from " + e.Server + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.cause }

func bodyOf(err error) ErrorBody {
	typed := fault.As(err)
	if typed == nil {
		return ErrorBody{Kind: fault.Internal, Message: "the daemon failed; its log has the cause"}
	}
	return ErrorBody{Kind: typed.Kind, Message: typed.Message, Details: typed.Details, Expected: typed.Expected}
}

// failure returns the daemon's answer as the failure that it was there.
func (b ErrorBody) failure() error {
	return &fault.Error{Kind: b.Kind, Message: b.Message, Details: b.Details, Expected: b.Expected}
}
