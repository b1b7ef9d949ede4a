package proxy_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

var _ = Describe("crashing requests", func() {
	// Guards against a request that crashes one target after another when it is
	// retried, and against crashes that are not counted.
	DescribeTable("crash only a bounded number of targets", func(idempotent bool) {
		var m *mesh
		var crashes atomic.Int64
		var handlers []http.Handler
		for i := range 6 {
			handlers = append(handlers, &countingTarget{serve: func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/poison" {
					crashes.Add(1)
					m.nodes[i].crash()
				}
			}})
		}
		m = newMesh(model.Route{Idempotent: idempotent}, handlers...)
		DeferCleanup(m.close)
		var last reply
		for range 10 {
			last = m.do(m.request("POST", "/poison", "poison"))
		}
		Expect(crashes.Load()).To(BeNumerically("<=", 3))
		Expect(last.StatusCode).To(Equal(422))
		Expect(last.outcome()).To(Equal(proxy.NotRun))
		Expect(last.Header.Get(proxy.NoRetryHeader)).To(Equal("1"))
		counted := m.observer.recordedCrashes()
		Expect(counted).To(HaveLen(int(crashes.Load())))
		Expect(m.do(m.request("POST", "/poison", "cure")).StatusCode).NotTo(Equal(422))
	}, Entry("idempotent", true), Entry("not idempotent", false))

	// Guards against omitting other requests in flight from the crash counts,
	// although any of them may have crashed the target.
	It("count one crash for every request in flight", func() {
		var m *mesh
		begun := make(chan struct{}, 1)
		m = newMesh(model.Route{}, &countingTarget{serve: func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/poison" {
				m.nodes[0].crash()
				return
			}
			begun <- struct{}{}
			<-r.Context().Done()
		}})
		DeferCleanup(m.close)
		other := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			other <- m.do(m.request("POST", "/slow", ""))
		}()
		Eventually(begun, testTimeout).Should(Receive())
		poison := m.do(m.request("POST", "/poison", ""))
		Expect(poison.StatusCode).To(Equal(502))
		Expect(poison.Header.Get(proxy.CrashHeader)).NotTo(BeEmpty())
		var slow reply
		Eventually(other, testTimeout).Should(Receive(&slow))
		Expect(slow.Header.Get(proxy.CrashHeader)).NotTo(BeEmpty())
		Expect(m.observer.recordedCrashes()).To(HaveLen(2))
	})

	// Guards against a quarantine that only one daemon applies.
	It("are refused when the crash counts of the mesh quarantine them", func() {
		var m *mesh
		target := &countingTarget{serve: func(_ http.ResponseWriter, _ *http.Request) { m.nodes[0].crash() }}
		m = newMesh(model.Route{}, target)
		DeferCleanup(m.close)
		m.do(m.request("POST", "/poison", ""))
		fingerprint := m.observer.recordedCrashes()[0]
		fresh := newMesh(model.Route{}, target)
		DeferCleanup(fresh.close)
		fresh.outbound.SetCrashCounts(map[uint64]uint32{fingerprint: 2})
		Expect(fresh.do(fresh.request("POST", "/poison", "")).StatusCode).To(Equal(422))
		// Guards against requests of one host that are refused because of another one.
		otherHost := fresh.request("POST", "/poison", "")
		otherHost.Host = "other.example"
		Expect(fresh.do(otherHost).StatusCode).NotTo(Equal(422))
		fresh.outbound.SetCrashCounts(nil)
		fresh.nodes[0].inbound.SetCrashCounts(map[uint64]uint32{fingerprint: 2})
		Expect(fresh.do(fresh.request("POST", "/poison", "")).StatusCode).To(Equal(422))
		Expect(target.runs.Load()).To(BeEquivalentTo(2))
	})
})

var _ = Describe("drain", func() {
	// Guards against interrupting an upload during a planned stop, and against
	// accepting new requests on a daemon that is stopping.
	It("accepts requests for the drain notice, then refuses them, and waits for uploads", func() {
		target := &countingTarget{}
		m := newMesh(model.Route{}, target)
		DeferCleanup(m.close)
		reader, writer := io.Pipe()
		upload := m.request("POST", "/", "")
		upload.Body = reader
		uploaded := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			uploaded <- m.do(upload)
		}()
		_, _ = io.WriteString(writer, "first ")
		drained := make(chan error, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
		defer cancel()
		go func() { drained <- m.nodes[0].inbound.Drain(ctx) }()
		Expect(m.do(m.request("GET", "/", "")).StatusCode).To(Equal(200))
		Eventually(func() proxy.Outcome { return m.do(m.request("GET", "/", "")).outcome() }, testTimeout).Should(Equal(proxy.NotRun))
		Expect(drained).NotTo(Receive())
		_, _ = io.WriteString(writer, "second")
		Expect(writer.Close()).To(Succeed())
		var complete reply
		Eventually(uploaded, testTimeout).Should(Receive(&complete))
		Expect(complete.body).To(Equal("first second"))
		Eventually(drained, testTimeout).Should(Receive(BeNil()))
	})

	// Guards against a stop that never finishes.
	It("reports a timeout when requests do not end", func() {
		block := make(chan struct{})
		target := &countingTarget{serve: func(http.ResponseWriter, *http.Request) { <-block }}
		m := newMesh(model.Route{}, target)
		DeferCleanup(m.close)
		DeferCleanup(func() { close(block) })
		go func() { _, _ = m.client.Do(m.request("GET", "/", "")) }()
		Eventually(target.runs.Load, testTimeout).Should(BeEquivalentTo(1))
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		Expect(fault.KindOf(m.nodes[0].inbound.Drain(ctx))).To(Equal(fault.Timeout))
	})
})
