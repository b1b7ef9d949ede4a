package standin

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Faults configures the injected faults. The zero value injects none.
type Faults struct {
	// Outage rejects every request with status 503 without executing it.
	Outage bool `json:"outage"`
	// DropConnections closes the connection of every request without executing
	// the request.
	DropConnections bool `json:"cut"`
	// LatencyMillis is the delay before every operation, in milliseconds. The
	// operation is executed even if the client has disconnected by then.
	LatencyMillis int `json:"latency_ms"`
	// ResponseLatencyMillis is the delay between every operation and its
	// response, in milliseconds.
	ResponseLatencyMillis int `json:"answer_latency_ms"`
	// ThrottleRate is the fraction of requests, from 0 to 1, that are throttled.
	ThrottleRate float64 `json:"throttle_rate"`
	// ThrottleNext is the number of next requests that are throttled. Each of
	// them decrements it.
	ThrottleNext int `json:"throttle_next"`
	// LoseResponseRate is the fraction of writes, from 0 to 1, that are executed
	// but whose connection is closed without a response.
	LoseResponseRate float64 `json:"lose_rate"`
	// LoseResponseNext is the number of next writes that are executed but get no
	// response. Each of them decrements it.
	LoseResponseNext int `json:"lose_next"`
	// InternalErrorNext is the number of next writes that get status 500 after
	// they are executed. Each of them decrements it.
	InternalErrorNext int `json:"internal_error_next"`
}

func (f *Faults) validate() error {
	if f.LatencyMillis < 0 || f.ResponseLatencyMillis < 0 || f.ThrottleNext < 0 || f.LoseResponseNext < 0 || f.InternalErrorNext < 0 {
		return fault.New(fault.Invalid, "a fault has a negative number")
	}
	if f.ThrottleRate < 0 || f.ThrottleRate > 1 || f.LoseResponseRate < 0 || f.LoseResponseRate > 1 {
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

// Faults returns the current faults with the remaining counts.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// faultPlan holds the faults to inject into one request. refusal, if set, is
// returned instead of executing the request.
type faultPlan struct {
	delayBefore    time.Duration
	delayAfter     time.Duration
	dropConnection bool
	refusal        *response
	loseResponse   bool
}

// planFaults counts the request and selects the faults to inject into it.
func (s *Server) planFaults(q request) faultPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Operations[q.operationName()]++
	p := faultPlan{
		delayBefore: time.Duration(s.faults.LatencyMillis) * time.Millisecond,
		delayAfter:  time.Duration(s.faults.ResponseLatencyMillis) * time.Millisecond,
	}
	switch {
	case s.faults.DropConnections:
		p.dropConnection = true
		s.stats.Refused++
	case s.faults.Outage:
		refusal := q.errorResponse(503, codeUnavailable, "the stand-in has an outage")
		p.refusal = &refusal
		s.stats.Refused++
	case s.drawFault(&s.faults.ThrottleNext, s.faults.ThrottleRate):
		refusal := q.throttleResponse()
		p.refusal = &refusal
		s.stats.Throttled++
	case q.isWrite && s.drawFault(&s.faults.LoseResponseNext, s.faults.LoseResponseRate):
		p.loseResponse = true
		s.stats.LostResponses++
	}
	return p
}

// drawFault reports whether a fault affects the current request. It decrements
// next while that is above 0, and draws with probability rate otherwise. The
// caller must hold Server.mu.
func (s *Server) drawFault(next *int, rate float64) bool {
	if *next > 0 {
		*next--
		return true
	}
	return rate > 0 && s.random.Float64() < rate
}

// unknownOperation is the key of unsupported requests in Stats.Operations.
const unknownOperation = "unknown"

func (q *request) operationName() string {
	if q.operation == "" {
		return unknownOperation
	}
	return q.operation
}

// throttleResponse returns the throttling error of the request's API.
func (q *request) throttleResponse() response {
	if q.isObject() {
		return q.errorResponse(503, "SlowDown", "the stand-in throttles")
	}
	return q.errorResponse(400, "ProvisionedThroughputExceededException", "the stand-in throttles")
}
