package core_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
)

// defaultSeed makes the result of a run without -rapid.seed repeatable.
const defaultSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	os.Exit(m.Run())
}

// TestRandomFaults applies random faults, restarts and concurrent submissions
// to a small mesh. It guards against a served revision that decreases, an
// accepted ticket that is lost, two tickets under one number, a move that never
// ends, an endpoint whose target differs from the one that its daemon
// announced, and a mesh that does not converge once the faults have ended.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMesh(rapid.Uint64Range(1, 1<<20).Draw(t, "seed"))
		m.addDaemons(3, 3)
		m.run(5 * time.Second)
		history := &history{accepted: map[uint64]string{}}
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			history.injectFault(t, m)
			m.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * 100 * time.Millisecond)
			history.collect(t, m)
		}
		m.heal()
		m.run(70 * time.Second)
		history.collect(t, m)
		history.check(t, m)
	})
}

// history records the tickets that were reported as accepted, by number.
type history struct {
	nextID   uint64
	accepted map[uint64]string
}

// drawDaemon chooses a daemon by its index, which keeps the report of a failure
// short.
func (m *mesh) drawDaemon(t *rapid.T, label string) *fakeDaemon {
	return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, label)]
}

func (m *mesh) daemonNamed(vm string) *fakeDaemon {
	i := slices.IndexFunc(m.daemons, func(d *fakeDaemon) bool { return d.name == vm })
	return m.daemons[i]
}

func (m *mesh) heal() {
	m.table.down = false
	m.table.loseAnswers = 0
	m.partitioned = func(a, b *fakeDaemon) bool { return false }
	m.cutFromPlatform = func(*fakeDaemon) bool { return false }
	for _, d := range m.daemons {
		switch {
		case !d.alive:
			d.start()
		case d.paused:
			d.resume()
		}
	}
}

func (h *history) injectFault(t *rapid.T, m *mesh) {
	d := m.drawDaemon(t, "daemon")
	switch rapid.SampledFrom([]string{"kill", "start", "pause", "resume", "outage", "heal-platform", "lose", "cut", "uncut", "off-platform", "submit", "submit", "submit", "race", "move", "move", "bad", "controller", "controller-off-platform", "cut-pair", "target"}).Draw(t, "action") {
	case "kill":
		d.kill()
	case "start":
		if !d.alive {
			d.start()
		}
	case "pause":
		d.paused = true
	case "resume":
		d.resume()
	case "outage":
		m.table.down = true
	case "heal-platform":
		m.table.down = false
	case "lose":
		m.table.loseAnswers = rapid.IntRange(1, 5).Draw(t, "answers")
	case "cut":
		m.partitioned = func(a, b *fakeDaemon) bool { return (a.domain == d.domain) != (b.domain == d.domain) }
	case "uncut":
		m.partitioned = func(a, b *fakeDaemon) bool { return false }
	case "off-platform":
		m.cutFromPlatform = func(other *fakeDaemon) bool { return other.domain == d.domain }
	case "controller-off-platform":
		c := m.controller()
		m.cutFromPlatform = func(other *fakeDaemon) bool { return other == c }
	case "cut-pair":
		c := m.controller()
		m.partitioned = func(a, b *fakeDaemon) bool { return a == c && b.domain == d.domain || b == c && a.domain == d.domain }
	case "submit":
		h.submit(m, d, "")
	case "move":
		h.send(d, moveTicket(uint64(len(h.accepted))+1, "service-1", m.now.Add(15*time.Second)))
	case "bad":
		for number := range d.node.View().State.Open {
			d.handle(core.SamplesTaken{Samples: badSamples(number)})
		}
	case "target":
		d.announceTarget(member.Target{Service: "orders", Version: fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "version")), Slots: 10})
	case "race":
		h.submit(m, d, "first")
		h.submit(m, m.drawDaemon(t, "rival"), "second")
	case "controller":
		if c := m.controller(); c != nil {
			c.kill()
		}
	}
}

// submit sends a ticket with the next number.
func (h *history) submit(m *mesh, d *fakeDaemon, note string) {
	next := ticket(uint64(len(h.accepted)) + 1)
	next.Note = note
	h.send(d, next)
}

func (h *history) send(d *fakeDaemon, t *model.Ticket) {
	if d.alive {
		h.nextID++
		d.handle(core.Submit{ID: h.nextID, Ticket: t})
	}
}

// collect records the replies and checks that no number was assigned to two
// tickets.
func (h *history) collect(t *rapid.T, m *mesh) {
	for _, d := range m.daemons {
		for _, reply := range d.replies {
			if reply.Err != nil {
				continue
			}
			number := m.ticketAt(reply.Accepted.Revision)
			if digest, known := h.accepted[number]; known && digest != reply.Accepted.Digest {
				t.Fatalf("two tickets were accepted under number %d", number)
			}
			h.accepted[number] = reply.Accepted.Digest
		}
	}
}

func (h *history) check(t *rapid.T, m *mesh) {
	if len(m.violations) > 0 {
		t.Fatalf("violations: %v", m.violations)
	}
	for number, digest := range h.accepted {
		if m.digestOf(number) != digest {
			t.Fatalf("accepted ticket %d is not in the log", number)
		}
	}
	head := m.head()
	for _, d := range m.daemons {
		view := d.node.View()
		if view.State.Revision != head || d.servedRevision != head {
			t.Fatalf("%s has revision %d and serves %d; the log has %d (ready: %v, parent %q)", d.name, view.State.Revision, d.servedRevision, head, d.node.Ready(), view.Parent)
		}
		if len(d.config.Endpoints) != len(m.daemons) {
			t.Fatalf("%s has %d of %d endpoints", d.name, len(d.config.Endpoints), len(m.daemons))
		}
		for _, e := range d.config.Endpoints {
			if announced := m.daemonNamed(e.VM).target; e.Target != announced {
				t.Fatalf("%s has target %+v for %s, which announced %+v", d.name, e.Target, e.VM, announced)
			}
		}
		if len(view.State.Open) > 0 {
			t.Fatalf("%s still has open tickets long after their finish time: %v", d.name, view.Progress)
		}
		if view.Statement.Revision != head {
			t.Fatalf("%s has a statement for revision %d; the log has %d", d.name, view.Statement.Revision, head)
		}
	}
}
