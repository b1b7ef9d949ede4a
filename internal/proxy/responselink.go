package proxy

import (
	"net/http"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// minReservedResponseBytes is the expected length from which a response is reserved on
// the link of the caller's VM: 10 ms at 16 Mbit/s.
const minReservedResponseBytes = 20 << 10

// reserveResponse reserves the expected response on the link of the caller's VM, so that
// the time for which later bytes wait for it is known before the response arrives. The
// returned function ends the reservation. Where targets do not tell their pace it does
// nothing.
func (x *exchange) reserveResponse() (release func()) {
	link, expected := x.o.config.Link, x.stats.meanResponseBytes.Load()
	if link == nil || !x.o.costs.Active() || expected < minReservedResponseBytes {
		return func() {}
	}
	link.ReserveBody(expected)
	return func() { link.ReleaseBody(expected) }
}

// callerLinkTime returns how long bodies of the length take over the link of the
// caller's VM, including the wait for it.
func (x *exchange) callerLinkTime(length int64) time.Duration {
	link := x.o.config.Link
	if link == nil || !x.o.costs.Active() || length < minReservedResponseBytes {
		return 0
	}
	return link.EstimateWait(x.o.config.Now()) + link.TransferTime(length)
}

// linkRefusal returns the refusal of a request whose response cannot come over the link
// of the caller's VM before the deadline, or nil. A target on the same VM, which is
// reached without the link, may still take the request.
func (x *exchange) linkRefusal(choice routing.Choice, p routing.Placement) *refusal {
	left := time.Until(x.deadline)
	if p.CallerLink <= left || choice.Target.Endpoint.VM == x.o.config.VM {
		return nil
	}
	x.o.config.Metrics.countRule(callerLinkRule)
	refused := notRun(http.StatusServiceUnavailable, fault.New(fault.Overloaded,
		"the response of %d bytes cannot come before the deadline over the caller's link, which is busy for %d ms", p.Bytes, p.CallerLink.Milliseconds()))
	refused.retryAfter = max(x.retryAfterDelay(), p.CallerLink-left)
	return refused
}

// observeLength adds the length of a response that crosses the VM's network link to the
// link's load.
func observeLength(link *routing.LinkLoad, response *http.Response) {
	if link != nil && response.ContentLength > 0 {
		link.ObserveBody(response.ContentLength)
	}
}
