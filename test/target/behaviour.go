package target

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Behaviour says how a target misbehaves. The zero value behaves well. All
// conditions that are set must hold for a failure or added latency.
type Behaviour struct {
	// FailFraction of the requests, of 0 to 1, get status 500.
	FailFraction float64 `json:"fail_fraction"`
	// LatencyMs is added to each request, in milliseconds.
	LatencyMs int `json:"latency_ms"`
	// AfterRequests is the number of requests that are served well first.
	AfterRequests uint64 `json:"after_requests"`
	// PathPrefix restricts the misbehaviour to matching paths.
	PathPrefix string `json:"path_prefix"`
	// AboveConcurrency restricts the misbehaviour to more requests in flight than this.
	AboveConcurrency int `json:"above_concurrency"`
	// CrashPath makes the process exit on a request whose path contains the text.
	CrashPath string `json:"crash_path"`
	// LieHealth makes the health and load endpoints report a good and idle target.
	LieHealth bool `json:"lie_health"`
	// ColdMs is the warm-up time after the start, in milliseconds. Requests
	// are slowed by ColdLatencyMs at first, and by less and less until then.
	ColdMs        int `json:"cold_ms"`
	ColdLatencyMs int `json:"cold_latency_ms"`
}

// situation is what a behaviour depends on.
type situation struct {
	path     string
	served   uint64
	inFlight int
	age      time.Duration
}

// applies reports whether the conditions of failures and latency hold.
func (b *Behaviour) applies(s situation) bool {
	return s.served >= b.AfterRequests &&
		strings.HasPrefix(s.path, b.PathPrefix) &&
		(b.AboveConcurrency == 0 || s.inFlight > b.AboveConcurrency)
}

// crashes reports whether the request ends the process.
func (b *Behaviour) crashes(path string) bool {
	return b.CrashPath != "" && strings.Contains(path, b.CrashPath)
}

// fails reports whether the request fails.
func (b *Behaviour) fails(s situation, random *rand.Rand) bool {
	return b.applies(s) && random.Float64() < b.FailFraction
}

// delay returns the latency to add.
func (b *Behaviour) delay(s situation) time.Duration {
	delay := b.coldDelay(s.age)
	if b.applies(s) {
		delay += time.Duration(b.LatencyMs) * time.Millisecond
	}
	return delay
}

func (b *Behaviour) coldDelay(age time.Duration) time.Duration {
	cold := time.Duration(b.ColdMs) * time.Millisecond
	if age >= cold {
		return 0
	}
	full := float64(b.ColdLatencyMs) * float64(time.Millisecond)
	return time.Duration(full * float64(cold-age) / float64(cold))
}
