package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

var _ = Describe("headers of attempts", func() {
	// Guards against an attempt whose headers lack a value or contain a value of
	// another attempt. All attempts of a request share the storage of the values,
	// and three attempts set more values than it holds.
	It("are complete on every attempt", func() {
		ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		m := newMesh(model.Route{Class: model.Urgent}, ok, ok, ok)
		DeferCleanup(m.close)
		var mu sync.Mutex
		var received []http.Header
		inbound := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			received = append(received, r.Header)
			if len(received) < 3 {
				w.Header().Set(proxy.OutcomeHeader, string(proxy.NotRun))
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		for _, n := range m.nodes {
			n.front.Close()
			n.front = httptest.NewServer(inbound)
		}
		m.update()

		response := m.do(m.request(http.MethodGet, "/", "", proxy.RequestHeader, "id-1", "X-Own", "mine"))

		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(received).To(HaveLen(3))
		for _, h := range received {
			Expect(h[proxy.RequestHeader]).To(Equal([]string{"id-1"}))
			Expect(h[proxy.RouteHeader]).To(Equal([]string{"r"}))
			Expect(h[proxy.ServiceHeader]).To(Equal([]string{"order"}))
			Expect(h[proxy.VersionHeader]).To(Equal([]string{"v1"}))
			Expect(h[proxy.DeadlineHeader]).To(HaveExactElements(MatchRegexp(`^[0-9]+$`)))
			Expect(h[proxy.ClassHeader]).To(Equal([]string{string(model.Urgent)}))
			Expect(h["X-Own"]).To(Equal([]string{"mine"}))
		}
		Expect(response.Header[proxy.RequestHeader]).To(Equal([]string{"id-1"}))
		Expect(response.Header[proxy.VersionHeader]).To(Equal([]string{"v1"}))
	})
})
