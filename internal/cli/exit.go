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
	// ExitOK means that the command did what it was asked to do.
	ExitOK = 0
	// ExitFailed means a failure that has no code of its own, for example a
	// platform outage. A submission may be run again.
	ExitFailed = 1
	// ExitUsage means wrong usage or bad input; nothing was sent.
	ExitUsage = 2
	// ExitRefused means that a daemon refused the request for good.
	ExitRefused = 3
	// ExitTakenBack means that the ticket was taken back.
	ExitTakenBack = 4
	// ExitTimeout means that the time given by --timeout passed.
	ExitTimeout = 5
	// ExitUnreachable means that no daemon gave an answer. A submission may
	// have been accepted and may be run again.
	ExitUnreachable = 6
)

// exitError is a failure with its exit code.
type exitError struct {
	code  int
	cause error
}

// Error returns the cause's text.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

func withCode(err error, code int) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, cause: err}
}

// failed gives a failure of the program itself its code.
func failed(err error) error { return withCode(err, ExitFailed) }

// badInput gives a failure of the operator's input its code.
func badInput(err error) error { return withCode(err, ExitUsage) }

// usage is a failure of the command line. The cause may be nil.
func usage(cause error, format string, args ...any) error {
	if cause != nil {
		return badInput(fault.Wrap(cause, fault.Invalid, format, args...))
	}
	return badInput(fault.New(fault.Invalid, format, args...))
}

// answered gives a failure of an API call its code. The context is the one
// that --timeout bounds.
func answered(ctx context.Context, err error) error {
	kind := fault.KindOf(err)
	switch {
	case err == nil:
		return nil
	case kind == fault.NotFound:
		return withCode(err, ExitFailed)
	case admin.Refused(kind):
		return withCode(err, ExitRefused)
	case errors.Is(ctx.Err(), context.Canceled):
		return withCode(err, ExitFailed)
	case ctx.Err() != nil:
		return withCode(err, ExitTimeout)
	case admin.Unreachable(err):
		return withCode(err, ExitUnreachable)
	}
	return withCode(err, ExitFailed)
}

// exitCode returns the code of a failure. A failure without a code comes from
// the command line library, which only checks usage.
func exitCode(err error) int {
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitUsage
}

// report writes a failure to Stderr, as text or as the API's error body.
func (a *app) report(err error) {
	body := admin.ErrorBody{Kind: fault.Invalid, Message: err.Error()}
	if typed := fault.As(err); typed != nil {
		body = admin.ErrorBody{Kind: typed.Kind, Message: err.Error(), Details: typed.Details, Expected: typed.Expected}
	}
	if a.json {
		encoded, _ := json.Marshal(body)
		_, _ = fmt.Fprintf(a.config.Stderr, "%s\n", encoded)
		return
	}
	_, _ = fmt.Fprintf(a.config.Stderr, "magnoliamount: %s\n", printable(body.Message))
	for _, detail := range body.Details {
		_, _ = fmt.Fprintf(a.config.Stderr, "  %s\n", printable(detail))
	}
}
