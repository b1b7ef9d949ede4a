package standin

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Faults are switches; the zero value is a healthy platform.
type Faults struct {
	// Outage answers every request with status 503 and carries nothing out.
	Outage bool `json:"outage"`
	// Cut closes the connection of every request and carries nothing out.
	Cut bool `json:"cut"`
	// LatencyMillis delays every operation before it is carried out. The
	// operation takes place even if the client has left by then.
	LatencyMillis int `json:"latency_ms"`
	// AnswerLatencyMillis delays every answer after the operation.
	AnswerLatencyMillis int `json:"answer_latency_ms"`
	// ThrottleRate is the fraction of requests that are throttled.
	ThrottleRate float64 `json:"throttle_rate"`
	// ThrottleNext throttles that many requests, then counts down to zero.
	ThrottleNext int `json:"throttle_next"`
	// LoseRate is the fraction of writes that are carried out, after which
	// the connection is cut.
	LoseRate float64 `json:"lose_rate"`
	// LoseNext loses the answers of that many writes, then counts down to zero.
	LoseNext int `json:"lose_next"`
	// InternalErrorNext answers that many writes with status 500 after they
	// were carried out, then counts down to zero.
	InternalErrorNext int `json:"internal_error_next"`
}

func (f *Faults) validate() error {
	if f.LatencyMillis < 0 || f.AnswerLatencyMillis < 0 || f.ThrottleNext < 0 || f.LoseNext < 0 || f.InternalErrorNext < 0 {
		return fault.New(fault.Invalid, "a fault has a negative number")
	}
	if f.ThrottleRate < 0 || f.ThrottleRate > 1 || f.LoseRate < 0 || f.LoseRate > 1 {
		return fault.New(fault.Invalid, "a fault has a rate outside 0 to 1")
	}
	return nil
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Faults returns the faults, with the numbers that are left.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// plan is what the faults do to one request.
type plan struct {
	before  time.Duration
	after   time.Duration
	cut     bool
	refusal *response
	lost    bool
}

// plan counts the request and decides what happens to it.
func (s *Server) plan(q request) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Operations[q.name()]++
	p := plan{
		before: time.Duration(s.faults.LatencyMillis) * time.Millisecond,
		after:  time.Duration(s.faults.AnswerLatencyMillis) * time.Millisecond,
	}
	switch {
	case s.faults.Cut:
		p.cut = true
		s.stats.Refused++
	case s.faults.Outage:
		refusal := q.failure(503, codeUnavailable, "the stand-in has an outage")
		p.refusal = &refusal
		s.stats.Refused++
	case s.strikes(&s.faults.ThrottleNext, s.faults.ThrottleRate):
		refusal := q.throttled()
		p.refusal = &refusal
		s.stats.Throttled++
	case q.writes && s.strikes(&s.faults.LoseNext, s.faults.LoseRate):
		p.lost = true
		s.stats.Lost++
	}
	return p
}

// strikes decides about one request. The caller holds the lock.
func (s *Server) strikes(next *int, rate float64) bool {
	if *next > 0 {
		*next--
		return true
	}
	return rate > 0 && s.random.Float64() < rate
}

const unknownOperation = "unknown"

func (q *request) name() string {
	if q.operation == "" {
		return unknownOperation
	}
	return q.operation
}

// throttled is the API's request to slow down.
func (q *request) throttled() response {
	if q.isObject() {
		return q.failure(503, "SlowDown", "the stand-in throttles")
	}
	return q.failure(400, "ProvisionedThroughputExceededException", "the stand-in throttles")
}
