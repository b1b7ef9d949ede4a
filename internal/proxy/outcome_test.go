package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// countingTarget is a target that counts the requests that it runs.
type countingTarget struct {
	runs  atomic.Int64
	serve http.HandlerFunc
}

func (c *countingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.runs.Add(1)
	if c.serve != nil {
		c.serve(w, r)
	}
	_, _ = w.Write(body)
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var _ = Describe("outcomes and retries", func() {
	// Guards against failed requests while another target is ready, and
	// against a retry that sends only part of the body.
	DescribeTable("retries a request that did not run, with its complete body", func(size int) {
		target := &countingTarget{}
		m := newMesh(model.Route{}, &countingTarget{}, target)
		DeferCleanup(m.close)
		m.nodes[0].target.Close()
		body := strings.Repeat("0123456789abcdef", size/16)
		for range 8 {
			reply := m.do(m.request("POST", "/", body))
			Expect(reply.StatusCode).To(Equal(200))
			Expect(reply.body == body).To(BeTrue())
		}
		Expect(target.runs.Load()).To(BeEquivalentTo(8))
	}, Entry("no body", 0), Entry("buffered body", 32<<10), Entry("body that waits for admission", 1<<20))

	// Guards against failed requests, and against a retry for every request,
	// after a VM has failed.
	It("excludes a daemon that refuses connections, and counts requests and retries", func() {
		m := newMesh(model.Route{}, &countingTarget{}, &countingTarget{})
		DeferCleanup(m.close)
		m.nodes[0].front.Close()
		for range 40 {
			Expect(m.do(m.request("POST", "/", "")).StatusCode).To(Equal(200))
		}
		families, err := m.metrics.Gather()
		Expect(err).NotTo(HaveOccurred())
		sums := map[string]float64{}
		for _, family := range families {
			for _, metric := range family.GetMetric() {
				sums[family.GetName()] += metric.GetCounter().GetValue()
			}
		}
		Expect(sums["magnoliamount_requests_total"]).To(Equal(80.0), "40 at each side")
		Expect(sums["magnoliamount_retries_total"]).To(BeNumerically("<=", 6))
	})

	// Guards against requests in flight that fail when the configuration changes.
	It("completes a request with the configuration that it started with", func() {
		started, proceed := make(chan struct{}), make(chan struct{})
		m := newMesh(model.Route{}, &countingTarget{serve: func(http.ResponseWriter, *http.Request) {
			close(started)
			<-proceed
		}})
		DeferCleanup(m.close)
		result := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			result <- m.do(m.request("POST", "/", "kept"))
		}()
		Eventually(started, testTimeout).Should(BeClosed())
		m.outbound.Update(&routing.Config{State: model.NewState()})
		m.nodes[0].inbound.SetTarget(member.Target{})
		Expect(m.do(m.request("POST", "/", "")).StatusCode).To(Equal(404))
		close(proceed)
		var response reply
		Eventually(result, testTimeout).Should(Receive(&response))
		Expect(response.body).To(Equal("kept"))
	})

	// Guards against a stalled upload that occupies a slot, or blocks its caller,
	// after the deadline.
	DescribeTable("ends a stalled upload at its deadline", func(once bool) {
		m := newMesh(model.Route{Once: once}, &countingTarget{})
		DeferCleanup(m.close)
		conn, err := net.Dial("tcp", m.front.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(conn.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\n%s: 300\r\n%s: k\r\nContent-Length: 9\r\n\r\npart",
			proxy.DeadlineHeader, proxy.KeyHeader)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(504))
	}, Entry("once", true), Entry("not once", false))

	// Guards against peers that send arbitrary route names, each of which would
	// create a new metric series. A name that is not UTF-8 would cause a panic.
	It("rejects a route header that is not a valid name", func() {
		m := newMesh(model.Route{}, &countingTarget{})
		DeferCleanup(m.close)
		for _, name := range []string{"\xff", strings.Repeat("r", 64), "a b"} {
			r, err := http.NewRequest("GET", m.nodes[0].front.URL, nil)
			Expect(err).NotTo(HaveOccurred())
			r.Header.Set(proxy.RouteHeader, name)
			Expect(m.do(r).StatusCode).To(Equal(400))
		}
	})

	// Guards against a refusal that is sent only after a long upload has ended.
	It("refuses a streamed upload before the body ends", func() {
		m := newMesh(model.Route{}, &countingTarget{})
		DeferCleanup(m.close)
		m.outbound.SetReady(fault.New(fault.NotReady, "catching up"))
		reader, writer := io.Pipe()
		defer writer.Close()
		r := m.request("POST", "/", "")
		r.Body = reader
		Expect(m.do(r).outcome()).To(Equal(proxy.NotRun))
	})

	// Guards against a request that runs twice. By default, net/http retries safe
	// methods and requests with an idempotency key when a reused connection breaks.
	DescribeTable("runs a request once when its connection breaks", func(method string, header ...string) {
		target := &countingTarget{serve: func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/die" {
				abortConnection(w, r)
			}
		}}
		m := newMesh(model.Route{}, target)
		DeferCleanup(m.close)
		Expect(m.do(m.request(method, "/", "", header...)).StatusCode).To(Equal(200))
		reply := m.do(m.request(method, "/die", "", header...))
		Expect(reply.StatusCode).To(Equal(502))
		Expect(reply.outcome()).To(Equal(proxy.Unknown))
		Expect(target.runs.Load()).To(BeEquivalentTo(2))
	},
		Entry("GET", "GET"), Entry("HEAD", "HEAD"), Entry("POST", "POST"),
		Entry("POST with a key", "POST", proxy.KeyHeader, "k"),
		Entry("POST with the alternative key header", "POST", "X-Idempotency-Key", "k"),
	)

	// Guards against idempotent requests that fail although they can be retried,
	// and against unlimited retries.
	It("retries an unknown outcome on idempotent routes, at up to three targets in all", func() {
		bad := &countingTarget{serve: abortConnection}
		m := newMesh(model.Route{Idempotent: true}, bad, bad, bad, bad)
		DeferCleanup(m.close)
		reply := m.do(m.request("GET", "/", ""))
		Expect(reply.outcome()).To(Equal(proxy.Unknown))
		Expect(reply.Header.Get(proxy.NoRetryHeader)).To(Equal("1"))
		Expect(bad.runs.Load()).To(BeEquivalentTo(3))
	})

	// Guards against "not run" for a request that reached a target, and against
	// "unknown" for one that reached none.
	It("reports the correct outcome when the deadline passes", func() {
		block := make(chan struct{})
		target := &countingTarget{serve: func(http.ResponseWriter, *http.Request) { <-block }}
		m := newMesh(model.Route{}, target)
		DeferCleanup(m.close)
		DeferCleanup(func() { close(block) })
		m.slots = 1
		m.update()
		first := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			first <- m.do(m.request("POST", "/", "", proxy.DeadlineHeader, "3000"))
		}()
		Eventually(target.runs.Load, testTimeout).Should(BeEquivalentTo(1))
		waits, err := http.NewRequest("POST", m.nodes[0].front.URL, nil)
		Expect(err).NotTo(HaveOccurred())
		waits.Header.Set(proxy.DeadlineHeader, "200")
		waiting := m.do(waits)
		Expect(waiting.outcome()).To(Equal(proxy.NotRun))
		var running reply
		Eventually(first, testTimeout).Should(Receive(&running))
		Expect(running.StatusCode).To(Equal(504))
		Expect(running.outcome()).To(Equal(proxy.Unknown))
		Expect(target.runs.Load()).To(BeEquivalentTo(1))
	})

	// Guards against an unbounded queue at a slow target.
	It("sheds requests with not-run when the queue is full", func() {
		block := make(chan struct{})
		target := &countingTarget{serve: func(http.ResponseWriter, *http.Request) { <-block }}
		m := newMesh(model.Route{}, target)
		DeferCleanup(m.close)
		m.slots = 1
		m.update()
		var wait sync.WaitGroup
		var shed, served atomic.Int64
		for range 10 {
			wait.Go(func() {
				defer GinkgoRecover()
				reply := m.do(m.request("GET", "/", ""))
				if reply.StatusCode == 200 {
					served.Add(1)
				}
				if reply.StatusCode == 503 && reply.outcome() == proxy.NotRun {
					shed.Add(1)
				}
			})
		}
		Eventually(shed.Load, testTimeout).Should(BeEquivalentTo(7))
		close(block)
		wait.Wait()
		Expect(served.Load()).To(BeEquivalentTo(3))
		Expect(target.runs.Load()).To(BeEquivalentTo(3))
	})

	// Guards against a version that receives requests although it has no target,
	// and against a request that a target of another version runs.
	It("uses the other version when a version has no target, and refuses requests for the wrong version", func() {
		m := newMesh(model.Route{}, &countingTarget{}, &countingTarget{})
		DeferCleanup(m.close)
		m.moveTo(1000)
		Expect(m.do(m.request("GET", "/", "")).Header.Get(proxy.VersionHeader)).To(Equal("v2"))
		m.nodes = m.nodes[:1]
		m.update()
		Expect(m.do(m.request("GET", "/", "")).Header.Get(proxy.VersionHeader)).To(Equal("v1"))
		m.nodes[0].inbound.SetTarget(member.Target{Service: "order", Version: "v3", Address: "127.0.0.1:1", Slots: 1})
		reply := m.do(m.request("GET", "/", ""))
		Expect(reply.StatusCode).To(Equal(503))
		Expect(reply.outcome()).To(Equal(proxy.NotRun))
	})

	// Guards against observations with the wrong version, missing failures, and
	// shed requests that are reported as failed.
	It("observes requests of a service with an open move", func() {
		failing := &countingTarget{serve: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }}
		m := newMesh(model.Route{}, &countingTarget{}, failing)
		DeferCleanup(m.close)
		m.do(m.request("GET", "/", ""))
		Expect(m.observer.recordedObservations()).To(BeEmpty())
		m.moveTo(1000)
		m.do(m.request("GET", "/", ""))
		m.moveTo(0)
		m.do(m.request("GET", "/", ""))
		m.nodes[0].target.Close()
		m.do(m.request("GET", "/", ""))
		observations := m.observer.recordedObservations()
		Expect(observations).To(HaveLen(2))
		Expect(observations[0].Key.New).To(BeTrue())
		Expect(observations[0].Failed).To(BeTrue())
		Expect(observations[1].Key.New).To(BeFalse())
		Expect(observations[1].Failed).To(BeFalse())
		Expect(observations[1].Key.Ticket).To(BeEquivalentTo(2))
		Expect(observations[1].Latency).To(BeNumerically(">", 0))
	})

	// Guards against a failure for lack of an answer that counts as the version's own: in a
	// shortage of targets only answers are evidence. Both proxies report the request here.
	DescribeTable("observes whether the target answered the failure", func(serve http.HandlerFunc, failed, answered bool) {
		m := newMesh(model.Route{}, &countingTarget{}, &countingTarget{serve: serve})
		DeferCleanup(m.close)
		m.nodes[1].inbound.SetMove(proxy.TargetMove{Ticket: 2, New: true})
		m.moveTo(1000)
		m.do(m.request("POST", "/", ""))
		observations := m.observer.recordedObservations()
		Expect(observations).To(HaveLen(2))
		for _, o := range observations {
			Expect(o.Failed).To(Equal(failed))
			Expect(o.Answered).To(Equal(answered))
		}
	},
		Entry("a success", answerStatus(200), false, false),
		Entry("a failure", answerStatus(500), true, true),
		Entry("a failure of what it called", answerStatus(502), true, true),
		Entry("no time for the request", answerStatus(504), true, false),
		Entry("a connection that breaks", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), true, false),
	)
})

func answerStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

var _ = Describe("once routes", func() {
	var m *mesh
	var target *countingTarget
	BeforeEach(func() {
		target = &countingTarget{serve: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/x-reorder")
			w.WriteHeader(201)
		}}
		m = newMesh(model.Route{Once: true}, target, target, target)
		DeferCleanup(m.close)
	})

	// Guards against a request that runs twice because its attempts race.
	It("runs a key once when attempts race, and replays its response", func() {
		var wait sync.WaitGroup
		for range 30 {
			wait.Go(func() {
				defer GinkgoRecover()
				reply := m.do(m.request("POST", "/", "order", proxy.KeyHeader, "k"))
				switch reply.StatusCode {
				case 201:
					Expect(reply.body).To(Equal("order"))
				case 409:
					Expect(reply.outcome()).To(Equal(proxy.Unknown))
				default:
					// The queue is full, so the request has not run.
					Expect(reply.outcome()).To(Equal(proxy.NotRun))
				}
			})
		}
		wait.Wait()
		Expect(target.runs.Load()).To(BeEquivalentTo(1))
		replayed := m.do(m.request("POST", "/", "order", proxy.KeyHeader, "k"))
		Expect(replayed.StatusCode).To(Equal(201))
		Expect(replayed.body).To(Equal("order"))
		Expect(replayed.outcome()).To(Equal(proxy.Ran))
		Expect(replayed.Header.Get("Content-Type")).To(Equal("text/x-reorder"))
		Expect(m.claimer.digests).To(HaveLen(1))
		m.do(m.request("POST", "/", "other", proxy.KeyHeader, "k"))
		Expect(m.claimer.digests).To(HaveLen(2), "another body has another digest")
	})

	// Guards against a request that runs without a claim, and against retries
	// that add load to a platform that is down.
	It("responds with not-run without a claim, and releases an unused claim", func() {
		m.claimer.err = fault.New(fault.Unavailable, "platform down")
		reply := m.do(m.request("POST", "/", "order", proxy.KeyHeader, "k"))
		Expect(reply.StatusCode).To(Equal(503))
		Expect(reply.outcome()).To(Equal(proxy.NotRun))
		Expect(reply.Header.Get(proxy.NoRetryHeader)).To(Equal("1"))
		m.claimer.err = fault.New(fault.Invalid, "another digest")
		Expect(m.do(m.request("POST", "/", "x", proxy.KeyHeader, "k")).StatusCode).To(Equal(422))
		m.claimer.err = nil
		for _, n := range m.nodes {
			n.target.Close()
		}
		reply = m.do(m.request("POST", "/", "order", proxy.KeyHeader, "k"))
		Expect(reply.outcome()).To(Equal(proxy.NotRun))
		Expect(m.claimer.releases()).To(Equal(3))
		Expect(target.runs.Load()).To(BeZero())
	})

	// Guards against a lost response: a caller that disconnected retries later.
	It("stores the response of a request whose caller has disconnected", func() {
		started, proceed := make(chan struct{}), make(chan struct{})
		target.serve = func(http.ResponseWriter, *http.Request) {
			close(started)
			<-proceed
		}
		conn, err := net.Dial("tcp", m.front.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\n%s: k\r\nContent-Length: 5\r\n\r\norder", proxy.KeyHeader)
		Eventually(started, testTimeout).Should(BeClosed())
		Expect(conn.Close()).To(Succeed())
		close(proceed)
		Eventually(func() proxy.Outcome {
			return m.do(m.request("POST", "/", "order", proxy.KeyHeader, "k")).outcome()
		}, testTimeout).Should(Equal(proxy.Ran))
		Expect(target.runs.Load()).To(BeEquivalentTo(1))
	})
})
