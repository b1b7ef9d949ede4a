package admin

import (
	"net/http"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// statusByKind maps each kind of error to its HTTP status.
var statusByKind = map[fault.Kind]int{
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

// HTTPStatus returns the HTTP status of an error response of the kind. An
// unlisted kind maps to 500.
func HTTPStatus(kind fault.Kind) int {
	if status, ok := statusByKind[kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Refused reports whether the kind is a definite refusal: a retry with the same
// ticket would get the same response.
func Refused(kind fault.Kind) bool {
	switch kind {
	case fault.Invalid, fault.NotFound, fault.NumberTaken, fault.OutOfOrder, fault.OpenMove,
		fault.ConditionFailed, fault.Stale, fault.Inconsistent, fault.Unauthorized, fault.Protocol:
		return true
	}
	return false
}

// UnreachableError is the cause of an error when no daemon sent a response.
type UnreachableError struct {
	// Server is the host and port of the last daemon that was tried.
	Server string
	cause  error
}

// Error returns a text with the daemon's address and the cause.
func (e *UnreachableError) Error() string {
	return "no response from " + e.Server + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.cause }

// newErrorBody returns the response body of an error. It omits the text of an
// error without a kind, because that text may hold internal details.
func newErrorBody(err error) ErrorBody {
	typed := fault.As(err)
	if typed == nil {
		return ErrorBody{Kind: fault.Internal, Message: "the daemon failed; its log has the cause"}
	}
	return ErrorBody{Kind: typed.Kind, Message: typed.Message, Details: typed.Details, Expected: typed.Expected}
}

// toError returns the error that the daemon encoded in the response body.
func (b ErrorBody) toError() error {
	return &fault.Error{Kind: b.Kind, Message: b.Message, Details: b.Details, Expected: b.Expected}
}
