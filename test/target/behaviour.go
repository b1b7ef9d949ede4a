package target

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Behaviour configures fault injection. The zero value injects nothing. A
// request fails or gets added latency only if all conditions that are set hold.
type Behaviour struct {
	// FailFraction is the fraction of requests, from 0 to 1, that get status 500.
	FailFraction float64 `json:"fail_fraction"`
	// LatencyMs is the latency added to each request, in milliseconds.
	LatencyMs int `json:"latency_ms"`
	// AfterRequests is the number of requests served without faults first.
	AfterRequests uint64 `json:"after_requests"`
	// PathPrefix restricts the faults to matching paths.
	PathPrefix string `json:"path_prefix"`
	// AboveConcurrency restricts the faults to times with more requests in
	// flight than this; 0 sets no limit.
	AboveConcurrency int `json:"above_concurrency"`
	// CrashPath makes the process exit on a request whose path contains it.
	CrashPath string `json:"crash_path"`
	// ReportHealthy makes the health and load endpoints report a healthy and
	// idle target, whatever its real state.
	ReportHealthy bool `json:"lie_health"`
	// ColdMs is the warm-up time after the start, in milliseconds. The latency
	// added to requests falls linearly from ColdLatencyMs milliseconds at the
	// start to 0 at the end of the warm-up.
	ColdMs        int `json:"cold_ms"`
	ColdLatencyMs int `json:"cold_latency_ms"`
}

// requestConditions are the values that a Behaviour tests for one request.
type requestConditions struct {
	path     string
	served   uint64
	inFlight int
	age      time.Duration
}

// applies reports whether the conditions for failures and added latency hold.
func (b *Behaviour) applies(c requestConditions) bool {
	return c.served >= b.AfterRequests &&
		strings.HasPrefix(c.path, b.PathPrefix) &&
		(b.AboveConcurrency == 0 || c.inFlight > b.AboveConcurrency)
}

// crashes reports whether a request for path crashes the process.
func (b *Behaviour) crashes(path string) bool {
	return b.CrashPath != "" && strings.Contains(path, b.CrashPath)
}

// fails reports whether the request fails. It draws at random with probability
// FailFraction if the conditions hold.
func (b *Behaviour) fails(c requestConditions, random *rand.Rand) bool {
	return b.applies(c) && random.Float64() < b.FailFraction
}

// delay returns the latency to add to the request.
func (b *Behaviour) delay(c requestConditions) time.Duration {
	delay := b.warmUpDelay(c.age)
	if b.applies(c) {
		delay += time.Duration(b.LatencyMs) * time.Millisecond
	}
	return delay
}

// warmUpDelay returns the latency that the warm-up adds at the given age of the
// process. It falls linearly to 0 at the end of the warm-up.
func (b *Behaviour) warmUpDelay(age time.Duration) time.Duration {
	warmUp := time.Duration(b.ColdMs) * time.Millisecond
	if age >= warmUp {
		return 0
	}
	initial := float64(b.ColdLatencyMs) * float64(time.Millisecond)
	return time.Duration(initial * float64(warmUp-age) / float64(warmUp))
}
