package mesh

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

const (
	// candidacyDelay is the time between the candidacies of two daemons of
	// successive rank for leading a move, so that most of them receive the first
	// candidate's row before their own turn. It is several times the latency of the store.
	candidacyDelay = 150 * time.Millisecond
	// leaderTimeout is how long a daemon's evidence may fail to reach the
	// leader before that daemon may take over. It covers three reports.
	leaderTimeout = 1500 * time.Millisecond
	// restoredLeaderDelay is the time after a restore of the store in which only the
	// leader of a move writes its record, and no move is started. The store did not
	// respond to the leader before, so the other daemons would take over, and would
	// collect the evidence anew. A daemon notices the restore up to half a second
	// after the first one.
	restoredLeaderDelay = 700 * time.Millisecond
	// maxEvidenceAge is the age of a daemon's last report up to which its
	// evidence counts as live.
	maxEvidenceAge = 1500 * time.Millisecond
	// minLiveNewFraction is the fraction of the daemons with targets of the new version
	// whose evidence must be live. Those few daemons collect all evidence of it.
	minLiveNewFraction = 0.5
	// minLiveFraction is the fraction of the daemons whose evidence must be
	// live. It is below 1 because a failed daemon is still counted: only its
	// missing reports show the failure.
	minLiveFraction = 0.6
	// commitRetryDelay is the minimum time between a failed write and its retry.
	commitRetryDelay = 200 * time.Millisecond
	// earlierEraDelay is the minimum time between a write whose records have an
	// earlier era than the store's and its retry. A daemon learns the era within two
	// seconds.
	earlierEraDelay = 2 * time.Second
	// maxPendingSamples bounds the samples that are queued for the leader. Beyond
	// it, they are combined to one for each version.
	maxPendingSamples = 1024
)

// serviceMove is the newest move of a service.
type serviceMove struct {
	service string
	replica
	record *moveRecord
	// storedRecord is the content of the store's row, which may be older.
	storedRecord *moveRecord
	// orderSeenAt is when this daemon first processed the order waitingOrder, for whose
	// move there was no record.
	orderSeenAt  time.Time
	waitingOrder uint64
	// leaderContactAt is when the leader last accepted evidence of this daemon,
	// or when this daemon received the record of the current leader.
	leaderContactAt time.Time
	pendingSamples  []move.Sample
	// leader is nil unless this daemon leads the move.
	leader *leader
}

// leader is the state that a daemon keeps while it leads a move. It is valid for one order
// and one epoch, because epochs begin at 1 again with each order.
type leader struct {
	order   uint64
	epoch   uint64
	planner *move.Planner
	// pendingRecord is the record to write, or nil when the store holds it.
	pendingRecord *moveRecord
	// holdReason is why the move does not advance, or "".
	holdReason string
	// lastReportAt is when each daemon last sent evidence, by VM.
	lastReportAt map[string]time.Time
}

// Status is the state of a move that is published to operators.
type Status struct {
	Service string
	Version string
	State   StatusState
}

// StatusState is the state of a move that operators read.
type StatusState int

// States of a move.
const (
	StatusRunning StatusState = iota + 1
	StatusDone
	StatusTakenBack
)

func (n *Node) move(service string) *serviceMove {
	m, ok := n.moves[service]
	if !ok {
		m = &serviceMove{service: service}
		n.moves[service] = m
	}
	return m
}

func (n *Node) applyMove(now time.Time, service string, row rows.Row) error {
	record := &moveRecord{}
	if err := decodeRow(row, record); err != nil {
		return err
	}
	if err := record.validate(row); err != nil {
		return err
	}
	m := n.move(service)
	m.storedRecord = record
	if !m.observe(row.Version, record.Era, record.Origin, record.precedence(m.record)) {
		return nil
	}
	newOrder := m.record == nil || m.record.Order != record.Order
	if newOrder {
		m.pendingSamples = nil
	}
	if newOrder || m.record.Epoch != record.Epoch {
		m.leaderContactAt = now
	}
	m.record = record
	n.identifyOrder(service)
	if l := m.leader; l != nil && !(n.leads(record) && l.order == record.Order && l.epoch == record.Epoch) {
		m.leader = nil
	}
	if l := m.leader; l != nil && l.pendingRecord != nil && *l.pendingRecord == *record {
		l.pendingRecord = nil
	}
	return nil
}

// addPending adds samples to those that are queued for the leader.
func (m *serviceMove) addPending(samples []move.Sample) {
	m.pendingSamples = move.MergeSamples(append(m.pendingSamples, samples...))
	if len(m.pendingSamples) > maxPendingSamples {
		m.pendingSamples = move.CombineRoutes(m.pendingSamples)
	}
}

