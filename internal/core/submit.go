package core

import (
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// submission is one attempt of an operator to get a ticket accepted. The
// commit is a conditional write at the platform, so any daemon can do it and
// operators who race are ordered by the platform.
type submission struct {
	id      uint64
	ticket  *model.Ticket
	digest  string
	tries   int
	started bool
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

// lookUpTicket reads the item that the acceptance of a ticket of this number
// wrote. It answers a repeated submission, and it resolves a lost answer.
func (n *Node) lookUpTicket(s *submission) {
	key := TicketKey(s.ticket.Number)
	n.call(Call{Get: &key}, func(r PlatformResult) {
		switch {
		case r.Err == nil && string(r.Item.Body) == s.digest:
			n.accept(s, r.Item.Rev)
		case r.Err == nil:
			n.refuse(s, fault.New(fault.NumberTaken, "another ticket holds number %d", s.ticket.Number))
		case fault.Is(r.Err, fault.NotFound):
			n.refreshShadow(s)
		default:
			n.submitFailed(s, r.Err)
		}
	})
}

// submitFailed answers a platform failure truthfully: until a commit was
// tried nothing can have been accepted, afterwards only a read can tell.
func (n *Node) submitFailed(s *submission, err error) {
	if !s.started {
		n.refuse(s, fault.Wrap(err, fault.Unavailable, "ticket %d was not accepted; submit it again", s.ticket.Number))
		return
	}
	if s.tries < submitAttempts {
		s.tries++
		n.after(callRetry, func() { n.lookUpTicket(s) })
		return
	}
	n.refuse(s, fault.Wrap(err, fault.UnknownOutcome, "it is not known whether ticket %d was accepted; submit it again", s.ticket.Number))
}

// refreshShadow brings the shadow state to the newest record. Submissions are
// checked against the shadow, which is never served: the proxies' state comes
// through the relay tree only, so that no daemon serves a revision before the
// controller has it.
func (n *Node) refreshShadow(s *submission) {
	if n.shadow.Revision < n.state.Revision {
		n.shadow = n.state
	}
	n.readLog(n.shadow.Revision, func(records []*model.Record, err error) {
		if err != nil {
			n.submitFailed(s, err)
			return
		}
		for _, r := range records {
			if r.Revision <= n.shadow.Revision {
				continue
			}
			next, err := n.shadow.Apply(r)
			if err != nil {
				n.refuse(s, fault.Wrap(err, fault.Internal, "record %d of the log cannot be applied", r.Revision))
				return
			}
			n.shadow = next
		}
		if len(records) == logPage {
			n.refreshShadow(s)
			return
		}
		n.commitTicket(s)
	})
}

func (n *Node) commitTicket(s *submission) {
	if err := n.shadow.Validate(s.ticket); err != nil {
		// The number was read as free, so a taken number means that another
		// writer came first and the next look-up finds its digest.
		if fault.Is(err, fault.NumberTaken) && s.tries < submitAttempts {
			s.tries++
			n.lookUpTicket(s)
			return
		}
		n.refuse(s, err)
		return
	}
	record := &model.Record{Revision: n.shadow.Revision + 1, At: n.now, Ticket: s.ticket}
	writes, err := appendWrites(record)
	if err != nil {
		n.refuse(s, err)
		return
	}
	if s.ticket.Supersedes != 0 {
		kept, err := outcomeWrite(model.Outcome{Ticket: s.ticket.Supersedes, Result: model.Superseded, At: record.At}, record.Revision)
		if err != nil {
			n.refuse(s, err)
			return
		}
		writes = append(writes, kept)
	}
	number := platform.Item{Key: TicketKey(s.ticket.Number), Rev: record.Revision, Body: []byte(s.digest)}
	writes = append(writes, platform.Write{Op: platform.Put, Condition: platform.IfAbsent, Item: number})
	s.started = true
	n.call(Call{Transact: writes}, func(r PlatformResult) {
		if r.Err == nil {
			n.accept(s, record.Revision)
			return
		}
		if fault.Is(r.Err, fault.ConditionFailed) && s.tries < submitAttempts {
			s.tries++
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

// hintCommit makes the controller read the log at once.
func (n *Node) hintCommit(revision uint64) {
	if n.lease.held {
		n.pollLog()
		return
	}
	n.sendUp(&wire.Frame{Body: &wire.Frame_CommitHint{CommitHint: &wire.CommitHint{Revision: revision}}})
}
