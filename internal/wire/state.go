package wire

import (
	"cmp"
	"maps"
	"slices"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
)

// maxStateBytes bounds a decompressed state, so that a malformed snapshot
// cannot exhaust the memory of a daemon.
const maxStateBytes = 32 << 20

var (
	zstdEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	zstdDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxStateBytes))
)

// EncodeRecord returns the bytes of a record. Equal records have equal bytes.
func EncodeRecord(r *model.Record) ([]byte, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(RecordToWire(r))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode record %d", r.Revision)
	}
	return encoded, nil
}

// DecodeRecord reads the bytes of a record.
func DecodeRecord(encoded []byte) (*model.Record, error) {
	var w Record
	if err := proto.Unmarshal(encoded, &w); err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "decode record")
	}
	return RecordFromWire(&w), nil
}

// EncodeTicket returns the bytes of a ticket. Equal tickets have equal bytes.
func EncodeTicket(t *model.Ticket) ([]byte, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(TicketToWire(t))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode ticket %d", t.Number)
	}
	return encoded, nil
}

// EncodeOutcome returns the bytes of an outcome.
func EncodeOutcome(o model.Outcome) ([]byte, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(outcomeToWire(o))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode the outcome of ticket %d", o.Ticket)
	}
	return encoded, nil
}

// DecodeOutcome reads the bytes of an outcome.
func DecodeOutcome(encoded []byte) (model.Outcome, error) {
	var w Outcome
	if err := proto.Unmarshal(encoded, &w); err != nil {
		return model.Outcome{}, fault.Wrap(err, fault.Protocol, "decode outcome")
	}
	return outcomeFromWire(&w), nil
}

// EncodeState returns the bytes of a state, compressed with zstd.
func EncodeState(s *model.State) ([]byte, error) {
	w := &State{Revision: s.Revision, LastTicket: s.LastTicket}
	for _, name := range sortedKeys(s.Services) {
		w.Services = append(w.Services, serviceToWire(s.Services[name]))
	}
	for _, name := range sortedKeys(s.Routes) {
		w.Routes = append(w.Routes, routeToWire(s.Routes[name]))
	}
	for _, number := range sortedKeys(s.Open) {
		w.Open = append(w.Open, openTicketToWire(s.Open[number]))
	}
	for _, number := range sortedKeys(s.Outcomes) {
		w.Outcomes = append(w.Outcomes, outcomeToWire(s.Outcomes[number]))
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(w)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode state %d", s.Revision)
	}
	return zstdEncoder.EncodeAll(encoded, nil), nil
}

// DecodeState reads a compressed state. It fails with fault.Protocol for
// malformed bytes and with fault.Inconsistent for a state whose routes refer to
// something that the state does not contain.
func DecodeState(compressed []byte) (*model.State, error) {
	encoded, err := zstdDecoder.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "decompress state")
	}
	var w State
	if err := proto.Unmarshal(encoded, &w); err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "decode state")
	}
	s := model.NewState()
	s.Revision, s.LastTicket = w.GetRevision(), w.GetLastTicket()
	for _, service := range w.GetServices() {
		s.Services[service.GetName()] = serviceFromWire(service)
	}
	for _, route := range w.GetRoutes() {
		s.Routes[route.GetName()] = routeFromWire(route)
	}
	for _, open := range w.GetOpen() {
		s.Open[open.GetTicket().GetNumber()] = openTicketFromWire(open)
	}
	for _, outcome := range w.GetOutcomes() {
		s.Outcomes[outcome.GetTicket()] = outcomeFromWire(outcome)
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

func openTicketToWire(o *model.OpenTicket) *OpenTicket {
	w := &OpenTicket{Ticket: TicketToWire(o.Ticket), AcceptedUnixMs: toUnixMillis(o.Accepted), Revision: o.Revision}
	for _, name := range sortedKeys(o.Before.Services) {
		w.ServicesBefore = append(w.ServicesBefore, &ServiceImage{Name: name, Service: serviceToWire(o.Before.Services[name])})
	}
	for _, name := range sortedKeys(o.Before.Routes) {
		w.RoutesBefore = append(w.RoutesBefore, &RouteImage{Name: name, Route: routeToWire(o.Before.Routes[name])})
	}
	return w
}

func openTicketFromWire(w *OpenTicket) *model.OpenTicket {
	o := &model.OpenTicket{
		Ticket:   TicketFromWire(w.GetTicket()),
		Accepted: fromUnixMillis(w.GetAcceptedUnixMs()),
		Revision: w.GetRevision(),
		Before:   model.Image{Services: map[string]*model.Service{}, Routes: map[string]*model.Route{}},
	}
	for _, image := range w.GetServicesBefore() {
		o.Before.Services[image.GetName()] = serviceFromWire(image.GetService())
	}
	for _, image := range w.GetRoutesBefore() {
		o.Before.Routes[image.GetName()] = routeFromWire(image.GetRoute())
	}
	return o
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// Size returns the encoded size of a frame, in bytes.
func Size(f *Frame) int { return proto.Size(f) }
