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

// Guards against a chain whose hops hide the failure of the last service,
// lose the deadline, or drop the mark that keeps the hops before from retrying.
var _ = It("passes on deadline, status and the no-retry mark of the next service", func() {
	asked := make(chan *http.Request, 1)
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == target.AnnouncePath {
			return
		}
		asked <- r
		w.Header().Set(proxy.NoRetryHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	DeferCleanup(daemon.Close)
	r := run(target.Options{Daemon: strings.TrimPrefix(daemon.URL, "http://"), Next: "/hop-2"})
	request, err := http.NewRequest(http.MethodGet, "http://"+r.Address()+"/hop-1", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(proxy.DeadlineHeader, "700")
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(response.Body.Close)
	Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(response.Header.Get(proxy.NoRetryHeader)).To(Equal("1"))
	next := <-asked
	Expect(next.URL.Path).To(Equal("/hop-2"))
	Expect(next.Header.Get(proxy.DeadlineHeader)).To(Equal("700"))
})
