package target_test

import (
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/test/target"
)

// Guards against a call chain in which a hop hides the failure of the next
// service, does not forward the deadline, or drops the no-retry header that keeps
// earlier hops from retrying.
var _ = It("forwards the deadline to the next service, and its status and no-retry header to the caller", func() {
	received := make(chan *http.Request, 1)
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == target.AnnouncePath {
			return
		}
		received <- r
		w.Header().Set(proxy.NoRetryHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	DeferCleanup(daemon.Close)
	r := startTarget(target.Options{Daemon: strings.TrimPrefix(daemon.URL, "http://"), Next: "/hop-2"})
	request, err := http.NewRequest(http.MethodGet, "http://"+r.Address()+"/hop-1", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(proxy.DeadlineHeader, "700")
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(response.Body.Close)
	Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(response.Header.Get(proxy.NoRetryHeader)).To(Equal("1"))
	next := <-received
	Expect(next.URL.Path).To(Equal("/hop-2"))
	Expect(next.Header.Get(proxy.DeadlineHeader)).To(Equal("700"))
})
