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
	// Run identifies this start of the daemon.
	Run    uint64
	Domain string
	// Inbound is the address to which other daemons send requests.
	Inbound string
	// Peer is the address to which other daemons send evidence and rows.
	Peer string
}

// Node holds one daemon's view of the mesh. It is not safe for concurrent use.
type Node struct {
	self      Self
	config    *Configuration
	orders    map[string]knownOrder
	targets   map[string]knownTarget
	baselines map[string]*serviceBaseline
	moves     map[string]*serviceMove
	crashes   map[uint64]uint32
	// unwrittenCrashes counts the crashes that are not yet written to the store,
	// by request fingerprint.
	unwrittenCrashes map[uint64]uint32
	// uncertainCrashes holds the latest writes of crash counts without a response,
	// by request fingerprint.
	uncertainCrashes map[uint64]crashWrite
	// brakes holds the reason why traffic to a move's version is stopped, by order.
	brakes map[uint64]string
	// writesInProgress holds the writes in progress, by purpose.
	writesInProgress map[string]bool
	// retryAt is when a failed write may be retried, by purpose.
	retryAt map[string]time.Time
	// baselineProposedAt is when this daemon last proposed a baseline, by service.
	baselineProposedAt map[string]time.Time
	// baselineMissingSince is when this daemon first found no baseline, by service.
	baselineMissingSince map[string]time.Time
	routingChanged       bool
	// storeUnavailable is true while the store does not respond to this daemon.
	storeUnavailable bool
	// era is the newest era of the store from which all rows are known, since
	// eraSince.
	era      uint64
	eraSince time.Time
	// lostTargetRows holds, by VM, the target rows that are older than the known records
	// because of a restore of the store.
	lostTargetRows map[string]lostTargetRow
	// evacuations holds the evacuated failure domains.
	evacuations evacuations
	// evacuationEnds holds the time at which the last evacuation of a failure domain
	// ended.
	evacuationEnds map[string]time.Time
}

// knownTarget is a target's record and when this daemon received it.
type knownTarget struct {
	record   *TargetRecord
	received time.Time
}

// serviceBaseline is the newest known baseline of a service.
type serviceBaseline struct {
	replica
	record baselineRecord
}

// NewNode returns a node without configuration, orders or rows.
func NewNode(self Self) *Node {
	return &Node{
		self: self, orders: map[string]knownOrder{}, targets: map[string]knownTarget{}, baselines: map[string]*serviceBaseline{},
		moves: map[string]*serviceMove{}, crashes: map[uint64]uint32{}, unwrittenCrashes: map[uint64]uint32{}, uncertainCrashes: map[uint64]crashWrite{},
		brakes: map[uint64]string{}, writesInProgress: map[string]bool{}, retryAt: map[string]time.Time{},
		baselineProposedAt: map[string]time.Time{}, baselineMissingSince: map[string]time.Time{}, lostTargetRows: map[string]lostTargetRow{},
		evacuations: evacuations{versions: map[string]uint64{}}, evacuationEnds: map[string]time.Time{},
	}
}

// SetStoreUnavailable sets whether the store fails to respond to this daemon.
func (n *Node) SetStoreUnavailable(unavailable bool) { n.storeUnavailable = unavailable }

// Configuration returns the configuration in force, or nil.
func (n *Node) Configuration() *Configuration { return n.config }

// SetConfiguration replaces the configuration if c is newer than the one in
// force and reports whether it did. A daemon never returns to an older one.
func (n *Node) SetConfiguration(c *Configuration) bool {
	if n.config != nil && c.Version <= n.config.Version {
		return false
	}
	n.config = c
	n.routingChanged = true
	return true
}