// forgetMove discards the record of a move, whose row was removed, and all decisions that
// are based on it.
func (m *serviceMove) forgetMove() {
	m.record, m.replica = nil, replica{}
	m.leader, m.pendingSamples = nil, nil
}

// leads reports whether the record names this run of the daemon as the leader.
func (n *Node) leads(r *moveRecord) bool {
	return r.Leader == n.self.VM && r.LeaderRun == n.self.Run
}

// takeLead makes this daemon the leader of the move if the move's record names it and it
// does not lead already. Only this daemon writes such a record, so it need not wait for the
// response to the write, which may be lost or later than the row. storeClock is the time on
// the store's clock at readAt.
func (n *Node) takeLead(now time.Time, m *serviceMove, readAt time.Time, storeClock time.Duration) {
	if m.leader != nil || !m.open(n.orders) || !n.leads(m.record) {
		return
	}
	m.leader = &leader{
		order: m.record.Order, epoch: m.record.Epoch, lastReportAt: map[string]time.Time{},
		planner: move.NewPlanner(move.Config{Ticket: m.localTicket(readAt, storeClock), Epoch: m.record.Epoch, Start: m.step()}, now),
	}
}

// open reports whether the move is in progress for the newest order.
func (m *serviceMove) open(orders map[string]knownOrder) bool {
	return m.record != nil && m.record.Result == resultOpen && m.record.Order == orders[m.service].Revision
}

func (m *serviceMove) step() move.Step {
	r := m.record
	return move.Step{Ticket: r.Order, Epoch: r.Epoch, Number: r.Number, Permille: r.Permille, Focus: r.Focus}
}

// ticket returns the move as an open ticket with the given times.
func (m *serviceMove) ticket(accepted, finish time.Time) *model.OpenTicket {
	r := m.record
	before := singleVersionService(m.service, r.From)
	target := model.Service{Name: m.service, Versions: []string{r.From, r.To}, Shares: map[string]uint32{r.To: model.TotalShare}}
	return &model.OpenTicket{
		Ticket: &model.Ticket{
			Number: r.Order, Services: []model.Service{target},
			Moves: []model.Move{{Service: m.service, Finish: finish, Prefer: model.OnTime}},
		},
		Accepted: accepted, Revision: r.Order,
		Before: model.Image{Services: map[string]*model.Service{m.service: before}},
	}
}

// localTicket returns the move as an open ticket with the store's times
// converted to this daemon's clock.
func (m *serviceMove) localTicket(now time.Time, storeClock time.Duration) *model.OpenTicket {
	local := func(ms int64) time.Time { return now.Add(time.Duration(ms)*time.Millisecond - storeClock) }
	return m.ticket(local(m.record.AcceptedMS), local(m.record.FinishMS))
}

// leaderRank returns this daemon's rank among the candidates for leading the
// order: the fastest links first, and for equal links in a pseudo-random order
// that differs for each move. A leader receives two reports per second from each
// daemon of the mesh, which uses a large part of the capacity of a small VM.
func (n *Node) leaderRank(order uint64) int {
	var link uint64
	if own := n.OwnTarget(); own != nil {
		link = own.LinkRate
	}
	ownHash, rank := leaderOrderHash(order, n.self.VM), 0
	for vm, known := range n.targets {
		r := known.record
		precedes := cmp.Or(cmp.Compare(link, r.LinkRate), cmp.Compare(leaderOrderHash(order, vm), ownHash)) < 0
		if vm != n.self.VM && stateByName[r.State] == member.Ready && precedes {
			rank++
		}
	}
	return rank
}

// leaderOrderHash returns the hash that orders candidates with equal links.
func leaderOrderHash(order uint64, vm string) uint64 {
	return xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, order), vm...))
}

// candidateRecord returns the record to write for this daemon to lead the
// order, or nil while it should not be a candidate.
func (n *Node) candidateRecord(now time.Time, storeClock time.Duration, o Order) *moveRecord {
	if n.storeUnavailable {
		return nil
	}
	m := n.move(o.Service)
	delay := time.Duration(n.leaderRank(o.Revision)) * candidacyDelay
	if m.record == nil || m.record.Order < o.Revision {
		if n.era > 0 && now.Sub(n.eraSince) < restoredLeaderDelay {
			// Another daemon may know that the move has ended and write that again.
			return nil
		}
		from, ok := n.baselineVersion(o.Service)
		if !ok {
			return nil
		}
		if m.waitingOrder != o.Revision {
			m.waitingOrder, m.orderSeenAt = o.Revision, now
		}
		if now.Sub(m.orderSeenAt) < delay {
			return nil
		}
		accepted := storeClock - now.Sub(m.orderSeenAt)
		return n.claimLeadership(&moveRecord{
			Order: o.Revision, Service: o.Service, From: from, To: o.Version,
			AcceptedMS: accepted.Milliseconds(), FinishMS: (accepted + o.Within).Milliseconds(),
		})
	}
	if !m.open(n.orders) || m.leader != nil {
		return nil
	}
	restarted := m.record.Leader == n.self.VM && m.record.LeaderRun != n.self.Run
	if !restarted && (now.Sub(m.leaderContactAt) < leaderTimeout+delay || now.Sub(n.eraSince) < restoredLeaderDelay) {
		return nil
	}
	next := *m.record
	return n.claimLeadership(&next)
}

