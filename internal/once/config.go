package once

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/platform"
)

// Defaults and limits of a Batcher.
const (
	// DefaultWindow is how long a claim waits for others to share its transaction.
	DefaultWindow = 5 * time.Millisecond
	// DefaultWritesPerSecond bounds the claims that one daemon writes in a second.
	DefaultWritesPerSecond = 100
	// DefaultQueueLimit bounds the claims that wait for a transaction.
	DefaultQueueLimit = 512
	// DefaultBackgroundLimit bounds the answers and releases that wait.
	DefaultBackgroundLimit = 4096
	// DefaultTimeout bounds one operation of the platform.
	DefaultTimeout = 2 * time.Second
	// DefaultMinBackoff and DefaultMaxBackoff bound the pause of the
	// background writer after a failure.
	DefaultMinBackoff = 100 * time.Millisecond
	DefaultMaxBackoff = 5 * time.Second
	// DefaultLatePause is the pause before a release is repeated whose claim
	// may still be written by a delayed request. It exceeds the time for
	// which the platform usually holds a request.
	DefaultLatePause = 5 * time.Second
	// MaxAnswerBytes is the largest body of an answer that is kept.
	MaxAnswerBytes = 8 << 10
	// MaxKeyBytes is the longest idempotency key and MaxServiceBytes the
	// longest service name. Together they fit into the table's limit of 1024
	// bytes for a sort key.
	MaxKeyBytes     = 512
	MaxServiceBytes = 256
	// MaxDigestBytes is the longest request digest.
	MaxDigestBytes = 128
)

// Config sets up a Batcher. Zero values of the numbers mean the defaults.
type Config struct {
	// Table is the platform's table; it is required.
	Table platform.Table
	// Random draws the jitter of backoffs; nil means a generator with a random
	// seed. The Batcher is its only user from then on.
	Random *rand.Rand
	// Holder names the daemon in its claims, for people who read the table.
	Holder string
	// Window is how long a claim waits for others.
	Window time.Duration
	// WritesPerSecond bounds the claims written in a second, and separately
	// the answers and releases written in a second.
	WritesPerSecond int
	// QueueLimit bounds the claims that wait.
	QueueLimit int
	// BackgroundLimit bounds the answers and releases that wait.
	BackgroundLimit int
	// Timeout bounds one operation of the platform.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failure.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// LatePause is the pause before the first repetition of a release whose
	// claim may be written late. It doubles with each repetition.
	LatePause time.Duration
}

func (c *Config) setDefaults() {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.WritesPerSecond, DefaultWritesPerSecond)
	setDefault(&c.QueueLimit, DefaultQueueLimit)
	setDefault(&c.BackgroundLimit, DefaultBackgroundLimit)
	setDefault(&c.Timeout, DefaultTimeout)
	setDefault(&c.MinBackoff, DefaultMinBackoff)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	setDefault(&c.LatePause, DefaultLatePause)
}

func setDefault[T int | time.Duration](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}

// Stats counts what a Batcher has done since its start.
type Stats struct {
	// Granted, Replayed, InDoubt and Failed count the results of Claim.
	Granted  uint64
	Replayed uint64
	InDoubt  uint64
	Failed   uint64
	// Transactions counts the transactions of claims, and Writes their writes.
	Transactions uint64
	Writes       uint64
	// Kept and Released count the answers and releases that were carried out.
	Kept     uint64
	Released uint64
	// Dropped counts the answers and releases that were given up.
	Dropped uint64
	// Queued is the number of claims that wait now.
	Queued int
	// Background is the number of answers and releases that wait now.
	Background int
}
