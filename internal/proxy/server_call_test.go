package proxy

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

var _ = Describe("requests from servers to a busy target", func() {
	// Guards against shedding a server's request whose objective cannot be met
	// although its deadline can. The look-up that it belongs to would fail.
	It("queue until their deadline, unlike requests from clients", func() {
		const work = 100 * time.Millisecond
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(work)
			w.Header().Set("X-Signature", "s")
		}))
		DeferCleanup(target.Close)
		callers := routing.NewServerCallDetector()
		callers.SetVMShares(map[string]float64{"desk": 0.5, "vault": 0.5})
		inbound := NewInbound(InboundConfig{Observer: noopObserver{}, Protocol: uploadProtocol(), BufferBytes: 1 << 20, ServerCalls: callers})
		inbound.SetTarget(member.Target{Service: "vault", Version: "v1", Instance: "i", Address: target.Listener.Addr().String(), Slots: 1, Connections: 10})
		front := httptest.NewServer(inbound)
		DeferCleanup(front.Close)
		send := func(route, callerService, objective string) int {
			r, err := http.NewRequest(http.MethodGet, front.URL+"/x", nil)
			Expect(err).NotTo(HaveOccurred())
			for name, value := range map[string]string{
				RouteHeader: route, ServiceHeader: "vault", VersionHeader: "v1", DeadlineHeader: "2000",
				ObjectiveHeader: objective, PatienceHeader: "-1", "X-Caller": callerService,
			} {
				r.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			return response.StatusCode
		}
		// Client requests come from the VMs of both services, server requests
		// from the VM of only one.
		for range 20 {
			callers.Observe("look", "desk")
			callers.Observe("look", "vault")
			callers.Observe("check", "desk")
		}
		// The target's service time has to be measured first.
		Expect(send("look", "desk", "1000")).To(Equal(http.StatusOK))
		Expect(send("check", "desk", "1000")).To(Equal(http.StatusOK))
		first := make(chan int, 1)
		go func() { first <- send("look", "desk", "1000") }()
		Eventually(inbound.current.Load().gate.load, time.Second, time.Millisecond).Should(BeNumerically(">=", 1))
		Expect(send("look", "vault", "50")).To(Equal(http.StatusServiceUnavailable))
		Expect(send("check", "desk", "50")).To(Equal(http.StatusOK))
		Eventually(first, time.Second).Should(Receive(Equal(http.StatusOK)))
	})
})
