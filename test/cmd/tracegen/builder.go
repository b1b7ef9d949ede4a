package main

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/trace"
)

// loadIntervalMs is the time between changes of the offered load, in milliseconds.
const loadIntervalMs = 5000

// routeSpec is a route at the normal scale of its user.
type routeSpec struct {
	name string
	// perSecond is the request rate.
	perSecond float64
	// p50, p95 and p99 are latency percentiles in milliseconds.
	p50, p95, p99 float64
	// errors is the fraction of requests that fail.
	errors float64
}

// workload is a service at the normal scale of its user.
type workload struct {
	user, service string
	// targets is the number of targets of each version, and slots is the number
	// of slots of each target.
	targets, slots int
	routes         []routeSpec
}

var (
	order = workload{"lipa", "order", 8, 10, []routeSpec{
		{"lookup", 900, 12, 30, 60, 0.0005}, {"place", 180, 40, 110, 200, 0.001},
	}}
	mandate = workload{"lipa", "mandate", 3, 10, []routeSpec{
		{"query", 300, 8, 20, 40, 0.0005}, {"upload", 12, 300, 900, 1500, 0.002},
	}}
	storefront = workload{"bergfeder", "storefront", 7, 12, []routeSpec{
		{"browse", 1400, 10, 25, 50, 0.0005}, {"buy", 30, 60, 150, 300, 0.001}, {"upload", 8, 400, 1200, 2000, 0.002},
	}}
	assets = workload{"bergfeder", "asset-store", 4, 12, []routeSpec{
		{"thumbnail", 2500, 4, 10, 20, 0.0002},
	}}
)

// baselineByLoad contains the latency factor and the added error fraction of targets
// of every version, by the fraction of their slots that is busy.
var baselineByLoad = []trace.Point{
	{At: 0, Latency: 1}, {At: 0.6, Latency: 1.1}, {At: 0.85, Latency: 1.6},
	{At: 1, Latency: 3, Errors: 0.01}, {At: 1.3, Latency: 8, Errors: 0.2},
}

// builder builds one trace. A scenario changes its fields before the call of build.
type builder struct {
	trace *trace.Trace
	rng   *rand.Rand
	// vary makes the scale, the times and the magnitudes of faults random.
	vary     bool
	workload workload
	// scale multiplies the offered load and the number of targets.
	scale float64
	// loadFactor contains the factor of the offered load by route; routes without
	// a factor use scale.
	loadFactor map[string]float64
	// withBaseline makes build add the baseline behaviour of both versions at
	// time 0; otherwise the scenario adds all behaviour lines.
	withBaseline bool
}

// newBuilder returns the builder of a trace of the workload with a ticket that
// finishes after 120 s, or near that if vary is set.
func newBuilder(w workload, rng *rand.Rand, vary bool) *builder {
	b := &builder{trace: &trace.Trace{}, rng: rng, vary: vary, workload: w, scale: 1, loadFactor: map[string]float64{}, withBaseline: true}
	if vary {
		b.scale = math.Exp(rng.Float64()*2 - 1)
	}
	targets := max(2, int(math.Round(float64(w.targets)*b.scale)))
	b.scale = float64(targets) / float64(w.targets)
	s := trace.Service{
		Name: w.service, OldVersion: "v1", NewVersion: "v2",
		OldTargets: targets, NewTargets: targets, Slots: w.slots,
	}
	for _, r := range w.routes {
		s.Routes = append(s.Routes, r.name)
	}
	b.trace.Header = trace.Header{
		FormatVersion: trace.FormatVersion, User: w.user, Services: []trace.Service{s},
		Ticket: trace.Ticket{FinishMs: b.finishMs(120), Prefer: "on-time"},
	}
	return b
}

// finishMs returns the time until the finish in milliseconds: the seconds, or a
// random time near them if vary is set.
func (b *builder) finishMs(seconds float64) int64 {
	if b.vary {
		seconds *= math.Exp(b.rng.Float64()*1.8 - 0.6)
	}
	return int64(seconds) * 1000
}

// magnitude returns the magnitude of a fault: the value, or a random one near it if
// vary is set.
func (b *builder) magnitude(value float64) float64 {
	if !b.vary {
		return value
	}
	return value * (0.8 + 0.7*b.rng.Float64())
}

// timeMs returns the time in milliseconds at the fraction of the time until the
// finish, rounded down to a tick of 100 ms. If vary is set, the fraction varies.
func (b *builder) timeMs(fraction float64) int64 {
	if b.vary {
		fraction *= 0.8 + 0.4*b.rng.Float64()
	}
	return int64(fraction*float64(b.trace.Header.Ticket.FinishMs)) / 100 * 100
}

func (b *builder) add(l trace.Line) { b.trace.Lines = append(b.trace.Lines, l) }

// baseline returns the route's behaviour without faults.
func (b *builder) baseline(route string) trace.Behaviour {
	for _, r := range b.workload.routes {
		if r.name == route {
			return trace.Behaviour{P50Ms: r.p50, P95Ms: r.p95, P99Ms: r.p99, Errors: r.errors, ByLoad: baselineByLoad}
		}
	}
	return trace.Behaviour{}
}

// setBehaviour sets the behaviour of a route and version from the time at, in
// milliseconds.
func (b *builder) setBehaviour(at int64, route, version string, v trace.Behaviour) {
	b.add(trace.Line{AtMs: at, Kind: trace.KindBehaviour, Service: b.workload.service, Route: route, Version: version, Behaviour: &v})
}

// degradeNewVersion changes the new version's behaviour on the routes from the time
// at, in milliseconds, and records that the version is bad from then on.
func (b *builder) degradeNewVersion(at int64, routes []string, change func(*trace.Behaviour)) {
	b.trace.Header.BadFromMs = at
	for _, route := range routes {
		v := b.baseline(route)
		change(&v)
		b.setBehaviour(at, route, "v2", v)
	}
}

func (b *builder) routes() []string { return b.trace.Header.Services[0].Routes }

func (b *builder) targets() int { return b.trace.Header.Services[0].NewTargets }

// build adds the load and the baseline behaviour, and sorts the lines by time.
func (b *builder) build() *trace.Trace {
	var start []trace.Line
	scenarioLines := b.trace.Lines
	b.trace.Lines = nil
	for _, r := range b.workload.routes {
		if b.withBaseline {
			b.setBehaviour(0, r.name, "v1", b.baseline(r.name))
			b.setBehaviour(0, r.name, "v2", b.baseline(r.name))
		}
		b.addLoad(r)
	}
	start = b.trace.Lines
	b.trace.Lines = append(start, scenarioLines...)
	slices.SortStableFunc(b.trace.Lines, func(x, y trace.Line) int { return cmp.Compare(x.AtMs, y.AtMs) })
	return b.trace
}

// addLoad adds the offered load of the route, which varies by up to 10%.
func (b *builder) addLoad(r routeSpec) {
	loadFactor, ok := b.loadFactor[r.name]
	if !ok {
		loadFactor = b.scale
	}
	for at := int64(0); at <= b.trace.Header.Ticket.FinishMs; at += loadIntervalMs {
		rate := r.perSecond * loadFactor * (0.9 + 0.2*b.rng.Float64())
		rate = math.Round(rate*1000) / 1000
		b.add(trace.Line{AtMs: at, Kind: trace.KindLoad, Service: b.workload.service, Route: r.name, Load: &trace.Load{PerSecond: rate}})
	}
}
