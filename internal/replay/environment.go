package replay

import (
	"math"

	"github.com/magnoliamount/magnoliamount/internal/trace"
)

const (
	// tickMs is the resolution of a replay in milliseconds.
	tickMs = 100
	// heartbeatLossMs is the time without messages from its parent after which a
	// daemon considers itself disconnected.
	heartbeatLossMs = 2500
)

// environment is the state of the simulated services at the current time, as
// the lines of the trace set it.
type environment struct {
	header   *trace.Header
	lines    []trace.Line
	services map[string]*service
	// servicesInOrder contains the services in the order of the header.
	servicesInOrder []*service
	// platformOutageEndMs and controlOutageEndMs are the ends of the latest outages.
	platformOutageEndMs, controlOutageEndMs int64
	// controlOutageStartMs is the start of the latest control plane outage.
	controlOutageStartMs int64
	// takeoverEndMs is the end of the latest period without a controller.
	takeoverEndMs    int64
	takeovers        int
	crashingRequests []crashingRequest
}

type service struct {
	name string
	// slots is the number of requests that one target can process concurrently.
	slots float64
	// bad is true if the trace expects the new version to be bad.
	bad      bool
	routes   []*route
	versions [2]*version
	// unprovedNewRequests and unprovedRequests count the requests to the new
	// version and to both versions until the progress exceeds provingPermille.
	unprovedNewRequests, unprovedRequests int64
}

// Indexes of the arrays with a value for each version.
const (
	oldVersion = 0
	newVersion = 1
)

type version struct {
	targets []*target
	// reportedHealthy is the number of targets in the latest visible health report;
	// -1 means that there is none and all targets count as healthy.
	reportedHealthy int
	// nextHealthy is the number of targets in the newest health report, or -1. The
	// controller receives the report at nextHealthyMs.
	nextHealthy   int
	nextHealthyMs int64
	// load is the busy fraction of the slots of activeTargets. It may exceed 1.
	load          float64
	activeTargets []*target
	// share is the version's fraction of the service's traffic.
	share float64
}

type target struct {
	// coldMs is the time under traffic in which the target warms up, and
	// coldLatency the factor of its latency at the start of that time.
	coldMs      int64
	coldLatency float64
	// servingMs is the time for which the target has received traffic since its
	// start.
	servingMs int64
	// downUntilMs is the time at which a crashed target has restarted.
	downUntilMs int64
}

type route struct {
	service *service
	name    string
	// perSecond is the offered load in requests per second.
	perSecond float64
	behaviour [2]trace.Behaviour
}

// crashingRequest is a request that crashes the targets that process it.
type crashingRequest struct {
	route      *route
	spec       *trace.Crash
	nextSendMs int64
	sendCount  int
	crashCount int
}

func newEnvironment(t *trace.Trace) *environment {
	e := &environment{header: &t.Header, lines: t.Lines, services: map[string]*service{}}
	for i := range t.Header.Services {
		spec := &t.Header.Services[i]
		s := &service{name: spec.Name, slots: float64(spec.Slots), bad: t.Header.BadService(spec)}
		s.versions[oldVersion] = newVersionWithTargets(spec.OldTargets)
		s.versions[newVersion] = newVersionWithTargets(spec.NewTargets)
		for _, name := range spec.Routes {
			s.routes = append(s.routes, &route{service: s, name: name})
		}
		e.services[s.name] = s
		e.servicesInOrder = append(e.servicesInOrder, s)
	}
	return e
}

func newVersionWithTargets(n int) *version {
	v := &version{reportedHealthy: -1, nextHealthy: -1}
	for range n {
		v.targets = append(v.targets, &target{})
	}
	return v
}

// applyLinesUntil applies the lines of the trace with a time of at most now.
func (e *environment) applyLinesUntil(now int64) {
	for len(e.lines) > 0 && e.lines[0].AtMs <= now {
		e.applyLine(&e.lines[0], now)
		e.lines = e.lines[1:]
	}
}

