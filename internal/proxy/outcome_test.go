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

// counter counts the requests that run and then serves them.
type counter struct {
	runs  atomic.Int64
	serve http.HandlerFunc
}

func (c *counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.runs.Add(1)
	if c.serve != nil {
		c.serve(w, r)
	}
	_, _ = w.Write(body)
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var _ = Describe("outcomes and retries", func() {
	// Guards against failed requests while another target is ready, and
	// against a retry that sends only a part of the body.
	DescribeTable("retries what did not run, with the whole body", func(size int) {
		target := &counter{}
		m := newMesh(model.Route{}, &counter{}, target)
		DeferCleanup(m.close)
		m.nodes[0].target.Close()
		body := strings.Repeat("0123456789abcdef", size/16)
		for range 8 {
			reply := m.do(m.request("POST", "/", body))
			Expect(reply.StatusCode).To(Equal(200))
			Expect(reply.body == body).To(BeTrue())
		}
		Expect(target.runs.Load()).To(BeEquivalentTo(8))
	}, Entry("no body", 0), Entry("kept body", 32<<10), Entry("body that waits for admission", 1<<20))

	// Guards against failed requests, and against a retry for each request,
	// after a VM has died.
	It("leaves out a daemon that refuses connections, and counts what it does", func() {
		m := newMesh(model.Route{}, &counter{}, &counter{})
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

	// Guards against a change of configuration that disturbs requests.
	It("lets a request finish with the configuration that it started with", func() {
		begun, goOn := make(chan struct{}), make(chan struct{})
		m := newMesh(model.Route{}, &counter{serve: func(http.ResponseWriter, *http.Request) {
			close(begun)
			<-goOn
		}})
		DeferCleanup(m.close)
		answer := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answer <- m.do(m.request("POST", "/", "kept"))
		}()
		Eventually(begun, patience).Should(BeClosed())
		m.outbound.Update(&routing.Config{State: model.NewState()})
		m.nodes[0].inbound.SetTarget(member.Target{})
		Expect(m.do(m.request("POST", "/", "")).StatusCode).To(Equal(404))
		close(goOn)
		var got reply
		Eventually(answer, patience).Should(Receive(&got))
		Expect(got.body).To(Equal("kept"))
	})

	// Guards against a stalled upload that holds a slot, or its caller, beyond
	// the deadline.
	DescribeTable("ends a stalled upload at its deadline", func(once bool) {
		m := newMesh(model.Route{Once: once}, &counter{})
		DeferCleanup(m.close)
		conn, err := net.Dial("tcp", m.front.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(conn.SetDeadline(time.Now().Add(patience))).To(Succeed())
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\n%s: 300\r\n%s: k\r\nContent-Length: 9\r\n\r\npart",
			proxy.DeadlineHeader, proxy.KeyHeader)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(504))
	}, Entry("once", true), Entry("not once", false))

	// Guards against peers that make up routes, each of which would be a new
	// series of metrics; a name that is not UTF-8 would cause a panic.
	It("refuses a route header that is not a name", func() {
		m := newMesh(model.Route{}, &counter{})
		DeferCleanup(m.close)
		for _, name := range []string{"\xff", strings.Repeat("r", 64), "a b"} {
			r, err := http.NewRequest("GET", m.nodes[0].front.URL, nil)
			Expect(err).NotTo(HaveOccurred())
			r.Header.Set(proxy.RouteHeader, name)
			Expect(m.do(r).StatusCode).To(Equal(400))
		}
	})

	// Guards against a refusal that waits for an upload which takes long.
	It("refuses a streamed upload before its end", func() {
		m := newMesh(model.Route{}, &counter{})
		DeferCleanup(m.close)
		m.outbound.SetReady(fault.New(fault.NotReady, "catching up"))
		reader, writer := io.Pipe()
		defer writer.Close()
		r := m.request("POST", "/", "")
		r.Body = reader
		Expect(m.do(r).outcome()).To(Equal(proxy.NotRun))
	})

	// Guards against a request that runs twice: net/http repeats safe methods
	// and requests with an idempotency key by itself when a reused connection
	// dies, unless it is kept from doing so.
	DescribeTable("runs a request once when its connection dies", func(method string, header ...string) {
		target := &counter{serve: func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/die" {
				abort(w, r)
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
		Entry("POST with the other key", "POST", "X-Idempotency-Key", "k"),
	)

	// Guards against idempotent requests that fail although they may run
	// again, and against retries without bound.
	It("retries an unknown outcome on idempotent routes, at three targets at most", func() {
		bad := &counter{serve: abort}
		m := newMesh(model.Route{Idempotent: true}, bad, bad, bad, bad)
		DeferCleanup(m.close)
		reply := m.do(m.request("GET", "/", ""))
		Expect(reply.outcome()).To(Equal(proxy.Unknown))
		Expect(reply.Header.Get(proxy.NoRetryHeader)).To(Equal("1"))
		Expect(bad.runs.Load()).To(BeEquivalentTo(3))
	})

	// Guards against "not run" for a request that a target got, and against
	// "unknown" for one that none got.
	It("tells the truth about what ran when the deadline passes", func() {
		block := make(chan struct{})
		target := &counter{serve: func(http.ResponseWriter, *http.Request) { <-block }}
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
		Eventually(target.runs.Load, patience).Should(BeEquivalentTo(1))
		waits, err := http.NewRequest("POST", m.nodes[0].front.URL, nil)
		Expect(err).NotTo(HaveOccurred())
		waits.Header.Set(proxy.DeadlineHeader, "200")
		waiting := m.do(waits)
		Expect(waiting.outcome()).To(Equal(proxy.NotRun))
		var running reply
		Eventually(first, patience).Should(Receive(&running))
		Expect(running.StatusCode).To(Equal(504))
		Expect(running.outcome()).To(Equal(proxy.Unknown))
		Expect(target.runs.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a queue without bound in front of a slow target.
	It("sheds with not-run when the queue is full", func() {
		block := make(chan struct{})
		target := &counter{serve: func(http.ResponseWriter, *http.Request) { <-block }}
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
		Eventually(shed.Load, patience).Should(BeEquivalentTo(7))
		close(block)
		wait.Wait()
		Expect(served.Load()).To(BeEquivalentTo(3))
		Expect(target.runs.Load()).To(BeEquivalentTo(3))
	})

	// Guards against a version that gets requests although it has no target,
	// and against a request that is sent to a target of another version.
	It("serves from the other version when a version has no target", func() {
		m := newMesh(model.Route{}, &counter{}, &counter{})
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

	// Guards against a judge that sees wrong versions, misses failures, or
	// takes shed requests for failed ones.
	It("observes requests of a service with an open move", func() {
		failing := &counter{serve: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }}
		m := newMesh(model.Route{}, &counter{}, failing)
		DeferCleanup(m.close)
		m.do(m.request("GET", "/", ""))
		Expect(m.observer.seen()).To(BeEmpty())
		m.moveTo(1000)
		m.do(m.request("GET", "/", ""))
		m.moveTo(0)
		m.do(m.request("GET", "/", ""))
		m.nodes[0].target.Close()
		m.do(m.request("GET", "/", ""))
		seen := m.observer.seen()
		Expect(seen).To(HaveLen(2))
		Expect(seen[0].Key.New).To(BeTrue())
		Expect(seen[0].Failed).To(BeTrue())
		Expect(seen[1].Key.New).To(BeFalse())
		Expect(seen[1].Failed).To(BeFalse())
		Expect(seen[1].Key.Ticket).To(BeEquivalentTo(2))
		Expect(seen[1].Latency).To(BeNumerically(">", 0))
	})
})

var _ = Describe("once routes", func() {
	var m *mesh
	var target *counter
	BeforeEach(func() {
		target = &counter{serve: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/x-reorder")
			w.WriteHeader(201)
		}}
		m = newMesh(model.Route{Once: true}, target, target, target)
		DeferCleanup(m.close)
	})

	// Guards against a reorder that runs twice because its attempts race.
	It("runs a key once under a race, and replays its answer", func() {
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
					// With the queue full the request has not run.
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
	// that load a platform that is down.
	It("answers not-run without a claim, and releases a claim that was not used", func() {
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

	// Guards against a lost answer: the caller that hung up asks again.
	It("keeps the answer of a request whose caller has left", func() {
		begun, goOn := make(chan struct{}), make(chan struct{})
		target.serve = func(http.ResponseWriter, *http.Request) {
			close(begun)
			<-goOn
		}
		conn, err := net.Dial("tcp", m.front.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\n%s: k\r\nContent-Length: 5\r\n\r\norder", proxy.KeyHeader)
		Eventually(begun, patience).Should(BeClosed())
		Expect(conn.Close()).To(Succeed())
		close(goOn)
		Eventually(func() proxy.Outcome {
			return m.do(m.request("POST", "/", "order", proxy.KeyHeader, "k")).outcome()
		}, patience).Should(Equal(proxy.Ran))
		Expect(target.runs.Load()).To(BeEquivalentTo(1))
	})
})
