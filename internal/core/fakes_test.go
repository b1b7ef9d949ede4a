package core_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/routing"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// fakeTable is an in-memory table of the platform.
type fakeTable struct {
	items   map[platform.Key]platform.Item
	objects map[string][]byte
	reads   int
	writes  int
	// down makes every call fail. loseAnswers is how many of the next writes
	// are applied but reported with an unknown outcome.
	down        bool
	loseAnswers int
}

func (t *fakeTable) call(c core.Call) core.PlatformResult {
	if t.down {
		return core.PlatformResult{Err: fault.New(fault.Unavailable, "outage")}
	}
	switch {
	case c.Get != nil:
		t.reads++
		item, ok := t.items[*c.Get]
		if !ok {
			return core.PlatformResult{Err: fault.New(fault.NotFound, "no item")}
		}
		return core.PlatformResult{Item: item}
	case c.Query != nil:
		t.reads++
		return core.PlatformResult{Items: t.query(*c.Query)}
	case c.Transact != nil:
		t.writes++
		return core.PlatformResult{Err: t.transact(c.Transact)}
	case c.PutObject != nil:
		t.objects[c.PutObject.Name] = c.PutObject.Body
		return core.PlatformResult{}
	default:
		body, ok := t.objects[c.GetObject]
		if !ok {
			return core.PlatformResult{Err: fault.New(fault.NotFound, "no object")}
		}
		return core.PlatformResult{Body: body}
	}
}

