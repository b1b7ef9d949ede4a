// Package standin implements an in-memory stand-in (a fake) for the platform's
// table and object store, for tests and demos. It serves the subset of the
// DynamoDB JSON API and of the S3 API that package platform uses, and rejects all
// other requests. Faults can be injected from Go and over HTTP.
//
// Control endpoints:
//
//	POST /_standin/faults   replaces the faults by the JSON of Faults
//	GET  /_standin/faults   returns the current Faults as JSON
//	GET  /_standin/stats    returns the JSON of Stats; ?items=0 omits the items
package standin

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Default names of the table and the bucket.
const (
	DefaultTable  = "magnoliamount"
	DefaultBucket = "magnoliamount"
)

const (
	controlPrefix = "/_standin/"
	// maxRequestBytes bounds a request body. It exceeds the largest transaction (4 MB).
	maxRequestBytes = 64 << 20
	defaultSeed     = 1
)

// Server is a stand-in for the platform. It is an http.Handler for both APIs and
// the control endpoints, and is safe for concurrent use.
type Server struct {
	table  string
	bucket string

	mu      sync.Mutex
	items   map[string]map[string]item
	objects map[string][]byte
	faults  Faults
	stats   Stats
	random  *rand.Rand
}

var _ http.Handler = (*Server)(nil)

// Option configures a Server.
type Option func(*Server)

// WithTable sets the name of the table.
func WithTable(name string) Option { return func(s *Server) { s.table = name } }

// WithBucket sets the name of the bucket.
func WithBucket(name string) Option { return func(s *Server) { s.bucket = name } }

// WithSeed sets the seed of the random faults.
func WithSeed(seed uint64) Option {
	return func(s *Server) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns an empty stand-in without faults.
func New(options ...Option) *Server {
	s := &Server{
		table:   DefaultTable,
		bucket:  DefaultBucket,
		items:   map[string]map[string]item{},
		objects: map[string][]byte{},
		stats:   newStats(),
		random:  rand.New(rand.NewPCG(defaultSeed, defaultSeed)),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// ServeHTTP serves the control endpoints and both APIs.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, controlPrefix) {
		s.serveControl(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	s.serveRequest(parse(r, body)).send(w)
}

// request is a decoded request of either API that has not been executed.
type request struct {
	// operation is the name in the API, for example "GetItem". It is empty for
	// an unsupported request.
	operation string
	isWrite   bool
	// execute executes the operation. The caller must hold Server.mu.
	execute func(*Server) response
	// errorResponse returns an error response in the format of the API.
	errorResponse func(status int, code, message string) response
}

// parse decodes a request. A POST request, or one with the operation header that
// the DynamoDB API requires, belongs to that API, and any other to the S3 API.
func parse(r *http.Request, body []byte) request {
	if r.Header.Get(amzTargetHeader) != "" || r.Method == http.MethodPost {
		return parseTable(r, body)
	}
	return parseObject(r, body)
}

// serveRequest executes a request and injects the current faults.
func (s *Server) serveRequest(q request) response {
	plan := s.planFaults(q)
	time.Sleep(plan.delayBefore)
	if plan.dropConnection {
		return response{dropConnection: true}
	}
	if plan.refusal != nil {
		return *plan.refusal
	}
	s.mu.Lock()
	result := q.execute(s)
	s.mu.Unlock()
	time.Sleep(plan.delayAfter)
	result.dropConnection = plan.loseResponse
	return result
}

// response is a response of either API.
type response struct {
	status      int
	contentType string
	header      map[string]string
	body        []byte
	// dropConnection closes the connection without a response.
	dropConnection bool
}

// send writes the response. It panics with http.ErrAbortHandler to close the
// connection if dropConnection is set.
func (p response) send(w http.ResponseWriter) {
	if p.dropConnection {
		panic(http.ErrAbortHandler)
	}
	for name, value := range p.header {
		w.Header().Set(name, value)
	}
	w.Header().Set("Content-Type", p.contentType)
	w.WriteHeader(p.status)
	// The error is ignored: it means that the client has disconnected.
	_, _ = w.Write(p.body)
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + strings.TrimPrefix(r.URL.Path, controlPrefix) {
	case "POST faults":
		s.postFaults(w, r)
	case "GET faults":
		writeJSON(w, s.Faults())
	case "GET stats":
		stats := s.Stats()
		if r.URL.Query().Get("items") == "0" {
			stats.Items = nil
		}
		writeJSON(w, stats)
	default:
		http.Error(w, "unknown control path or method", http.StatusNotFound)
	}
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	var faults Faults
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := faults.validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored: it means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
