package admin_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/fault"
)

var _ = Describe("Client", func() {
	var (
		backend *fakeBackend
		ctx     context.Context
		// interfere may answer a request in place of the daemon.
		interfere func(w http.ResponseWriter, r *http.Request, next http.Handler)
		server    *httptest.Server
	)

	BeforeEach(func() {
		backend = newFake()
		interfere = func(w http.ResponseWriter, r *http.Request, next http.Handler) { next.ServeHTTP(w, r) }
		handler := admin.NewServer(backend, admin.ServerConfig{Token: token, Metrics: prometheus.NewRegistry()})
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { interfere(w, r, handler) }))
		DeferCleanup(server.Close)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
	})

	client := func(servers ...string) *admin.Client {
		c, err := admin.NewClient(admin.ClientConfig{Servers: servers, Token: token, Backoff: time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	closedAddress := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		return listener.Addr().String()
	}

	It("carries every call there and back", func() {
		c := client(server.URL)
		Expect(c.Check(ctx, ticketOf(1, "v1"))).To(HaveField("Number", uint64(1)))
		status, err := c.Submit(ctx, ticketOf(1, "v1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Ticket(ctx, 1)).To(Equal(status))
		Expect(c.Tickets(ctx, 0)).To(ConsistOf(status))
		Expect(c.State(ctx)).To(And(HaveField("Revision", uint64(1)), HaveField("Services", HaveLen(1))))
		Expect(c.Status(ctx)).To(HaveField("VM", "order-1"))
		Expect(c.Timeline(ctx, admin.TimelineFilter{Ticket: 4, Request: "a&b"})).To(HaveLen(1))
		Expect(backend.filter).To(Equal(admin.TimelineFilter{Ticket: 4, Request: "a&b"}))
	})

	It("submits once although answers are lost, guarding against a duplicate or a false refusal", func() {
		backend.loseAnswers = 2
		status, err := client(server.URL).Submit(ctx, ticketOf(1, "v1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Number).To(Equal(uint64(1)))
		Expect(backend.commits).To(Equal(1))
	})

	It("submits once although the connection breaks after the commit", func() {
		var calls atomic.Int32
		interfere = func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			if calls.Add(1) == 1 {
				next.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
		}
		_, err := client(server.URL).Submit(ctx, ticketOf(1, "v1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(backend.commits).To(Equal(1))
	})

	It("answers the same ticket alike at any later time and refuses another with its number", func() {
		c := client(server.URL)
		first, err := c.Submit(ctx, ticketOf(1, "v1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Submit(ctx, ticketOf(1, "v1"))).To(Equal(first))
		_, err = c.Submit(ctx, ticketOf(1, "v2"))
		Expect(fault.KindOf(err)).To(Equal(fault.NumberTaken))
	})

	It("does not repeat a refused call and keeps its details", func() {
		var calls atomic.Int32
		interfere = func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			calls.Add(1)
			next.ServeHTTP(w, r)
		}
		_, err := client(server.URL).Submit(ctx, ticketOf(9, "v1"))
		Expect(fault.As(err)).To(And(HaveField("Kind", fault.OutOfOrder), HaveField("Expected", uint64(1))))
		Expect(calls.Load()).To(Equal(int32(1)))
	})

	It("tells an outcome in doubt from a submission that never left", func() {
		_, err := client(closedAddress()).Submit(ctx, ticketOf(1, "v1"))
		Expect(fault.KindOf(err)).To(Equal(fault.Unavailable))
		Expect(admin.Unreachable(err)).To(BeTrue())
		interfere = func(http.ResponseWriter, *http.Request, http.Handler) { panic(http.ErrAbortHandler) }
		_, err = client(server.URL).Submit(ctx, ticketOf(1, "v1"))
		Expect(fault.KindOf(err)).To(Equal(fault.UnknownOutcome))
	})

	It("keeps the doubt of an early attempt when later ones say that nothing was written", func() {
		var calls atomic.Int32
		interfere = func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
			if calls.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"kind":"unavailable","message":"platform down"}`))
		}
		_, err := client(server.URL).Submit(ctx, ticketOf(1, "v1"))
		Expect(fault.KindOf(err)).To(Equal(fault.UnknownOutcome))
	})

	It("goes on to the next server when one is down", func() {
		_, err := client(closedAddress(), server.URL).Status(ctx)
		Expect(err).NotTo(HaveOccurred())
	})

	It("does not send the token to where a wrong server redirects it", func() {
		var leaked atomic.Bool
		other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { leaked.Store(true) }))
		DeferCleanup(other.Close)
		interfere = func(w http.ResponseWriter, r *http.Request, _ http.Handler) {
			http.Redirect(w, r, other.URL, http.StatusFound)
		}
		_, err := client(server.URL).Status(ctx)
		Expect(admin.Unreachable(err)).To(BeTrue())
		Expect(leaked.Load()).To(BeFalse())
	})

	It("stops when its context ends", func() {
		stopped, cancel := context.WithCancel(ctx)
		cancel()
		_, err := client(server.URL).Status(stopped)
		Expect(fault.KindOf(err)).To(Equal(fault.Timeout))
	})

	DescribeTable("refuses bad servers",
		func(servers ...string) {
			_, err := admin.NewClient(admin.ClientConfig{Servers: servers})
			Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
		},
		Entry("none"),
		Entry("an empty one", ""),
		Entry("another scheme", "ftp://127.0.0.1:1"),
		Entry("one with a password", "http://a:b@127.0.0.1:1"),
	)
})
