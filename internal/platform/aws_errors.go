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

// access is the kind of access of an operation: read or write.
type access int

const (
	readAccess access = iota
	writeAccess
)

// awsCall tracks one request, so that its error can be classified.
type awsCall struct {
	ctx       context.Context
	access    access
	operation string
	// maybeSent is true once the request has a connection: from then on the
	// platform may have received the request.
	maybeSent atomic.Bool
}

// newCall returns a call whose context ends after the timeout.
func newCall(ctx context.Context, timeout time.Duration, kind access, operation string) (*awsCall, context.CancelFunc) {
	call := &awsCall{access: kind, operation: operation}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	call.ctx = httptrace.WithClientTrace(bounded, &httptrace.ClientTrace{
		// net/http requests a second connection for a write only if no
		// part of the write was sent on the first one.
		GetConn: func(string) { call.maybeSent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { call.maybeSent.Store(true) },
	})
	return call, cancel
}

// classify wraps err in an error of the matching kind. It returns nil for nil.
func (c *awsCall) classify(err error) error {
	if err == nil {
		return nil
	}
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return c.classifyCanceled(err, canceled.CancellationReasons)
	}
	var api smithy.APIError
	if errors.As(err, &api) {
		return c.classifyAPIError(err, api.ErrorCode())
	}
	return c.classifyNoResponse(err)
}

// Codes of the reasons for a canceled transaction.
const (
	reasonNone      = "None"
	reasonCondition = "ConditionalCheckFailed"
	reasonInvalid   = "ValidationError"
)

// classifyCanceled classifies a canceled transaction. None of its writes took
// effect.
func (c *awsCall) classifyCanceled(err error, reasons []types.CancellationReason) error {
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
		// The other reasons are a conflict with another transaction and
		// several kinds of throttling. A retry after a backoff can succeed.
		return c.wrap(err, fault.Throttled)
	}
}

// classifyAPIError classifies an error response with the given error code.
func (c *awsCall) classifyAPIError(err error, code string) error {
	if code == "ConditionalCheckFailedException" {
		return NewConditionError(0)
	}
	if kind, ok := kindByErrorCode[code]; ok {
		return c.wrap(err, kind)
	}
	return c.classifyAmbiguous(err)
}

// kindByErrorCode holds the error codes that guarantee that the operation was not
// carried out. An internal error (status 500) is not among them: the API
// documents that a write may have succeeded.
var kindByErrorCode = map[string]fault.Kind{
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

// classifyNoResponse classifies an error without a readable response.
func (c *awsCall) classifyNoResponse(err error) error {
	if !c.maybeSent.Load() {
		return c.wrap(err, fault.Unavailable)
	}
	return c.classifyAmbiguous(err)
}

// classifyAmbiguous classifies an error that does not show whether the operation
// was carried out.
func (c *awsCall) classifyAmbiguous(err error) error {
	if c.access == readAccess {
		return c.wrap(err, fault.Unavailable)
	}
	return c.wrap(err, fault.UnknownOutcome)
}

func (c *awsCall) wrap(err error, kind fault.Kind) error {
	return fault.Wrap(err, kind, "%s failed", c.operation)
}
