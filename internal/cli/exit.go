package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Exit codes of every command.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means a failure without a more specific code, for example a
	// platform outage. A submission may be retried.
	ExitFailed = 1
	// ExitUsage means invalid usage or input. No request was sent.
	ExitUsage = 2
	// ExitRefused means that a daemon refused the request permanently.
	ExitRefused = 3
	// ExitTakenBack means that the ticket was taken back.
	ExitTakenBack = 4
	// ExitTimeout means that the timeout set by --timeout expired.
	ExitTimeout = 5
	// ExitUnreachable means that no daemon responded. A submission may have
	// been accepted and may be retried.
	ExitUnreachable = 6
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code  int
	cause error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

// withExitCode attaches an exit code to err. It returns nil when err is nil.
func withExitCode(err error, code int) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, cause: err}
}

// failureError attaches ExitFailed to err.
func failureError(err error) error { return withExitCode(err, ExitFailed) }

// inputError attaches ExitUsage to an error in the operator's input.
func inputError(err error) error { return withExitCode(err, ExitUsage) }

// usageError returns an error with ExitUsage and the formatted message. It wraps
// cause unless that is nil.
func usageError(cause error, format string, args ...any) error {
	if cause != nil {
		return inputError(fault.Wrap(cause, fault.Invalid, format, args...))
	}
	return inputError(fault.New(fault.Invalid, format, args...))
}

// apiError attaches the matching exit code to an error of an API call. ctx is the
// context of the call, which carries the deadline set by --timeout.
func apiError(ctx context.Context, err error) error {
	kind := fault.KindOf(err)
	switch {
	case err == nil:
		return nil
	case kind == fault.NotFound:
		return withExitCode(err, ExitFailed)
	case admin.Refused(kind):
		return withExitCode(err, ExitRefused)
	case errors.Is(ctx.Err(), context.Canceled):
		return withExitCode(err, ExitFailed)
	case ctx.Err() != nil:
		return withExitCode(err, ExitTimeout)
	case admin.Unreachable(err):
		return withExitCode(err, ExitUnreachable)
	}
	return withExitCode(err, ExitFailed)
}

// exitCode returns the exit code of err. An error without a code comes from the
// command line library, which only checks usage.
func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitUsage
}

// reportError writes err to Stderr, as text or, with --output json, as the API's
// error body.
func (a *app) reportError(err error) {
	body := admin.ErrorBody{Kind: fault.Invalid, Message: err.Error()}
	if faultErr := fault.As(err); faultErr != nil {
		body = admin.ErrorBody{Kind: faultErr.Kind, Message: err.Error(), Details: faultErr.Details, Expected: faultErr.Expected}
	}
	if a.jsonOutput {
		encoded, _ := json.Marshal(body)
		_, _ = fmt.Fprintf(a.config.Stderr, "%s\n", encoded)
		return
	}
	_, _ = fmt.Fprintf(a.config.Stderr, "magnoliamount: %s\n", printable(body.Message))
	for _, detail := range body.Details {
		_, _ = fmt.Fprintf(a.config.Stderr, "  %s\n", printable(detail))
	}
}
