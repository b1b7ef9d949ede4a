package mesh

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// TickInterval is how often Tick should be called.
const TickInterval = 100 * time.Millisecond

const (
	// baselineProposalInterval is the minimum time between two proposals of a
	// baseline by one daemon. It also separates the first proposals of different
	// daemons for the same service.
	baselineProposalInterval = time.Second
	// maxProposers is the number of daemons that propose one after another. All
	// others propose together after them.
	maxProposers = 3
)

// Commit is a write that the caller of Tick has to execute. Tick does not return
// the same write again before Done is called with the result.
type Commit struct {
	Transaction rows.Transaction
	// Status is written in the same transaction; nil means none.
	Status *Status
	// Purpose describes the write in logs.
	Purpose string
	Done    func(now time.Time, version uint64, err error)
}

// Report is the evidence that this daemon sends to the leader of a move.
type Report struct {
	Service string
	Order   uint64
	Epoch   uint64
	// Address is the address at which the leader accepts evidence.
	Address string
	Samples []move.Sample
}

// Reply is a leader's response to a report.
type Reply struct {
	// Stopped is true once the leader takes the move back. Daemons receive it
	// here even while the store is down.
	Stopped bool
	Reason  string
	// StoreUnavailable is true while the leader cannot reach the store. The
	// leader still judges the evidence, but another daemon should take over.
	StoreUnavailable bool
}

// Tick advances the moves and returns the writes and reports to send. storeClock
// is the time on the store's clock; without it (hasClock is false) this daemon
// does not become a leader. samples holds the proxies' samples since the last
// call, and report is true when evidence is due.
func (n *Node) Tick(now time.Time, storeClock time.Duration, hasClock bool, samples []move.Sample, report bool) ([]Commit, []Report) {
	var commits []Commit
	commits = append(commits, n.baselineCommits(now)...)
	commits = append(commits, n.crashCommits(now)...)
	commits = append(commits, n.restoreCommits(now)...)
	var reports []Report
	for _, service := range slices.Sorted(maps.Keys(n.orders)) {
		m := n.move(service)
		if hasClock {
			if record := n.candidateRecord(now, storeClock, n.orders[service].Order); record != nil {
				commits = append(commits, n.leadCommit(now, m, record, storeClock)...)
			}
			n.takeLead(now, m, now, storeClock)
		}
		if !m.open(n.orders) {
			continue
		}
		if report {
			own := samplesForOrder(m.record.Order, samples)
			if r := n.deliverSamples(now, m, own); r != nil {
				reports = append(reports, *r)
			}
		}
		if m.leader != nil {
			n.decide(now, m)
			commits = append(commits, n.stepCommit(now, m)...)
		}
	}
	return commits, reports
}

// deliverSamples passes samples to this daemon's planner if it leads the move,
// and otherwise returns a report for the leader.
func (n *Node) deliverSamples(now time.Time, m *serviceMove, own []move.Sample) *Report {
	if m.leader != nil {
		m.leader.planner.Observe(now, own)
		return nil
	}
	m.addPending(own)
	r := &Report{
		Service: m.service, Order: m.record.Order, Epoch: m.record.Epoch, Address: m.record.EvidenceAddress,
		Samples: m.pendingSamples,
	}
	m.pendingSamples = nil
	return r
}

// HandleReply processes the leader's reply to a report. If the report failed, its
// samples are added to the next one.
func (n *Node) HandleReply(now time.Time, r Report, reply Reply, err error) {
	m := n.move(r.Service)
	if m.record == nil || m.record.Order != r.Order {
		return
	}
	if err != nil {
		m.addPending(r.Samples)
		return
	}
	if m.record.Epoch == r.Epoch && !reply.StoreUnavailable {
		m.leaderContactAt = now
	}
	if reply.Stopped {
		n.setBrake(r.Order, reply.Reason)
	}
}

