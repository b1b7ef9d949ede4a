package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/settings"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

// longWork is how long the target takes for a request to /long, longer than the
// daemon waits for requests in flight.
const longWork = 20 * time.Second

// serveOrders submits a ticket with a route to a target that both daemons have, and
// waits until requests are served. It returns the number of requests that the target
// got.
func serveOrders(s, other *settings.Settings) *atomic.Int64 {
	GinkgoHelper()
	var runs atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/long" {
			select {
			case <-time.After(longWork):
			case <-r.Context().Done():
			}
		}
	}))
	DeferCleanup(target.Close)
	client, err := admin.NewClient(admin.ClientConfig{Servers: []string{s.Listen.Admin}, Token: token})
	Expect(err).NotTo(HaveOccurred())
	ticket := firstTicket()
	ticket.Routes = []model.Route{{Name: "orders", PathPrefix: "/", Service: "orders", Class: model.Normal, Timeout: 2 * longWork}}
	_, err = client.Submit(context.Background(), ticket)
	Expect(err).NotTo(HaveOccurred())
	announcement, err := json.Marshal(proxy.Announcement{Service: "orders", Version: "v1", Address: target.Listener.Addr().String(), Slots: 4, Connections: 10})
	Expect(err).NotTo(HaveOccurred())
	for _, d := range []*settings.Settings{s, other} {
		response, err := http.Post("http://"+d.Listen.Caller+proxy.TargetPath, "application/json", bytes.NewReader(announcement))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(BeNumerically("<", 300))
		Eventually(func() int { return post(s, "/short") }, testTimeout, 50*time.Millisecond).Should(Equal(http.StatusOK))
	}
	runs.Store(0)
	return &runs
}

// post sends a request on a connection of its own and returns the status, or zero
// when the connection ended without a response.
func post(s *settings.Settings, path string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+s.Listen.Caller+path, "", nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

var _ = Describe("a daemon whose drain time ends before its requests", func() {
	var s *settings.Settings
	var stop func() error
	var runs *atomic.Int64
	BeforeEach(func() {
		platform := httptest.NewServer(standin.New())
		DeferCleanup(platform.Close)
		s = newSettings("vm-1", platform.URL)
		s.Timeouts.DrainNotice, s.Timeouts.Drain = 2*time.Second, 3*time.Second
		other := newSettings("vm-2", platform.URL)
		other.Timeouts.DrainNotice, other.Timeouts.Drain = 100*time.Millisecond, time.Second
		stop = start(s)
		Eventually(ready(s), testTimeout).Should(Equal(http.StatusOK))
		stopOther := start(other)
		DeferCleanup(func() { _ = stopOther() })
		Eventually(ready(other), testTimeout).Should(Equal(http.StatusOK))
		runs = serveOrders(s, other)
		// The endpoint of the other daemon takes a moment to arrive.
		time.Sleep(time.Second)
	})
	send := func() <-chan int {
		status := make(chan int, 1)
		go func() { status <- post(s, "/long") }()
		return status
	}

	// Guards against callers that get EOF in place of a response.
	It("answers a request that its target still runs", func() {
		status := send()
		Eventually(runs.Load, testTimeout).Should(BeEquivalentTo(1))
		_ = stop()
		Eventually(status, time.Second).Should(Receive(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout)))
	})

	// Guards against requests that run although their callers cannot get the response.
	It("refuses a request that comes late and may not end in time", func() {
		stopped := make(chan error, 1)
		go func() { stopped <- stop() }()
		time.Sleep(1700 * time.Millisecond)
		status := send()
		Eventually(status, time.Second).Should(Receive(Equal(http.StatusServiceUnavailable)))
		Expect(runs.Load()).To(BeZero())
		Eventually(stopped, testTimeout).Should(Receive())
	})
})
