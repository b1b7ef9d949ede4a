// Package trace reads and writes recorded moves. A trace describes the offered
// load and how the targets of the old and the new version respond to it. The
// format is JSON lines; docs/traces.md describes it.
package trace

// FormatVersion is the version of the format that this package reads.
const FormatVersion = 1

// Expected outcomes of a trace.
const (
	// Good means that the new version must finish its move on time.
	Good = "good"
	// Bad means that the new version must be taken back.
	Bad = "bad"
)

// Header is the first line of a trace.
type Header struct {
	// FormatVersion is the version of the format.
	FormatVersion int    `json:"trace"`
	Name          string `json:"name"`
	User          string `json:"user"`
	// Note is a description of the trace for readers.
	Note     string    `json:"note,omitempty"`
	Services []Service `json:"services"`
	Ticket   Ticket    `json:"ticket"`
	// Outcome is the expected outcome, Good or Bad.
	Outcome string `json:"outcome"`
	// BadFromMs is the earliest time at which a bad version can misbehave.
	BadFromMs int64 `json:"bad_from_ms,omitempty"`
}

// Service is a service whose traffic the ticket moves.
type Service struct {
	Name       string `json:"name"`
	OldVersion string `json:"old_version"`
	NewVersion string `json:"new_version"`
	OldTargets int    `json:"old_targets"`
	NewTargets int    `json:"new_targets"`
	// Slots is the number of requests that one target can process concurrently.
	Slots  int      `json:"slots"`
	Routes []string `json:"routes"`
	// Outcome is the expected outcome of the service, Good or Bad, if the services
	// of the ticket differ; empty means the outcome of the header. The ticket is
	// taken back as a whole when one of its services is bad.
	Outcome string `json:"outcome,omitempty"`
}

// Ticket holds the acceptance and finish times of the ticket and its preference.
type Ticket struct {
	AcceptedMs int64  `json:"accepted_ms"`
	FinishMs   int64  `json:"finish_ms"`
	Prefer     string `json:"prefer"`
}

// Kind is the type of a line.
type Kind string

// Kinds of lines after the header.
const (
	// KindLoad sets the offered load of a route.
	KindLoad Kind = "load"
	// KindBehaviour sets the latency and error rate of a version on a route.
	KindBehaviour Kind = "behaviour"
	// KindHealth sets the reports of a version's health and load endpoints.
	KindHealth Kind = "health"
	// KindCrash sends a request that crashes every target that processes it.
	KindCrash Kind = "crash"
	// KindTargets adds or removes targets of a version.
	KindTargets Kind = "targets"
	// KindOutage makes the platform or the control plane unreachable for a time.
	KindOutage Kind = "outage"
	// KindTakeover replaces the controller by another one.
	KindTakeover Kind = "takeover"
)

// Components that an outage makes unreachable.
const (
	Platform = "platform"
	Control  = "control"
)

// Line is one line after the header. Its values apply until a later line of the
// same kind, service, route and version replaces them.
type Line struct {
	AtMs    int64  `json:"at_ms"`
	Kind    Kind   `json:"kind"`
	Service string `json:"service,omitempty"`
	Route   string `json:"route,omitempty"`
	Version string `json:"version,omitempty"`

	Load      *Load      `json:"load,omitempty"`
	Behaviour *Behaviour `json:"behaviour,omitempty"`
	Health    *Health    `json:"health,omitempty"`
	Crash     *Crash     `json:"crash,omitempty"`
	Targets   *Targets   `json:"targets,omitempty"`
	Outage    *Outage    `json:"outage,omitempty"`
	Takeover  *Takeover  `json:"takeover,omitempty"`
}

// Load is the offered load of a route, summed over all versions.
type Load struct {
	// PerSecond is in requests per second.
	PerSecond float64 `json:"per_second"`
}

// Behaviour is the latency distribution and error rate of a version on a route.
type Behaviour struct {
	// P50Ms, P95Ms and P99Ms are quantiles of the latency at low load.
	P50Ms float64 `json:"p50_ms"`
	P95Ms float64 `json:"p95_ms"`
	P99Ms float64 `json:"p99_ms"`
	// Errors is the fraction of requests that fail at low load.
	Errors float64 `json:"errors"`
	// ByLoad adjusts the behaviour by the busy fraction of a target's slots.
	ByLoad []Point `json:"by_load,omitempty"`
	// ByShare adjusts the behaviour by the version's share of the service's traffic.
	ByShare []Point `json:"by_share,omitempty"`
}

// Point is one point of a curve. Values between points are interpolated
// linearly; below the first and above the last point their values apply.
type Point struct {
	// At is the load or the share at which the values apply.
	At float64 `json:"at"`
	// Latency is a factor of the latencies.
	Latency float64 `json:"latency"`
	// Errors is added to the fraction of requests that fail.
	Errors float64 `json:"errors"`
}

// Health is the report of the health and load endpoints of a version's targets.
type Health struct {
	// Healthy is the number of targets that report to be healthy.
	Healthy int `json:"healthy"`
	// Load is the reported busy fraction of the slots.
	Load float64 `json:"load"`
	// LagMs is the delay until the controller receives the report.
	LagMs int64 `json:"lag_ms"`
}

// Crash is a request that crashes every target that processes it.
type Crash struct {
	// RequestKey identifies the request across retries.
	RequestKey string `json:"request_key"`
	// SendCount is the maximum number of times that callers send the request.
	SendCount int `json:"sent"`
	// RestartMs is the time that a crashed target takes to restart.
	RestartMs int64 `json:"restart_ms"`
}

// Targets adds or removes targets.
type Targets struct {
	// Change is the number of added targets; a negative number removes targets.
	Change int `json:"change"`
	// ColdMs is the time in which an added target warms up under traffic.
	ColdMs int64 `json:"cold_ms,omitempty"`
	// ColdLatency is the factor of a cold target's latency. It decreases linearly
	// to 1 over ColdMs.
	ColdLatency float64 `json:"cold_latency,omitempty"`
}

// Outage makes a component unreachable.
type Outage struct {
	// Component is Platform or Control.
	Component string `json:"of"`
	UntilMs   int64  `json:"until_ms"`
}

// Takeover replaces the controller by another one.
type Takeover struct {
	// GapMs is the time without an active controller.
	GapMs int64 `json:"gap_ms"`
}

// Trace is a complete recorded move.
type Trace struct {
	Header Header
	Lines  []Line
}

// BadService reports whether the trace expects the service's new version to be
// bad. A service without an outcome has the outcome of the header.
func (h *Header) BadService(s *Service) bool {
	if s.Outcome != "" {
		return s.Outcome == Bad
	}
	return h.Outcome == Bad
}

// Service returns the service with the given name, or nil.
func (h *Header) Service(name string) *Service {
	for i := range h.Services {
		if h.Services[i].Name == name {
			return &h.Services[i]
		}
	}
	return nil
}
