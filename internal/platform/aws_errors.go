package platform

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// access says whether an operation changes the platform.
type access int

const (
	reading access = iota
	writing
)

// awsCall follows one request, so that its failure can be classified.
type awsCall struct {
	ctx       context.Context
	access    access
	operation string
	// sent is true when a connection was handed to the request: from then on
	// the platform may have received it.
	sent atomic.Bool
}

func newCall(ctx context.Context, timeout time.Duration, kind access, operation string) (*awsCall, context.CancelFunc) {
	call := &awsCall{access: kind, operation: operation}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	call.ctx = httptrace.WithClientTrace(bounded, &httptrace.ClientTrace{
		// net/http asks for a second connection only when nothing of a
		// write was sent on the first one.
		GetConn: func(string) { call.sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { call.sent.Store(true) },
	})
	return call, cancel
}

// failure gives err, which may be nil, its kind.
func (c *awsCall) failure(err error) error {
	if err == nil {
		return nil
	}
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return c.canceled(err, canceled.CancellationReasons)
	}
	var api smithy.APIError
	if errors.As(err, &api) {
		return c.answered(err, api.ErrorCode())
	}
	return c.unanswered(err)
}

// Codes of the reasons for which a transaction is canceled.
const (
	reasonNone      = "None"
	reasonCondition = "ConditionalCheckFailed"
	reasonInvalid   = "ValidationError"
)

// canceled classifies a canceled transaction, of which nothing took effect.
func (c *awsCall) canceled(err error, reasons []types.CancellationReason) error {
	var failed []int
	invalid := false
	for i := range reasons {
		if reasons[i].Code == nil {
			continue
		}
		switch *reasons[i].Code {
		case reasonCondition:
			failed = append(failed, i)
		case reasonInvalid:
			invalid = true
		}
	}
	switch {
	case invalid:
		return c.wrap(err, fault.Invalid)
	case len(failed) > 0:
		return NewConditionError(failed...)
	default:
		// The other reasons, a conflict with another transaction and the
		// kinds of throttling, go away when the caller slows down.
		return c.wrap(err, fault.Throttled)
	}
}

// answered classifies an error that the platform sent.
func (c *awsCall) answered(err error, code string) error {
	if code == "ConditionalCheckFailedException" {
		return NewConditionError(0)
	}
	if kind, ok := kindsOfCodes[code]; ok {
		return c.wrap(err, kind)
	}
	return c.unclear(err)
}

// kindsOfCodes holds the error codes with which the platform says that it
// carried nothing out. An internal error (status 500) is not among them: the
// API documents that a write may have succeeded.
var kindsOfCodes = map[string]fault.Kind{
	"ProvisionedThroughputExceededException": fault.Throttled,
	"ThrottlingException":                    fault.Throttled,
	"Throttling":                             fault.Throttled,
	"RequestLimitExceeded":                   fault.Throttled,
	"TransactionConflictException":           fault.Throttled,
	"SlowDown":                               fault.Throttled,
	"ServiceUnavailable":                     fault.Unavailable,
	"ServiceUnavailableException":            fault.Unavailable,
	"ResourceNotFoundException":              fault.Unavailable,
	"NoSuchBucket":                           fault.Unavailable,
	"NoSuchKey":                              fault.NotFound,
	"ValidationException":                    fault.Invalid,
	"SerializationException":                 fault.Invalid,
	"InvalidRequest":                         fault.Invalid,
	"EntityTooLarge":                         fault.Invalid,
	"AccessDenied":                           fault.Unauthorized,
	"AccessDeniedException":                  fault.Unauthorized,
	"ExpiredTokenException":                  fault.Unauthorized,
	"IncompleteSignatureException":           fault.Unauthorized,
	"InvalidAccessKeyId":                     fault.Unauthorized,
	"InvalidSignatureException":              fault.Unauthorized,
	"RequestTimeTooSkewed":                   fault.Unauthorized,
	"SignatureDoesNotMatch":                  fault.Unauthorized,
	"MissingAuthenticationTokenException":    fault.Unauthorized,
	"UnrecognizedClientException":            fault.Unauthorized,
}

// unanswered classifies a failure without a readable answer.
func (c *awsCall) unanswered(err error) error {
	if !c.sent.Load() {
		return c.wrap(err, fault.Unavailable)
	}
	return c.unclear(err)
}

// unclear classifies a failure that does not say whether the operation was
// carried out.
func (c *awsCall) unclear(err error) error {
	if c.access == reading {
		return c.wrap(err, fault.Unavailable)
	}
	return c.wrap(err, fault.UnknownOutcome)
}

func (c *awsCall) wrap(err error, kind fault.Kind) error {
	return fault.Wrap(err, kind, "%s failed", c.operation)
}
