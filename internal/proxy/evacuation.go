package proxy

import (
	"net/http"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// SetEvacuated sets whether the failure domain of the target is evacuated. While it
// is, all requests are refused as not run, also those that wait for a slot. Requests
// that the target already runs finish.
func (n *Inbound) SetEvacuated(evacuated bool) {
	if n.evacuated.Swap(evacuated) == evacuated || !evacuated {
		return
	}
	// With the lock, a target that is set at the same time is not missed: its gate has
	// no waiting requests yet, and later ones find that evacuated is set.
	n.targetMu.Lock()
	defer n.targetMu.Unlock()
	if b := n.current.Load(); b != nil {
		b.gate.refuseWaiting()
	}
}

// evacuatedRefusal returns the refusal of requests while the failure domain is
// evacuated. The sender tries another target.
func evacuatedRefusal() *refusal {
	refused := notRun(http.StatusServiceUnavailable, fault.New(fault.NotReady, "the failure domain of the target is or may be evacuated"))
	refused.targetUnavailable = true
	return refused
}
