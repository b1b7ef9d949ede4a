package mesh

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// TickInterval is how often Tick should be called.
const TickInterval = 100 * time.Millisecond

const (
	// baselinePause is how often a baseline is proposed again. It also separates
	// the daemons that propose one for the same service.
	baselinePause = time.Second
	// maxProposers bounds the daemons that take turns; all the others come
	// after them.
	maxProposers = 3
)

// maxStrikes bounds the crashed requests of one write.
const maxStrikes = 64

// Commit is a write that the node asks for. Done must be called with its
// result before the same write is asked for again.
type Commit struct {
	Transaction rows.Transaction
	// Status is written along with the transaction; nil means none.
	Status *Status
	// Purpose says in logs what the write is for.
	Purpose string
	Done    func(now time.Time, version uint64, err error)
}

// Report is the evidence of this daemon for a leader.
type Report struct {
	Service string
	Order   uint64
	Epoch   uint64
	// Address is where the leader takes evidence.
	Address string
	Samples []move.Sample
}

// Reply is what a leader answers to a report.
type Reply struct {
	// Stopped is true once the leader takes the move back. The reply reaches
	// the daemons also while the store is down.
	Stopped bool
	Reason  string
	// Unable is true while the leader does not reach the store. It still
	// judges, but another daemon should lead.
	Unable bool
}