// Reset replaces all state that comes from the mesh table by the rows, except
// newer records and those lost in a restore of the store. Targets that are
// not listed stay, since daemons do not remove their rows. It skips rows
// that cannot be decoded and returns their errors.
func (n *Node) Reset(now time.Time, all []rows.Row) []error {
	old := n.targets
	n.targets = map[string]knownTarget{}
	clear(n.lostTargetRows)
	listed := map[string]uint64{}
	var failures []error
	for _, row := range all {
		listed[row.Name] = row.Version
		if err := n.apply(now, row); err != nil {
			failures = append(failures, err)
		}
	}
	for vm, before := range old {
		known, ok := n.targets[vm]
		switch {
		case !ok:
			n.targets[vm] = before
		case before.record.newer(known.record):
			n.targets[vm] = before
			n.noteTargetRow(now, vm, listed[targetPrefix+vm], known.record)
		case before.record.Incarnation == known.record.Incarnation && before.record.Era == known.record.Era:
			n.targets[vm] = knownTarget{record: known.record, received: before.received}
		}
	}
	for service, m := range n.moves {
		if listed[movePrefix+service] == 0 && rows.Era(m.origin) >= n.era {
			m.forgetMove()
		}
	}
	for service, b := range n.baselines {
		if listed[baselinePrefix+service] == 0 && rows.Era(b.origin) >= n.era {
			delete(n.baselines, service)
		}
	}
	n.routingChanged = true
	return failures
}

// ApplyChanges applies changes of the mesh table. It skips rows that cannot be
// decoded and returns their errors.
func (n *Node) ApplyChanges(now time.Time, changes []rows.Change) []error {
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
	n.routingChanged = n.routingChanged || len(changes) > 0
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
		m.forgetMove()
	}
}

func (n *Node) apply(now time.Time, row rows.Row) error {
	if _, ok := suffix(row.Name, targetPrefix); ok {
		return n.applyTarget(now, row)
	}
	if service, ok := suffix(row.Name, baselinePrefix); ok {
		return n.applyBaseline(service, row)
	}
	if service, ok := suffix(row.Name, movePrefix); ok {
		return n.applyMove(now, service, row)
	}
	if text, ok := suffix(row.Name, crashPrefix); ok {
		return n.applyCrash(text, row)
	}
	return fault.New(fault.Invalid, "row %q has an unknown name prefix", row.Name)
}

func (n *Node) applyTarget(now time.Time, row rows.Row) error {
	record, err := DecodeTarget(row)
	if err != nil {
		return err
	}
	// A restore of the store gives all rows new versions. A record that is already
	// known must keep its time of receipt, from which the cold time counts.
	if known, ok := n.targets[record.VM]; !ok || record.newer(known.record) {
		n.targets[record.VM] = knownTarget{record: record, received: now}
	}
	n.noteTargetRow(now, record.VM, row.Version, record)
	return nil
}

// applyBaseline applies a baseline row unless newer content is known.
func (n *Node) applyBaseline(service string, row rows.Row) error {
	var record baselineRecord
	if err := decodeRow(row, &record); err != nil {
		return err
	}
	if err := record.validate(row); err != nil {
		return err
	}
	b, ok := n.baselines[service]
	if !ok {
		b = &serviceBaseline{}
		n.baselines[service] = b
	}
	if b.observe(row.Version, record.Era, record.Origin, 0) {
		b.record = record
	}
	return nil
}

// MergeTarget applies a valid record of a target that comes directly from the
// target's daemon, before it is in the store. It ignores records that are not newer.
func (n *Node) MergeTarget(now time.Time, record *TargetRecord) {
	if known, ok := n.targets[record.VM]; ok && !record.newer(known.record) {
		return
	}
	n.targets[record.VM] = knownTarget{record: record, received: now}
	n.routingChanged = true
}

// PeerAddresses returns the addresses at which the other daemons accept evidence
// and rows, sorted.
func (n *Node) PeerAddresses() []string {
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
	fingerprint, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the name of row %q does not end in a request fingerprint", row.Name)
	}
	var record crashRecord
	if err := decodeRow(row, &record); err != nil {
		return err
	}
	n.crashes[fingerprint] = max(n.crashes[fingerprint], record.Count)
	return nil
}

// OwnTarget returns the newest known target record of this VM, or nil.
func (n *Node) OwnTarget() *TargetRecord { return n.targets[n.self.VM].record }

