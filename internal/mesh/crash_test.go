package mesh_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// Guards against a quarantine of requests that crashed one target only: two crashes
// suffice for it.
var _ = Describe("the count of one crash", func() {
	const fingerprint = 7
	var f *fleet
	BeforeEach(func() {
		f = newFleet(map[string]string{"vm0": "v1", "vm1": "v1"})
		f.run(time.Second)
		f.nodes["vm0"].RecordCrash(fingerprint)
	})
	expectOne := func() {
		GinkgoHelper()
		f.run(time.Second)
		for vm, n := range f.nodes {
			Expect(n.CrashCounts()).To(HaveKeyWithValue(uint64(fingerprint), uint32(1)), vm)
		}
	}

	It("is one when the changed row arrives before the response to its write", func() {
		expectOne()
	})

	It("is one when the changed row arrives after the response to its write", func() {
		var late rows.Row
		for _, c := range f.crashCommits("vm0") {
			late = c.Transaction.Writes[0]
			late.Version = f.version + 1
			c.Done(f.now, late.Version, nil)
		}
		f.put(late)
		expectOne()
	})

	It("is one when the response to its write is lost", func() {
		for _, c := range f.crashCommits("vm0") {
			_, err := f.commit(c.Transaction)
			Expect(err).NotTo(HaveOccurred())
			c.Done(f.now, 0, fault.New(fault.UnknownOutcome, "the store did not respond"))
		}
		expectOne()
	})
})