func (t *fakeTable) query(q core.QueryCall) []platform.Item {
	var found []platform.Item
	for key, item := range t.items {
		if key.Partition == q.Partition && key.Sort > q.After {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b platform.Item) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	return found[:min(len(found), q.Limit)]
}

func (t *fakeTable) transact(writes []platform.Write) error {
	for i, w := range writes {
		item, exists := t.items[w.Item.Key]
		if w.Condition == platform.IfAbsent && exists || w.Condition == platform.IfRev && (!exists || item.Rev != w.WantRev) {
			return platform.NewConditionError(i)
		}
	}
	for _, w := range writes {
		switch w.Op {
		case platform.Put:
			t.items[w.Item.Key] = w.Item
		case platform.Delete:
			delete(t.items, w.Item.Key)
		}
	}
	if t.loseAnswers > 0 {
		t.loseAnswers--
		return fault.New(fault.UnknownOutcome, "answer lost")
	}
	return nil
}

// fakeDaemon carries out the effects of one node.
type fakeDaemon struct {
	mesh   *mesh
	name   string
	domain string
	node   *core.Node
	starts uint64
	// age is how long before the test the daemon started first, in
	// microseconds.
	age uint64
	// target is the last announcement of the target on the daemon's VM.
	target member.Target
	// seeds are the peer addresses in the daemon's settings.
	seeds  []string
	alive  bool
	paused bool
	// queued holds events that arrived while the daemon was paused.
	queued         []core.Event
	config         *routing.Config
	servedRevision uint64
	events         []timeline.Event
	replies        map[uint64]core.Reply
	accepted       peer.LinkID
	links          map[peer.LinkID]*linkEnd
}

// linkEnd is one end of a link.
type linkEnd struct {
	to   *fakeDaemon
	toID peer.LinkID
}

type delivery struct {
	at time.Time
	to *fakeDaemon
	// generation is the start of the daemon that the event was sent to; later
	// starts do not receive it.
	generation uint64
	ev         core.Event
}

// mesh runs nodes in simulated time.
type mesh struct {
	now     time.Time
	table   *fakeTable
	daemons []*fakeDaemon
	queue   []delivery
	random  *rand.Rand
	// partitioned reports whether two daemons cannot reach each other.
	partitioned func(a, b *fakeDaemon) bool
	// cutFromPlatform reports whether a daemon cannot reach the platform.
	cutFromPlatform func(d *fakeDaemon) bool
	violations      []string
	// delay returns the latency of an event to the daemon; nil means linkDelay.
	delay func(to *fakeDaemon) time.Duration
	// traffic counts the bytes of frames during a measurement; otherwise it is
	// nil.
	traffic *traffic
}

const linkDelay = 2 * time.Millisecond

func newMesh(seed uint64) *mesh {
	return &mesh{
		now:             time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		table:           &fakeTable{items: map[platform.Key]platform.Item{}, objects: map[string][]byte{}},
		random:          rand.New(rand.NewPCG(seed, 1)),
		partitioned:     func(*fakeDaemon, *fakeDaemon) bool { return false },
		cutFromPlatform: func(*fakeDaemon) bool { return false },
	}
}

func (m *mesh) add(name, domain string) *fakeDaemon { return m.addAged(name, domain, 0) }

// addAged adds a daemon whose incarnation is older than the start of the test
// by age.
func (m *mesh) addAged(name, domain string, age time.Duration) *fakeDaemon {
	d := &fakeDaemon{mesh: m, name: name, domain: domain, age: uint64(age.Microseconds())}
	m.daemons = append(m.daemons, d)
	d.start()
	return d
}

func (d *fakeDaemon) start() {
	if d.starts++; d.starts > 1 {
		d.age = 0
	}
	d.alive = true
	d.paused = false
	d.queued = nil
	d.config = nil
	d.target = member.Target{}
	d.links = map[peer.LinkID]*linkEnd{}
	d.replies = map[uint64]core.Reply{}
	d.node = core.NewNode(core.Config{
		VM: d.name, Domain: d.domain, Region: d.region(), Incarnation: uint64(d.mesh.now.UnixMicro()) + d.starts - d.age,
		PeerAddress: d.address(peerPort), InboundAddress: d.address(inboundPort), AdminAddress: d.address(adminPort), Token: "secret", SeedPeers: d.seeds, Timings: core.DefaultTimings(),
		Rand: rand.New(rand.NewPCG(d.mesh.random.Uint64(), 2)),
	}, d.mesh.now)
}

// Ports of the daemons' listeners.
const (
	peerPort    = 7001
	inboundPort = 7002
	adminPort   = 7003
)

// address returns an address that is unique to the daemon: its index in the
// mesh determines the host.
func (d *fakeDaemon) address(port int) string {
	i := slices.Index(d.mesh.daemons, d)
	return fmt.Sprintf("10.0.%d.%d:%d", i/250, i%250+1, port)
}

// region returns one region for the first four failure domains and another for
// the rest, as in the design size.
func (d *fakeDaemon) region() string {
	if strings.HasSuffix(d.domain, "4") || strings.HasSuffix(d.domain, "5") || strings.HasSuffix(d.domain, "6") {
		return "region-2"
	}
	return "region-1"
}

// announceTarget reports the target on the daemon's VM to the daemon.
func (d *fakeDaemon) announceTarget(target member.Target) {
	if d.alive {
		d.target = target
		d.handle(core.TargetChanged{Target: target, State: member.Ready})
	}
}

func (d *fakeDaemon) kill() {
	d.alive = false
	for id := range d.links {
		d.closeLink(id)
	}
}

func (d *fakeDaemon) closeLink(id peer.LinkID) {
	e, ok := d.links[id]
	if !ok {
		return
	}
	delete(d.links, id)
	d.mesh.deliver(d, core.LinkDown{Link: id})
	delete(e.to.links, e.toID)
	d.mesh.deliver(e.to, core.LinkDown{Link: e.toID})
}

func (m *mesh) deliver(to *fakeDaemon, ev core.Event) {
	delay := linkDelay
	if m.delay != nil {
		delay = m.delay(to)
	}
	m.queue = append(m.queue, delivery{at: m.now.Add(delay), to: to, generation: to.starts, ev: ev})
}

// run advances simulated time in steps of a tick.
func (m *mesh) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.closePartitionedLinks()
		for _, daemon := range m.daemons {
			daemon.handle(core.Tick{})
		}
		for range 20 {
			m.now = m.now.Add(core.TickInterval / 20)
			m.flush()
		}
	}
}

func (m *mesh) closePartitionedLinks() {
	for _, d := range m.daemons {
		for id, e := range d.links {
			if m.partitioned(d, e.to) {
				d.closeLink(id)
			}
		}
	}
}