func (e *environment) applyLine(l *trace.Line, now int64) {
	switch l.Kind {
	case trace.KindLoad:
		e.route(l).perSecond = l.Load.PerSecond
	case trace.KindBehaviour:
		e.route(l).behaviour[e.versionIndex(l)] = *l.Behaviour
	case trace.KindHealth:
		v := e.services[l.Service].versions[e.versionIndex(l)]
		v.nextHealthy = l.Health.Healthy
		v.nextHealthyMs = now + l.Health.LagMs
	case trace.KindCrash:
		e.crashingRequests = append(e.crashingRequests, crashingRequest{route: e.route(l), spec: l.Crash, nextSendMs: now})
	case trace.KindTargets:
		e.services[l.Service].versions[e.versionIndex(l)].changeTargets(l.Targets)
	case trace.KindOutage:
		e.startOutage(now, l.Outage)
	case trace.KindTakeover:
		e.takeovers++
		e.takeoverEndMs = now + l.Takeover.GapMs
	}
}

func (e *environment) startOutage(now int64, o *trace.Outage) {
	if o.Component == trace.Platform {
		e.platformOutageEndMs = max(e.platformOutageEndMs, o.UntilMs)
		return
	}
	if now >= e.controlOutageEndMs {
		e.controlOutageStartMs = now
	}
	e.controlOutageEndMs = max(e.controlOutageEndMs, o.UntilMs)
}

// controllerUnreachable reports whether daemons have detected that they cannot
// reach the controller.
func (e *environment) controllerUnreachable(now int64) bool {
	return now < e.controlOutageEndMs && now >= e.controlOutageStartMs+heartbeatLossMs
}

func (e *environment) route(l *trace.Line) *route {
	for _, r := range e.services[l.Service].routes {
		if r.name == l.Route {
			return r
		}
	}
	return nil
}

func (e *environment) versionIndex(l *trace.Line) int {
	if l.Version == e.header.Service(l.Service).NewVersion {
		return newVersion
	}
	return oldVersion
}

func (v *version) changeTargets(c *trace.Targets) {
	for range c.Change {
		v.targets = append(v.targets, &target{coldMs: c.ColdMs, coldLatency: c.ColdLatency})
	}
	for range min(-c.Change, len(v.targets)) {
		v.targets = v.targets[1:]
	}
}

// selectActiveTargets sets activeTargets to the running targets that receive the
// version's traffic: the first focus ones, or all if focus is zero.
func (v *version) selectActiveTargets(now int64, focus uint32) {
	v.activeTargets = v.activeTargets[:0]
	for _, t := range v.targets {
		if now >= t.downUntilMs && (focus == 0 || len(v.activeTargets) < int(focus)) {
			v.activeTargets = append(v.activeTargets, t)
		}
	}
}

// readyTargets returns the number of targets that are ready according to the
// health reports that the controller has received.
func (v *version) readyTargets(now int64) int {
	if v.nextHealthy >= 0 && now >= v.nextHealthyMs {
		v.reportedHealthy = v.nextHealthy
	}
	n := 0
	for _, t := range v.targets {
		if now >= t.downUntilMs {
			n++
		}
	}
	if v.reportedHealthy >= 0 {
		n = min(n, v.reportedHealthy)
	}
	return n
}

// distributeLoad selects the active targets of each version and computes its
// load if the new version receives the given share of the traffic.
func (s *service) distributeLoad(now int64, share float64, focus uint32) {
	shares := [2]float64{1 - share, share}
	for i, v := range s.versions {
		if i == oldVersion {
			v.selectActiveTargets(now, 0)
		} else {
			v.selectActiveTargets(now, focus)
		}
		v.share = shares[i]
		v.load = 0
		for _, r := range s.routes {
			v.load += r.perSecond * shares[i] * meanLatencySeconds(&r.behaviour[i])
		}
		v.load /= math.Max(1, float64(len(v.activeTargets))) * s.slots
	}
}

// addServingTime adds one tick to the serving time of the targets that received
// traffic, so that cold targets warm up.
func (s *service) addServingTime() {
	for _, v := range s.versions {
		if v.share == 0 {
			continue
		}
		for _, t := range v.activeTargets {
			t.servingMs += tickMs
		}
	}
}

// coldLatencyFactor returns the factor of the target's latency while it warms
// up; it is 1 for a warm target.
func (t *target) coldLatencyFactor() float64 {
	if t.servingMs >= t.coldMs {
		return 1
	}
	remaining := 1 - float64(t.servingMs)/float64(t.coldMs)
	return 1 + (t.coldLatency-1)*remaining
}
