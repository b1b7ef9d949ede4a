package mesh_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
)

// Guards against a leader that writes the same record in each tick until its copy of
// the mesh table has reached the era of the store.
var _ = It("does not write a step again while its leader has not listed the restored store", func() {
	f := newFleet(map[string]string{"vm0": "v1", "vm1": "v1", "vm2": "v2", "vm3": "v2"})
	f.run(2 * time.Second)
	before := f.backup()
	// Later transactions of other tables are lost in the restore as well.
	f.version += 100
	f.samplesOf = traffic(0)
	f.orderMove("v2", 15*time.Second)
	f.run(3 * time.Second)
	leader := leaderOf(f)
	f.partitioned[leader] = true
	f.restore(before)
	delete(f.partitioned, leader)
	f.writes = 0
	f.run(2 * time.Second)
	Expect(f.writes).To(BeNumerically("<=", 3))
	f.reset(leader)
	f.run(14 * time.Second)
	Expect(f.states()[len(f.states())-1]).To(Equal(mesh.StatusDone))
	Expect(leaderOf(f)).To(Equal(leader))
})
