package model_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

func TestModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "model")
}

var now = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func service(name string, shares map[string]uint32, versions ...string) model.Service {
	return model.Service{Name: name, Versions: versions, Shares: shares}
}

func initialTicket() *model.Ticket {
	return &model.Ticket{
		Number: 1,
		Services: []model.Service{
			service("orders", map[string]uint32{"v1": 100}, "v1"),
			service("scans", map[string]uint32{"v1": 100}, "v1"),
		},
		Routes: []model.Route{
			{Name: "lookup", PathPrefix: "/lookup", Service: "orders", Class: model.Urgent, Idempotent: true},
			{Name: "pinned", PathPrefix: "/pinned", Service: "orders", Version: "v1", Class: model.Normal},
		},
	}
}

func moveOrders(number uint64) *model.Ticket {
	return &model.Ticket{
		Number:   number,
		Services: []model.Service{service("orders", map[string]uint32{"v2": 100}, "v1", "v2")},
		Routes:   []model.Route{{Name: "lookup", PathPrefix: "/search", Service: "orders", Class: model.Urgent, Idempotent: true}},
		Moves:    []model.Move{{Service: "orders", Finish: now.Add(time.Minute), Prefer: model.OnTime}},
	}
}

func apply(s *model.State, t *model.Ticket) *model.State {
	GinkgoHelper()
	next, err := s.Apply(&model.Record{Revision: s.Revision + 1, At: now, Ticket: t})
	Expect(err).NotTo(HaveOccurred())
	return next
}

func recordOutcome(s *model.State, ticket uint64, result model.Result) *model.State {
	GinkgoHelper()
	next, err := s.Apply(&model.Record{Revision: s.Revision + 1, At: now, Outcome: &model.Outcome{Ticket: ticket, Result: result, At: now}})
	Expect(err).NotTo(HaveOccurred())
	return next
}

func halfProgress(uint64) float64 { return 0.5 }

