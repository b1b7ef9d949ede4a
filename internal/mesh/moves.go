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
	// candidacyPause separates the daemons that offer to lead a new move, so
	// that most of them see the first one's row before their own turn. It is
	// several times the latency of the store.
	candidacyPause = 150 * time.Millisecond
	// leaderSilence is how long evidence may fail to reach a leader before
	// another daemon takes over. It covers three reports.
	leaderSilence = 1500 * time.Millisecond
	// evidenceAge is how old a daemon's last report may be for its evidence
	// to count as live.
	evidenceAge = 1500 * time.Millisecond
	// liveFraction is the part of the daemons whose evidence must be live.
	// Daemons that died are known only by their silence.
	liveFraction = 0.6
	// commitPause is the least time between two tries of the same write.
	commitPause = 200 * time.Millisecond
	// maxPendingSamples bounds the evidence that waits for a leader.
	maxPendingSamples = 1024
)

// serviceMove is the newest move of a service.
type serviceMove struct {
	service string
	// record is the row as the store has it, and version its version.
	record  *moveRecord
	version uint64
	// seen is when the order was first seen without a leader.
	seen time.Time
	// heard is when the leader last took evidence, or was first known.
	heard   time.Time
	pending []move.Sample
	// leader is set while this daemon leads.
	leader *leader
}

// leader is the work of the daemon that decides a move.
type leader struct {
	epoch   uint64
	planner *move.Planner
	// wanted is the record to write, or nil when the store has it.
	wanted *moveRecord
	// holding says why the move does not go on, or "".
	holding string
	// reports holds when each daemon last sent evidence.
	reports map[string]time.Time
}

// Status is what operators are told about a move.
type Status struct {
	Service string
	Version string
	State   StatusState
}

// StatusState is the state of a move for operators.
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
	if err := decodeInto(row, record); err != nil {
		return err
	}
	m := n.move(service)
	if row.Version < m.version {
		return nil
	}
	fresh := m.record == nil || m.record.Order != record.Order
	if fresh {
		m.pending = nil
	}
	if fresh || m.record.Epoch != record.Epoch {
		m.heard = now
	}
	m.record, m.version = record, row.Version
	if l := m.leader; l != nil && (record.Epoch != l.epoch || record.Leader != n.self.VM || record.LeaderRun != n.self.Run) {
		m.leader = nil
	}
	if l := m.leader; l != nil && l.wanted != nil && *l.wanted == *record {
		l.wanted = nil
	}
	return nil
}

// open reports whether the move takes traffic to its version.
func (m *serviceMove) open(orders map[string]Order) bool {
	return m.record != nil && m.record.Result == resultOpen && m.record.Order == orders[m.service].Revision
}

func (m *serviceMove) step() move.Step {
	r := m.record
	return move.Step{Ticket: r.Order, Epoch: r.Epoch, Number: r.Number, Permille: r.Permille, Focus: r.Focus}
}

// ticket returns the move as an open ticket.
func (m *serviceMove) ticket(accepted, finish time.Time) *model.OpenTicket {
	r := m.record
	before := settled(m.service, r.From)
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

// led returns the move as an open ticket in this daemon's time.
func (m *serviceMove) led(now time.Time, store time.Duration) *model.OpenTicket {
	local := func(ms int64) time.Time { return now.Add(time.Duration(ms)*time.Millisecond - store) }
	return m.ticket(local(m.record.AcceptedMS), local(m.record.FinishMS))
}

// rank returns this daemon's place among those that may lead the order: those
// with the fastest links first, and among equal ones in an order drawn for the
// move. A leader gets two reports a second from each daemon of the mesh, which is
// a large part of what a small VM can take.
func (n *Node) rank(order uint64) int {
	var link uint64
	if own := n.Own(); own != nil {
		link = own.LinkRate
	}
	drawn, rank := rankOf(order, n.self.VM), 0
	for vm, known := range n.targets {
		r := known.record
		ahead := cmp.Or(cmp.Compare(link, r.LinkRate), cmp.Compare(rankOf(order, vm), drawn)) < 0
		if vm != n.self.VM && states[r.State] == member.Ready && ahead {
			rank++
		}
	}
	return rank
}

func rankOf(order uint64, vm string) uint64 {
	return xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, order), vm...))
}

// candidate returns the record with which this daemon would lead the order, or
// nil while it should not.
func (n *Node) candidate(now time.Time, store time.Duration, o Order) *moveRecord {
	if n.storeLost {
		return nil
	}
	m := n.move(o.Service)
	pause := time.Duration(n.rank(o.Revision)) * candidacyPause
	if m.record == nil || m.record.Order < o.Revision {
		from, ok := n.baselines[o.Service]
		if !ok {
			return nil
		}
		if m.seen.IsZero() {
			m.seen = now
		}
		if now.Sub(m.seen) < pause {
			return nil
		}
		accepted := store - now.Sub(m.seen)
		return n.lead(&moveRecord{
			Order: o.Revision, Service: o.Service, From: from, To: o.Version,
			AcceptedMS: accepted.Milliseconds(), FinishMS: (accepted + o.Within).Milliseconds(),
		})
	}
	m.seen = time.Time{}
	if !m.open(n.orders) || m.leader != nil {
		return nil
	}
	restarted := m.record.Leader == n.self.VM && m.record.LeaderRun != n.self.Run
	if !restarted && now.Sub(m.heard) < leaderSilence+pause {
		return nil
	}
	next := *m.record
	return n.lead(&next)
}

func (n *Node) lead(r *moveRecord) *moveRecord {
	r.Epoch++
	r.Leader, r.LeaderRun, r.Evidence = n.self.VM, n.self.Run, n.self.Peer
	return r
}

// counts counts the ready targets of the move's service.
func (n *Node) counts(m *serviceMove) map[string]move.TargetCount {
	var count move.TargetCount
	for _, known := range n.targets {
		r := known.record
		if r.Service != m.service || states[r.State] != member.Ready {
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

// evidenceLive reports whether enough daemons sent evidence lately.
func (n *Node) evidenceLive(now time.Time, l *leader) bool {
	daemons, live := 0, 0
	for vm, known := range n.targets {
		if states[known.record.State] != member.Ready {
			continue
		}
		daemons++
		if vm == n.self.VM || now.Sub(l.reports[vm]) <= evidenceAge {
			live++
		}
	}
	return float64(live) >= liveFraction*float64(daemons)
}

// decide lets the planner go on, and sets the record to write.
func (n *Node) decide(now time.Time, m *serviceMove) {
	l := m.leader
	if l.wanted != nil {
		return
	}
	if reason := n.brakes[m.record.Order]; reason != "" {
		l.planner.Braked(now, reason)
	}
	decision := l.planner.Next(now, move.Conditions{EvidenceLive: n.evidenceLive(now, l), Targets: n.counts(m)})
	next := *m.record
	l.holding = decision.Reason
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
	l.wanted = &next
}

func (n *Node) setBrake(order uint64, reason string) {
	if n.brakes[order] == "" {
		n.brakes[order] = reason
		n.changed = true
	}
}

func samplesOf(order uint64, samples []move.Sample) []move.Sample {
	return slices.DeleteFunc(slices.Clone(samples), func(s move.Sample) bool { return s.Key.Ticket != order })
}
