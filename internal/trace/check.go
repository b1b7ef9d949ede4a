package trace

import (
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
)

// Limits of the values in a trace. They bound the duration of a replay.
const (
	// maxTimeMs is one day.
	maxTimeMs            = 24 * 60 * 60 * 1000
	maxTargets           = 1000
	maxSlots             = 10_000
	maxServices          = 64
	maxRoutes            = 256
	maxRequestsPerSecond = 200_000
	// maxLatencyMs is ten minutes.
	maxLatencyMs   = 10 * 60 * 1000
	maxCurvePoints = 64
	// maxLatencyFactor bounds the multipliers of latencies.
	maxLatencyFactor = 10_000
	maxCrashRequests = 1000
	// maxLoad bounds the ratio of busy slots to slots.
	maxLoad = 1000
)

func invalid(format string, args ...any) error {
	return fault.New(fault.Invalid, format, args...)
}

// checkRange returns an error unless low <= value <= high. It rejects NaN too,
// for which both comparisons are false.
func checkRange(field string, value, low, high float64) error {
	if value >= low && value <= high {
		return nil
	}
	return invalid("%s: %g is not between %g and %g", field, value, low, high)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (h *Header) check() error {
	if h.FormatVersion != FormatVersion {
		return invalid("trace: format version %d is not supported; this release reads version %d", h.FormatVersion, FormatVersion)
	}
	if h.Name == "" {
		return invalid("name: is missing")
	}
	if h.Outcome != Good && h.Outcome != Bad {
		return invalid("outcome: %q is not %q or %q", h.Outcome, Good, Bad)
	}
	if len(h.Services) == 0 || len(h.Services) > maxServices {
		return invalid("services: there are %d; 1 to %d are allowed", len(h.Services), maxServices)
	}
	for i := range h.Services {
		if err := h.checkService(i); err != nil {
			return err
		}
	}
	if anyBad := slices.ContainsFunc(h.Services, func(s Service) bool { return h.BadService(&s) }); anyBad != (h.Outcome == Bad) {
		return invalid("outcome: %q does not agree with the outcomes of the services", h.Outcome)
	}
	return firstError(
		checkRange("bad_from_ms", float64(h.BadFromMs), 0, maxTimeMs),
		h.Ticket.check(),
	)
}

func (h *Header) checkService(i int) error {
	s := &h.Services[i]
	if s.Name == "" {
		return invalid("services[%d].name: is missing", i)
	}
	if h.Service(s.Name) != s {
		return invalid("services[%d].name: %q is named twice", i, s.Name)
	}
	if s.OldVersion == "" || s.NewVersion == "" || s.OldVersion == s.NewVersion {
		return invalid("service %q: old_version %q and new_version %q must be two different names", s.Name, s.OldVersion, s.NewVersion)
	}
	if s.Outcome != "" && s.Outcome != Good && s.Outcome != Bad {
		return invalid("service %q: outcome %q is not %q or %q", s.Name, s.Outcome, Good, Bad)
	}
	if len(s.Routes) == 0 || len(s.Routes) > maxRoutes {
		return invalid("service %q: there are %d routes; 1 to %d are allowed", s.Name, len(s.Routes), maxRoutes)
	}
	sorted := slices.Sorted(slices.Values(s.Routes))
	if sorted[0] == "" || len(slices.Compact(sorted)) != len(s.Routes) {
		return invalid("service %q: route names must be different and not empty", s.Name)
	}
	return firstError(
		checkRange("old_targets", float64(s.OldTargets), 1, maxTargets),
		checkRange("new_targets", float64(s.NewTargets), 0, maxTargets),
		checkRange("slots", float64(s.Slots), 1, maxSlots),
	)
}

func (t *Ticket) check() error {
	if p := model.Preference(t.Prefer); p != model.OnTime && p != model.Careful {
		return invalid("ticket.prefer: %q is not %q or %q", t.Prefer, model.OnTime, model.Careful)
	}
	return firstError(
		checkRange("ticket.accepted_ms", float64(t.AcceptedMs), 0, maxTimeMs),
		checkRange("ticket.finish_ms", float64(t.FinishMs), 0, maxTimeMs),
	)
}

// presentBodies returns the kinds whose body field is set on the line.
func (l *Line) presentBodies() []Kind {
	var kinds []Kind
	add := func(kind Kind, present bool) {
		if present {
			kinds = append(kinds, kind)
		}
	}
	add(KindLoad, l.Load != nil)
	add(KindBehaviour, l.Behaviour != nil)
	add(KindHealth, l.Health != nil)
	add(KindCrash, l.Crash != nil)
	add(KindTargets, l.Targets != nil)
	add(KindOutage, l.Outage != nil)
	add(KindTakeover, l.Takeover != nil)
	return kinds
}

func (l *Line) check(h *Header) error {
	if err := checkRange("at_ms", float64(l.AtMs), 0, maxTimeMs); err != nil {
		return err
	}
	if bodies := l.presentBodies(); len(bodies) != 1 || bodies[0] != l.Kind {
		return invalid("kind: %q requires exactly the field of the same name, but the line has %v", l.Kind, bodies)
	}
	switch l.Kind {
	case KindLoad:
		return firstError(l.checkNames(h, true, false), checkRange("load.per_second", l.Load.PerSecond, 0, maxRequestsPerSecond))
	case KindBehaviour:
		return firstError(l.checkNames(h, true, true), l.Behaviour.check())
	case KindHealth:
		return firstError(
			l.checkNames(h, false, true),
			checkRange("health.healthy", float64(l.Health.Healthy), 0, maxTargets),
			checkRange("health.load", l.Health.Load, 0, maxLoad),
			checkRange("health.lag_ms", float64(l.Health.LagMs), 0, maxTimeMs),
		)
	case KindCrash:
		return firstError(l.checkNames(h, true, false), l.Crash.check())
	case KindTargets:
		return firstError(l.checkNames(h, false, true), l.Targets.check())
	case KindOutage:
		return firstError(l.checkNames(h, false, false), l.checkOutage())
	}
	return firstError(
		l.checkNames(h, false, false),
		checkRange("takeover.gap_ms", float64(l.Takeover.GapMs), 0, maxTimeMs),
	)
}

// checkNames checks that the line names the service, route and version that its
// kind requires, that the header has them, and that it names no others.
func (l *Line) checkNames(h *Header, route, version bool) error {
	if !route && !version {
		if l.Service != "" || l.Route != "" || l.Version != "" {
			return invalid("a line of kind %q must not name a service, route or version", l.Kind)
		}
		return nil
	}
	s := h.Service(l.Service)
	if s == nil {
		return invalid("service: the header has no service %q", l.Service)
	}
	if route && !slices.Contains(s.Routes, l.Route) {
		return invalid("route: service %q has no route %q", l.Service, l.Route)
	}
	if !route && l.Route != "" {
		return invalid("route: a line of kind %q must not name a route", l.Kind)
	}
	if version && l.Version != s.OldVersion && l.Version != s.NewVersion {
		return invalid("version: service %q has no version %q", l.Service, l.Version)
	}
	if !version && l.Version != "" {
		return invalid("version: a line of kind %q must not name a version", l.Kind)
	}
	return nil
}

func (b *Behaviour) check() error {
	if b.P50Ms > b.P95Ms || b.P95Ms > b.P99Ms {
		return invalid("behaviour: p50_ms %g, p95_ms %g and p99_ms %g must not decrease", b.P50Ms, b.P95Ms, b.P99Ms)
	}
	return firstError(
		checkRange("behaviour.p50_ms", b.P50Ms, 0.01, maxLatencyMs),
		checkRange("behaviour.p99_ms", b.P99Ms, 0.01, maxLatencyMs),
		checkRange("behaviour.errors", b.Errors, 0, 1),
		checkCurve("behaviour.by_load", b.ByLoad, maxLoad),
		checkCurve("behaviour.by_share", b.ByShare, 1),
	)
}

func checkCurve(field string, curve []Point, highest float64) error {
	if len(curve) > maxCurvePoints {
		return invalid("%s: there are %d points; at most %d are allowed", field, len(curve), maxCurvePoints)
	}
	for i, p := range curve {
		err := firstError(
			checkRange(field+".at", p.At, 0, highest),
			checkRange(field+".latency", p.Latency, 0.01, maxLatencyFactor),
			checkRange(field+".errors", p.Errors, 0, 1),
		)
		if err != nil {
			return err
		}
		if i > 0 && p.At <= curve[i-1].At {
			return invalid("%s: point %d at %g is not above the previous point at %g", field, i, p.At, curve[i-1].At)
		}
	}
	return nil
}

func (c *Crash) check() error {
	if c.RequestKey == "" {
		return invalid("crash.request_key: is missing")
	}
	return firstError(
		checkRange("crash.sent", float64(c.SendCount), 1, maxCrashRequests),
		checkRange("crash.restart_ms", float64(c.RestartMs), 0, maxTimeMs),
	)
}

func (t *Targets) check() error {
	if t.Change == 0 {
		return invalid("targets.change: is zero or missing")
	}
	if t.ColdMs > 0 {
		if err := checkRange("targets.cold_latency", t.ColdLatency, 1, maxLatencyFactor); err != nil {
			return err
		}
	}
	return firstError(
		checkRange("targets.change", float64(t.Change), -maxTargets, maxTargets),
		checkRange("targets.cold_ms", float64(t.ColdMs), 0, maxTimeMs),
	)
}

func (l *Line) checkOutage() error {
	if l.Outage.Component != Platform && l.Outage.Component != Control {
		return invalid("outage.of: %q is not %q or %q", l.Outage.Component, Platform, Control)
	}
	return checkRange("outage.until_ms", float64(l.Outage.UntilMs), float64(l.AtMs), maxTimeMs)
}
