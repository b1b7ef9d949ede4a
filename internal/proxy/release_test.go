package proxy_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

// Guards against a retry that finds the claim of the previous attempt, which did
// not run and whose release has not taken effect yet. The caller would get
// "unknown" for a request that certainly did not run.
var _ = It("runs a once request on another target when its first target has just crashed", func() {
	running := &countingTarget{}
	m := newMesh(model.Route{Once: true}, &countingTarget{}, running)
	DeferCleanup(m.close)
	m.claimer.releaseDelay = 15 * time.Millisecond
	m.nodes[0].target.Close()
	for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
		reply := m.do(m.request(http.MethodPost, "/", "x", proxy.KeyHeader, key))
		Expect(reply.StatusCode).To(Equal(http.StatusOK), key)
	}
	Expect(running.runs.Load()).To(Equal(int64(6)))
})
