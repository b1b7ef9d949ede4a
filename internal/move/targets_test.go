package move_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

var _ = Describe("TargetWatch", func() {
	// Guards against cold targets that count as slow before their slow start
	// is over, because the move is a short one.
	DescribeTable("lets cold targets warm up",
		func(window, warmUp time.Duration) {
			w := move.NewTargetWatch(openTicket(window, model.OnTime), false)
			step := move.Step{Ticket: ticket, Permille: 10}
			w.Update(start, eight, step)
			w.Update(start.Add(warmUp-time.Second), eight, step)
			Expect(w.Stage(start, step).Cold).To(Equal(1.0))
			w.Update(start.Add(warmUp), eight, step)
			Expect(w.Stage(start, step).Cold).To(BeZero())
		},
		Entry("for the slow start", time.Hour, 10*time.Second),
		Entry("in a move of about a minute", 67*time.Second, 10*time.Second),
		Entry("for a part of a move of 20 s", 20*time.Second, 3*time.Second),
	)
})
