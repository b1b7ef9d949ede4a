package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/core"
)

// missingMembers starts eleven daemons at random times, three levels deep, and
// returns how many of them a ticket's statement lacks 30 s later.
func missingMembers(seed uint64) int {
	const daemons = 11
	m := newMesh(seed)
	delays := map[string]time.Duration{}
	m.delay = func(to *fakeDaemon) time.Duration { return delays[to.name] }
	for i := range daemons {
		delays[fmt.Sprintf("vm-%03d", i)] = time.Duration(m.random.IntN(40)) * time.Millisecond
		m.add(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("domain-%d", i%4))
		m.run(time.Duration(m.random.IntN(4)) * core.TickInterval)
	}
	m.run(10 * time.Second)
	Expect(m.submit(m.daemons[m.random.IntN(daemons)], 1, ticket(1)).Err).NotTo(HaveOccurred())
	m.run(20 * time.Second)
	statement := m.controller().node.View().Statement
	if statement.Revision == 0 {
		return daemons
	}
	return daemons - int(statement.Members)
}

var _ = It("counts every member after relays changed their parents: guards against moves that are held permanently", func() {
	short := map[uint64]int{}
	for seed := range uint64(200) {
		if n := missingMembers(seed + 1); n > 0 {
			short[seed+1] = n
		}
	}
	Expect(short).To(BeEmpty())
})