var _ = Describe("State", func() {
	var base, moving *model.State

	BeforeEach(func() {
		base = apply(model.NewState(), initialTicket())
		moving = apply(base, moveOrders(2))
	})

	It("refuses records with an old revision or a gap in the revisions", func() {
		_, err := base.Apply(&model.Record{Revision: 1, Ticket: moveOrders(2)})
		Expect(fault.KindOf(err)).To(Equal(fault.Stale))
		_, err = base.Apply(&model.Record{Revision: 3, Ticket: moveOrders(2)})
		Expect(fault.KindOf(err)).To(Equal(fault.OutOfOrder))
	})

	It("shifts traffic in proportion to the progress, and all of it when the move is done", func() {
		Expect(moving.EffectiveShares("orders", func(uint64) float64 { return 0 })).To(HaveKeyWithValue("v1", 100.0))
		Expect(moving.EffectiveShares("orders", halfProgress)).To(Equal(map[string]float64{"v1": 50, "v2": 50}))
		done := recordOutcome(moving, 2, model.Done)
		Expect(done.EffectiveShares("orders", halfProgress)).To(Equal(map[string]float64{"v2": 100}))
		Expect(done.Services["orders"].Proved).To(Equal([]string{"v1", "v2"}))
	})

	It("restores all services and routes when a ticket is taken back, at a higher revision", func() {
		restored := recordOutcome(moving, 2, model.TakenBack)
		Expect(restored.Revision).To(Equal(uint64(3)))
		Expect(restored.Services).To(Equal(base.Services))
		Expect(restored.Routes).To(Equal(base.Routes))
		Expect(restored.Outcomes[2].Result).To(Equal(model.TakenBack))
	})

	It("does not change the previous state, guarding against a configuration that changes during a request", func() {
		Expect(base.Routes["lookup"].PathPrefix).To(Equal("/lookup"))
		Expect(base.Open).To(BeEmpty())
	})

	It("applies a superseding ticket to the state before the superseded one", func() {
		next := moveOrders(3)
		next.Supersedes = 2
		state := apply(moving, next)
		Expect(state.Outcomes[2].Result).To(Equal(model.Superseded))
		Expect(recordOutcome(state, 3, model.TakenBack).Routes).To(Equal(base.Routes))
	})

	It("is the same after encoding and decoding, including open tickets and outcomes", func() {
		compressed, err := wire.EncodeState(recordOutcome(apply(moving, moveScans(3)), 3, model.Done))
		Expect(err).NotTo(HaveOccurred())
		decoded, err := wire.DecodeState(compressed)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(BeComparableTo(recordOutcome(apply(moving, moveScans(3)), 3, model.Done)))
		_, err = wire.DecodeState(compressed[:len(compressed)/2])
		Expect(fault.KindOf(err)).To(Equal(fault.Protocol))
	})

	DescribeTable("refuses a ticket that breaks a rule",
		func(kind fault.Kind, change func(t *model.Ticket)) {
			t := moveScans(3)
			change(t)
			Expect(fault.KindOf(moving.Validate(t))).To(Equal(kind))
		},
		Entry("a number that is already taken", fault.NumberTaken, func(t *model.Ticket) { t.Number = 2 }),
		Entry("a number that skips one", fault.OutOfOrder, func(t *model.Ticket) { t.Number = 4 }),
		Entry("no number", fault.Invalid, func(t *model.Ticket) { t.Number = 0 }),
		Entry("nothing to change", fault.Invalid, func(t *model.Ticket) { *t = model.Ticket{Number: 3} }),
		Entry("a service that an open ticket moves", fault.OpenMove, func(t *model.Ticket) { t.Services[0].Name = "orders" }),
		Entry("a route into a service that an open ticket moves", fault.OpenMove, func(t *model.Ticket) {
			t.Routes = []model.Route{{Name: "new", PathPrefix: "/new", Service: "orders", Class: model.Normal}}
		}),
		Entry("superseding without covering all services", fault.OpenMove, func(t *model.Ticket) { t.Supersedes = 2 }),
		Entry("superseding a ticket that is not open", fault.NotFound, func(t *model.Ticket) { t.Supersedes = 1 }),
		Entry("shares that do not sum to 100", fault.Invalid, func(t *model.Ticket) { t.Services[0].Shares["v2"] = 99 }),
		Entry("shares that overflow to 100", fault.Invalid, func(t *model.Ticket) {
			t.Services[0].Shares = map[string]uint32{"v1": 1<<32 - 1, "v2": 101}
		}),
		Entry("traffic for an unproved version without a move", fault.Invalid, func(t *model.Ticket) { t.Moves = nil }),
		Entry("a route to an unproved version", fault.Invalid, func(t *model.Ticket) {
			t.Routes = []model.Route{{Name: "new", PathPrefix: "/new", Service: "scans", Version: "v2", Class: model.Normal}}
		}),
		Entry("a route to a version that does not exist", fault.Invalid, func(t *model.Ticket) {
			t.Routes = []model.Route{{Name: "new", PathPrefix: "/new", Service: "scans", Version: "v9", Class: model.Normal}}
		}),
		// A route of another name with the same requests would silently replace the first.
		Entry("a route with the host and path prefix of another one", fault.Invalid, func(t *model.Ticket) {
			t.Routes = []model.Route{{Name: "new", PathPrefix: "/pinned", Service: "scans", Class: model.Normal}}
		}),
		Entry("two routes with the same host, in other letters, and path prefix", fault.Invalid, func(t *model.Ticket) {
			t.Routes = []model.Route{{Name: "a", Host: "x.example", PathPrefix: "/x", Service: "scans", Class: model.Normal}, {Name: "b", Host: "X.example", PathPrefix: "/x", Service: "scans", Class: model.Normal}}
		}),
		Entry("removing a service that does not exist", fault.Invalid, func(t *model.Ticket) { t.RemoveServices = []string{"none"} }),
		Entry("a route that is both idempotent and once", fault.Invalid, func(t *model.Ticket) {
			t.Routes = []model.Route{{Name: "new", PathPrefix: "/new", Service: "scans", Class: model.Normal, Idempotent: true, Once: true}}
		}),
	)

	It("refuses to remove a service or a version that a route still needs", func() {
		removal := &model.Ticket{Number: 2, RemoveServices: []string{"orders"}}
		Expect(fault.KindOf(base.Validate(removal))).To(Equal(fault.Invalid))
		narrowed := moveOrders(2)
		narrowed.Services[0].Versions = []string{"v2"}
		Expect(fault.As(base.Validate(narrowed)).Details).To(ContainElement(ContainSubstring("version \"v1\"")))
	})
})

func moveScans(number uint64) *model.Ticket {
	return &model.Ticket{
		Number:   number,
		Services: []model.Service{service("scans", map[string]uint32{"v2": 100}, "v1", "v2")},
		Moves:    []model.Move{{Service: "scans", Finish: now.Add(time.Minute), Prefer: model.Careful}},
	}
}
