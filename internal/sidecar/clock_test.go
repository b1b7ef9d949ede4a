package sidecar

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/logging"
)

// Guards against a daemon that leads no move, and asks others to take over those that
// it leads, for as long as the time of day was set back after a failed write.
var _ = It("does not take the store for unreachable after the time of day was set back", func() {
	d := New(Config{VM: "a", Store: newRestoredStore(), Operators: versionedOperators{}, Inbound: "10.0.0.1:1", Logger: logging.Discard().Component("test")})
	d.recordWriteResult(fault.New(fault.Unavailable, "the store did not respond"))
	Expect(d.storeUnreachable()).To(BeTrue())
	d.lastWriteFailure.Add(int64(5 * time.Second))
	Expect(d.storeUnreachable()).To(BeFalse())
})
