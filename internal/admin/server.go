package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/ticketfile"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// Limits of GET /v1/tickets.
const (
	// DefaultTicketLimit is the number of tickets in a list when no limit is given.
	DefaultTicketLimit = 50
	// MaxTicketLimit is the largest limit that a request may give.
	MaxTicketLimit = 1000
)

// ServerConfig configures the administration API of a daemon.
type ServerConfig struct {
	// Token is the bearer token of operators. With an empty token the server
	// rejects every request under /v1.
	Token string
	// Metrics is the source of /metrics; nil means the default registry.
	Metrics prometheus.Gatherer
	// Panicked is called with the path and the value of a recovered panic; it
	// may be nil.
	Panicked func(path string, value any)
}

type server struct {
	backend Backend
	config  ServerConfig
	token   [sha256.Size]byte
}

// endpoint handles one request. It returns the value to encode as the response
// body, or an error with a fault.Kind.
type endpoint func(r *http.Request) (any, error)

// endpointsByMethod maps the HTTP methods of one path to their endpoints.
type endpointsByMethod map[string]endpoint

// NewServer returns the handler of the administration API.
func NewServer(backend Backend, config ServerConfig) http.Handler {
	s := &server{backend: backend, config: config, token: sha256.Sum256([]byte(config.Token))}
	mux := http.NewServeMux()
	mux.Handle("/v1/tickets", s.requireToken(endpointsByMethod{http.MethodGet: s.tickets, http.MethodPost: s.submit}))
	mux.Handle("/v1/tickets/{number}", s.requireToken(endpointsByMethod{http.MethodGet: s.ticket}))
	mux.Handle("/v1/state", s.requireToken(endpointsByMethod{http.MethodGet: s.state}))
	mux.Handle("/v1/status", s.requireToken(endpointsByMethod{http.MethodGet: s.status}))
	mux.Handle("/v1/timeline", s.requireToken(endpointsByMethod{http.MethodGet: s.timeline}))
	mux.Handle("/v1/check", s.requireToken(endpointsByMethod{http.MethodPost: s.check}))
	mux.Handle("/v1/", s.requireToken(nil))
	mux.Handle("/metrics", s.metrics())
	mux.Handle("/healthz", dispatchByMethod(endpointsByMethod{http.MethodGet: s.health}))
	mux.Handle("/readyz", dispatchByMethod(endpointsByMethod{http.MethodGet: s.ready}))
	mux.Handle("/", dispatchByMethod(nil))
	return s.recoverPanics(mux)
}

func (s *server) metrics() http.Handler {
	gatherer := s.config.Metrics
	if gatherer == nil {
		gatherer = prometheus.DefaultGatherer
	}
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})
}

// requireToken checks the bearer token before any other part of the request is
// read.
func (s *server) requireToken(m endpointsByMethod) http.Handler {
	next := dispatchByMethod(m)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.authorized(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, fault.New(fault.Unauthorized, "the bearer token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// authorized reports whether the request has the operators' token. It compares
// digests in constant time, so that the response time reveals neither the token
// nor its length.
func (s *server) authorized(r *http.Request) bool {
	scheme, given, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	digest := sha256.Sum256([]byte(given))
	match := subtle.ConstantTimeCompare(digest[:], s.token[:]) == 1
	return match && strings.EqualFold(scheme, "Bearer") && s.config.Token != ""
}

// dispatchByMethod returns a handler that calls the endpoint of the request's
// method. HEAD uses the endpoint of GET; nil endpoints mean that the path does
// not exist.
func dispatchByMethod(m endpointsByMethod) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m == nil {
			writeError(w, fault.New(fault.NotFound, "no such path: %s", r.URL.Path))
			return
		}
		handle, ok := m[r.Method]
		if r.Method == http.MethodHead {
			handle, ok = m[http.MethodGet]
		}
		if !ok {
			refuseMethod(w, r, m)
			return
		}
		value, err := handle(r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, value)
	})
}

