// Package trace reads and writes recorded moves: what the targets of an old
// and a new version would do with the traffic that a move gives them. The
// format is JSON lines; docs/traces.md describes it.
package trace

// FormatVersion is the version of the format that this package reads.
const FormatVersion = 1

// Stated outcomes of a trace.
const (
	// Good means that the new version must finish its move on time.
	Good = "good"
	// Bad means that the new version must be taken back.
	Bad = "bad"
)

// Header is the first line of a trace.
type Header struct {
	// Trace is the format's version.
	Trace int    `json:"trace"`
	Name  string `json:"name"`
	User  string `json:"user"`
	// Note says what the trace is about.
	Note     string    `json:"note,omitempty"`
	Services []Service `json:"services"`
	Ticket   Ticket    `json:"ticket"`
	// Outcome is Good or Bad.
	Outcome string `json:"outcome"`
	// BadFromMs is the earliest time at which a bad version can misbehave.
	BadFromMs int64 `json:"bad_from_ms,omitempty"`
}

// Service is a service that the ticket moves.
type Service struct {
	Name       string   `json:"name"`
	OldVersion string   `json:"old_version"`
	NewVersion string   `json:"new_version"`
	OldTargets int      `json:"old_targets"`
	NewTargets int      `json:"new_targets"`
	Slots      int      `json:"slots"`
	Routes     []string `json:"routes"`
	// Outcome is Good or Bad where the services of a ticket differ, or empty.
	// The ticket is taken back as a whole when one of them is bad.
	Outcome string `json:"outcome,omitempty"`
}

// Ticket holds the times of the ticket and its preference.
type Ticket struct {
	AcceptedMs int64  `json:"accepted_ms"`
	FinishMs   int64  `json:"finish_ms"`
	Prefer     string `json:"prefer"`
}

// Kind says what a line describes.
type Kind string

// Kinds of lines after the header.
const (
	// KindLoad sets the offered load of a route.
	KindLoad Kind = "load"
	// KindBehaviour sets what a version's targets do with a route's requests.
	KindBehaviour Kind = "behaviour"
	// KindHealth sets what a version's health and load endpoints report.
	KindHealth Kind = "health"
	// KindCrash sends a request that kills each target that runs it.
	KindCrash Kind = "crash"
	// KindTargets adds targets of a version or takes them away.
	KindTargets Kind = "targets"
	// KindOutage cuts off the platform or the control plane for a time.
	KindOutage Kind = "outage"
	// KindTakeover replaces the controller.
	KindTakeover Kind = "takeover"
)

// Parts that an outage cuts off.
const (
	Platform = "platform"
	Control  = "control"
)

// Line is one line after the header. What it sets holds until a later line of
// the same kind, service, route and version.
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

// Load is the offered load of a route, of all versions together.
type Load struct {
	PerSecond float64 `json:"per_second"`
}

// Behaviour is what the targets of a version do with a route's requests.
type Behaviour struct {
	// Quantiles of the latency in milliseconds, at low load.
	P50Ms float64 `json:"p50_ms"`
	P95Ms float64 `json:"p95_ms"`
	P99Ms float64 `json:"p99_ms"`
	// Errors is the fraction of requests that fail, at low load.
	Errors float64 `json:"errors"`
	// ByLoad changes the behaviour with the busy fraction of a target's slots.
	ByLoad []Point `json:"by_load,omitempty"`
	// ByShare changes the behaviour with the version's share of the service's traffic.
	ByShare []Point `json:"by_share,omitempty"`
}

// Point is one point of a curve. Values between points are interpolated; the
// first and the last point hold beyond the ends.
type Point struct {
	At float64 `json:"at"`
	// Latency multiplies the latencies.
	Latency float64 `json:"latency"`
	// Errors is added to the fraction of errors.
	Errors float64 `json:"errors"`
}

// Health is what the health and load endpoints of a version's targets report.
type Health struct {
	// Healthy is how many targets report that they are healthy.
	Healthy int `json:"healthy"`
	// Load is the reported busy fraction of the slots.
	Load  float64 `json:"load"`
	LagMs int64   `json:"lag_ms"`
}

// Crash is a request that kills each target that runs it.
type Crash struct {
	RequestKey string `json:"request_key"`
	// Sent is how often callers send it.
	Sent int `json:"sent"`
	// RestartMs is how long a killed target stays away.
	RestartMs int64 `json:"restart_ms"`
}

// Targets adds targets or takes them away.
type Targets struct {
	// Change is the number of targets that arrive, or that leave if negative.
	Change int `json:"change"`
	// ColdMs is how long an arriving target is cold.
	ColdMs int64 `json:"cold_ms,omitempty"`
	// ColdLatency multiplies the latency of a cold target; it falls to 1 over ColdMs.
	ColdLatency float64 `json:"cold_latency,omitempty"`
}

// Outage cuts off a part of the system.
type Outage struct {
	// Of is Platform or Control.
	Of      string `json:"of"`
	UntilMs int64  `json:"until_ms"`
}

// Takeover replaces the controller.
type Takeover struct {
	// GapMs is how long no controller decides.
	GapMs int64 `json:"gap_ms"`
}

// Trace is a whole recording.
type Trace struct {
	Header Header
	Lines  []Line
}

// BadService reports whether the service's new version is stated to be bad.
// Without an outcome of its own, it has that of the ticket.
func (h *Header) BadService(s *Service) bool {
	if s.Outcome != "" {
		return s.Outcome == Bad
	}
	return h.Outcome == Bad
}

// Service returns the service of the name, or nil.
func (h *Header) Service(name string) *Service {
	for i := range h.Services {
		if h.Services[i].Name == name {
			return &h.Services[i]
		}
	}
	return nil
}
