package proxy_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

// Guards against a retry that finds the claim of the attempt before it, which
// did not run and whose release is still on its way: the caller would be told
// "unknown" of a request that surely did not run.
var _ = It("runs a once request elsewhere when its first target has just died", func() {
	running := &counter{}
	m := newMesh(model.Route{Once: true}, &counter{}, running)
	DeferCleanup(m.close)
	m.claimer.releaseDelay = 15 * time.Millisecond
	m.nodes[0].target.Close()
	for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
		reply := m.do(m.request(http.MethodPost, "/", "x", proxy.KeyHeader, key))
		Expect(reply.StatusCode).To(Equal(http.StatusOK), key)
	}
	Expect(running.runs.Load()).To(Equal(int64(6)))
})
