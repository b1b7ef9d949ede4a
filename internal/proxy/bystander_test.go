package proxy_test

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

// Guards against the quarantine of a frequent request that was in flight by
// chance on every target that another request crashed.
var _ = It("does not strike a request that the target has answered lately", func() {
	var m *mesh
	arrived := make(chan struct{}, 1)
	m = newMesh(model.Route{}, &counter{serve: func(_ http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/poison":
			m.nodes[0].crash()
		case r.Header.Get("X-Hold") != "":
			arrived <- struct{}{}
			<-r.Context().Done()
		}
	}})
	DeferCleanup(m.close)
	send := func(path, hold string) *http.Response {
		defer GinkgoRecover()
		r, err := http.NewRequest(http.MethodGet, m.nodes[0].front.URL+path, strings.NewReader(""))
		Expect(err).NotTo(HaveOccurred())
		if hold != "" {
			r.Header.Set("X-Hold", hold)
		}
		response, err := m.client.Do(r)
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, response.Body)
		Expect(response.Body.Close()).To(Succeed())
		return response
	}
	Expect(send("/thumbnail", "").StatusCode).To(Equal(http.StatusOK))
	held := make(chan *http.Response, 1)
	go func() { held <- send("/thumbnail", "1") }()
	Eventually(arrived).WithTimeout(patience).Should(Receive())
	Expect(send("/poison", "").Header.Get(proxy.CrashHeader)).NotTo(BeEmpty())
	bystander := <-held
	Expect(bystander.Header.Get(proxy.CrashHeader)).NotTo(BeEmpty(), "the version is not judged by it")
	Expect(bystander.Header.Get("Magnoliamount-Bystander")).To(Equal("1"), "the outbound daemon does not count it")
	Expect(m.observer.struck()).To(HaveLen(1), "only the crashing request is struck")
})
