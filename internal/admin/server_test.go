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
		backend = newFakeBackend()
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
	sendAuthorized := func(method, path, body string) *httptest.ResponseRecorder {
		return send(method, path, body, "Bearer "+token)
	}
	decodeError := func(response *httptest.ResponseRecorder) admin.ErrorBody {
		var body admin.ErrorBody
		ExpectWithOffset(1, json.Unmarshal(response.Body.Bytes(), &body)).To(Succeed(), response.Body.String())
		return body
	}

	DescribeTable("rejects every path under /v1 without the right token, before it reads the request",
		func(authorization string) {
			for _, path := range []string{"/v1/tickets", "/v1/tickets/1", "/v1/state", "/v1/status", "/v1/timeline", "/v1/check", "/v1/other"} {
				response := send(http.MethodPost, path, encodeTicket(ticketOf(1, "v1")), authorization)
				Expect(response.Code).To(Equal(http.StatusUnauthorized), path)
				Expect(decodeError(response).Kind).To(Equal(fault.Unauthorized))
			}
			Expect(backend.commits).To(BeZero())
		},
		Entry("no Authorization header", ""),
		Entry("a wrong token of the same length", "Bearer operator-tokem"),
		Entry("a prefix of the token", "Bearer operator"),
		Entry("a token with a suffix", "Bearer operator-token1"),
		Entry("another scheme with the right token", "Basic operator-token"),
		Entry("an empty token", "Bearer "),
	)

	It("rejects every token when none is configured, guarding against an API without access control when the setting is missing", func() {
		handler = admin.NewServer(backend, admin.ServerConfig{Metrics: prometheus.NewRegistry()})
		Expect(send(http.MethodGet, "/v1/status", "", "Bearer ").Code).To(Equal(http.StatusUnauthorized))
	})

	It("serves health, readiness and metrics without a token, because probes have none", func() {
		Expect(send(http.MethodGet, "/healthz", "", "").Code).To(Equal(http.StatusOK))
		Expect(send(http.MethodGet, "/metrics", "", "").Code).To(Equal(http.StatusOK))
		Expect(send(http.MethodGet, "/readyz", "", "").Code).To(Equal(http.StatusOK))
		backend.notReady = fault.New(fault.NotReady, "the configuration is not loaded yet")
		response := send(http.MethodGet, "/readyz", "", "")
		Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(decodeError(response)).To(Equal(admin.ErrorBody{Kind: fault.NotReady, Message: "the configuration is not loaded yet"}))
	})

	DescribeTable("rejects bad input with a typed error",
		func(method, path, body string, status int, kind fault.Kind) {
			response := sendAuthorized(method, path, body)
			Expect(response.Code).To(Equal(status), response.Body.String())
			Expect(decodeError(response).Kind).To(Equal(kind))
			Expect(response.Header().Get("Content-Type")).To(Equal("application/json"))
			Expect(backend.commits).To(BeZero())
		},
		Entry("a body that is not JSON", "POST", "/v1/tickets", "x", 400, fault.Invalid),
		Entry("an empty body", "POST", "/v1/check", "", 400, fault.Invalid),
		Entry("an oversized body", "POST", "/v1/tickets", strings.Repeat(" ", 2*model.MaxTicketBytes), 400, fault.Invalid),
		Entry("a relative finish time", "POST", "/v1/tickets", `{"number":1,"moves":[{"service":"s","finish":"+9s"}]}`, 400, fault.Invalid),
		Entry("a ticket that breaks a rule of the state", "POST", "/v1/check", `{"number":1}`, 400, fault.Invalid),
		Entry("a ticket number that is too high", "POST", "/v1/check", `{"number":3}`, 409, fault.OutOfOrder),
		Entry("ticket 0", "GET", "/v1/tickets/0", "", 400, fault.Invalid),
		Entry("a ticket number that is not numeric", "GET", "/v1/tickets/x", "", 400, fault.Invalid),
		Entry("an unknown ticket", "GET", "/v1/tickets/9", "", 404, fault.NotFound),
		Entry("a limit of 0", "GET", "/v1/tickets?limit=0", "", 400, fault.Invalid),
		Entry("a limit that is too high", "GET", "/v1/tickets?limit=1001", "", 400, fault.Invalid),
		Entry("a mistyped filter", "GET", "/v1/timeline?tickets=1", "", 400, fault.Invalid),
		Entry("a filter given twice", "GET", "/v1/timeline?vm=a&vm=b", "", 400, fault.Invalid),
		Entry("a method that is not allowed", "DELETE", "/v1/tickets", "", 405, fault.Invalid),
		Entry("an unknown path under /v1", "GET", "/v1/nothing", "", 404, fault.NotFound),
		Entry("an unknown path", "GET", "/nothing", "", 404, fault.NotFound),
	)

	It("returns the expected number, which scripts use to renumber a ticket", func() {
		Expect(decodeError(sendAuthorized(http.MethodPost, "/v1/tickets", encodeTicket(ticketOf(5, "v1")))).Expected).To(Equal(uint64(1)))
	})

	It("checks a ticket without committing it", func() {
		response := sendAuthorized(http.MethodPost, "/v1/check", encodeTicket(ticketOf(1, "v1")))
		Expect(response.Code).To(Equal(http.StatusOK))
		Expect(backend.commits).To(BeZero())
	})

	It("passes filters and limits to the backend", func() {
		Expect(sendAuthorized(http.MethodGet, "/v1/timeline?ticket=3&vm=a&request=r", "").Code).To(Equal(http.StatusOK))
		Expect(backend.filter).To(Equal(admin.TimelineFilter{Ticket: 3, VM: "a", Request: "r"}))
		Expect(sendAuthorized(http.MethodGet, "/v1/tickets?limit=7", "").Body.String()).To(Equal("[]\n"))
		Expect(backend.limit).To(Equal(7))
	})

	It("responds to a panic with a typed error that hides the cause, and reports the panic to the daemon", func() {
		backend.panics = true
		response := sendAuthorized(http.MethodGet, "/v1/status", "")
		Expect(response.Code).To(Equal(http.StatusInternalServerError))
		Expect(decodeError(response).Kind).To(Equal(fault.Internal))
		Expect(response.Body.String()).NotTo(ContainSubstring("secret detail"))
		Expect(panics).To(ConsistOf("/v1/status"))
	})

	It("has an HTTP status for every kind, guarding against a new kind that falls back to 500", func() {
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