// claimLeadership names this daemon as the leader in the record, in the next epoch.
func (n *Node) claimLeadership(r *moveRecord) *moveRecord {
	r.Epoch++
	r.Era, r.Origin = n.era, 0
	r.Leader, r.LeaderRun, r.EvidenceAddress = n.self.VM, n.self.Run, n.self.Peer
	return r
}

// targetCounts returns the number of ready targets of the move's service, by
// old and new version.
func (n *Node) targetCounts(m *serviceMove) map[string]move.TargetCount {
	var count move.TargetCount
	for _, known := range n.targets {
		r := known.record
		if r.Service != m.service || stateByName[r.State] != member.Ready {
			continue
		}
		switch r.Version {
		case m.record.To:
			count.New++
		case m.record.From:
			count.Old++
		}
	}
	return map[string]move.TargetCount{m.service: count}
}

// evidenceLive reports whether at least minLiveFraction of the ready daemons, and
// minLiveNewFraction of those with targets of the new version, sent evidence within
// maxEvidenceAge.
func (n *Node) evidenceLive(now time.Time, m *serviceMove) bool {
	var all, ofNew liveCount
	for vm, known := range n.targets {
		r := known.record
		if stateByName[r.State] != member.Ready {
			continue
		}
		live := vm == n.self.VM || now.Sub(m.leader.lastReportAt[vm]) <= maxEvidenceAge
		all.add(live)
		if r.Service == m.service && r.Version == m.record.To {
			ofNew.add(live)
		}
	}
	return all.atLeast(minLiveFraction) && ofNew.atLeast(minLiveNewFraction)
}

// liveCount counts daemons and those of them whose evidence is live.
type liveCount struct{ daemons, live int }

func (c *liveCount) add(live bool) {
	c.daemons++
	if live {
		c.live++
	}
}

func (c *liveCount) atLeast(fraction float64) bool {
	return float64(c.live) >= fraction*float64(c.daemons)
}

// decide asks the planner for its next decision and sets the record to write.
func (n *Node) decide(now time.Time, m *serviceMove) {
	l := m.leader
	if l.pendingRecord != nil {
		return
	}
	if reason := n.brakes[m.record.Order]; reason != "" {
		l.planner.RecordBrake(now, reason)
	}
	decision := l.planner.Next(now, move.Conditions{EvidenceLive: n.evidenceLive(now, m), Targets: n.targetCounts(m)})
	next := *m.record
	next.Origin = 0
	l.holdReason = decision.Reason
	switch decision.Kind {
	case move.Hold:
		return
	case move.Advance:
		next.Number, next.Permille, next.Focus = decision.Step.Number, decision.Step.Permille, decision.Step.Focus
	case move.TakeBack:
		next.Result, next.Reason = resultTakenBack, decision.Reason
		n.setBrake(m.record.Order, decision.Reason)
	case move.Finish:
		next.Result = resultDone
	}
	l.pendingRecord = &next
}

// setBrake stops traffic to the version of the move. The first reason stays.
func (n *Node) setBrake(order uint64, reason string) {
	if n.brakes[order] == "" {
		n.brakes[order] = reason
		n.routingChanged = true
	}
}

func samplesForOrder(order uint64, samples []move.Sample) []move.Sample {
	return slices.DeleteFunc(slices.Clone(samples), func(s move.Sample) bool { return s.Key.Ticket != order })
}

// precedence compares records of a service by their orders, and those of the same move
// by the leader's epoch and by whether the move has ended. A former leader may write
// its record in a later era than its successor.
func (r *moveRecord) precedence(known *moveRecord) int {
	if known == nil {
		return 0
	}
	ended := func(r *moveRecord) int { return min(1, len(r.Result)) }
	return cmp.Or(cmp.Compare(r.Order, known.Order), cmp.Compare(r.Epoch, known.Epoch), cmp.Compare(ended(r), ended(known)))
}
