package proxy_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

// Guards against a good version that looks slow because its few requests are
// the first on their connections.
var _ = DescribeTable("leaves the setup of a new connection out of a version's latency", func(method, body string) {
	const work = 50 * time.Millisecond
	const allowance = 5 * time.Millisecond
	m := newMesh(model.Route{}, &counter{}, &counter{serve: func(http.ResponseWriter, *http.Request) { time.Sleep(work) }})
	DeferCleanup(m.close)
	m.moveTo(1000)
	started := time.Now()
	m.do(m.request(method, "/", body))
	took := time.Since(started)
	m.do(m.request(method, "/", body))
	seen := m.observer.seen()
	Expect(seen).To(HaveLen(2))
	Expect(seen[0].Latency).To(BeNumerically("<=", took-allowance))
	Expect(seen[1].Latency).To(BeNumerically(">=", work))
}, Entry("without a body", "GET", ""), Entry("with a body", "POST", "x"))
