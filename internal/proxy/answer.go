package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// retryAfterDecimals is the precision of Retry-After, whose unit is the second.
const retryAfterDecimals = 3

// memoryRetryAfter is the Retry-After of a request whose body finds no memory. Stalled
// connections are dropped after one second.
const memoryRetryAfter = time.Second

// ErrorBody is the JSON body of every response that a daemon generates itself.
type ErrorBody struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
	Outcome Outcome    `json:"outcome"`
	Request string     `json:"request,omitempty"`
}

// refusal is an error response that a daemon generates itself.
type refusal struct {
	status  int
	outcome Outcome
	err     error
	noRetry bool
	// targetUnavailable is set when the target currently accepts no requests.
	targetUnavailable bool
	// reachedTarget is set when the request reached a target.
	reachedTarget bool
	// quarantined is set for a request that crashed several targets.
	quarantined bool
	// senderRetries is set when the sender will try another target, so that this
	// refusal is not the final result of the request.
	senderRetries bool
	// noBody omits the body that describes the refusal.
	noBody bool
	// closeConnection closes the caller's connection after the refusal, without
	// reading the rest of the request's body.
	closeConnection bool
	// retryAfter is the value of the Retry-After header; zero omits the header.
	retryAfter time.Duration
	// crashFingerprint is the fingerprint of the request if the target crashed
	// while it ran the request, and zero otherwise.
	crashFingerprint uint64
	// bystander is set when a target has recently answered the same request, so
	// that the request did not cause the crash.
	bystander bool
}

func notRun(status int, err error) *refusal {
	return &refusal{status: status, outcome: NotRun, err: err}
}

func unknown(status int, err error) *refusal {
	return &refusal{status: status, outcome: Unknown, err: err}
}

// badInput returns the refusal for headers that parseInput rejected.
func badInput(err error) *refusal {
	if fault.Is(err, fault.Overloaded) {
		return notRun(http.StatusRequestHeaderFieldsTooLarge, err)
	}
	return notRun(http.StatusBadRequest, err)
}

// badBody returns the refusal for a request whose body could not be read.
func badBody(err error) *refusal {
	if fault.Is(err, fault.Timeout) {
		return notRun(http.StatusGatewayTimeout, err)
	}
	if fault.Is(err, fault.Overloaded) {
		refused := notRun(http.StatusServiceUnavailable, err)
		refused.retryAfter, refused.closeConnection = memoryRetryAfter, true
		return refused
	}
	return notRun(http.StatusBadRequest, err)
}

// write sends the response. The request's id may be empty.
func (a *refusal) write(w http.ResponseWriter, id string) {
	h := w.Header()
	var encoded []byte
	if !a.noBody {
		encoded = a.encodeBody(id)
		setHeader(h, "Content-Type", "application/json")
	}
	setHeader(h, OutcomeHeader, string(a.outcome))
	setHeader(h, "Content-Length", strconv.Itoa(len(encoded)))
	if a.closeConnection {
		setHeader(h, "Connection", "close")
	}
	if a.noRetry {
		setHeader(h, NoRetryHeader, "1")
	}
	if a.targetUnavailable {
		setHeader(h, refusedHeader, "1")
	}
	if a.reachedTarget {
		setHeader(h, arrivedHeader, "1")
	}
	if a.retryAfter > 0 {
		setHeader(h, "Retry-After", formatRetryAfter(a.retryAfter))
	}
	if a.crashFingerprint != 0 {
		setHeader(h, CrashHeader, strconv.FormatUint(a.crashFingerprint, 16))
		if a.bystander {
			setHeader(h, bystanderHeader, "1")
		}
	}
	w.WriteHeader(a.status)
	// A write error means that the caller has disconnected; nothing is left to do.
	_, _ = w.Write(encoded)
}

func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', retryAfterDecimals, 64)
}

// encodeBody returns the body that describes the refusal.
func (a *refusal) encodeBody(id string) []byte {
	body := ErrorBody{Kind: fault.KindOf(a.err), Message: a.err.Error(), Outcome: a.outcome, Request: id}
	if typed := fault.As(a.err); typed != nil {
		body.Message = typed.Message
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return []byte("{}")
	}
	return encoded
}

// recordRefusal adds refusals that matter to operators to the timeline.
func recordRefusal(o Observer, refused *refusal, id string, inputs func() string) {
	event := timeline.Event{Request: id, Detail: refused.err.Error()}
	switch {
	case refused.senderRetries:
		return
	case refused.crashFingerprint != 0:
		event.Kind = timeline.TargetCrashed
	case refused.quarantined:
		event.Kind = timeline.RequestQuarantined
	case refused.outcome == NotRun && fault.Is(refused.err, fault.Overloaded):
		event.Kind = timeline.RequestShed
	case refused.outcome == NotRun && (refused.status >= http.StatusInternalServerError || refused.status == http.StatusUnauthorized):
		event.Kind = timeline.RequestRefused
	case refused.outcome == Unknown:
		event.Kind = timeline.RequestFailed
	default:
		return
	}
	event.Detail += inputs()
	o.Record(event)
}