// HandleReport passes a daemon's evidence to the planner. It fails with
// fault.Stale when this daemon does not lead the move in the report's epoch.
func (n *Node) HandleReport(now time.Time, vm string, r Report) (Reply, error) {
	m := n.moves[r.Service]
	if m == nil || m.leader == nil || m.leader.order != r.Order || m.leader.epoch != r.Epoch {
		return Reply{}, fault.New(fault.Stale, "this daemon does not lead order %d of service %q in epoch %d", r.Order, r.Service, r.Epoch)
	}
	m.leader.lastReportAt[vm] = now
	m.leader.planner.Observe(now, samplesForOrder(r.Order, r.Samples))
	reason := n.brakes[r.Order]
	return Reply{Stopped: reason != "", Reason: reason, StoreUnavailable: n.storeUnavailable}, nil
}

// startWrite returns a commit unless the same write is in progress or failed
// less than commitRetryDelay ago.
func (n *Node) startWrite(now time.Time, purpose string, tx rows.Transaction, status *Status, done func(time.Time, uint64, error)) []Commit {
	if n.writesInProgress[purpose] || now.Before(n.retryAt[purpose]) {
		return nil
	}
	n.writesInProgress[purpose] = true
	return []Commit{{Transaction: tx, Status: status, Purpose: purpose, Done: func(now time.Time, version uint64, err error) {
		delete(n.writesInProgress, purpose)
		maps.DeleteFunc(n.retryAt, func(other string, at time.Time) bool { return other == purpose || !now.Before(at) })
		switch {
		case err != nil:
			n.retryAt[purpose] = now.Add(commitRetryDelay)
			n.applyConflict(now, err)
		case rows.Era(version) > n.era:
			// The record has the era before a restore, so it does not replace the known
			// one. SetEra allows the next write.
			n.retryAt[purpose] = now.Add(earlierEraDelay)
		}
		done(now, version, err)
	}}}
}

// applyConflict applies the rows that a failed condition returned. They reach this
// daemon later otherwise, and until then it would repeat the write.
func (n *Node) applyConflict(now time.Time, err error) {
	var conflict *rows.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	for _, row := range conflict.Rows {
		// A row that cannot be decoded is reported when the table returns it.
		_ = n.apply(now, row)
	}
	n.routingChanged = n.routingChanged || len(conflict.Rows) > 0
}

// writePurpose returns the purpose of a write of the record. It names the order, so that a
// write for an earlier order, in progress or failed, does not delay one for a later order.
func writePurpose(action string, record *moveRecord) string {
	return fmt.Sprintf("%s %s, order %d", action, record.Service, record.Order)
}

// leadCommit returns the write that makes this daemon the leader of a move. The
// condition on the row's version lets only one of several candidates succeed.
func (n *Node) leadCommit(start time.Time, m *serviceMove, record *moveRecord, storeClock time.Duration) []Commit {
	row := encodeRow(meshKey(movePrefix+m.service), record)
	tx := rows.Transaction{Conditions: []rows.Condition{{Key: row.Key, Version: m.version}}, Writes: []rows.Row{row}}
	status := &Status{Service: m.service, Version: record.To, State: StatusRunning}
	return n.startWrite(start, writePurpose("lead", record), tx, status, func(now time.Time, version uint64, err error) {
		if err != nil {
			return
		}
		row.Version = version
		if n.applyMove(now, m.service, row) != nil {
			return
		}
		n.routingChanged = true
		n.takeLead(now, m, start, storeClock)
	})
}

// stepCommit returns the write of the leader's pending record, if there is one,
// or of the current record if it was lost in a restore of the store.
func (n *Node) stepCommit(now time.Time, m *serviceMove) []Commit {
	l := m.leader
	if l.pendingRecord == nil && m.lostIn(n.era) {
		record := *m.record
		record.Origin = m.origin
		l.pendingRecord = &record
	}
	if l.pendingRecord == nil {
		return nil
	}
	l.pendingRecord.Era = n.era
	record := *l.pendingRecord
	return n.recordCommit(now, m, &record, "step")
}

