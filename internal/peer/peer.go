// Package peer carries frames between daemons: yamux sessions over TCP,
// length-prefixed protobuf frames, rate limits for bulk frames, and TLS.
package peer

import "github.com/magnoliamount/magnoliamount/internal/wire"

// MaxFrameBytes is the maximum size of a frame, without its length prefix.
const MaxFrameBytes = 1 << 20

// LinkID identifies a link within one process.
type LinkID uint64

// AcceptedBit is set in the IDs of links that the other side dialed. The
// transport assigns those IDs; the caller of Dial chooses the others.
const AcceptedBit LinkID = 1 << 63

// Handler receives the events of links. Calls for one link are made in order;
// calls for different links may be concurrent.
type Handler interface {
	// LinkUp reports that a link is open and can carry frames.
	LinkUp(id LinkID, remote string)
	// LinkDown reports that a link has ended. It is the last call for a link, and
	// the only one after a failed Dial.
	LinkDown(id LinkID, err error)
	// FrameReceived delivers a frame from the peer.
	FrameReceived(id LinkID, frame *wire.Frame)
}

// Transport sends and receives frames over links. Its methods do not block.
type Transport interface {
	// Dial opens a link; LinkUp or LinkDown follows.
	Dial(id LinkID, address string)
	// Send queues a frame. Bulk frames are limited to the bulk rate, and other
	// frames may be sent before them. A link whose queue overflows is closed.
	Send(id LinkID, frame *wire.Frame, bulk bool)
	// CloseLink closes a link after its queue has been written; LinkDown follows.
	CloseLink(id LinkID)
	// Close closes the listener and all links.
	Close() error
}
