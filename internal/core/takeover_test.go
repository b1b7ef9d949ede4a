package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// silenceLimit is when the transport closes a link to a paused daemon.
const silenceLimit = 3 * time.Second

// lag pauses the controller of a small mesh, submits a ticket and returns the
// time until every other daemon serves it.
func lag(seed uint64) time.Duration {
	m := newMesh(seed)
	m.grid(4, 2)
	m.run(12 * time.Second)
	old := m.controller()
	old.paused = true
	m.run(time.Second)
	var taker *fakeDaemon
	for _, d := range m.daemons {
		if !d.paused {
			taker = d
		}
	}
	Expect(m.submit(taker, 1, ticket(1)).Err).NotTo(HaveOccurred())
	for waited := time.Duration(0); waited < time.Minute; waited += 100 * time.Millisecond {
		if m.allServe(1) {
			return waited
		}
		if waited == silenceLimit {
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
		if !d.paused && d.served < revision {
			return false
		}
	}
	return true
}

var _ = It("brings a ticket into force within ten seconds although the controller is paused and daemons without a path attach to one another", func() {
	var longest time.Duration
	for seed := range uint64(60) {
		longest = max(longest, lag(seed+1))
	}
	GinkgoWriter.Println("longest lag", longest)
	Expect(longest).To(BeNumerically("<=", 10*time.Second))
})
