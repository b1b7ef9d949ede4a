package once

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/platform"
)

// Defaults and limits of a Batcher.
const (
	// DefaultBatchWindow is how long a claim waits for other claims to join
	// its transaction.
	DefaultBatchWindow = 5 * time.Millisecond
	// DefaultWritesPerSecond limits the claims that one daemon writes in a second.
	DefaultWritesPerSecond = 100
	// DefaultQueueLimit limits the number of claims queued for a transaction.
	DefaultQueueLimit = 512
	// DefaultBackgroundLimit limits the number of queued responses and releases.
	DefaultBackgroundLimit = 4096
	// DefaultTimeout is the timeout of one platform operation.
	DefaultTimeout = 2 * time.Second
	// DefaultMinBackoff and DefaultMaxBackoff limit the backoff after a
	// failed transaction.
	DefaultMinBackoff = 100 * time.Millisecond
	DefaultMaxBackoff = 5 * time.Second
	// DefaultReleaseRepeatDelay is the delay before a release is repeated when
	// a delayed request may still write its claim. It is longer than the
	// platform usually delays a request.
	DefaultReleaseRepeatDelay = 5 * time.Second
	// MaxResponseBodyBytes is the largest body of a response that is stored.
	MaxResponseBodyBytes = 8 << 10
	// MaxKeyBytes is the maximum length of an idempotency key and
	// MaxServiceBytes that of a service name. Together they fit into the
	// table's limit of 1024 bytes for a sort key.
	MaxKeyBytes     = 512
	MaxServiceBytes = 256
	// MaxDigestBytes is the maximum length of a request digest.
	MaxDigestBytes = 128
)

// Config configures a Batcher. Numbers that are zero get their defaults.
type Config struct {
	// Table is the platform's table; it is required.
	Table platform.Table
	// Random generates the jitter of backoffs; nil means a generator with a
	// random seed. No other code may use it after New.
	Random *rand.Rand
	// Holder is the name of the daemon in its claims, for people who read the
	// table.
	Holder string
	// BatchWindow is how long a claim waits for other claims to join its
	// transaction.
	BatchWindow time.Duration
	// WritesPerSecond limits the claims written in a second, and separately
	// the responses and releases written in a second.
	WritesPerSecond int
	// QueueLimit limits the number of queued claims.
	QueueLimit int
	// BackgroundLimit limits the number of queued responses and releases.
	BackgroundLimit int
	// Timeout is the timeout of one platform operation.
	Timeout time.Duration
	// MinBackoff and MaxBackoff limit the backoff after a failed transaction.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// ReleaseRepeatDelay is the delay before the first repetition of a release
	// when a delayed request may still write its claim. It doubles with each
	// repetition.
	ReleaseRepeatDelay time.Duration
}

func (c *Config) setDefaults() {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	setDefault(&c.BatchWindow, DefaultBatchWindow)
	setDefault(&c.WritesPerSecond, DefaultWritesPerSecond)
	setDefault(&c.QueueLimit, DefaultQueueLimit)
	setDefault(&c.BackgroundLimit, DefaultBackgroundLimit)
	setDefault(&c.Timeout, DefaultTimeout)
	setDefault(&c.MinBackoff, DefaultMinBackoff)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	setDefault(&c.ReleaseRepeatDelay, DefaultReleaseRepeatDelay)
}

func setDefault[T int | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// Stats holds counters of a Batcher since its start, and its queue lengths.
type Stats struct {
	// Granted, Replayed, InDoubt and Failed count the results of Claim.
	Granted  uint64
	Replayed uint64
	InDoubt  uint64
	Failed   uint64
	// Transactions counts the transactions that write claims, and Writes the
	// writes in them.
	Transactions uint64
	Writes       uint64
	// Stored counts the stored responses, and Released the released claims.
	Stored   uint64
	Released uint64
	// Dropped counts the responses and releases that were discarded.
	Dropped uint64
	// Queued is the current number of queued claims.
	Queued int
	// Background is the current number of responses and releases that are
	// queued or being written.
	Background int
}
