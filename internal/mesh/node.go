package mesh

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/routing"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// Self describes the daemon that a Node belongs to.
type Self struct {
	VM string
	// Run names this start of the daemon.
	Run    uint64
	Domain string
	// Inbound is where other daemons reach this one.
	Inbound string
	// Peer is where other daemons send evidence.
	Peer string
}

// Node is one daemon's knowledge of the mesh. It is not safe for concurrent use.
type Node struct {
	self      Self
	config    *Configuration
	orders    map[string]Order
	targets   map[string]knownTarget
	baselines map[string]string
	moves     map[string]*serviceMove
	crashes   map[uint64]uint32
	// struck holds the crashes that are not yet written.
	struck map[uint64]uint32
	// brakes holds why traffic to a move's version is stopped, by order.
	brakes map[uint64]string
	// busy holds the writes in progress, by purpose.
	busy map[string]bool
	// resume holds when a failed write may be tried again, by purpose.
	resume map[string]time.Time
	// proposed holds when a baseline was proposed last, by service.
	proposed map[string]time.Time
	// missing holds since when a baseline is known to be missing, by service.
	missing map[string]time.Time
	changed bool
	// storeLost is true while the store does not answer this daemon.
	storeLost bool
}

type knownTarget struct {
	record   *TargetRecord
	received time.Time
}

// NewNode returns a node that knows nothing but itself.
func NewNode(self Self) *Node {
	return &Node{
		self: self, orders: map[string]Order{}, targets: map[string]knownTarget{}, baselines: map[string]string{},
		moves: map[string]*serviceMove{}, crashes: map[uint64]uint32{}, struck: map[uint64]uint32{},
		brakes: map[uint64]string{}, busy: map[string]bool{}, resume: map[string]time.Time{}, proposed: map[string]time.Time{}, missing: map[string]time.Time{},
	}
}

// SetStoreLost notes whether the store answers this daemon.
func (n *Node) SetStoreLost(lost bool) { n.storeLost = lost }

// Configuration returns the configuration in force, or nil.
func (n *Node) Configuration() *Configuration { return n.config }

// SetConfiguration takes over a configuration and reports whether it is newer
// than the one in force. A daemon never goes back to an older one.
func (n *Node) SetConfiguration(c *Configuration) bool {
	if n.config != nil && c.Version <= n.config.Version {
		return false
	}
	n.config = c
	n.changed = true
	return true
}

// SetOrder takes over an order, unless a newer one of the service is known.
func (n *Node) SetOrder(o Order) bool {
	if n.orders[o.Service].Revision >= o.Revision {
		return false
	}
	n.orders[o.Service] = o
	n.changed = true
	return true
}

// Reset replaces all that is known from the product's own table. It returns
// the failures of rows that cannot be decoded, which are left out.
func (n *Node) Reset(now time.Time, all []rows.Row) []error {
	old := n.targets
	n.targets = map[string]knownTarget{}
	n.baselines = map[string]string{}
	n.crashes = map[uint64]uint32{}
	listed := map[string]bool{}
	var failures []error
	for _, row := range all {
		if service, ok := suffix(row.Name, movePrefix); ok {
			listed[service] = true
		}
		if err := n.apply(now, row); err != nil {
			failures = append(failures, err)
		}
	}
	for vm, known := range n.targets {
		if before, ok := old[vm]; ok && before.record.Incarnation == known.record.Incarnation {
			n.targets[vm] = knownTarget{record: known.record, received: before.received}
		}
	}
	for service, m := range n.moves {
		if !listed[service] {
			m.record, m.version = nil, 0
		}
	}
	n.changed = true
	return failures
}

// Change applies changes of the product's own table, as Reset does.
func (n *Node) Change(now time.Time, changes []rows.Change) []error {
	var failures []error
	for _, c := range changes {
		if c.Removed {
			n.remove(c.Name)
			continue
		}
		if err := n.apply(now, c.Row); err != nil {
			failures = append(failures, err)
		}
	}
	n.changed = n.changed || len(changes) > 0
	return failures
}

func (n *Node) remove(name string) {
	if vm, ok := suffix(name, targetPrefix); ok {
		delete(n.targets, vm)
	}
	if service, ok := suffix(name, baselinePrefix); ok {
		delete(n.baselines, service)
	}
	if service, ok := suffix(name, movePrefix); ok {
		m := n.move(service)
		m.record, m.version = nil, 0
	}
}

func (n *Node) apply(now time.Time, row rows.Row) error {
	if _, ok := suffix(row.Name, targetPrefix); ok {
		return n.applyTarget(now, row)
	}
	if service, ok := suffix(row.Name, baselinePrefix); ok {
		var record baselineRecord
		if err := decodeInto(row, &record); err != nil {
			return err
		}
		n.baselines[service] = record.Version
		return nil
	}
	if service, ok := suffix(row.Name, movePrefix); ok {
		return n.applyMove(now, service, row)
	}
	if text, ok := suffix(row.Name, crashPrefix); ok {
		return n.applyCrash(text, row)
	}
	return fault.New(fault.Invalid, "row %q has no known kind", row.Name)
}

