package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

var _ = Describe("metrics", func() {
	// count returns the requests of a route, side and outcome "answered".
	count := func(m *mesh, side, route string) float64 {
		families, err := m.metrics.Gather()
		Expect(err).NotTo(HaveOccurred())
		total := 0.0
		for _, family := range families {
			if family.GetName() != "magnoliamount_requests_total" {
				continue
			}
			for _, metric := range family.GetMetric() {
				labels := map[string]string{}
				for _, label := range metric.GetLabel() {
					labels[label.GetName()] = label.GetValue()
				}
				if labels["side"] == side && labels["route"] == route && labels["outcome"] == "answered" {
					total += metric.GetCounter().GetValue()
				}
			}
		}
		return total
	}
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })

	// Guards against requests that are not counted, counted twice, or counted on
	// the wrong side when concurrent requests create the same new label values.
	It("counts every request once on each side", func() {
		m := newMesh(model.Route{}, ok)
		DeferCleanup(m.close)
		const requests = 40
		// With fewer slots, some of the requests might be shed.
		m.slots = requests
		m.update()
		var group sync.WaitGroup
		for range requests {
			group.Go(func() {
				defer GinkgoRecover()
				m.do(m.request(http.MethodGet, "/", ""))
			})
		}
		group.Wait()
		Expect(count(m, "outbound", "r")).To(BeNumerically("==", requests))
		Expect(count(m, "inbound", "r")).To(BeNumerically("==", requests))
	})

	// Guards against wrong counts for label values beyond the size of the cache.
	It("counts routes beyond the cache size", func() {
		m := newMesh(model.Route{}, ok)
		DeferCleanup(m.close)
		const routes = 1100
		for i := range routes {
			r := m.request(http.MethodGet, "/", "", proxy.RouteHeader, fmt.Sprintf("route-%d", i))
			r.URL.Host = m.nodes[0].front.Listener.Addr().String()
			m.do(r)
		}
		for i := range routes {
			if i == 0 || i > 1020 {
				Expect(count(m, "inbound", fmt.Sprintf("route-%d", i))).To(BeNumerically("==", 1))
			}
		}
	})
})