// Tick advances the moves. The store's clock is needed to lead one; samples
// holds what the proxies saw since the last call, and report says that
// evidence is due.
func (n *Node) Tick(now time.Time, store time.Duration, clocked bool, samples []move.Sample, report bool) ([]Commit, []Report) {
	var commits []Commit
	commits = append(commits, n.baselineCommits(now)...)
	commits = append(commits, n.strikeCommits(now)...)
	var reports []Report
	for _, service := range slices.Sorted(maps.Keys(n.orders)) {
		m := n.move(service)
		if clocked {
			if record := n.candidate(now, store, n.orders[service]); record != nil {
				commits = append(commits, n.leadCommit(now, m, record, store)...)
			}
		}
		if !m.open(n.orders) {
			continue
		}
		if report {
			own := samplesOf(m.record.Order, samples)
			if r := n.pass(now, m, own); r != nil {
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

// pass gives evidence to this daemon's planner, or returns it for the leader.
func (n *Node) pass(now time.Time, m *serviceMove, own []move.Sample) *Report {
	if m.leader != nil {
		m.leader.planner.Observe(now, own)
		return nil
	}
	m.pending = move.MergeSamples(append(m.pending, own...))
	if len(m.pending) > maxPendingSamples {
		m.pending = nil
	}
	r := &Report{
		Service: m.service, Order: m.record.Order, Epoch: m.record.Epoch, Address: m.record.Evidence,
		Samples: m.pending,
	}
	m.pending = nil
	return r
}

// Reported takes the leader's answer to a report. Evidence that did not reach
// it goes with the next report.
func (n *Node) Reported(now time.Time, r Report, reply Reply, err error) {
	m := n.move(r.Service)
	if m.record == nil || m.record.Order != r.Order {
		return
	}
	if err != nil {
		m.pending = move.MergeSamples(append(m.pending, r.Samples...))
		return
	}
	if m.record.Epoch == r.Epoch && !reply.Unable {
		m.heard = now
	}
	if reply.Stopped {
		n.setBrake(r.Order, reply.Reason)
	}
}

// TakeReport gives a daemon's evidence to the planner. It fails with
// fault.Stale when this daemon does not lead the move in the epoch.
func (n *Node) TakeReport(now time.Time, vm string, r Report) (Reply, error) {
	m := n.moves[r.Service]
	if m == nil || m.leader == nil || m.record == nil || m.record.Order != r.Order || m.leader.epoch != r.Epoch {
		return Reply{}, fault.New(fault.Stale, "this daemon does not lead order %d of service %q in epoch %d", r.Order, r.Service, r.Epoch)
	}
	m.leader.reports[vm] = now
	m.leader.planner.Observe(now, samplesOf(r.Order, r.Samples))
	reason := n.brakes[r.Order]
	return Reply{Stopped: reason != "", Reason: reason, Unable: n.storeLost}, nil
}

// start returns a commit unless the same write is in progress or has just failed.
func (n *Node) start(now time.Time, purpose string, tx rows.Transaction, status *Status, done func(time.Time, uint64, error)) []Commit {
	if n.busy[purpose] || now.Before(n.resume[purpose]) {
		return nil
	}
	n.busy[purpose] = true
	return []Commit{{Transaction: tx, Status: status, Purpose: purpose, Done: func(now time.Time, version uint64, err error) {
		delete(n.busy, purpose)
		delete(n.resume, purpose)
		if err != nil {
			n.resume[purpose] = now.Add(commitPause)
		}
		done(now, version, err)
	}}}
}

// leadCommit offers this daemon as the leader of a move.
func (n *Node) leadCommit(began time.Time, m *serviceMove, record *moveRecord, store time.Duration) []Commit {
	row := encode(ownKey(movePrefix+m.service), record)
	tx := rows.Transaction{Conditions: []rows.Condition{{Key: row.Key, Version: m.version}}, Writes: []rows.Row{row}}
	status := &Status{Service: m.service, Version: record.To, State: StatusRunning}
	return n.start(began, "lead "+m.service, tx, status, func(now time.Time, version uint64, err error) {
		if err != nil {
			return
		}
		row.Version = version
		if n.applyMove(now, m.service, row) != nil || m.version != version {
			return
		}
		n.changed = true
		open := m.led(began, store)
		m.leader = &leader{
			epoch: record.Epoch, reports: map[string]time.Time{},
			planner: move.NewPlanner(move.Config{Ticket: open, Epoch: record.Epoch, Start: m.step()}, now),
		}
	})
}

// stepCommit writes the record that the leader wants.
func (n *Node) stepCommit(now time.Time, m *serviceMove) []Commit {
	l := m.leader
	if l.wanted == nil {
		return nil
	}
	wanted := *l.wanted
	row := encode(ownKey(movePrefix+m.service), wanted)
	tx := rows.Transaction{Conditions: []rows.Condition{{Key: row.Key, Version: m.version}}, Writes: []rows.Row{row}}
	var status *Status
	switch wanted.Result {
	case resultDone:
		tx.Writes = append(tx.Writes, encode(ownKey(baselinePrefix+m.service), baselineRecord{Version: wanted.To}))
		status = &Status{Service: m.service, Version: wanted.To, State: StatusDone}
	case resultTakenBack:
		status = &Status{Service: m.service, Version: wanted.To, State: StatusTakenBack}
	}
	return n.start(now, "step "+m.service, tx, status, func(now time.Time, version uint64, err error) {
		if err != nil {
			return
		}
		row.Version = version
		if n.applyMove(now, m.service, row) == nil && wanted.Result == resultDone {
			n.baselines[m.service] = wanted.To
		}
		n.changed = true
	})
}

// baselineCommits proposes this target's version as the baseline of a service
// that has none. The first proposal stands.
func (n *Node) baselineCommits(now time.Time) []Commit {
	own := n.Own()
	if own == nil || own.State != "ready" || own.Service == "" {
		return nil
	}
	_, known := n.baselines[own.Service]
	ordered := n.orders[own.Service]
	if known || ordered.Version == own.Version {
		delete(n.missing, own.Service)
		return nil
	}
	if n.missing[own.Service].IsZero() {
		n.missing[own.Service] = now
	}
	turn := n.missing[own.Service].Add(time.Duration(n.turn(own)) * baselinePause)
	if now.Before(turn) || now.Sub(n.proposed[own.Service]) < baselinePause {
		return nil
	}
	n.proposed[own.Service] = now
	row := encode(ownKey(baselinePrefix+own.Service), baselineRecord{Version: own.Version})
	tx := rows.Transaction{Conditions: []rows.Condition{{Key: row.Key}}, Writes: []rows.Row{row}}
	service, version := own.Service, own.Version
	return n.start(now, "baseline "+service, tx, nil, func(_ time.Time, _ uint64, err error) {
		if err == nil {
			n.baselines[service] = version
			n.changed = true
		}
	})
}

// turn is how many of the service's known targets propose a baseline before
// this one, at most maxProposers. The store takes only the first proposal, so
// that others made at the same time are calls in vain.
func (n *Node) turn(own *TargetRecord) int {
	before, mine, ordered := 0, xxhash.Sum64String(own.VM), n.orders[own.Service].Version
	for _, known := range n.targets {
		r := known.record
		proposes := r.Service == own.Service && r.Version != ordered && states[r.State] == member.Ready
		if proposes && xxhash.Sum64String(r.VM) < mine {
			before++
		}
	}
	return min(before, maxProposers)
}

// strikeCommits writes the crashes of this VM's target. Counts of two daemons
// that write at once may fall short by one, which only delays a quarantine.
func (n *Node) strikeCommits(now time.Time) []Commit {
	if len(n.struck) == 0 || n.busy["crashes"] {
		return nil
	}
	written := map[uint64]uint32{}
	var tx rows.Transaction
	for _, print := range slices.Sorted(maps.Keys(n.struck)) {
		if len(written) == maxStrikes {
			break
		}
		written[print] = n.struck[print]
		name := crashPrefix + strconv.FormatUint(print, 16)
		tx.Writes = append(tx.Writes, encode(ownKey(name), crashRecord{Count: n.crashes[print] + n.struck[print]}))
	}
	return n.start(now, "crashes", tx, nil, func(_ time.Time, _ uint64, err error) {
		if err != nil {
			return
		}
		for print, count := range written {
			n.crashes[print] += count
			if n.struck[print] -= count; n.struck[print] == 0 {
				delete(n.struck, print)
			}
		}
	})
}
