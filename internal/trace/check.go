package trace

import (
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
)

// Bounds of what a trace may hold, so that a replay stays short.
const (
	maxTimeMs    = 24 * 60 * 60 * 1000
	maxTargets   = 1000
	maxSlots     = 10_000
	maxServices  = 64
	maxRoutes    = 256
	maxPerSecond = 200_000
	maxLatencyMs = 10 * 60 * 1000
	maxPoints    = 64
	maxFactor    = 10_000
	maxSent      = 1000
	maxLoad      = 1000
)

func invalid(format string, args ...any) error {
	return fault.New(fault.Invalid, format, args...)
}

// within also refuses NaN, which compares as neither above nor below.
func within(field string, value, low, high float64) error {
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
	if h.Trace != FormatVersion {
		return invalid("trace: format version %d is not supported; this release reads version %d", h.Trace, FormatVersion)
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
	if bad := slices.ContainsFunc(h.Services, func(s Service) bool { return h.BadService(&s) }); bad != (h.Outcome == Bad) {
		return invalid("outcome: %q does not agree with the outcomes of the services", h.Outcome)
	}
	return firstError(
		within("bad_from_ms", float64(h.BadFromMs), 0, maxTimeMs),
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
		within("old_targets", float64(s.OldTargets), 1, maxTargets),
		within("new_targets", float64(s.NewTargets), 0, maxTargets),
		within("slots", float64(s.Slots), 1, maxSlots),
	)
}

func (t *Ticket) check() error {
	if p := model.Preference(t.Prefer); p != model.OnTime && p != model.Careful {
		return invalid("ticket.prefer: %q is not %q or %q", t.Prefer, model.OnTime, model.Careful)
	}
	return firstError(
		within("ticket.accepted_ms", float64(t.AcceptedMs), 0, maxTimeMs),
		within("ticket.finish_ms", float64(t.FinishMs), 0, maxTimeMs),
	)
}

// parts lists the bodies that are set, by the kind that needs each.
func (l *Line) parts() []Kind {
	var set []Kind
	add := func(kind Kind, present bool) {
		if present {
			set = append(set, kind)
		}
	}
	add(KindLoad, l.Load != nil)
	add(KindBehaviour, l.Behaviour != nil)
	add(KindHealth, l.Health != nil)
	add(KindCrash, l.Crash != nil)
	add(KindTargets, l.Targets != nil)
	add(KindOutage, l.Outage != nil)
	add(KindTakeover, l.Takeover != nil)
	return set
}

func (l *Line) check(h *Header) error {
	if err := within("at_ms", float64(l.AtMs), 0, maxTimeMs); err != nil {
		return err
	}
	if set := l.parts(); len(set) != 1 || set[0] != l.Kind {
		return invalid("kind: %q needs exactly the field of the same name, but the line has %v", l.Kind, set)
	}
	switch l.Kind {
	case KindLoad:
		return firstError(l.checkNames(h, true, false), within("load.per_second", l.Load.PerSecond, 0, maxPerSecond))
	case KindBehaviour:
		return firstError(l.checkNames(h, true, true), l.Behaviour.check())
	case KindHealth:
		return firstError(
			l.checkNames(h, false, true),
			within("health.healthy", float64(l.Health.Healthy), 0, maxTargets),
			within("health.load", l.Health.Load, 0, maxLoad),
			within("health.lag_ms", float64(l.Health.LagMs), 0, maxTimeMs),
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
		within("takeover.gap_ms", float64(l.Takeover.GapMs), 0, maxTimeMs),
	)
}

// checkNames checks that the line names what its kind needs and nothing else.
func (l *Line) checkNames(h *Header, route, version bool) error {
	if !route && !version {
		if l.Service != "" || l.Route != "" || l.Version != "" {
			return invalid("a line of kind %q names no service, route or version", l.Kind)
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
		return invalid("route: a line of kind %q names no route", l.Kind)
	}
	if version && l.Version != s.OldVersion && l.Version != s.NewVersion {
		return invalid("version: service %q has no version %q", l.Service, l.Version)
	}
	if !version && l.Version != "" {
		return invalid("version: a line of kind %q names no version", l.Kind)
	}
	return nil
}

func (b *Behaviour) check() error {
	if b.P50Ms > b.P95Ms || b.P95Ms > b.P99Ms {
		return invalid("behaviour: p50_ms %g, p95_ms %g and p99_ms %g must not fall", b.P50Ms, b.P95Ms, b.P99Ms)
	}
	return firstError(
		within("behaviour.p50_ms", b.P50Ms, 0.01, maxLatencyMs),
		within("behaviour.p99_ms", b.P99Ms, 0.01, maxLatencyMs),
		within("behaviour.errors", b.Errors, 0, 1),
		checkCurve("behaviour.by_load", b.ByLoad, maxLoad),
		checkCurve("behaviour.by_share", b.ByShare, 1),
	)
}

func checkCurve(field string, curve []Point, highest float64) error {
	if len(curve) > maxPoints {
		return invalid("%s: there are %d points; at most %d are allowed", field, len(curve), maxPoints)
	}
	for i, p := range curve {
		err := firstError(
			within(field+".at", p.At, 0, highest),
			within(field+".latency", p.Latency, 0.01, maxFactor),
			within(field+".errors", p.Errors, 0, 1),
		)
		if err != nil {
			return err
		}
		if i > 0 && p.At <= curve[i-1].At {
			return invalid("%s: point %d at %g does not follow %g", field, i, p.At, curve[i-1].At)
		}
	}
	return nil
}

func (c *Crash) check() error {
	if c.RequestKey == "" {
		return invalid("crash.request_key: is missing")
	}
	return firstError(
		within("crash.sent", float64(c.Sent), 1, maxSent),
		within("crash.restart_ms", float64(c.RestartMs), 0, maxTimeMs),
	)
}

func (t *Targets) check() error {
	if t.Change == 0 {
		return invalid("targets.change: is zero or missing")
	}
	if t.ColdMs > 0 {
		if err := within("targets.cold_latency", t.ColdLatency, 1, maxFactor); err != nil {
			return err
		}
	}
	return firstError(
		within("targets.change", float64(t.Change), -maxTargets, maxTargets),
		within("targets.cold_ms", float64(t.ColdMs), 0, maxTimeMs),
	)
}

func (l *Line) checkOutage() error {
	if l.Outage.Of != Platform && l.Outage.Of != Control {
		return invalid("outage.of: %q is not %q or %q", l.Outage.Of, Platform, Control)
	}
	return within("outage.until_ms", float64(l.Outage.UntilMs), float64(l.AtMs), maxTimeMs)
}
