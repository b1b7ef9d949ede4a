package core

import "time"

// TickInterval is how often the daemon sends a Tick.
const TickInterval = 100 * time.Millisecond

// Timings are the intervals and limits of a node.
type Timings struct {
	// LeaseRenew is the interval between renewals of the controller lease.
	LeaseRenew time.Duration
	// LeaseTakeover is how long a candidate must see the same lease before it
	// takes it over.
	LeaseTakeover time.Duration
	// LogPoll is the interval at which the controller reads the log.
	LogPoll time.Duration
	// Heartbeat is the interval of the controller's frames to its children.
	Heartbeat time.Duration
	// HeartbeatLoss is the silence after which a child of the controller
	// takes its path to be cut.
	HeartbeatLoss time.Duration
	// EndpointLost is how long a relay waits for a lost child to attach again.
	EndpointLost time.Duration
	// MemberExpiry is how long a lost member still counts as a member.
	MemberExpiry time.Duration
	// Announce is the interval of announcements in the platform's table.
	Announce time.Duration
	// Evidence is how long a relay gathers samples before it passes them on,
	// and the interval of the controller's decisions. It adds to the time
	// until a bad version is stopped once for every hop.
	Evidence time.Duration
}

// DefaultTimings returns the intervals of the design.
func DefaultTimings() Timings {
	return Timings{
		LeaseRenew:    time.Second,
		LeaseTakeover: 4 * time.Second,
		LogPoll:       time.Second,
		Heartbeat:     time.Second,
		HeartbeatLoss: 2500 * time.Millisecond,
		EndpointLost:  3 * time.Second,
		MemberExpiry:  45 * time.Second,
		Announce:      10 * time.Minute,
		Evidence:      250 * time.Millisecond,
	}
}

const (
	// keepGone is how long a tombstone of a member is kept.
	keepGone = 10 * time.Minute
	// dialTimeout bounds the time from a dial to the parent's Welcome.
	dialTimeout = 3 * time.Second
	// backoffMin and backoffMax bound the delay between attempts to attach.
	backoffMin = 100 * time.Millisecond
	backoffMax = 5 * time.Second
	// seekInterval is the time between searches for a better parent while the
	// node has a path to the controller.
	seekInterval = time.Second
	// suspectFor is how long a member that could not be reached is left out
	// of the choice of parents.
	suspectFor = 5 * time.Second
	// rootlessFor is how long a member without a path to the controller is
	// left out. It is alive and may have a path soon.
	rootlessFor = time.Second
	// probeRetry is the interval between root probes of a node that is not ready.
	probeRetry = time.Second
	// callRetry is the delay before a failed call to the platform is repeated.
	callRetry = 500 * time.Millisecond
	// maxChildren bounds the children of a relay.
	maxChildren = 64
	// recentRecords is how many records a relay keeps for children that lag.
	recentRecords = 64
	// snapshotInterval is the number of revisions between stored snapshots.
	snapshotInterval = 64
	// logPage is the number of records read at a time.
	logPage = 64
	// submitAttempts bounds the tries of a submission against other writers.
	submitAttempts = 16
	// maxLaggards bounds the lagging members named in an acknowledgement.
	maxLaggards = 8
	// candidateWindow is how long a node is without a path to the controller
	// before the next two ranks of its domain also watch the lease.
	candidateWindow = 2 * time.Second
)
