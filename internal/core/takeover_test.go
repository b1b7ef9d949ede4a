package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// linkTimeout is the silence after which the transport closes a link to a
// paused daemon.
const linkTimeout = 3 * time.Second

// timeToServe pauses the controller of a small mesh, submits a ticket and
// returns the time until every other daemon serves it.
func timeToServe(seed uint64) time.Duration {
	m := newMesh(seed)
	m.addDaemons(4, 2)
	m.run(12 * time.Second)
	old := m.controller()
	old.paused = true
	m.run(time.Second)
	var submitter *fakeDaemon
	for _, d := range m.daemons {
		if !d.paused {
			submitter = d
		}
	}
	Expect(m.submit(submitter, 1, ticket(1)).Err).NotTo(HaveOccurred())
	for waited := time.Duration(0); waited < time.Minute; waited += 100 * time.Millisecond {
		if m.allServe(1) {
			return waited
		}
		if waited == linkTimeout {
			for id := range old.links {
				old.closeLink(id)
			}
		}
		m.run(100 * time.Millisecond)
	}
	return time.Minute
}

func (m *mesh) allServe(revision uint64) bool {
	for _, d := range m.daemons {
		if !d.paused && d.servedRevision < revision {
			return false
		}
	}
	return true
}

var _ = It("brings a ticket into force within ten seconds although the controller is paused and daemons without a path attach to one another", func() {
	var longest time.Duration
	for seed := range uint64(60) {
		longest = max(longest, timeToServe(seed+1))
	}
	GinkgoWriter.Println("longest time to serve", longest)
	Expect(longest).To(BeNumerically("<=", 10*time.Second))
})
