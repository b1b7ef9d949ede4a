package replay

import (
	"math"

	"github.com/magnoliamount/magnoliamount/internal/trace"
)

const (
	// tickMs is the resolution of a replay in milliseconds.
	tickMs = 100
	// heartbeatLossMs is how long a daemon hears nothing from its parent until
	// it knows that it is cut off.
	heartbeatLossMs = 2500
)

// world is what the trace says at a time.
type world struct {
	header   *trace.Header
	lines    []trace.Line
	services map[string]*service
	order    []*service
	// platformUntil and controlUntil end the current outages.
	platformUntil, controlUntil int64
	// controlFrom is when the current control outage began.
	controlFrom int64
	// takeoverUntil ends the time without a controller.
	takeoverUntil int64
	takeovers     int
	crashes       []crash
}

type service struct {
	name  string
	slots float64
	// bad is true when the new version is stated to be bad.
	bad      bool
	routes   []*route
	versions [2]*version
	// unprovedNew and unprovedAll count the requests before the move goes
	// beyond the proving share.
	unprovedNew, unprovedAll int64
}

// Indexes of versions.
const (
	oldVersion = 0
	newVersion = 1
)

type version struct {
	targets []*target
	// healthy is how many targets report that they are healthy; -1 means all.
	healthy int
	// healthFrom is when the newest report becomes visible.
	healthNext int
	healthFrom int64
	// load is the busy fraction of the slots of the targets in use.
	load float64
	used []*target
	// share is the version's part of the service's traffic.
	share float64
}

type target struct {
	coldMs      int64
	coldLatency float64
	// warmMs is how long the target has had traffic.
	warmMs int64
	// awayUntil is when a killed target is back.
	awayUntil int64
}

type route struct {
	service   *service
	name      string
	perSecond float64
	behaviour [2]trace.Behaviour
}

type crash struct {
	route  *route
	spec   *trace.Crash
	nextMs int64
	sent   int
	kills  int
}

func newWorld(t *trace.Trace) *world {
	w := &world{header: &t.Header, lines: t.Lines, services: map[string]*service{}}
	for i := range t.Header.Services {
		spec := &t.Header.Services[i]
		s := &service{name: spec.Name, slots: float64(spec.Slots), bad: t.Header.BadService(spec)}
		s.versions[oldVersion] = newTargets(spec.OldTargets)
		s.versions[newVersion] = newTargets(spec.NewTargets)
		for _, name := range spec.Routes {
			s.routes = append(s.routes, &route{service: s, name: name})
		}
		w.services[s.name] = s
		w.order = append(w.order, s)
	}
	return w
}

func newTargets(n int) *version {
	v := &version{healthy: -1, healthNext: -1}
	for range n {
		v.targets = append(v.targets, &target{})
	}
	return v
}

// advance applies the lines up to now.
func (w *world) advance(now int64) {
	for len(w.lines) > 0 && w.lines[0].AtMs <= now {
		w.apply(&w.lines[0], now)
		w.lines = w.lines[1:]
	}
}

func (w *world) apply(l *trace.Line, now int64) {
	switch l.Kind {
	case trace.KindLoad:
		w.route(l).perSecond = l.Load.PerSecond
	case trace.KindBehaviour:
		w.route(l).behaviour[w.versionIndex(l)] = *l.Behaviour
	case trace.KindHealth:
		v := w.services[l.Service].versions[w.versionIndex(l)]
		v.healthNext = l.Health.Healthy
		v.healthFrom = now + l.Health.LagMs
	case trace.KindCrash:
		w.crashes = append(w.crashes, crash{route: w.route(l), spec: l.Crash, nextMs: now})
	case trace.KindTargets:
		w.services[l.Service].versions[w.versionIndex(l)].change(l.Targets)
	case trace.KindOutage:
		w.startOutage(now, l.Outage)
	case trace.KindTakeover:
		w.takeovers++
		w.takeoverUntil = now + l.Takeover.GapMs
	}
}

func (w *world) startOutage(now int64, o *trace.Outage) {
	if o.Of == trace.Platform {
		w.platformUntil = max(w.platformUntil, o.UntilMs)
		return
	}
	if now >= w.controlUntil {
		w.controlFrom = now
	}
	w.controlUntil = max(w.controlUntil, o.UntilMs)
}

// cutOff reports whether daemons know that the controller cannot hear them.
func (w *world) cutOff(now int64) bool {
	return now < w.controlUntil && now >= w.controlFrom+heartbeatLossMs
}

func (w *world) route(l *trace.Line) *route {
	for _, r := range w.services[l.Service].routes {
		if r.name == l.Route {
			return r
		}
	}
	return nil
}

func (w *world) versionIndex(l *trace.Line) int {
	if l.Version == w.header.Service(l.Service).NewVersion {
		return newVersion
	}
	return oldVersion
}

func (v *version) change(c *trace.Targets) {
	for range c.Change {
		v.targets = append(v.targets, &target{coldMs: c.ColdMs, coldLatency: c.ColdLatency})
	}
	for range min(-c.Change, len(v.targets)) {
		v.targets = v.targets[1:]
	}
}

// choose sets the targets that take the version's traffic; focus zero means all.
func (v *version) choose(now int64, focus uint32) {
	v.used = v.used[:0]
	for _, t := range v.targets {
		if now >= t.awayUntil && (focus == 0 || len(v.used) < int(focus)) {
			v.used = append(v.used, t)
		}
	}
}

// ready is the number of targets that the controller knows as ready.
func (v *version) ready(now int64) int {
	if v.healthNext >= 0 && now >= v.healthFrom {
		v.healthy = v.healthNext
	}
	n := 0
	for _, t := range v.targets {
		if now >= t.awayUntil {
			n++
		}
	}
	if v.healthy >= 0 {
		n = min(n, v.healthy)
	}
	return n
}

// spread computes each version's load when the new version has the share.
func (s *service) spread(now int64, share float64, focus uint32) {
	shares := [2]float64{1 - share, share}
	for i, v := range s.versions {
		if i == oldVersion {
			v.choose(now, 0)
		} else {
			v.choose(now, focus)
		}
		v.share = shares[i]
		v.load = 0
		for _, r := range s.routes {
			v.load += r.perSecond * shares[i] * meanSeconds(&r.behaviour[i])
		}
		v.load /= math.Max(1, float64(len(v.used))) * s.slots
	}
}

// warm ages the cold targets that took traffic.
func (s *service) warm() {
	for _, v := range s.versions {
		if v.share == 0 {
			continue
		}
		for _, t := range v.used {
			t.warmMs += tickMs
		}
	}
}

// coldFactor multiplies the latency of the target.
func (t *target) coldFactor() float64 {
	if t.warmMs >= t.coldMs {
		return 1
	}
	left := 1 - float64(t.warmMs)/float64(t.coldMs)
	return 1 + (t.coldLatency-1)*left
}
