package proxy_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

// Guards against a good version that appears slow because most of its few
// requests are the first on their connections.
var _ = DescribeTable("excludes the setup of a new connection from a version's latency", func(method, body string) {
	const work = 50 * time.Millisecond
	const allowance = 5 * time.Millisecond
	m := newMesh(model.Route{}, &countingTarget{}, &countingTarget{serve: func(http.ResponseWriter, *http.Request) { time.Sleep(work) }})
	DeferCleanup(m.close)
	m.moveTo(1000)
	started := time.Now()
	m.do(m.request(method, "/", body))
	elapsed := time.Since(started)
	m.do(m.request(method, "/", body))
	observations := m.observer.recordedObservations()
	Expect(observations).To(HaveLen(2))
	Expect(observations[0].Latency).To(BeNumerically("<=", elapsed-allowance))
	Expect(observations[1].Latency).To(BeNumerically(">=", work))
}, Entry("without a body", "GET", ""), Entry("with a body", "POST", "x"))
