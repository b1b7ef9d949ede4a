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

// Guards against quarantining a frequent request that happened to be in flight
// on every target that another request crashed.
var _ = It("does not count a crash for a request that the target responded to recently", func() {
	var m *mesh
	arrived := make(chan struct{}, 1)
	m = newMesh(model.Route{}, &countingTarget{serve: func(_ http.ResponseWriter, r *http.Request) {
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
	pending := make(chan *http.Response, 1)
	go func() { pending <- send("/thumbnail", "1") }()
	Eventually(arrived).WithTimeout(testTimeout).Should(Receive())
	Expect(send("/poison", "").Header.Get(proxy.CrashHeader)).NotTo(BeEmpty())
	bystander := <-pending
	Expect(bystander.Header.Get(proxy.CrashHeader)).NotTo(BeEmpty(), "the version is not judged by it")
	Expect(bystander.Header.Get("Magnoliamount-Bystander")).To(Equal("1"), "the outbound daemon does not count it")
	Expect(m.observer.recordedCrashes()).To(HaveLen(1), "a crash is counted only for the crashing request")
})
