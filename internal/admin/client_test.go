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
		// intercept handles each request; it may respond in place of the daemon.
		intercept func(w http.ResponseWriter, r *http.Request, next http.Handler)
		server    *httptest.Server
	)

	BeforeEach(func() {
		backend = newFakeBackend()
		intercept = func(w http.ResponseWriter, r *http.Request, next http.Handler) { next.ServeHTTP(w, r) }
		handler := admin.NewServer(backend, admin.ServerConfig{Token: token, Metrics: prometheus.NewRegistry()})
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { intercept(w, r, handler) }))
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

	It("sends every kind of call and decodes its response", func() {
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

	It("commits a ticket once although responses are lost, guarding against a duplicate or a wrong refusal on retry", func() {
		backend.loseResponses = 2
		status, err := client(server.URL).Submit(ctx, ticketOf(1, "v1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Number).To(Equal(uint64(1)))
		Expect(backend.commits).To(Equal(1))
	})

	It("commits a ticket once although the connection breaks after the commit", func() {
		var calls atomic.Int32
		intercept = func(w http.ResponseWriter, r *http.Request, next http.Handler) {
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

	It("gets the same response for the same ticket and refuses a different ticket with its number", func() {
		c := client(server.URL)
		first, err := c.Submit(ctx, ticketOf(1, "v1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Submit(ctx, ticketOf(1, "v1"))).To(Equal(first))
		_, err = c.Submit(ctx, ticketOf(1, "v2"))
		Expect(fault.KindOf(err)).To(Equal(fault.NumberTaken))
	})

	It("does not retry a refused call and keeps the details of the error", func() {
		var calls atomic.Int32
		intercept = func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			calls.Add(1)
			next.ServeHTTP(w, r)
		}
		_, err := client(server.URL).Submit(ctx, ticketOf(9, "v1"))
		Expect(fault.As(err)).To(And(HaveField("Kind", fault.OutOfOrder), HaveField("Expected", uint64(1))))
		Expect(calls.Load()).To(Equal(int32(1)))
	})

	It("distinguishes an unknown outcome from a submission that was never sent", func() {
		_, err := client(closedAddress()).Submit(ctx, ticketOf(1, "v1"))
		Expect(fault.KindOf(err)).To(Equal(fault.Unavailable))
		Expect(admin.Unreachable(err)).To(BeTrue())
		intercept = func(http.ResponseWriter, *http.Request, http.Handler) { panic(http.ErrAbortHandler) }
		_, err = client(server.URL).Submit(ctx, ticketOf(1, "v1"))
		Expect(fault.KindOf(err)).To(Equal(fault.UnknownOutcome))
	})

	It("reports an unknown outcome when the first attempt may have taken effect, although later attempts wrote nothing", func() {
		var calls atomic.Int32
		intercept = func(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
			if calls.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"kind":"unavailable","message":"platform down"}`))
		}
		_, err := client(server.URL).Submit(ctx, ticketOf(1, "v1"))
		Expect(fault.KindOf(err)).To(Equal(fault.UnknownOutcome))
	})

	It("tries the next server when one is down", func() {
		_, err := client(closedAddress(), server.URL).Status(ctx)
		Expect(err).NotTo(HaveOccurred())
	})

	It("does not follow a redirect, guarding against sending the token to another server", func() {
		var followed atomic.Bool
		other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { followed.Store(true) }))
		DeferCleanup(other.Close)
		intercept = func(w http.ResponseWriter, r *http.Request, _ http.Handler) {
			http.Redirect(w, r, other.URL, http.StatusFound)
		}
		_, err := client(server.URL).Status(ctx)
		Expect(admin.Unreachable(err)).To(BeTrue())
		Expect(followed.Load()).To(BeFalse())
	})

	It("returns a timeout when its context is canceled", func() {
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		_, err := client(server.URL).Status(canceled)
		Expect(fault.KindOf(err)).To(Equal(fault.Timeout))
	})

	DescribeTable("rejects an invalid server configuration",
		func(servers ...string) {
			_, err := admin.NewClient(admin.ClientConfig{Servers: servers})
			Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
		},
		Entry("no server"),
		Entry("an empty server", ""),
		Entry("a scheme other than HTTP", "ftp://127.0.0.1:1"),
		Entry("a URL with a password", "http://a:b@127.0.0.1:1"),
	)
})