// CrashCounts returns how many targets each request crashed, by request
// fingerprint.
func (n *Node) CrashCounts() map[uint64]uint32 { return maps.Clone(n.crashes) }

// RecordCrash counts a crash of this VM's target while it ran the request.
func (n *Node) RecordCrash(fingerprint uint64) { n.unwrittenCrashes[fingerprint]++ }

// Daemons returns the number of daemons that accept requests from callers, at
// least 1.
func (n *Node) Daemons() int {
	count := 0
	for _, t := range n.targets {
		if stateByName[t.record.State] != member.Gone {
			count++
		}
	}
	return max(1, count)
}

// DaemonShares returns, for each service, the fraction of the daemons whose VM
// runs a target of the service.
func (n *Node) DaemonShares() map[string]float64 {
	shares, part := map[string]float64{}, 1/float64(n.Daemons())
	for _, t := range n.targets {
		if r := t.record; r.Service != "" && stateByName[r.State] != member.Gone {
			shares[r.Service] += part
		}
	}
	return shares
}

// OpenMove returns the order of the service's open move and the version that
// gains traffic by it; zero and "" when no move is open.
func (n *Node) OpenMove(service string) (order uint64, to string) {
	m := n.moves[service]
	if m == nil || !m.open(n.orders) {
		return 0, ""
	}
	return m.record.Order, m.record.To
}

// HoldReason returns why the service's move does not advance. It is empty when
// the move advances and when this daemon does not lead it.
func (n *Node) HoldReason(service string) string {
	if m := n.moves[service]; m != nil && m.leader != nil && m.open(n.orders) {
		return m.leader.holdReason
	}
	return ""
}

// OrderedServices returns the services with an order, sorted.
func (n *Node) OrderedServices() []string { return slices.Sorted(maps.Keys(n.orders)) }

// RoutingChanged reports whether the state behind Routing has changed since its
// last call.
func (n *Node) RoutingChanged() bool { return n.routingChanged }

// Routing returns the routing configuration without the targets of evacuated failure
// domains, or nil before the first operators' configuration.
func (n *Node) Routing() *routing.Config {
	n.routingChanged = false
	if n.config == nil {
		return nil
	}
	c := &routing.Config{State: n.state(), Steps: map[uint64]move.Step{}, Braked: map[uint64]bool{}, Tenants: n.config.Tenants}
	for _, m := range n.moves {
		if m.open(n.orders) {
			c.Steps[m.record.Order] = m.step()
			c.Braked[m.record.Order] = n.brakes[m.record.Order] != ""
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(n.targets)) {
		known := n.targets[vm]
		if n.Evacuated(known.record.Domain) {
			continue
		}
		service := n.config.Services[known.record.Service]
		endpoint := known.record.endpoint(known.received, service)
		if service.ColdPerSecond > 0 {
			endpoint.Target.WarmAt = n.warmAfterEvacuation(endpoint, service)
		}
		c.Endpoints = append(c.Endpoints, endpoint)
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

// service returns the service with all traffic at the baseline. No operator
// ordered the versions of the other targets, so they receive none.
func (n *Node) service(name string) *model.Service {
	version, ok := n.baselineVersion(name)
	if !ok {
		return &model.Service{Name: name}
	}
	return singleVersionService(name, version)
}

// baselineVersion returns the version that has all traffic of the service while no move is
// open. The record of a completed move may be known before the row of the baseline, which
// the same transaction writes: a failed condition returns only the record.
func (n *Node) baselineVersion(service string) (version string, ok bool) {
	b, ok := n.baselines[service]
	if m := n.moves[service]; m != nil && m.record != nil && m.record.Result == resultDone && (!ok || m.origin > b.origin) {
		return m.record.To, true
	}
	if !ok {
		return "", false
	}
	return b.record.Version, true
}

// singleVersionService returns the service with all traffic at one version.
func singleVersionService(name, version string) *model.Service {
	return &model.Service{Name: name, Versions: []string{version}, Shares: map[string]uint32{version: model.TotalShare}, Proved: []string{version}}
}
