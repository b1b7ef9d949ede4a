package sidecar

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

var _ = Describe("a restore of the store", func() {
	// Guards against a target row that stays lost because its writer takes it for
	// stored, also when the response of an earlier write arrives late.
	It("makes the row of the target missing unless it was observed since", func() {
		w := newTargetRowWriter(New(Config{VM: "a", Inbound: "10.0.0.1:1", Logger: logging.Discard().Component("test")}))
		record := &mesh.TargetRecord{VM: "a", Incarnation: 1, State: "ready", Inbound: "10.0.0.1:1"}
		w.recordWritten(record, rows.Version(0, 8))
		w.enterEra(1)
		w.recordWritten(record, rows.Version(0, 9))
		Expect(w.stored).To(BeNil())
		Expect(rows.Counter(w.storedVersion)).To(BeZero())
		row := record.Row()
		row.Version = rows.Version(2, 4)
		w.observe(row)
		w.enterEra(2)
		Expect(w.stored).To(Equal(record))
		Expect(w.storedVersion).To(Equal(row.Version))
	})
})
