package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// unknownColdNotice is how long other daemons take a target for cold whose state its
// own daemon does not know. That daemon asks the target's health meanwhile.
const unknownColdNotice = 500 * time.Millisecond

// SetColdLimits sets the requests that the target can take while it is cold. They
// apply until ReportCold says that the target is warm.
func (n *Inbound) SetColdLimits(limits routing.ColdLimits) {
	n.cold.SetLimits(n.config.Now(), limits)
	n.wakeWaiting()
}

// ReportCold records how much longer the target is cold, as the target says; zero
// means that it is warm.
func (n *Inbound) ReportCold(remaining time.Duration) {
	n.cold.Report(n.config.Now(), remaining)
	n.wakeWaiting()
}

// ForgetCold records that it is not known whether the target is cold. Until the next
// ReportCold it is taken for cold.
func (n *Inbound) ForgetCold() { n.cold.Forget(n.config.Now()) }

// ColdKnown reports whether it is known whether the target is cold.
func (n *Inbound) ColdKnown() bool { return n.cold.Known() }

// wakeWaiting admits waiting requests that the target can take now.
func (n *Inbound) wakeWaiting() {
	if b := n.current.Load(); b != nil {
		b.gate.wake()
	}
}

// targetMayBeCold takes the target for cold after a connection to it broke: its
// process may have crashed and started again.
func (n *Inbound) targetMayBeCold() {
	n.ForgetCold()
	if n.config.OnColdUnknown != nil {
		n.config.OnColdUnknown()
	}
}

// coldRefusal returns the refusal of an admitted request that a cold target cannot
// take now. The sender tries another target.
func (s *service) coldRefusal() *refusal {
	s.n.config.Metrics.countShed(string(s.class), "cold")
	refused := notRun(http.StatusServiceUnavailable, fault.New(fault.Overloaded, "the target is cold and has taken as many requests as it can"))
	refused.senderRetries = true
	return refused
}

// setColdHeader tells other daemons how much longer the requests to the target are
// limited.
func (s *service) setColdHeader() {
	remaining, limited := s.n.cold.Remaining(s.n.config.Now())
	if !limited {
		return
	}
	if remaining == 0 {
		remaining = unknownColdNotice
	}
	s.fields.set(s.w.Header(), coldHeader, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
}

// recordCold records how much longer the target is cold according to the daemon
// beside it.
func (x *exchange) recordCold(now time.Time, a *attempt) {
	target := a.choice.Target
	if target.Endpoint.Target.ColdPerSecond <= 0 {
		return
	}
	ms, _ := parseNumericHeader(a.result.response.Header, coldHeader, 10, 32)
	target.ReportCold(now, time.Duration(ms)*time.Millisecond)
}