// recordCommit returns the write of a move's record. It also writes the status if
// the move has ended or its earlier write was lost in a restore of the store.
func (n *Node) recordCommit(now time.Time, m *serviceMove, record *moveRecord, action string) []Commit {
	row := encodeRow(meshKey(movePrefix+m.service), record)
	tx := rows.Transaction{Conditions: []rows.Condition{{Key: row.Key, Version: m.version}}, Writes: []rows.Row{row}}
	var baseline rows.Row
	var status *Status
	switch record.Result {
	case resultOpen:
		if m.lostIn(n.era) {
			status = &Status{Service: m.service, Version: record.To, State: StatusRunning}
		}
	case resultDone:
		baseline = encodeRow(meshKey(baselinePrefix+m.service), baselineRecord{Version: record.To, Era: record.Era, Origin: record.Origin})
		tx.Writes = append(tx.Writes, baseline)
		status = &Status{Service: m.service, Version: record.To, State: StatusDone}
	case resultTakenBack:
		status = &Status{Service: m.service, Version: record.To, State: StatusTakenBack}
	}
	return n.startWrite(now, writePurpose(action, record), tx, status, func(now time.Time, version uint64, err error) {
		if err != nil {
			return
		}
		row.Version, baseline.Version = version, version
		if n.applyMove(now, m.service, row) == nil && record.Result == resultDone {
			// The row was encoded above, so it can be decoded.
			_ = n.applyBaseline(m.service, baseline)
		}
		n.routingChanged = true
	})
}

// baselineCommits proposes this target's version as the baseline of a service
// that has none. The store accepts only the first proposal.
func (n *Node) baselineCommits(now time.Time) []Commit {
	own := n.OwnTarget()
	if own == nil || own.State != "ready" || own.Service == "" {
		return nil
	}
	_, known := n.baselines[own.Service]
	ordered := n.orders[own.Service]
	if known || ordered.Version == own.Version {
		delete(n.baselineMissingSince, own.Service)
		return nil
	}
	if n.baselineMissingSince[own.Service].IsZero() {
		n.baselineMissingSince[own.Service] = now
	}
	proposeAt := n.baselineMissingSince[own.Service].Add(time.Duration(n.proposalRank(own)) * baselineProposalInterval)
	if now.Before(proposeAt) || now.Sub(n.baselineProposedAt[own.Service]) < baselineProposalInterval {
		return nil
	}
	n.baselineProposedAt[own.Service] = now
	row := encodeRow(meshKey(baselinePrefix+own.Service), baselineRecord{Version: own.Version, Era: n.era})
	tx := rows.Transaction{Conditions: []rows.Condition{{Key: row.Key}}, Writes: []rows.Row{row}}
	return n.baselineCommit(now, own.Service, tx, "baseline "+own.Service)
}

// baselineCommit returns a transaction whose first write is the baseline of the
// service.
func (n *Node) baselineCommit(now time.Time, service string, tx rows.Transaction, purpose string) []Commit {
	row := tx.Writes[0]
	return n.startWrite(now, purpose, tx, nil, func(_ time.Time, version uint64, err error) {
		if err != nil {
			return
		}
		row.Version = version
		if n.applyBaseline(service, row) == nil {
			n.routingChanged = true
		}
	})
}

// proposalRank returns how many of the service's known targets propose a baseline
// before this one, at most maxProposers. The store accepts only the first
// proposal, so others made at the same time waste calls.
func (n *Node) proposalRank(own *TargetRecord) int {
	rank, ownHash, ordered := 0, xxhash.Sum64String(own.VM), n.orders[own.Service].Version
	for _, known := range n.targets {
		r := known.record
		proposes := r.Service == own.Service && r.Version != ordered && stateByName[r.State] == member.Ready
		if proposes && xxhash.Sum64String(r.VM) < ownHash {
			rank++
		}
	}
	return min(rank, maxProposers)
}
