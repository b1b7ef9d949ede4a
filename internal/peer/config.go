package peer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Defaults of a Config.
const (
	// DefaultBulkBytesPerSecond limits bulk frames on each link.
	DefaultBulkBytesPerSecond = 64 << 10
	// DefaultBulkBurstBytes is how many bulk bytes a link sends at once.
	DefaultBulkBurstBytes = 64 << 10
	// DefaultQueueFrames bounds the frames that wait on one link.
	DefaultQueueFrames = 1024
	// DefaultQueueBytes bounds the bytes that wait on one link.
	DefaultQueueBytes = 4 << 20
	// DefaultMaxAccepted bounds the links that others opened.
	DefaultMaxAccepted = 256
	// DefaultAcceptPerWindow bounds the links accepted within DefaultAcceptWindow.
	DefaultAcceptPerWindow = 20
	// DefaultAcceptWindow is the time over which accepted links are counted.
	DefaultAcceptWindow = time.Second
	// DefaultDialTimeout bounds the opening of a link, TLS included.
	DefaultDialTimeout = 2 * time.Second
)

// Timing of a link's keepalive and end.
const (
	// pingInterval is the time between pings of the dialing side. Only that
	// side pings, because a ping and its answer prove both directions to both
	// sides, and each ping costs control bytes.
	pingInterval = 1500 * time.Millisecond
	// silenceLimit is how long a link may be without a byte received. With
	// watchInterval it keeps the detection of a frozen peer under 5 s, and it
	// allows two pings to be late.
	silenceLimit = 4 * time.Second
	// watchInterval is the time between checks for silence.
	watchInterval = 250 * time.Millisecond
	// pauseLimit is the time between two checks above which this process was
	// paused itself. Shorter pauses cannot make a live peer seem silent.
	pauseLimit = time.Second
	// closeTimeout bounds the writing of the queue of a closing link.
	closeTimeout = 5 * time.Second
	// lingerTimeout bounds the wait until the peer has read the last frame.
	lingerTimeout = time.Second
	// yamuxWriteTimeout is above the silence limit, so that silence is what
	// ends a link to a frozen peer.
	yamuxWriteTimeout = 10 * time.Second
)

// Config describes a transport. Zero limits mean the defaults.
type Config struct {
	// Listen is the address of the listener; empty opens none, and port 0
	// picks a port.
	Listen string
	// Handler receives what happens on links. Its calls may begin before New returns.
	Handler Handler
	// BulkBytesPerSecond and BulkBurstBytes limit bulk frames on each link.
	BulkBytesPerSecond int
	BulkBurstBytes     int
	// QueueFrames and QueueBytes bound what waits on one link. QueueBytes is
	// at least MaxFrameBytes and its prefix, so that every frame fits.
	QueueFrames int
	QueueBytes  int
	// MaxAccepted bounds the open links that others dialed.
	MaxAccepted int
	// AcceptPerWindow links are accepted within any AcceptWindow.
	AcceptPerWindow int
	AcceptWindow    time.Duration
	// DialTimeout bounds the opening of a link on either side.
	DialTimeout time.Duration
	// TLS names the files for mutual TLS; nil means plain TCP.
	TLS *TLSFiles
	// Registerer takes the metrics; nil registers none.
	Registerer prometheus.Registerer
}

func orDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// complete checks the configuration and fills in the defaults.
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
		return fault.New(fault.Invalid, "a time limit of the transport is negative")
	}
	c.QueueBytes = max(c.QueueBytes, MaxFrameBytes+maxPrefixBytes)
	return nil
}
