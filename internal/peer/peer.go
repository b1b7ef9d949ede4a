// Package peer carries frames between daemons: yamux sessions over TCP,
// length-prefixed protobuf frames, rate limits for bulk frames, and TLS.
package peer

import "github.com/magnoliamount/magnoliamount/internal/wire"

// MaxFrameBytes bounds one frame on a link.
const MaxFrameBytes = 1 << 20

// LinkID names a link within one process.
type LinkID uint64

// AcceptedBit is set in the IDs of links that the other side dialed. The
// transport numbers those; the caller of Dial numbers the others.
const AcceptedBit LinkID = 1 << 63

// Handler receives what happens on links. Calls for one link come in order;
// calls for different links may come at the same time.
type Handler interface {
	// LinkUp reports a link that can carry frames.
	LinkUp(id LinkID, remote string)
	// LinkDown is the last call for a link. After a failed Dial it is the only one.
	LinkDown(id LinkID, err error)
	FrameReceived(id LinkID, frame *wire.Frame)
}

// Transport carries frames. Its methods do not block.
type Transport interface {
	// Dial opens a link; LinkUp or LinkDown follows.
	Dial(id LinkID, address string)
	// Send queues a frame. Bulk frames are limited to the bulk rate and may be
	// overtaken by others. A link whose queue overflows is closed.
	Send(id LinkID, frame *wire.Frame, bulk bool)
	// CloseLink closes a link after its queue has been written; LinkDown follows.
	CloseLink(id LinkID)
	// Close closes the listener and all links.
	Close() error
}
