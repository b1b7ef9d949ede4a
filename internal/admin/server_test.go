package admin_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
)

const token = "operator-token"

var _ = Describe("NewServer", func() {
	var (
		backend *fakeBackend
		handler http.Handler
		panics  []string
	)

	BeforeEach(func() {
		backend = newFake()
		panics = nil
		handler = admin.NewServer(backend, admin.ServerConfig{
			Token: token, Metrics: prometheus.NewRegistry(),
			Panicked: func(path string, _ any) { panics = append(panics, path) },
		})
	})

	send := func(method, path, body, authorization string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(method, path, strings.NewReader(body))
		if authorization != "" {
			request.Header.Set("Authorization", authorization)
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return recorder
	}
	authorized := func(method, path, body string) *httptest.ResponseRecorder {
		return send(method, path, body, "Bearer "+token)
	}
	failure := func(answer *httptest.ResponseRecorder) admin.ErrorBody {
		var body admin.ErrorBody
		ExpectWithOffset(1, json.Unmarshal(answer.Body.Bytes(), &body)).To(Succeed(), answer.Body.String())
		return body
	}

	DescribeTable("refuses every path under /v1 without the right token, before it reads the request",
		func(authorization string) {
			for _, path := range []string{"/v1/tickets", "/v1/tickets/1", "/v1/state", "/v1/status", "/v1/timeline", "/v1/check", "/v1/other"} {
				answer := send(http.MethodPost, path, encoded(ticketOf(1, "v1")), authorization)
				Expect(answer.Code).To(Equal(http.StatusUnauthorized), path)
				Expect(failure(answer).Kind).To(Equal(fault.Unauthorized))
			}
			Expect(backend.commits).To(BeZero())
		},
		Entry("none", ""),
		Entry("another", "Bearer operator-tokem"),
		Entry("a prefix", "Bearer operator"),
		Entry("a longer one", "Bearer operator-token1"),
		Entry("another scheme", "Basic operator-token"),
		Entry("an empty one", "Bearer "),
	)

	It("refuses every token when none is configured, guarding against an open API by omission", func() {
		handler = admin.NewServer(backend, admin.ServerConfig{Metrics: prometheus.NewRegistry()})
		Expect(send(http.MethodGet, "/v1/status", "", "Bearer ").Code).To(Equal(http.StatusUnauthorized))
	})

	It("serves health, readiness and metrics without a token, which probes do not have", func() {
		Expect(send(http.MethodGet, "/healthz", "", "").Code).To(Equal(http.StatusOK))
		Expect(send(http.MethodGet, "/metrics", "", "").Code).To(Equal(http.StatusOK))
		Expect(send(http.MethodGet, "/readyz", "", "").Code).To(Equal(http.StatusOK))
		backend.notReady = fault.New(fault.NotReady, "the head is not read yet")
		answer := send(http.MethodGet, "/readyz", "", "")
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(failure(answer)).To(Equal(admin.ErrorBody{Kind: fault.NotReady, Message: "the head is not read yet"}))
	})

	DescribeTable("refuses bad input with a typed failure",
		func(method, path, body string, status int, kind fault.Kind) {
			answer := authorized(method, path, body)
			Expect(answer.Code).To(Equal(status), answer.Body.String())
			Expect(failure(answer).Kind).To(Equal(kind))
			Expect(answer.Header().Get("Content-Type")).To(Equal("application/json"))
			Expect(backend.commits).To(BeZero())
		},
		Entry("no JSON", "POST", "/v1/tickets", "x", 400, fault.Invalid),
		Entry("an empty body", "POST", "/v1/check", "", 400, fault.Invalid),
		Entry("an oversized body", "POST", "/v1/tickets", strings.Repeat(" ", 2*model.MaxTicketBytes), 400, fault.Invalid),
		Entry("a relative finish", "POST", "/v1/tickets", `{"number":1,"moves":[{"service":"s","finish":"+9s"}]}`, 400, fault.Invalid),
		Entry("a ticket that breaks a rule of the state", "POST", "/v1/check", `{"number":1}`, 400, fault.Invalid),
		Entry("a number too high", "POST", "/v1/check", `{"number":3}`, 409, fault.OutOfOrder),
		Entry("ticket 0", "GET", "/v1/tickets/0", "", 400, fault.Invalid),
		Entry("a ticket number that is none", "GET", "/v1/tickets/x", "", 400, fault.Invalid),
		Entry("an unknown ticket", "GET", "/v1/tickets/9", "", 404, fault.NotFound),
		Entry("a limit of 0", "GET", "/v1/tickets?limit=0", "", 400, fault.Invalid),
		Entry("a limit too high", "GET", "/v1/tickets?limit=1001", "", 400, fault.Invalid),
		Entry("a mistyped filter", "GET", "/v1/timeline?tickets=1", "", 400, fault.Invalid),
		Entry("a filter given twice", "GET", "/v1/timeline?vm=a&vm=b", "", 400, fault.Invalid),
		Entry("another method", "DELETE", "/v1/tickets", "", 405, fault.Invalid),
		Entry("an unknown path under /v1", "GET", "/v1/nothing", "", 404, fault.NotFound),
		Entry("an unknown path", "GET", "/nothing", "", 404, fault.NotFound),
	)

	It("tells the expected number, which scripts use to renumber a ticket", func() {
		Expect(failure(authorized(http.MethodPost, "/v1/tickets", encoded(ticketOf(5, "v1")))).Expected).To(Equal(uint64(1)))
	})

	It("checks a ticket without committing it", func() {
		answer := authorized(http.MethodPost, "/v1/check", encoded(ticketOf(1, "v1")))
		Expect(answer.Code).To(Equal(http.StatusOK))
		Expect(backend.commits).To(BeZero())
	})

	It("passes filters and limits on", func() {
		Expect(authorized(http.MethodGet, "/v1/timeline?ticket=3&vm=a&request=r", "").Code).To(Equal(http.StatusOK))
		Expect(backend.filter).To(Equal(admin.TimelineFilter{Ticket: 3, VM: "a", Request: "r"}))
		Expect(authorized(http.MethodGet, "/v1/tickets?limit=7", "").Body.String()).To(Equal("[]\n"))
		Expect(backend.limit).To(Equal(7))
	})

	It("answers a panic with a typed failure that hides its cause, and reports it to the daemon", func() {
		backend.panics = true
		answer := authorized(http.MethodGet, "/v1/status", "")
		Expect(answer.Code).To(Equal(http.StatusInternalServerError))
		Expect(failure(answer).Kind).To(Equal(fault.Internal))
		Expect(answer.Body.String()).NotTo(ContainSubstring("secret detail"))
		Expect(panics).To(ConsistOf("/v1/status"))
	})

	It("has an HTTP status for every kind, guarding against a new kind that turns into 500", func() {
		for _, kind := range []fault.Kind{
			fault.Invalid, fault.NotFound, fault.NumberTaken, fault.OutOfOrder, fault.OpenMove, fault.ConditionFailed,
			fault.Unavailable, fault.UnknownOutcome, fault.Throttled, fault.Stale, fault.Inconsistent, fault.Unauthorized,
			fault.NotReady, fault.Overloaded, fault.Protocol, fault.Timeout,
		} {
			Expect(admin.HTTPStatus(kind)).NotTo(Equal(http.StatusInternalServerError), string(kind))
		}
		Expect(admin.HTTPStatus("new-kind")).To(Equal(http.StatusInternalServerError))
	})
})
