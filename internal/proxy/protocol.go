package proxy

import (
	"net/http"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Protocol names the header fields that callers and targets use. A feature
// whose field has no name is off.
type Protocol struct {
	// RequestID carries the id of a request, which a target echoes.
	RequestID string
	// Deadline carries the remaining time in milliseconds.
	Deadline string
	// CallerService names the service of the VM where a request began.
	CallerService string
	// ExpectedInstance names the only run of a target that may run a request.
	ExpectedInstance string
	// NotExecuted marks the answer of a target that did not run the request.
	NotExecuted string
	// Signature is on every answer that a target gives after it ran a request.
	// With a name, answers are checked, and read whole before they are passed on.
	Signature string
}

// DefaultProtocol holds the product's own field names.
func DefaultProtocol() Protocol {
	return Protocol{RequestID: RequestHeader, Deadline: DeadlineHeader}
}

// own reports whether callers and targets use the daemons' own field names.
func (p *Protocol) own() bool { return p.RequestID == RequestHeader }

// checked reports whether the answers of targets can be told from others.
func (p *Protocol) checked() bool { return p.Signature != "" }

// promisesNotRun reports whether callers take the status as a promise that
// the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// check returns the answer to pass on in place of a target's answer that
// cannot be passed on as it is, or nil.
func (p *Protocol) check(response *http.Response, id string) *refusal {
	if !p.checked() {
		return nil
	}
	h := response.Header
	if echoed := h.Get(p.RequestID); echoed != "" && id != "" && echoed != id {
		return unknown(http.StatusBadGateway, fault.New(fault.Protocol, "the target answered request %q instead", echoed))
	}
	if p.NotExecuted != "" && h.Get(p.NotExecuted) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		return p.notExecuted(response.StatusCode)
	}
	signed := h.Get(p.Signature) != ""
	switch {
	case promisesNotRun(response.StatusCode):
		return unknown(http.StatusBadGateway, fault.New(fault.Protocol, "the target answered status %d without saying that the request did not run", response.StatusCode))
	case response.StatusCode < http.StatusMultipleChoices && !signed:
		return unknown(http.StatusBadGateway, fault.New(fault.Protocol, "the target's answer has no signature"))
	case h.Get("Content-Encoding") != "":
		return unknown(http.StatusBadGateway, fault.New(fault.Protocol, "the target encoded its answer"))
	}
	return nil
}

// notExecuted is the refusal for an answer by which the target says that it
// did not run the request. Status 400 is the caller's own fault.
func (p *Protocol) notExecuted(status int) *refusal {
	if status == http.StatusBadRequest {
		return notRun(status, fault.New(fault.Invalid, "the target found the request malformed"))
	}
	refused := notRun(http.StatusServiceUnavailable, fault.New(fault.Overloaded, "the target did not run the request, status %d", status))
	refused.arrived = true
	refused.refused = status == http.StatusMisdirectedRequest
	return refused
}
