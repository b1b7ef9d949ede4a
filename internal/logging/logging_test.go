package logging_test

import (
	"bytes"
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/logging"
)

var _ = Describe("Root", func() {
	It("writes one JSON object per line with the VM, component and kind fields that log queries use", func() {
		var buffer bytes.Buffer
		root, err := logging.New(&buffer, "info", "order-1")
		Expect(err).NotTo(HaveOccurred())
		logger := root.Component("peer")
		logger.Debug().Msg("not shown at level info")
		failure := fault.WithDetails(fault.Protocol, "bad \"frame\"\n", []string{"one"})
		logging.Failure(logger.Warn(), failure).Msg("frame refused")
		var line map[string]any
		Expect(json.Unmarshal(buffer.Bytes(), &line)).To(Succeed())
		Expect(line).To(And(
			HaveKeyWithValue("vm", "order-1"), HaveKeyWithValue("component", "peer"), HaveKeyWithValue("level", "warn"),
			HaveKeyWithValue("kind", "protocol"), HaveKeyWithValue("message", "frame refused"), HaveKey("time"),
			HaveKeyWithValue("details", ConsistOf("one")),
		))
	})

	It("rejects an unknown level, guarding against a log that stays empty without an error", func() {
		_, err := logging.New(&bytes.Buffer{}, "loud", "a")
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
	})

	It("accepts a nil entry, which a disabled level returns", func() {
		logging.Failure(logging.Discard().Component("x").Info(), fault.New(fault.Internal, "x")).Msg("nothing")
	})
})
