package main

import (
	"math"

	"github.com/magnoliamount/magnoliamount/internal/trace"
)

// scenario defines one trace of a workload.
type scenario struct {
	name     string
	note     string
	outcome  string
	workload workload
	build    func(*builder)
}

// scenarioKind is a scenario without a workload; scenarios combines each kind with
// each workload.
type scenarioKind struct {
	name, note string
	build      func(*builder)
}

// scenarios returns the scenarios of one service. Their order selects their random
// streams.
func scenarios() []scenario {
	var all []scenario
	for _, w := range []workload{order, mandate, storefront, assets} {
		for _, k := range goodKinds {
			all = append(all, scenario{w.service + "-good-" + k.name, k.note, trace.Good, w, k.build})
		}
		for _, k := range badKinds {
			all = append(all, scenario{w.service + "-bad-" + k.name, k.note, trace.Bad, w, k.build})
		}
	}
	return all
}

// noiseIntervalMs is the time between behaviour changes of a noisy version, in
// milliseconds.
const noiseIntervalMs = 2000

// goodKinds are the scenarios in which the new version is good.
var goodKinds = []scenarioKind{
	{"plain", "both versions behave alike", func(*builder) {}},
	{"careful", "a longer move that prefers care", func(b *builder) {
		b.trace.Header.Ticket = trace.Ticket{FinishMs: b.finishMs(240), Prefer: "careful"}
	}},
	{"slow-start", "targets of the new version arrive cold", func(b *builder) {
		n := b.targets()
		b.trace.Header.Services[0].NewTargets = 0
		b.add(b.targetLine(0, n, 8000, b.magnitude(4)))
	}},
	{"late-target", "a cold target replaces one during the move", func(b *builder) {
		b.add(b.targetLine(b.timeMs(0.3), -1, 0, 0))
		b.add(b.targetLine(b.timeMs(0.4), 1, 6000, 3))
	}},
	{"noisy", "both versions have bursts of errors and of slowness, independent of each other", noisy},
	{"noisy-together", "bursts of errors and of slowness hit both versions at once", noisyTogether},
	{"overloaded", "the service has more load than slots at times", overloaded},
	{"quiet-route", "one route has hardly any traffic", func(b *builder) {
		b.loadFactor[b.lowTrafficRoute()] = 0.5 / b.lowTrafficPerSecond()
	}},
	{"idle", "no route has traffic to speak of", func(b *builder) {
		for _, r := range b.workload.routes {
			b.loadFactor[r.name] = 0.1 / r.perSecond
		}
	}},
	{"short", "20 s until the finish", func(b *builder) { b.trace.Header.Ticket.FinishMs = 20_000 }},
	{"platform-outage", "the platform is away while steps are due", func(b *builder) {
		b.add(outage(b.timeMs(0.1), trace.Platform, b.timeMs(0.6)+5000))
	}},
	{"control-outage", "the controller is cut off for a while", func(b *builder) {
		from := b.timeMs(0.2)
		b.add(outage(from, trace.Control, from+8000))
	}},
	{"takeover", "the controller is replaced twice", func(b *builder) {
		b.add(trace.Line{AtMs: b.timeMs(0.15), Kind: trace.KindTakeover, Takeover: &trace.Takeover{GapMs: 5000}})
		b.add(trace.Line{AtMs: b.timeMs(0.7), Kind: trace.KindTakeover, Takeover: &trace.Takeover{GapMs: 5000}})
	}},
	{"crashing-request", "a request kills the targets that run it", func(b *builder) {
		for _, f := range []float64{0.2, 0.45, 0.7} {
			b.add(trace.Line{AtMs: b.timeMs(f), Kind: trace.KindCrash, Service: b.workload.service, Route: b.routes()[0],
				Crash: &trace.Crash{RequestKey: "poison", SendCount: 6, RestartMs: 4000}})
		}
	}},
	{"health-alarm", "the load endpoints of the new version claim overload", func(b *builder) {
		b.add(b.healthLine(0, b.targets(), 5))
	}},
}

