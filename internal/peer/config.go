package peer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Defaults of a Config.
const (
	// DefaultBulkBytesPerSecond is the rate limit for bulk frames on each link.
	DefaultBulkBytesPerSecond = 64 << 10
	// DefaultBulkBurstBytes is the number of bulk bytes that a link may send at once.
	DefaultBulkBurstBytes = 64 << 10
	// DefaultQueueFrames is the maximum number of frames in the send queue of a link.
	DefaultQueueFrames = 1024
	// DefaultQueueBytes is the maximum number of bytes in the send queue of a link.
	DefaultQueueBytes = 4 << 20
	// DefaultMaxAccepted is the maximum number of open links that other daemons dialed.
	DefaultMaxAccepted = 256
	// DefaultAcceptPerWindow is the maximum number of links accepted within
	// DefaultAcceptWindow.
	DefaultAcceptPerWindow = 20
	// DefaultAcceptWindow is the period over which accepted links are counted.
	DefaultAcceptWindow = time.Second
	// DefaultDialTimeout is the timeout for opening a link, including the TLS
	// handshake.
	DefaultDialTimeout = 2 * time.Second
)

// Timing of the keepalive and the closing of a link.
const (
	// pingInterval is the time between pings of the dialing side. Only that
	// side sends pings, because a ping and its response show both sides that
	// both directions work, and each ping costs control bytes.
	pingInterval = 1500 * time.Millisecond
	// receiveTimeout is the maximum time without a byte received on a link.
	// Together with receiveCheckInterval it detects a frozen peer in less than
	// 5 s, and it allows two pings to be late.
	receiveTimeout = 4 * time.Second
	// receiveCheckInterval is the time between two checks of receiveTimeout.
	receiveCheckInterval = 250 * time.Millisecond
	// processPauseThreshold is the time between two checks above which this
	// process itself counts as having been paused. A shorter pause cannot make
	// a live peer exceed receiveTimeout.
	processPauseThreshold = time.Second
	// closeTimeout is the time limit for writing the queue of a closing link.
	closeTimeout = 5 * time.Second
	// lingerTimeout is the maximum time that the connection stays open after the
	// last frame was written, so that the peer can read it.
	lingerTimeout = time.Second
	// yamuxWriteTimeout is longer than receiveTimeout, so that a link to a
	// frozen peer ends by receiveTimeout.
	yamuxWriteTimeout = 10 * time.Second
)

// Config configures a transport. A limit of zero selects the default.
type Config struct {
	// Listen is the address of the listener. An empty address opens no
	// listener; port 0 selects a free port.
	Listen string
	// Handler receives the events of links. Calls may start before New returns.
	Handler Handler
	// BulkBytesPerSecond and BulkBurstBytes limit the bulk frames on each link.
	BulkBytesPerSecond int
	BulkBurstBytes     int
	// QueueFrames and QueueBytes limit the send queue of each link. QueueBytes
	// is raised to at least MaxFrameBytes plus the length prefix, so that every
	// frame fits.
	QueueFrames int
	QueueBytes  int
	// MaxAccepted is the maximum number of open links that other daemons dialed.
	MaxAccepted int
	// AcceptPerWindow is the maximum number of links accepted within any period
	// of length AcceptWindow.
	AcceptPerWindow int
	AcceptWindow    time.Duration
	// DialTimeout is the timeout for opening a link, on the dialing and on the
	// accepting side.
	DialTimeout time.Duration
	// TLS contains the paths of the files for mutual TLS; nil selects plain TCP.
	TLS *TLSFiles
	// Registerer registers the metrics; nil disables them.
	Registerer prometheus.Registerer
}

func orDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// complete validates the configuration and sets the defaults. It fails with
// fault.Invalid.
func (c *Config) complete() error {
	if c.Handler == nil {
		return fault.New(fault.Invalid, "the transport has no handler")
	}
	orDefault(&c.BulkBytesPerSecond, DefaultBulkBytesPerSecond)
	orDefault(&c.BulkBurstBytes, DefaultBulkBurstBytes)
	orDefault(&c.QueueFrames, DefaultQueueFrames)
	orDefault(&c.QueueBytes, DefaultQueueBytes)
	orDefault(&c.MaxAccepted, DefaultMaxAccepted)
	orDefault(&c.AcceptPerWindow, DefaultAcceptPerWindow)
	orDefault(&c.AcceptWindow, DefaultAcceptWindow)
	orDefault(&c.DialTimeout, DefaultDialTimeout)
	for _, limit := range []int{c.BulkBytesPerSecond, c.BulkBurstBytes, c.QueueFrames, c.QueueBytes, c.MaxAccepted, c.AcceptPerWindow} {
		if limit < 0 {
			return fault.New(fault.Invalid, "limit %d of the transport is negative", limit)
		}
	}
	if c.AcceptWindow < 0 || c.DialTimeout < 0 {
		return fault.New(fault.Invalid, "accept window or dial timeout of the transport is negative")
	}
	c.QueueBytes = max(c.QueueBytes, MaxFrameBytes+maxPrefixBytes)
	return nil
}
