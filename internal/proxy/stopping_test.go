package proxy_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

// Guards against a client that sends its next request on a connection that the
// stopping daemon closes: the stop began while the request was in flight, and the
// response to it did not announce the close.
var _ = DescribeTable("announces the close of a connection to a request that is in flight when the stop begins",
	func(respond func(w http.ResponseWriter), body string) {
		var stopping atomic.Bool
		arrived, released := make(chan struct{}), make(chan struct{})
		server := httptest.NewServer(proxy.CloseWhile(stopping.Load, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(arrived)
			<-released
			respond(w)
		})))
		DeferCleanup(server.Close)
		responses := make(chan *http.Response, 1)
		failures := make(chan error, 1)
		go func() {
			response, err := http.Post(server.URL, "text/plain", strings.NewReader("x"))
			failures <- err
			responses <- response
		}()
		Eventually(arrived, testTimeout).Should(BeClosed())
		stopping.Store(true)
		close(released)
		Eventually(failures, testTimeout).Should(Receive(Succeed()))
		response := <-responses
		DeferCleanup(response.Body.Close)
		Expect(response.Close).To(BeTrue())
		read, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(read)).To(Equal(body))
	},
	Entry("with a status", func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK); _, _ = io.WriteString(w, "served") }, "served"),
	Entry("with only a body", func(w http.ResponseWriter) { _, _ = io.WriteString(w, "served") }, "served"),
	Entry("with a flushed header", func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }, ""),
	Entry("with nothing", func(http.ResponseWriter) {}, ""),
)
