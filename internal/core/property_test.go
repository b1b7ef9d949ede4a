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

// defaultSeed makes the verdict of a run without -rapid.seed repeatable.
const defaultSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	os.Exit(m.Run())
}

// TestRandomFaults drives a small mesh with random faults, restarts and racing
// operators. It guards against a served revision that goes back, an accepted
// ticket that disappears, two tickets under one number, a move that never ends,
// an endpoint whose target differs from the one that its daemon announced, and a mesh that does not come together again once the faults end.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMesh(rapid.Uint64Range(1, 1<<20).Draw(t, "seed"))
		m.grid(3, 3)
		m.run(5 * time.Second)
		history := &history{accepted: map[uint64]string{}}
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			history.act(t, m)
			m.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * 100 * time.Millisecond)
			history.collect(t, m)
		}
		m.heal()
		m.run(70 * time.Second)
		history.collect(t, m)
		history.check(t, m)
	})
}

// history is what the operators were told.
type history struct {
	next     uint64
	accepted map[uint64]string
}

// draw chooses a daemon by its index, which keeps the report of a failure short.
func (m *mesh) draw(t *rapid.T, label string) *fakeDaemon {
	return m.daemons[rapid.IntRange(0, len(m.daemons)-1).Draw(t, label)]
}

func (m *mesh) named(vm string) *fakeDaemon {
	i := slices.IndexFunc(m.daemons, func(d *fakeDaemon) bool { return d.name == vm })
	return m.daemons[i]
}

func (m *mesh) heal() {
	m.table.down = false
	m.table.loseAnswers = 0
	m.cut = func(a, b *fakeDaemon) bool { return false }
	m.offPlatform = func(*fakeDaemon) bool { return false }
	for _, d := range m.daemons {
		switch {
		case !d.alive:
			d.start()
		case d.paused:
			d.resume()
		}
	}
}

func (h *history) act(t *rapid.T, m *mesh) {
	d := m.draw(t, "daemon")
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
		m.cut = func(a, b *fakeDaemon) bool { return (a.domain == d.domain) != (b.domain == d.domain) }
	case "uncut":
		m.cut = func(a, b *fakeDaemon) bool { return false }
	case "off-platform":
		m.offPlatform = func(other *fakeDaemon) bool { return other.domain == d.domain }
	case "controller-off-platform":
		c := m.controller()
		m.offPlatform = func(other *fakeDaemon) bool { return other == c }
	case "cut-pair":
		c := m.controller()
		m.cut = func(a, b *fakeDaemon) bool { return a == c && b.domain == d.domain || b == c && a.domain == d.domain }
	case "submit":
		h.submit(m, d, "")
	case "move":
		h.send(d, moving(uint64(len(h.accepted))+1, "service-1", m.now.Add(15*time.Second)))
	case "bad":
		for number := range d.node.View().State.Open {
			d.handle(core.SamplesTaken{Samples: badSamples(number)})
		}
	case "target":
		d.announce(member.Target{Service: "orders", Version: fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "version")), Slots: 10})
	case "race":
		h.submit(m, d, "first")
		h.submit(m, m.draw(t, "rival"), "second")
	case "controller":
		if c := m.controller(); c != nil {
			c.kill()
		}
	}
}

// submit sends the next ticket that the daemon would accept.
func (h *history) submit(m *mesh, d *fakeDaemon, note string) {
	next := ticket(uint64(len(h.accepted)) + 1)
	next.Note = note
	h.send(d, next)
}

func (h *history) send(d *fakeDaemon, t *model.Ticket) {
	if d.alive {
		h.next++
		d.handle(core.Submit{ID: h.next, Ticket: t})
	}
}

// collect takes over the replies and checks that no number was given twice.
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
	if len(m.faults) > 0 {
		t.Fatalf("faults: %v", m.faults)
	}
	for number, digest := range h.accepted {
		if m.digestOf(number) != digest {
			t.Fatalf("accepted ticket %d is not in the log", number)
		}
	}
	head := m.head()
	for _, d := range m.daemons {
		view := d.node.View()
		if view.State.Revision != head || d.served != head {
			t.Fatalf("%s has revision %d and serves %d; the log has %d (ready: %v, parent %q)", d.name, view.State.Revision, d.served, head, d.node.Ready(), view.Parent)
		}
		if len(d.config.Endpoints) != len(m.daemons) {
			t.Fatalf("%s knows %d of %d endpoints", d.name, len(d.config.Endpoints), len(m.daemons))
		}
		for _, e := range d.config.Endpoints {
			if announced := m.named(e.VM).target; e.Target != announced {
				t.Fatalf("%s has target %+v for %s, which announced %+v", d.name, e.Target, e.VM, announced)
			}
		}
		if len(view.State.Open) > 0 {
			t.Fatalf("%s still has open tickets long after their finish time: %v", d.name, view.Progress)
		}
		if view.Statement.Revision != head {
			t.Fatalf("%s knows revision %d to be in force; the log has %d", d.name, view.Statement.Revision, head)
		}
	}
}
