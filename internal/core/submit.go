package core

import (
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// submission is an operator's request to accept a ticket. The commit is a
// conditional write at the platform, so any daemon can do it, and the platform
// orders concurrent submissions.
type submission struct {
	id         uint64
	ticket     *model.Ticket
	digest     string
	retries    int
	commitSent bool
}

func (n *Node) submit(e Submit) {
	if err := n.Ready(); err != nil {
		n.refuse(&submission{id: e.ID, ticket: e.Ticket}, err)
		return
	}
	encoded, err := wire.EncodeTicket(e.Ticket)
	if err == nil && len(encoded) > model.MaxTicketBytes {
		err = fault.New(fault.Invalid, "ticket %d has %d bytes; at most %d are allowed", e.Ticket.Number, len(encoded), model.MaxTicketBytes)
	}
	s := &submission{id: e.ID, ticket: e.Ticket, digest: model.Digest(encoded)}
	if err != nil {
		n.refuse(s, err)
		return
	}
	n.lookUpTicket(s)
}

func (n *Node) refuse(s *submission, err error) {
	n.emit(timeline.TicketRefused, func(e *timeline.Event) { e.Ticket = s.ticket.Number; e.Detail = err.Error() })
	n.effects = append(n.effects, Reply{ID: s.id, Err: err})
}

func (n *Node) accept(s *submission, revision uint64) {
	n.emit(timeline.TicketAccepted, func(e *timeline.Event) { e.Ticket = s.ticket.Number; e.Revision = revision })
	n.effects = append(n.effects, Reply{ID: s.id, Accepted: Accepted{Revision: revision, Digest: s.digest}})
	n.hintCommit(revision)
}

// lookUpTicket reads the item that is written when a ticket of this number is
// accepted. It answers a repeated submission and resolves a lost response.
func (n *Node) lookUpTicket(s *submission) {
	key := TicketKey(s.ticket.Number)
	n.call(Call{Get: &key}, func(r PlatformResult) {
		switch {
		case r.Err == nil && string(r.Item.Body) == s.digest:
			n.accept(s, r.Item.Rev)
		case r.Err == nil:
			n.refuse(s, fault.New(fault.NumberTaken, "another ticket holds number %d", s.ticket.Number))
		case fault.Is(r.Err, fault.NotFound):
			n.refreshHeadState(s)
		default:
			n.submitFailed(s, r.Err)
		}
	})
}

// submitFailed handles a platform failure. Before a commit was sent, nothing
// can have been accepted; afterwards only a read can determine the outcome.
func (n *Node) submitFailed(s *submission, err error) {
	if !s.commitSent {
		n.refuse(s, fault.Wrap(err, fault.Unavailable, "ticket %d was not accepted; submit it again", s.ticket.Number))
		return
	}
	if s.retries < maxSubmitAttempts {
		s.retries++
		n.after(callRetry, func() { n.lookUpTicket(s) })
		return
	}
	n.refuse(s, fault.Wrap(err, fault.UnknownOutcome, "it is not known whether ticket %d was accepted; submit it again", s.ticket.Number))
}

// refreshHeadState applies the newest records of the log to the head state.
// Submissions are validated against the head state, which is never served: the
// proxies receive their state through the relay tree only, so that no daemon
// serves a revision before the controller has it.
func (n *Node) refreshHeadState(s *submission) {
	if n.headState.Revision < n.state.Revision {
		n.headState = n.state
	}
	n.readLog(n.headState.Revision, func(records []*model.Record, err error) {
		if err != nil {
			n.submitFailed(s, err)
			return
		}
		for _, r := range records {
			if r.Revision <= n.headState.Revision {
				continue
			}
			next, err := n.headState.Apply(r)
			if err != nil {
				n.refuse(s, fault.Wrap(err, fault.Internal, "record %d of the log cannot be applied", r.Revision))
				return
			}
			n.headState = next
		}
		if len(records) == logPageSize {
			n.refreshHeadState(s)
			return
		}
		n.commitTicket(s)
	})
}

func (n *Node) commitTicket(s *submission) {
	if err := n.headState.Validate(s.ticket); err != nil {
		// The number was free when it was read, so a taken number means that
		// another writer committed first and the next look-up finds its digest.
		if fault.Is(err, fault.NumberTaken) && s.retries < maxSubmitAttempts {
			s.retries++
			n.lookUpTicket(s)
			return
		}
		n.refuse(s, err)
		return
	}
	record := &model.Record{Revision: n.headState.Revision + 1, At: n.now, Ticket: s.ticket}
	writes, err := appendWrites(record)
	if err != nil {
		n.refuse(s, err)
		return
	}
	if s.ticket.Supersedes != 0 {
		outcomePut, err := outcomeWrite(model.Outcome{Ticket: s.ticket.Supersedes, Result: model.Superseded, At: record.At}, record.Revision)
		if err != nil {
			n.refuse(s, err)
			return
		}
		writes = append(writes, outcomePut)
	}
	numberItem := platform.Item{Key: TicketKey(s.ticket.Number), Rev: record.Revision, Body: []byte(s.digest)}
	writes = append(writes, platform.Write{Op: platform.Put, Condition: platform.IfAbsent, Item: numberItem})
	s.commitSent = true
	n.call(Call{Transact: writes}, func(r PlatformResult) {
		if r.Err == nil {
			n.accept(s, record.Revision)
			return
		}
		if fault.Is(r.Err, fault.ConditionFailed) && s.retries < maxSubmitAttempts {
			s.retries++
			n.lookUpTicket(s)
			return
		}
		n.submitFailed(s, r.Err)
	})
}

// appendWrites returns the writes that append a record to the log.
func appendWrites(r *model.Record) ([]platform.Write, error) {
	body, err := wire.EncodeRecord(r)
	if err != nil {
		return nil, err
	}
	head := platform.Write{Op: platform.Put, Condition: platform.IfRev, WantRev: r.Revision - 1, Item: platform.Item{Key: headKey, Rev: r.Revision}}
	if r.Revision == 1 {
		head.Condition = platform.IfAbsent
	}
	entry := platform.Write{Op: platform.Put, Condition: platform.IfAbsent, Item: platform.Item{Key: LogKey(r.Revision), Rev: r.Revision, Body: body}}
	return []platform.Write{head, entry}, nil
}

// hintCommit makes the controller poll the log at once.
func (n *Node) hintCommit(revision uint64) {
	if n.lease.acquired {
		n.pollLog()
		return
	}
	n.sendToParent(&wire.Frame{Body: &wire.Frame_CommitHint{CommitHint: &wire.CommitHint{Revision: revision}}})
}