func (n *Node) applyTarget(now time.Time, row rows.Row) error {
	record, err := DecodeTarget(row)
	if err != nil {
		return err
	}
	if known, ok := n.targets[record.VM]; ok && known.record.newer(record) {
		return nil
	}
	n.targets[record.VM] = knownTarget{record: record, received: now}
	return nil
}

// Hear takes a target's record from its own daemon, before the store has it.
func (n *Node) Hear(now time.Time, record *TargetRecord) {
	if known, ok := n.targets[record.VM]; ok && !record.newer(known.record) {
		return
	}
	n.targets[record.VM] = knownTarget{record: record, received: now}
	n.changed = true
}

// Peers lists where the other daemons take evidence and rows.
func (n *Node) Peers() []string {
	var peers []string
	for vm, known := range n.targets {
		if vm != n.self.VM && known.record.Peer != "" {
			peers = append(peers, known.record.Peer)
		}
	}
	slices.Sort(peers)
	return peers
}

func (n *Node) applyCrash(text string, row rows.Row) error {
	print, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "row %q names no request", row.Name)
	}
	var record crashRecord
	if err := decodeInto(row, &record); err != nil {
		return err
	}
	n.crashes[print] = max(n.crashes[print], record.Count)
	return nil
}

// Own returns this VM's target record as the store has it, or nil.
func (n *Node) Own() *TargetRecord { return n.targets[n.self.VM].record }

// Crashes returns how many targets died with each request.
func (n *Node) Crashes() map[uint64]uint32 { return maps.Clone(n.crashes) }

// Strike counts a target of this VM that died while it ran the request.
func (n *Node) Strike(print uint64) { n.struck[print]++ }

// Daemons counts the daemons that take requests from callers.
func (n *Node) Daemons() int {
	count := 0
	for _, t := range n.targets {
		if states[t.record.State] != member.Gone {
			count++
		}
	}
	return max(1, count)
}

// Shares returns the part of the daemons that are beside targets of each service.
func (n *Node) Shares() map[string]float64 {
	shares, part := map[string]float64{}, 1/float64(n.Daemons())
	for _, t := range n.targets {
		if r := t.record; r.Service != "" && states[r.State] != member.Gone {
			shares[r.Service] += part
		}
	}
	return shares
}

// Move returns the open move of the service, if there is one, and the version
// that gains traffic by it.
func (n *Node) Move(service string) (order uint64, to string) {
	m := n.moves[service]
	if m == nil || !m.open(n.orders) {
		return 0, ""
	}
	return m.record.Order, m.record.To
}

// Holding says why the move of the service that this daemon leads does not go
// on; it is empty when it leads none.
func (n *Node) Holding(service string) string {
	if m := n.moves[service]; m != nil && m.leader != nil && m.open(n.orders) {
		return m.leader.holding
	}
	return ""
}

// Orders lists the services with an order.
func (n *Node) Orders() []string { return slices.Sorted(maps.Keys(n.orders)) }

// Changed reports whether Routing would differ from its last result.
func (n *Node) Changed() bool { return n.changed }

// Routing returns what requests are routed with, or nil while no
// configuration is known.
func (n *Node) Routing() *routing.Config {
	n.changed = false
	if n.config == nil {
		return nil
	}
	c := &routing.Config{State: n.state(), Steps: map[uint64]move.Step{}, Braked: map[uint64]bool{}}
	for _, m := range n.moves {
		if m.open(n.orders) {
			c.Steps[m.record.Order] = m.step()
			c.Braked[m.record.Order] = n.brakes[m.record.Order] != ""
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(n.targets)) {
		known := n.targets[vm]
		service := n.config.Services[known.record.Service]
		c.Endpoints = append(c.Endpoints, known.record.endpoint(known.received, service.Connections))
	}
	return c
}

func (n *Node) state() *model.State {
	s := model.NewState()
	s.Revision = n.config.Version
	for name := range n.config.Services {
		s.Services[name] = n.service(name)
		if m := n.moves[name]; m != nil && m.open(n.orders) {
			s.Open[m.record.Order] = m.ticket(time.Time{}, time.Time{})
			s.Services[name].Versions = []string{m.record.From, m.record.To}
		}
	}
	for i := range n.config.Routes {
		s.Routes[n.config.Routes[i].Name] = &n.config.Routes[i]
	}
	return s
}

// service gives all traffic to the baseline. Targets of other versions have
// not been ordered, so they get none.
func (n *Node) service(name string) *model.Service {
	version, ok := n.baselines[name]
	if !ok {
		return &model.Service{Name: name}
	}
	return settled(name, version)
}

func settled(name, version string) *model.Service {
	return &model.Service{Name: name, Versions: []string{version}, Shares: map[string]uint32{version: model.TotalShare}, Proved: []string{version}}
}
