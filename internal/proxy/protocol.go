package proxy

import (
	"net/http"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Protocol names the header fields that callers and targets use. A feature whose
// field name is empty is disabled.
type Protocol struct {
	// RequestID carries the id of a request, which a target echoes.
	RequestID string
	// Deadline carries the time until the deadline in milliseconds.
	Deadline string
	// CallerService names the service of the VM that sent the request.
	CallerService string
	// ExpectedInstance names the only target process that may run the request.
	ExpectedInstance string
	// NotExecuted marks the response of a target that did not run the request.
	NotExecuted string
	// Signature is on every response of a target that ran the request. If the name
	// is set, responses are verified, and buffered before they are forwarded.
	Signature string
	// Tenant carries the name of the tenant to the target.
	Tenant string
	// Load carries a target's running and waiting requests, its slots, and the time
	// that work takes on its machine, in percent of the usual time.
	Load string
	// ColdRemaining is how much longer a target stays cold.
	ColdRemaining string
}

// DefaultProtocol returns the daemons' own header field names.
func DefaultProtocol() Protocol {
	return Protocol{RequestID: RequestHeader, Deadline: DeadlineHeader}
}

// usesDaemonHeaders reports whether callers and targets use the daemons' own
// header field names.
func (p *Protocol) usesDaemonHeaders() bool { return p.RequestID == RequestHeader }

// verifiesResponses reports whether responses of targets can be distinguished
// from responses of other processes.
func (p *Protocol) verifiesResponses() bool { return p.Signature != "" }

// promisesNotRun reports whether callers interpret the status as a guarantee that
// the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refuseNotRun changes a refusal of a request that never reached a target, so that its
// status says so: callers treat 502 and 504 as a request that may have run.
func (p *Protocol) refuseNotRun(refused *refusal) {
	if !p.verifiesResponses() || refused.outcome != NotRun {
		return
	}
	if refused.status == http.StatusBadGateway || refused.status == http.StatusGatewayTimeout {
		refused.status = http.StatusServiceUnavailable
	}
}

// checkResponse verifies a target's response. It returns the refusal to send in
// place of a response that must not be forwarded, or nil.
func (p *Protocol) checkResponse(result sendResult) *refusal {
	if !p.verifiesResponses() {
		return nil
	}
	response := result.response
	h := response.Header
	if !result.identified {
		return unknown(http.StatusBadGateway, fault.New(fault.Protocol, "the target's answer with request id %q may belong to another request", h.Get(p.RequestID)))
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

// notExecuted returns the refusal for a response that says that the target did not
// run the request. Status 400 is kept, because the request itself is malformed.
func (p *Protocol) notExecuted(status int) *refusal {
	if status == http.StatusBadRequest {
		return notRun(status, fault.New(fault.Invalid, "the target found the request malformed"))
	}
	refused := notRun(http.StatusServiceUnavailable, fault.New(fault.Overloaded, "the target did not run the request, status %d", status))
	refused.reachedTarget = true
	refused.targetUnavailable = status == http.StatusMisdirectedRequest
	return refused
}