func refuseMethod(w http.ResponseWriter, r *http.Request, m endpointsByMethod) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		if _, ok := m[method]; ok {
			w.Header().Add("Allow", method)
		}
	}
	body := ErrorBody{Kind: fault.Invalid, Message: "method " + r.Method + " is not allowed on " + r.URL.Path}
	writeJSON(w, http.StatusMethodNotAllowed, body)
}

// recoverPanics responds to a panic with an internal error, so that a fault in
// one request does not terminate the daemon.
func (s *server) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if s.config.Panicked != nil {
				s.config.Panicked(r.URL.Path, value)
			}
			writeError(w, fault.New(fault.Internal, "the daemon failed; its log has the cause"))
		}()
		next.ServeHTTP(w, r)
	})
}

func writeError(w http.ResponseWriter, err error) {
	body := newErrorBody(err)
	writeJSON(w, HTTPStatus(body.Kind), body)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		encoded = []byte(`{"kind":"internal","message":"the answer cannot be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n'))
}

func (s *server) submit(r *http.Request) (any, error) {
	t, err := readTicket(r)
	if err != nil {
		return nil, err
	}
	return endpointResult(s.backend.Submit(r.Context(), t))
}

func (s *server) check(r *http.Request) (any, error) {
	t, err := readTicket(r)
	if err != nil {
		return nil, err
	}
	state := s.backend.State()
	if state == nil {
		return nil, fault.New(fault.NotReady, "the daemon has no state yet")
	}
	if err := state.Validate(t); err != nil {
		return nil, err
	}
	digest, err := ticketfile.Digest(t)
	if err != nil {
		return nil, err
	}
	return CheckResult{Number: t.Number, Digest: digest, Revision: state.Revision}, nil
}

// readTicket reads and decodes the ticket in the request body. It reads at most
// one byte more than a ticket may have; the decoder rejects a body of that size.
func readTicket(r *http.Request) (*model.Ticket, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, model.MaxTicketBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "the body cannot be read")
	}
	return ticketfile.Decode(data, ticketfile.Options{})
}

func (s *server) ticket(r *http.Request) (any, error) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil || number == 0 {
		return nil, fault.New(fault.Invalid, "ticket number %q is not a whole number of at least 1", r.PathValue("number"))
	}
	return endpointResult(s.backend.Ticket(r.Context(), number))
}

func (s *server) tickets(r *http.Request) (any, error) {
	query, err := parseQuery(r, "limit")
	if err != nil {
		return nil, err
	}
	limit, err := query.number("limit", DefaultTicketLimit, MaxTicketLimit)
	if err != nil {
		return nil, err
	}
	list, err := s.backend.Tickets(r.Context(), int(limit))
	if err != nil {
		return nil, err
	}
	if list == nil {
		list = []TicketStatus{}
	}
	return list, nil
}

func (s *server) state(*http.Request) (any, error) {
	state := s.backend.State()
	if state == nil {
		return nil, fault.New(fault.NotReady, "the daemon has no state yet")
	}
	return newStateBody(state), nil
}

func (s *server) status(*http.Request) (any, error) { return s.backend.Status(), nil }

func (s *server) timeline(r *http.Request) (any, error) {
	query, err := parseQuery(r, "ticket", "vm", "request")
	if err != nil {
		return nil, err
	}
	ticket, err := query.number("ticket", 0, maxTicketNumber)
	if err != nil {
		return nil, err
	}
	filter := TimelineFilter{Ticket: ticket, VM: query.Get("vm"), Request: query.Get("request")}
	events := s.backend.Timeline(filter)
	if events == nil {
		events = []timeline.Event{}
	}
	return events, nil
}

func (s *server) health(*http.Request) (any, error) { return Health{Status: "ok"}, nil }

func (s *server) ready(*http.Request) (any, error) {
	if err := s.backend.Ready(); err != nil {
		return nil, err
	}
	return Health{Status: "ready"}, nil
}

// endpointResult converts the result of a backend call to the result of an
// endpoint, which has no value when it has an error.
func endpointResult(v any, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return v, nil
}