// targetLine returns a change of the number of the new version's targets. Added
// targets are cold for coldMs milliseconds, with the latency factor coldLatency.
func (b *builder) targetLine(at int64, change int, coldMs int64, coldLatency float64) trace.Line {
	return trace.Line{AtMs: at, Kind: trace.KindTargets, Service: b.workload.service, Version: "v2",
		Targets: &trace.Targets{Change: change, ColdMs: coldMs, ColdLatency: coldLatency}}
}

// healthLine returns a report of the new version's health endpoints.
func (b *builder) healthLine(at int64, healthy int, load float64) trace.Line {
	return trace.Line{AtMs: at, Kind: trace.KindHealth, Service: b.workload.service, Version: "v2",
		Health: &trace.Health{Healthy: healthy, Load: load, LagMs: 2000}}
}

// outage returns an outage of the component between two times in milliseconds.
func outage(at int64, component string, until int64) trace.Line {
	return trace.Line{AtMs: at, Kind: trace.KindOutage, Outage: &trace.Outage{Component: component, UntilMs: max(at, until)}}
}

// lowTrafficRoute returns the last route, which has the lowest request rate.
func (b *builder) lowTrafficRoute() string { return b.routes()[len(b.routes())-1] }

// lowTrafficPerSecond returns the request rate of lowTrafficRoute.
func (b *builder) lowTrafficPerSecond() float64 {
	return b.workload.routes[len(b.workload.routes)-1].perSecond
}

// degrade adds to the error fraction and multiplies the latency by a factor. It
// removes the dependence on load.
func degrade(v trace.Behaviour, errors, latency float64) trace.Behaviour {
	v.Errors = round(v.Errors + errors)
	v.P50Ms = round(v.P50Ms * latency)
	v.P95Ms = round(v.P95Ms * latency)
	v.P99Ms = round(v.P99Ms * latency)
	v.ByLoad = nil
	return v
}

// round rounds to 4 decimal places.
func round(v float64) float64 { return math.Round(v*10_000) / 10_000 }

// drawNoise returns the random error fraction and latency factor of one interval.
// One interval in five has extra errors, one in five extra latency.
func (b *builder) drawNoise() (errors, latency float64) {
	latency = math.Exp(0.15 * b.rng.NormFloat64())
	if b.rng.Float64() < 0.2 {
		errors = 0.03 * b.rng.Float64()
	}
	if b.rng.Float64() < 0.2 {
		latency *= 1 + b.rng.Float64()
	}
	return errors, latency
}

// noisy gives each version its own noise.
func noisy(b *builder) {
	b.withBaseline = false
	for at := int64(0); at <= b.trace.Header.Ticket.FinishMs; at += noiseIntervalMs {
		for _, version := range []string{"v1", "v2"} {
			errors, latency := b.drawNoise()
			for _, route := range b.routes() {
				b.setBehaviour(at, route, version, degrade(b.baseline(route), errors, latency))
			}
		}
	}
}

// noisyTogether gives both versions the same, stronger noise.
func noisyTogether(b *builder) {
	b.withBaseline = false
	for at := int64(0); at <= b.trace.Header.Ticket.FinishMs; at += noiseIntervalMs {
		errors, latency := b.drawNoise()
		for _, route := range b.routes() {
			v := degrade(b.baseline(route), 5*errors, latency*latency)
			b.setBehaviour(at, route, "v1", v)
			b.setBehaviour(at, route, "v2", v)
		}
	}
}

// overloaded raises the load to about 98% of all slots, so that the slots are full
// for a part of the time.
func overloaded(b *builder) {
	fullLoadFactor := 1 / b.utilization()
	for _, r := range b.workload.routes {
		b.loadFactor[r.name] = b.scale * fullLoadFactor * 0.98
	}
}
