package wire

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

func toUnixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

func serviceToWire(s *model.Service) *Service {
	if s == nil {
		return nil
	}
	return &Service{Name: s.Name, Versions: s.Versions, Shares: s.Shares, Proved: s.Proved}
}

func serviceFromWire(s *Service) *model.Service {
	if s == nil {
		return nil
	}
	return &model.Service{Name: s.GetName(), Versions: s.GetVersions(), Shares: s.GetShares(), Proved: s.GetProved()}
}

func routeToWire(r *model.Route) *Route {
	if r == nil {
		return nil
	}
	return &Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix,
		Service: r.Service, Version: r.Version, Class: string(r.Class),
		Idempotent: r.Idempotent, Once: r.Once, TimeoutMs: r.Timeout.Milliseconds(),
		Split: splitToWire(r.Split), Priority: r.Priority, ObjectiveMs: r.Objective.Milliseconds(), Attempts: r.Attempts,
	}
}

func splitToWire(split []model.Weight) []*Weight {
	var w []*Weight
	for _, part := range split {
		w = append(w, &Weight{Service: part.Service, Weight: part.Weight})
	}
	return w
}

func splitFromWire(w []*Weight) []model.Weight {
	var split []model.Weight
	for _, part := range w {
		split = append(split, model.Weight{Service: part.GetService(), Weight: part.GetWeight()})
	}
	return split
}

func routeFromWire(r *Route) *model.Route {
	if r == nil {
		return nil
	}
	return &model.Route{
		Name: r.GetName(), Host: r.GetHost(), PathPrefix: r.GetPathPrefix(),
		Service: r.GetService(), Version: r.GetVersion(), Class: model.Class(r.GetClass()),
		Idempotent: r.GetIdempotent(), Once: r.GetOnce(),
		Timeout: time.Duration(r.GetTimeoutMs()) * time.Millisecond,
		Split:   splitFromWire(r.GetSplit()), Priority: r.GetPriority(),
		Objective: time.Duration(r.GetObjectiveMs()) * time.Millisecond, Attempts: r.GetAttempts(),
	}
}

// TicketToWire encodes a ticket. Times are kept to the millisecond.
func TicketToWire(t *model.Ticket) *Ticket {
	if t == nil {
		return nil
	}
	w := &Ticket{
		Number: t.Number, Note: t.Note, Supersedes: t.Supersedes,
		RemoveServices: t.RemoveServices, RemoveRoutes: t.RemoveRoutes,
	}
	for i := range t.Services {
		w.Services = append(w.Services, serviceToWire(&t.Services[i]))
	}
	for i := range t.Routes {
		w.Routes = append(w.Routes, routeToWire(&t.Routes[i]))
	}
	for _, m := range t.Moves {
		w.Moves = append(w.Moves, &Move{Service: m.Service, FinishUnixMs: toUnixMillis(m.Finish), Careful: m.Prefer == model.Careful})
	}
	return w
}

// TicketFromWire decodes a ticket.
func TicketFromWire(w *Ticket) *model.Ticket {
	if w == nil {
		return nil
	}
	t := &model.Ticket{
		Number: w.GetNumber(), Note: w.GetNote(), Supersedes: w.GetSupersedes(),
		RemoveServices: w.GetRemoveServices(), RemoveRoutes: w.GetRemoveRoutes(),
	}
	for _, s := range w.GetServices() {
		t.Services = append(t.Services, *serviceFromWire(s))
	}
	for _, r := range w.GetRoutes() {
		t.Routes = append(t.Routes, *routeFromWire(r))
	}
	for _, m := range w.GetMoves() {
		prefer := model.OnTime
		if m.GetCareful() {
			prefer = model.Careful
		}
		t.Moves = append(t.Moves, model.Move{Service: m.GetService(), Finish: fromUnixMillis(m.GetFinishUnixMs()), Prefer: prefer})
	}
	return t
}

func outcomeToWire(o model.Outcome) *Outcome {
	return &Outcome{Ticket: o.Ticket, Result: string(o.Result), Reason: o.Reason, AtUnixMs: toUnixMillis(o.At)}
}

func outcomeFromWire(w *Outcome) model.Outcome {
	return model.Outcome{Ticket: w.GetTicket(), Result: model.Result(w.GetResult()), Reason: w.GetReason(), At: fromUnixMillis(w.GetAtUnixMs())}
}

// RecordToWire encodes a record.
func RecordToWire(r *model.Record) *Record {
	w := &Record{Revision: r.Revision, AtUnixMs: toUnixMillis(r.At), Ticket: TicketToWire(r.Ticket)}
	if r.Outcome != nil {
		w.Outcome = outcomeToWire(*r.Outcome)
	}
	return w
}

// RecordFromWire decodes a record.
func RecordFromWire(w *Record) *model.Record {
	r := &model.Record{Revision: w.GetRevision(), At: fromUnixMillis(w.GetAtUnixMs()), Ticket: TicketFromWire(w.GetTicket())}
	if w.GetOutcome() != nil {
		outcome := outcomeFromWire(w.GetOutcome())
		r.Outcome = &outcome
	}
	return r
}
