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

// ErrorBody is the JSON body of every answer that a daemon makes itself.
type ErrorBody struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
	Outcome Outcome    `json:"outcome"`
	Request string     `json:"request,omitempty"`
}

// refusal is an answer that a daemon makes itself.
type refusal struct {
	status  int
	outcome Outcome
	err     error
	noRetry bool
	// refused is set when the target takes no requests at the moment.
	refused bool
	// arrived is set when the request reached a target.
	arrived bool
	// quarantined is set for a request that crashed several targets.
	quarantined bool
	// asking is set when the sender will ask another target, so that nothing
	// has been decided about the request.
	asking bool
	// retryAfter is when the caller may come back; zero leaves it out.
	retryAfter time.Duration
	// crash is the fingerprint of the request if the target died with it.
	crash uint64
	// bystander is set when a target has answered the same request lately, so
	// that it did not cause the crash.
	bystander bool
}

func notRun(status int, err error) *refusal {
	return &refusal{status: status, outcome: NotRun, err: err}
}

func unknown(status int, err error) *refusal {
	return &refusal{status: status, outcome: Unknown, err: err}
}

// badInput is the answer to headers that parseInput refused.
func badInput(err error) *refusal {
	if fault.Is(err, fault.Overloaded) {
		return notRun(http.StatusRequestHeaderFieldsTooLarge, err)
	}
	return notRun(http.StatusBadRequest, err)
}

// badBody is the answer to a request whose body could not be read.
func badBody(err error) *refusal {
	if fault.Is(err, fault.Timeout) {
		return notRun(http.StatusGatewayTimeout, err)
	}
	return notRun(http.StatusBadRequest, err)
}

// write sends the answer. The request's id may be empty.
func (a *refusal) write(w http.ResponseWriter, id string) {
	body := ErrorBody{Kind: fault.KindOf(a.err), Message: a.err.Error(), Outcome: a.outcome, Request: id}
	if typed := fault.As(a.err); typed != nil {
		body.Message = typed.Message
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		encoded = []byte("{}")
	}
	h := w.Header()
	setOne(h, OutcomeHeader, string(a.outcome))
	setOne(h, "Content-Type", "application/json")
	setOne(h, "Content-Length", strconv.Itoa(len(encoded)))
	if a.noRetry {
		setOne(h, NoRetryHeader, "1")
	}
	if a.refused {
		setOne(h, refusedHeader, "1")
	}
	if a.arrived {
		setOne(h, arrivedHeader, "1")
	}
	if a.retryAfter > 0 {
		setOne(h, "Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', retryAfterDecimals, 64))
	}
	if a.crash != 0 {
		setOne(h, CrashHeader, strconv.FormatUint(a.crash, 16))
		if a.bystander {
			setOne(h, bystanderHeader, "1")
		}
	}
	w.WriteHeader(a.status)
	// A caller that has gone away does not need the body.
	_, _ = w.Write(encoded)
}

// recordRefusal adds refusals that an operator looks for to the time line.
func recordRefusal(o Observer, refused *refusal, id string, inputs func() string) {
	event := timeline.Event{Request: id, Detail: refused.err.Error()}
	switch {
	case refused.asking:
		return
	case refused.crash != 0:
		event.Kind = timeline.TargetCrashed
	case refused.quarantined:
		event.Kind = timeline.RequestQuarantined
	case refused.outcome == NotRun && fault.Is(refused.err, fault.Overloaded):
		event.Kind = timeline.RequestShed
	case refused.outcome == NotRun && refused.status >= http.StatusInternalServerError:
		event.Kind = timeline.RequestRefused
	case refused.outcome == Unknown:
		event.Kind = timeline.RequestFailed
	default:
		return
	}
	event.Detail += inputs()
	o.Record(event)
}
