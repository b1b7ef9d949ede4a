package move_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

var _ = Describe("TargetTracker", func() {
	// Guards against counting targets as warm before their slow start is over because
	// the move is short.
	DescribeTable("counts targets as cold during the warm-up",
		func(window, warmUp time.Duration) {
			w := move.NewTargetTracker(openTicket(window, model.OnTime), false)
			step := move.Step{Ticket: ticket, Permille: 10}
			w.Update(start, eightTargets, step)
			w.Update(start.Add(warmUp-time.Second), eightTargets, step)
			Expect(w.Stage(start, step).ColdFraction).To(Equal(1.0))
			w.Update(start.Add(warmUp), eightTargets, step)
			Expect(w.Stage(start, step).ColdFraction).To(BeZero())
		},
		Entry("for the whole slow start in a move of an hour", time.Hour, 10*time.Second),
		Entry("for the whole slow start in a move of about a minute", 67*time.Second, 10*time.Second),
		Entry("for 15% of a move of 20 s", 20*time.Second, 3*time.Second),
	)
})
