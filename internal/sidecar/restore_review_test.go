package sidecar

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

var _ = Describe("the row of the target after a restore of the store", func() {
	var d *Daemon
	BeforeEach(func() {
		d = New(Config{VM: "a", Service: "s", Store: newRestoredStore(), Operators: versionedOperators{}, Inbound: "10.0.0.1:1", Logger: logging.Discard().Component("test")})
	})

	// Guards against a row that stays lost because it was written before the first
	// list of the mesh table, as at a first start.
	It("is missing when it was written before the first list", func() {
		record := &mesh.TargetRecord{VM: "a", Incarnation: 1, State: "ready", Inbound: "10.0.0.1:1"}
		d.targetRow.recordWritten(record, rows.Version(0, 8))
		d.enterEra(time.Now(), rows.Version(1, 3))
		Expect(d.targetRow.stored).To(BeNil())
	})
})
