package main

import "github.com/magnoliamount/magnoliamount/internal/trace"

// badKinds are the scenarios in which the new version is bad.
var badKinds = []scenarioKind{
	{"errors", "a fifth of the requests fails from the start", func(b *builder) {
		b.degradeNewVersion(0, b.routes(), b.addErrors(0.2))
	}},
	{"slow", "every request takes three times as long from the start", func(b *builder) {
		b.degradeNewVersion(0, b.routes(), b.multiplyLatency(3))
	}},
	{"hanging", "every request takes forty times as long from the start", func(b *builder) {
		b.degradeNewVersion(0, b.routes(), b.multiplyLatency(40))
	}},
	{"errors-later", "a tenth of the requests fails from the middle of the move", func(b *builder) {
		b.degradeNewVersion(b.timeMs(0.45), b.routes(), b.addErrors(0.1))
	}},
	{"slow-later", "requests take three times as long from the middle of the move", func(b *builder) {
		b.degradeNewVersion(b.timeMs(0.5), b.routes(), b.multiplyLatency(3))
	}},
	{"errors-at-full", "a tenth of the requests fails after the move reached full progress", func(b *builder) {
		b.degradeNewVersion(b.timeMs(0.72), b.routes(), b.addErrors(0.1))
	}},
	{"slow-at-full", "requests take three times as long after the move reached full progress", func(b *builder) {
		b.degradeNewVersion(b.timeMs(0.72), b.routes(), b.multiplyLatency(3))
	}},
	{"errors-under-load", "requests fail once a target has the load of its part of the whole", func(b *builder) {
		utilization := b.utilization()
		b.degradeNewVersion(0, b.routes(), func(v *trace.Behaviour) {
			v.ByLoad = []trace.Point{{At: 0.55 * utilization, Latency: 1}, {At: 0.8 * utilization, Latency: 1, Errors: b.magnitude(0.1)}}
		})
	}},
	{"slow-under-load", "requests are slow once a target has the load of its part of the whole", func(b *builder) {
		utilization := b.utilization()
		b.degradeNewVersion(0, b.routes(), func(v *trace.Behaviour) {
			v.ByLoad = []trace.Point{{At: 0.55 * utilization, Latency: 1}, {At: 0.8 * utilization, Latency: b.magnitude(4)}}
		})
	}},
	{"errors-by-share", "requests fail once the version has a large share, as of a shared cache", func(b *builder) {
		b.degradeNewVersion(0, b.routes(), func(v *trace.Behaviour) {
			v.ByShare = []trace.Point{{At: 0.2, Latency: 1}, {At: 0.5, Latency: 1.5, Errors: b.magnitude(0.1)}}
		})
	}},
	{"one-route-errors", "one route fails, the others are good", func(b *builder) {
		b.degradeNewVersion(0, []string{b.lowTrafficRoute()}, b.addErrors(0.25))
	}},
	{"one-route-slow", "one route is slow, the others are good", func(b *builder) {
		b.degradeNewVersion(0, []string{b.lowTrafficRoute()}, b.multiplyLatency(4))
	}},
	{"health-says-well", "requests fail but the health endpoints say that all is well", func(b *builder) {
		b.degradeNewVersion(0, b.routes(), b.addErrors(0.3))
		b.add(b.healthLine(0, b.targets(), 0.1))
	}},
	{"two-percent", "two requests in a hundred fail", func(b *builder) {
		b.degradeNewVersion(0, b.routes(), func(v *trace.Behaviour) { v.Errors = 0.02 })
	}},
	{"platform-outage", "requests fail while the platform is away", func(b *builder) {
		from := b.timeMs(0.1)
		b.add(outage(from, trace.Platform, from+40_000))
		b.degradeNewVersion(from, b.routes(), b.addErrors(0.2))
	}},
	{"control-outage", "requests fail while the controller is cut off", func(b *builder) {
		from := b.timeMs(0.4)
		b.add(outage(from, trace.Control, from+15_000))
		b.degradeNewVersion(from+2000, b.routes(), b.addErrors(0.3))
	}},
	{"after-takeover", "requests fail after a change of controller", func(b *builder) {
		timeMs := b.timeMs(0.4)
		b.add(trace.Line{AtMs: timeMs, Kind: trace.KindTakeover, Takeover: &trace.Takeover{GapMs: 5000}})
		b.degradeNewVersion(timeMs+6000, b.routes(), b.addErrors(0.15))
	}},
	{"short", "requests fail and there are 20 s until the finish", func(b *builder) {
		b.trace.Header.Ticket.FinishMs = 20_000
		b.degradeNewVersion(0, b.routes(), b.addErrors(0.15))
	}},
	{"careful-errors", "a tenth of the requests fails in a move that prefers care", func(b *builder) {
		b.trace.Header.Ticket = trace.Ticket{FinishMs: b.finishMs(240), Prefer: "careful"}
		b.degradeNewVersion(0, b.routes(), b.addErrors(0.1))
	}},
	{"noisy-old", "both versions are noisy and the new one also fails", func(b *builder) {
		noisyTogether(b)
		for i := range b.trace.Lines {
			if l := &b.trace.Lines[i]; l.Version == "v2" {
				v := *l.Behaviour
				v.Errors = min(1, round(v.Errors+0.15))
				l.Behaviour = &v
			}
		}
	}},
}

// addErrors returns a change that adds the fraction of failed requests.
func (b *builder) addErrors(errors float64) func(*trace.Behaviour) {
	errors = b.magnitude(errors)
	return func(v *trace.Behaviour) { v.Errors = round(v.Errors + errors) }
}

// multiplyLatency returns a change that multiplies the latency by the factor.
func (b *builder) multiplyLatency(factor float64) func(*trace.Behaviour) {
	factor = b.magnitude(factor)
	return func(v *trace.Behaviour) {
		load := v.ByLoad
		*v = degrade(*v, 0, factor)
		v.ByLoad = load
	}
}

// utilization returns the fraction of the slots that is busy when one version
// has all traffic.
func (b *builder) utilization() float64 {
	// Until the division, utilization is the mean number of busy slots: the request
	// rate times the mean latency.
	var utilization float64
	for _, r := range b.workload.routes {
		utilization += r.perSecond * (0.5*r.p50 + 0.45*(r.p50+r.p95)/2 + 0.05*r.p99) / 1000
	}
	return utilization / float64(b.workload.targets*b.workload.slots)
}
