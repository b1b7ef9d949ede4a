package proxy_test

import (
	"io"
	"net/http"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

// truncateResponse returns a handler that sends half of the response and closes
// the connection.
func truncateResponse(length int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = w.Write(make([]byte, length/2))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// Guards against a caller that receives a truncated response because a
// connection between daemons or to the target broke during the response.
var _ = Describe("a short response whose connection breaks", func() {
	It("is requested again from another target if the request is idempotent", func() {
		breaking := &countingTarget{serve: truncateResponse(2000)}
		m := newMesh(model.Route{Idempotent: true}, breaking, &countingTarget{})
		DeferCleanup(m.close)
		// The retry budget allows 3 retries a second.
		for breaking.runs.Load() < 2 {
			reply := m.do(m.request("GET", "/", ""))
			Expect(reply.StatusCode).To(Equal(http.StatusOK))
		}
	})

	It("has the outcome unknown if the request is not idempotent", func() {
		breaking := &countingTarget{serve: truncateResponse(2000)}
		m := newMesh(model.Route{}, breaking)
		DeferCleanup(m.close)
		reply := m.do(m.request("POST", "/", "x"))
		Expect(reply.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(reply.outcome()).To(Equal(proxy.Unknown))
		Expect(breaking.runs.Load()).To(Equal(int64(1)))
	})

	It("counts as a failure of its version", func() {
		m := newMesh(model.Route{}, &countingTarget{}, &countingTarget{serve: truncateResponse(2000)})
		DeferCleanup(m.close)
		m.moveTo(1000)
		m.do(m.request("POST", "/", "x"))
		Expect(m.observer.recordedObservations()).To(HaveLen(1))
		Expect(m.observer.recordedObservations()[0].Failed).To(BeTrue())
	})
})

// Guards against buffering a long response until its end, and against a broken
// response that looks complete.
var _ = It("streams a long response and closes the connection where it broke", func() {
	const length = 200_000
	m := newMesh(model.Route{}, &countingTarget{serve: truncateResponse(length)})
	DeferCleanup(m.close)
	response, err := m.client.Do(m.request("GET", "/", ""))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	Expect(len(body)).To(BeNumerically("<=", length/2))
})

// Guards against evaluating a version whose long responses break by the
// response headers only.
var _ = It("counts a broken long response as a failure of its version", func() {
	m := newMesh(model.Route{}, &countingTarget{}, &countingTarget{serve: truncateResponse(200_000)})
	DeferCleanup(m.close)
	m.moveTo(1000)
	response, err := m.client.Do(m.request("GET", "/", ""))
	Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(response.Body)
	Expect(err).To(HaveOccurred())
	_ = response.Body.Close()
	Eventually(m.observer.recordedObservations).Should(ContainElement(HaveField("Failed", true)))
})
