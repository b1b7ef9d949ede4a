package core

import "time"

// TickInterval is how often the daemon sends a Tick.
const TickInterval = 100 * time.Millisecond

// Timings are the intervals and limits of a node.
type Timings struct {
	// LeaseRenew is the interval between renewals of the controller lease.
	LeaseRenew time.Duration
	// LeaseTakeover is how long a candidate must observe the same lease before
	// it takes it over.
	LeaseTakeover time.Duration
	// LogPoll is the interval at which the controller reads the log.
	LogPoll time.Duration
	// Heartbeat is the interval of the controller's frames to its children.
	Heartbeat time.Duration
	// HeartbeatTimeout is how long a child of the controller receives no frame
	// from it before the child treats its path as lost.
	HeartbeatTimeout time.Duration
	// EndpointLost is how long a relay waits for a disconnected child to
	// reattach before it marks the child lost.
	EndpointLost time.Duration
	// MemberExpiry is how long a lost member still counts as a member.
	MemberExpiry time.Duration
	// Announce is the interval of announcements in the platform's table.
	Announce time.Duration
	// EvidenceInterval is how long a relay buffers samples before it forwards
	// them, and the interval of the controller's decisions. Every hop adds it
	// once to the time until a bad version is stopped.
	EvidenceInterval time.Duration
}

// DefaultTimings returns the default intervals and limits.
func DefaultTimings() Timings {
	return Timings{
		LeaseRenew:       time.Second,
		LeaseTakeover:    4 * time.Second,
		LogPoll:          time.Second,
		Heartbeat:        time.Second,
		HeartbeatTimeout: 2500 * time.Millisecond,
		EndpointLost:     3 * time.Second,
		MemberExpiry:     45 * time.Second,
		Announce:         10 * time.Minute,
		EvidenceInterval: 250 * time.Millisecond,
	}
}

const (
	// tombstoneTTL is how long a tombstone of a member is kept.
	tombstoneTTL = 10 * time.Minute
	// dialTimeout bounds the time from a dial to the parent's Welcome.
	dialTimeout = 3 * time.Second
	// backoffMin and backoffMax bound the delay between attempts to attach.
	backoffMin = 100 * time.Millisecond
	backoffMax = 5 * time.Second
	// parentSearchInterval is the time between searches for a better parent
	// while the node has a path to the controller.
	parentSearchInterval = time.Second
	// suspectDuration is how long a member that could not be reached is
	// excluded from the choice of parents.
	suspectDuration = 5 * time.Second
	// noPathSuspectDuration is how long a member without a path to the
	// controller is excluded. It is shorter than suspectDuration because the
	// member is alive and may have a path soon.
	noPathSuspectDuration = time.Second
	// probeRetry is the interval between root probes of a node that is not ready.
	probeRetry = time.Second
	// callRetry is the delay before a failed call to the platform is repeated.
	callRetry = 500 * time.Millisecond
	// maxChildren bounds the children of a relay.
	maxChildren = 64
	// maxRecentRecords is how many records a relay keeps for children that lag.
	maxRecentRecords = 64
	// revisionsPerSnapshot is the number of revisions between stored snapshots.
	revisionsPerSnapshot = 64
	// logPageSize is the number of records read at a time.
	logPageSize = 64
	// maxSubmitAttempts bounds the retries of a submission after platform
	// failures and conflicts with other writers.
	maxSubmitAttempts = 16
	// maxLaggards bounds the lagging members listed in an acknowledgement.
	maxLaggards = 8
	// candidateWindow is how long a node is without a path to the controller
	// before twice as many members of its domain watch the lease.
	candidateWindow = 2 * time.Second
)