func (m *mesh) flush() {
	due := m.queue
	m.queue = nil
	for _, e := range due {
		switch {
		case e.at.After(m.now):
			m.queue = append(m.queue, e)
		case e.generation == e.to.starts:
			e.to.handle(e.ev)
		}
	}
}

func (d *fakeDaemon) handle(ev core.Event) {
	if !d.alive {
		return
	}
	if d.paused {
		if _, tick := ev.(core.Tick); !tick {
			d.queued = append(d.queued, ev)
		}
		return
	}
	for _, effect := range d.node.Step(d.mesh.now, ev) {
		d.carryOut(effect)
	}
}

func (d *fakeDaemon) resume() {
	d.paused = false
	queued := d.queued
	d.queued = nil
	for _, ev := range queued {
		d.handle(ev)
	}
}

func (d *fakeDaemon) carryOut(effect core.Effect) {
	m := d.mesh
	switch e := effect.(type) {
	case core.SendFrame:
		if link, ok := d.links[e.Link]; ok {
			if m.traffic != nil {
				m.traffic.count(d, link.to, e.Frame)
			}
			m.deliver(link.to, core.FrameReceived{Link: link.toID, Frame: e.Frame})
		}
	case core.Dial:
		d.dial(e)
	case core.CloseLink:
		d.closeLink(e.Link)
	case core.PlatformCall:
		result := core.PlatformResult{Err: fault.New(fault.Unavailable, "cut off")}
		if !m.cutFromPlatform(d) {
			result = m.table.call(e.Call)
		}
		m.deliver(d, core.PlatformDone{ID: e.ID, Result: result})
	case core.Publish:
		d.publish(e.Config)
	case core.Emit:
		d.events = append(d.events, e.Event)
	case core.Reply:
		d.replies[e.ID] = e
	}
}

// publish checks the invariants of every configuration that a proxy receives.
func (d *fakeDaemon) publish(c *routing.Config) {
	if c.State.Revision < d.servedRevision {
		d.mesh.violations = append(d.mesh.violations, fmt.Sprintf("%s served revision %d after %d", d.name, c.State.Revision, d.servedRevision))
	}
	if err := c.State.Check(); err != nil {
		d.mesh.violations = append(d.mesh.violations, d.name+": "+err.Error())
	}
	for _, e := range c.Endpoints {
		if e.State == member.Ready && e.InboundAddress == "" {
			d.mesh.violations = append(d.mesh.violations, d.name+" received endpoint "+e.VM+" without an address")
		}
	}
	d.servedRevision = max(d.servedRevision, c.State.Revision)
	d.config = c
}

// dial opens a link to a daemon by its address, or by its name as a seed.
func (d *fakeDaemon) dial(e core.Dial) {
	for _, other := range d.mesh.daemons {
		addressed := e.Address == other.name || e.Address == other.address(peerPort)
		if !addressed || !other.alive || other.paused || d.mesh.partitioned(d, other) {
			continue
		}
		other.accepted++
		id := other.accepted | peer.AcceptedBit
		d.links[e.Link] = &linkEnd{to: other, toID: id}
		other.links[id] = &linkEnd{to: d, toID: e.Link}
		d.mesh.deliver(other, core.LinkUp{Link: id})
		d.mesh.deliver(d, core.LinkUp{Link: e.Link})
		return
	}
	d.mesh.deliver(d, core.LinkDown{Link: e.Link, Err: fault.New(fault.Unavailable, "refused")})
}

// head returns the newest revision of the log.
func (m *mesh) head() uint64 {
	return m.table.items[platform.Key{Partition: "head", Sort: "head"}].Rev
}

// ticketAt returns the number of the ticket that was accepted at the revision,
// or 0.
func (m *mesh) ticketAt(revision uint64) uint64 {
	record, err := wire.DecodeRecord(m.table.items[core.LogKey(revision)].Body)
	if err != nil || record.Ticket == nil {
		return 0
	}
	return record.Ticket.Number
}

func (m *mesh) digestOf(ticket uint64) string {
	return string(m.table.items[core.TicketKey(ticket)].Body)
}
