package core

import (
	"fmt"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

const logPartition = "log"

var (
	headKey     = platform.Key{Partition: "head", Sort: "head"}
	snapshotKey = platform.Key{Partition: "snapshot", Sort: "latest"}
)

// logPoll is the state of the controller's reads of the log.
type logPoll struct {
	inFlight bool
	// repoll requests another poll when the current one ends.
	repoll bool
	next   time.Time
	// snapshotChecked is set once the controller has checked for a stored
	// snapshot.
	snapshotChecked bool
	// storedRevision is the revision of the newest stored snapshot that the
	// controller has read or written.
	storedRevision uint64
}

// LogKey returns the key of the table item of a record.
func LogKey(revision uint64) platform.Key {
	return platform.Key{Partition: logPartition, Sort: fmt.Sprintf("%020d", revision)}
}

// TicketKey returns the key of the table item that is written when a ticket is
// accepted. Its Rev is the revision of the record and its body the digest of
// the ticket.
func TicketKey(number uint64) platform.Key {
	return platform.Key{Partition: "ticket", Sort: fmt.Sprintf("%020d", number)}
}

// tickLog runs the due timers and polls the log on the controller. The
// controller is the only daemon that polls, so that reads at the platform do
// not grow with the number of daemons.
func (n *Node) tickLog() {
	n.runTimers()
	if n.lease.acquired && !n.now.Before(n.poll.next) {
		n.pollLog()
	}
}

// pollLog reads the records after the applied revision.
func (n *Node) pollLog() {
	p := &n.poll
	if !n.lease.acquired {
		return
	}
	if p.inFlight {
		p.repoll = true
		return
	}
	p.inFlight = true
	p.next = n.now.Add(n.cfg.Timings.LogPoll)
	if !p.snapshotChecked {
		n.readSnapshot()
		return
	}
	n.readLog(n.state.Revision, func(records []*model.Record, err error) {
		p.inFlight = false
		if err != nil {
			return
		}
		if !n.applyRecords(records) {
			return
		}
		if len(records) == logPageSize || p.repoll {
			p.repoll = false
			n.pollLog()
			return
		}
		n.logCaughtUp()
	})
}

// readLog reads one page of records after the revision.
func (n *Node) readLog(after uint64, done func([]*model.Record, error)) {
	query := &QueryCall{Partition: logPartition, After: LogKey(after).Sort, Limit: logPageSize}
	n.call(Call{Query: query}, func(r PlatformResult) {
		if r.Err != nil {
			done(nil, r.Err)
			return
		}
		records := make([]*model.Record, 0, len(r.Items))
		for _, item := range r.Items {
			record, err := wire.DecodeRecord(item.Body)
			if err != nil {
				done(nil, err)
				return
			}
			records = append(records, record)
		}
		done(records, nil)
	})
}

// readSnapshot looks for a stored snapshot that is newer than the state, so
// that a controller without a state does not read the whole log.
func (n *Node) readSnapshot() {
	p := &n.poll
	n.call(Call{Get: &snapshotKey}, func(r PlatformResult) {
		p.inFlight = false
		switch {
		case fault.Is(r.Err, fault.NotFound):
			p.snapshotChecked = true
		case r.Err == nil && r.Item.Rev <= n.state.Revision+logPageSize:
			p.snapshotChecked = true
			p.storedRevision = r.Item.Rev
		case r.Err == nil:
			n.fetchSnapshot(r.Item.Rev)
			return
		default:
			return
		}
		n.pollLog()
	})
}

func (n *Node) fetchSnapshot(revision uint64) {
	p := &n.poll
	p.inFlight = true
	n.call(Call{GetObject: snapshotName(revision)}, func(r PlatformResult) {
		p.inFlight = false
		p.snapshotChecked = true
		p.storedRevision = revision
		if r.Err == nil {
			n.applySnapshot(r.Body)
		}
		// If the object is missing, the log still holds every record.
		n.pollLog()
	})
}

func snapshotName(revision uint64) string { return fmt.Sprintf("snapshot/%020d", revision) }

func (n *Node) logCaughtUp() {
	if n.lease.caughtUp {
		return
	}
	n.lease.caughtUp = true
	n.tree.nextSweep = n.now.Add(n.cfg.Timings.EndpointLost + suspectDuration)
	n.ready.done = true
	n.emit(timeline.DaemonReady, func(e *timeline.Event) { e.Revision = n.state.Revision })
	n.dropParent()
	n.sendWelcomes()
	n.publishDue = true
}

// OutcomeKey returns the key of the table item of a ticket's recorded outcome.
// The item exists for tickets that were open; a state keeps only the newest
// outcomes.
func OutcomeKey(number uint64) platform.Key {
	return platform.Key{Partition: "outcome", Sort: fmt.Sprintf("%020d", number)}
}

// outcomeWrite returns the write that stores an outcome permanently. It is part
// of the transaction that appends the record, so that the two cannot differ.
func outcomeWrite(o model.Outcome, revision uint64) (platform.Write, error) {
	body, err := wire.EncodeOutcome(o)
	if err != nil {
		return platform.Write{}, err
	}
	item := platform.Item{Key: OutcomeKey(o.Ticket), Rev: revision, Body: body}
	return platform.Write{Op: platform.Put, Condition: platform.IfAbsent, Item: item}, nil
}

// applyRecords applies records in order and forwards them to the children. It
// reports whether all of them are now part of the state.
func (n *Node) applyRecords(records []*model.Record) bool {
	var fresh []*model.Record
	complete := true
	for _, r := range records {
		if r.Revision <= n.state.Revision {
			continue
		}
		next, err := n.state.Apply(r)
		if err != nil {
			n.emit(timeline.FrameRefused, detail(err.Error()))
			complete = false
			break
		}
		n.state = next
		n.emitApplied(r)
		fresh = append(fresh, r)
	}
	if len(fresh) > 0 {
		n.keepRecent(fresh)
		n.stateChanged()
		n.sendRecords(fresh)
		n.storeSnapshot()
	}
	return complete
}

func (n *Node) emitApplied(r *model.Record) {
	n.emit(timeline.RevisionApplied, func(e *timeline.Event) {
		e.Revision = r.Revision
		switch {
		case r.Ticket != nil:
			e.Ticket = r.Ticket.Number
		case r.Outcome != nil:
			e.Ticket = r.Outcome.Ticket
			e.Detail = string(r.Outcome.Result)
		}
	})
}

// keepRecent keeps the newest records for children that lag.
func (n *Node) keepRecent(records []*model.Record) {
	n.recent = append(n.recent, records...)
	if excess := len(n.recent) - maxRecentRecords; excess > 0 {
		n.recent = append([]*model.Record(nil), n.recent[excess:]...)
	}
}

// applySnapshot replaces the state if the snapshot is newer, and reports
// whether it did.
func (n *Node) applySnapshot(compressed []byte) bool {
	next, err := wire.DecodeState(compressed)
	if err != nil {
		n.emit(timeline.FrameRefused, detail(err.Error()))
		return false
	}
	if next.Revision <= n.state.Revision {
		return false
	}
	n.state = next
	n.recent = nil
	n.emit(timeline.RevisionApplied, func(e *timeline.Event) { e.Revision = next.Revision; e.Detail = "snapshot" })
	n.stateChanged()
	for _, id := range n.childIDs() {
		n.syncState(id, n.tree.children[id])
	}
	return true
}

// stateChanged removes the soft state of tickets that ended.
func (n *Node) stateChanged() {
	for number := range n.steps {
		if n.state.Open[number] == nil && number <= n.state.LastTicket {
			delete(n.steps, number)
		}
	}
	for number := range n.brakes {
		if n.state.Open[number] == nil && number <= n.state.LastTicket {
			delete(n.brakes, number)
		}
	}
	n.publishDue = true
}

// storeSnapshot writes the state to the object store every revisionsPerSnapshot
// revisions, on the controller only. The table item that names the object is
// written second, so that it never names a missing object.
func (n *Node) storeSnapshot() {
	p := &n.poll
	if !n.lease.acquired || n.state.Revision < p.storedRevision+revisionsPerSnapshot {
		return
	}
	state := n.state
	p.storedRevision = state.Revision
	body, err := wire.EncodeState(state)
	if err != nil {
		return
	}
	n.call(Call{PutObject: &ObjectCall{Name: snapshotName(state.Revision), Body: body}}, func(r PlatformResult) {
		if r.Err != nil {
			return
		}
		put := platform.Write{Op: platform.Put, Item: platform.Item{Key: snapshotKey, Rev: state.Revision}}
		n.call(Call{Transact: []platform.Write{put}}, func(PlatformResult) {})
	})
}
