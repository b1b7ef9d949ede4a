package main

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/trace"
)

// loadEveryMs is how often the offered load changes.
const loadEveryMs = 5000

// routeSpec is a route at the usual scale of its user.
type routeSpec struct {
	name          string
	perSecond     float64
	p50, p95, p99 float64
	errors        float64
}

// workload is a service at the usual scale of its user.
type workload struct {
	user, service  string
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

// usualLoad is how targets of every version slow down as their slots fill.
var usualLoad = []trace.Point{
	{At: 0, Latency: 1}, {At: 0.6, Latency: 1.1}, {At: 0.85, Latency: 1.6},
	{At: 1, Latency: 3, Errors: 0.01}, {At: 1.3, Latency: 8, Errors: 0.2},
}

// builder makes one trace. Its fields may be changed before build.
type builder struct {
	trace    *trace.Trace
	rng      *rand.Rand
	vary     bool
	workload workload
	// scale multiplies the offered load and the number of targets.
	scale float64
	// demand multiplies the offered load only.
	demand map[string]float64
	// steady keeps the behaviour lines of the start; otherwise the scenario adds its own.
	steady bool
}

func newBuilder(w workload, rng *rand.Rand, vary bool) *builder {
	b := &builder{trace: &trace.Trace{}, rng: rng, vary: vary, workload: w, scale: 1, demand: map[string]float64{}, steady: true}
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
		Ticket: trace.Ticket{FinishMs: b.window(120), Prefer: "on-time"},
	}
	return b
}

// window returns a time until the finish in milliseconds, near the seconds.
func (b *builder) window(seconds float64) int64 {
	if b.vary {
		seconds *= math.Exp(b.rng.Float64()*1.8 - 0.6)
	}
	return int64(seconds) * 1000
}

// size returns the size of a fault, near the value.
func (b *builder) size(value float64) float64 {
	if !b.vary {
		return value
	}
	return value * (0.8 + 0.7*b.rng.Float64())
}

// at returns the time at the fraction of the window, on a tick.
func (b *builder) at(fraction float64) int64 {
	if b.vary {
		fraction *= 0.8 + 0.4*b.rng.Float64()
	}
	return int64(fraction*float64(b.trace.Header.Ticket.FinishMs)) / 100 * 100
}

func (b *builder) add(l trace.Line) { b.trace.Lines = append(b.trace.Lines, l) }

// spec returns the route's behaviour when nothing is wrong.
func (b *builder) usual(route string) trace.Behaviour {
	for _, r := range b.workload.routes {
		if r.name == route {
			return trace.Behaviour{P50Ms: r.p50, P95Ms: r.p95, P99Ms: r.p99, Errors: r.errors, ByLoad: usualLoad}
		}
	}
	return trace.Behaviour{}
}

// behave sets the behaviour of a route and version from a time on.
func (b *builder) behave(at int64, route, version string, v trace.Behaviour) {
	b.add(trace.Line{AtMs: at, Kind: trace.KindBehaviour, Service: b.workload.service, Route: route, Version: version, Behaviour: &v})
}

// spoil changes the new version's behaviour on the routes from a time on.
func (b *builder) spoil(at int64, routes []string, change func(*trace.Behaviour)) {
	b.trace.Header.BadFromMs = at
	for _, route := range routes {
		v := b.usual(route)
		change(&v)
		b.behave(at, route, "v2", v)
	}
}

func (b *builder) routes() []string { return b.trace.Header.Services[0].Routes }

func (b *builder) targets() int { return b.trace.Header.Services[0].NewTargets }

// build adds the load and the usual behaviour, and orders the lines by time.
func (b *builder) build() *trace.Trace {
	var start []trace.Line
	own := b.trace.Lines
	b.trace.Lines = nil
	for _, r := range b.workload.routes {
		if b.steady {
			b.behave(0, r.name, "v1", b.usual(r.name))
			b.behave(0, r.name, "v2", b.usual(r.name))
		}
		b.addLoad(r)
	}
	start = b.trace.Lines
	b.trace.Lines = append(start, own...)
	slices.SortStableFunc(b.trace.Lines, func(x, y trace.Line) int { return cmp.Compare(x.AtMs, y.AtMs) })
	return b.trace
}

func (b *builder) addLoad(r routeSpec) {
	demand, ok := b.demand[r.name]
	if !ok {
		demand = b.scale
	}
	for at := int64(0); at <= b.trace.Header.Ticket.FinishMs; at += loadEveryMs {
		rate := r.perSecond * demand * (0.9 + 0.2*b.rng.Float64())
		rate = math.Round(rate*1000) / 1000
		b.add(trace.Line{AtMs: at, Kind: trace.KindLoad, Service: b.workload.service, Route: r.name, Load: &trace.Load{PerSecond: rate}})
	}
}
