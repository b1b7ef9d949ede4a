package proxy_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

// Guards against responding "not run" because the last attempt did not run,
// although an earlier attempt did.
var _ = It("does not report \"not run\" for a request that an earlier attempt may have run", func() {
	aborting := &countingTarget{serve: abortConnection}
	m := newMesh(model.Route{Idempotent: true}, aborting, &countingTarget{})
	DeferCleanup(m.close)
	m.nodes[1].target.Close()
	for range 8 {
		before := aborting.runs.Load()
		reply := m.do(m.request("GET", "/", ""))
		if aborting.runs.Load() > before {
			Expect(reply.Header.Get(proxy.OutcomeHeader)).To(Equal(string(proxy.Unknown)))
		}
	}
	Expect(aborting.runs.Load()).To(BeNumerically(">", 0))
})
