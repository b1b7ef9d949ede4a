// Package standin is an in-memory stand-in of the platform for tests and
// demos. It serves the subset of the DynamoDB JSON API and of the S3 API that
// package platform uses, and refuses everything else. Faults can be switched
// on from Go and over HTTP.
//
// Paths under /_standin/ control it:
//
//	POST /_standin/faults   sets the faults to the JSON of Faults
//	GET  /_standin/faults   returns them
//	GET  /_standin/stats    returns the JSON of Stats; ?items=0 leaves out the items
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

// Names that New serves unless Options say otherwise.
const (
	DefaultTable  = "magnoliamount"
	DefaultBucket = "magnoliamount"
)

const (
	controlPrefix = "/_standin/"
	// maxRequestBytes bounds a request; it is above the largest transaction (4 MB).
	maxRequestBytes = 64 << 20
	defaultSeed     = 1
)

// Server is a stand-in. It is an http.Handler for all endpoints.
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

// Option changes a Server.
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

// ServeHTTP serves the control paths and both APIs.
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

// request is an operation of either API, not yet carried out.
type request struct {
	// operation is the name in the API, for example "GetItem"; it is empty
	// for a request that is not known.
	operation string
	writes    bool
	// execute carries the operation out. The caller holds the lock.
	execute func(*Server) response
	// failure makes an error in the form of the API.
	failure func(status int, code, message string) response
}

// parse recognizes the API by the header that the DynamoDB API requires.
func parse(r *http.Request, body []byte) request {
	if r.Header.Get(targetHeader) != "" || r.Method == http.MethodPost {
		return parseTable(r, body)
	}
	return parseObject(r, body)
}

// serveRequest carries out a request under the current faults.
func (s *Server) serveRequest(q request) response {
	plan := s.plan(q)
	time.Sleep(plan.before)
	if plan.cut {
		return response{cut: true}
	}
	if plan.refusal != nil {
		return *plan.refusal
	}
	s.mu.Lock()
	answer := q.execute(s)
	s.mu.Unlock()
	time.Sleep(plan.after)
	answer.cut = plan.lost
	return answer
}

// response is an answer of either API.
type response struct {
	status      int
	contentType string
	header      map[string]string
	body        []byte
	// cut closes the connection without an answer.
	cut bool
}

func (p response) send(w http.ResponseWriter) {
	if p.cut {
		panic(http.ErrAbortHandler)
	}
	for name, value := range p.header {
		w.Header().Set(name, value)
	}
	w.Header().Set("Content-Type", p.contentType)
	w.WriteHeader(p.status)
	// A client that left needs no answer.
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
	// A client that left needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}
