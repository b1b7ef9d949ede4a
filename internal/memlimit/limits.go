// Package memlimit bounds the memory and the connections that clients can occupy in a
// process: a budget in bytes with reservations for connections, request headers and
// buffered bodies, and limits of the connections of each listener. It does no I/O;
// connections are dropped by a function that their owner gives.
package memlimit

import "time"

const (
	// memoryDivisor is the part of the machine's memory that clients may occupy: one of
	// this many. The rest is for the program, the garbage of the Go heap and the target.
	memoryDivisor = 4
	// maxBudgetBytes bounds the budget on large machines. With the daemon's own state it
	// stays below the memory limit of the Go runtime, 40 MiB, above which the garbage
	// collector runs without pause.
	maxBudgetBytes = 24 << 20
	// ConnectionBytes is reserved for each connection: the buffers of net/http and the
	// stack of its goroutine.
	ConnectionBytes = 16 << 10
	// SmallBytes is the length up to which a body may use the part of the budget that is
	// reserved for small requests.
	SmallBytes = 16 << 10
	// reservedDivisor is the part of the budget that only connections, headers and small
	// bodies may use: one of this many.
	reservedDivisor = 4
	// callerBodyDivisor is the part of the budget for the bodies on listeners of callers.
	// It is smaller than what inbound listeners may use, so that requests that have come
	// as far as the target's daemon are not refused for those behind them.
	callerBodyDivisor = 2
	// requestConnectionDivisor is the part of the file descriptors for the connections of
	// one listener of requests: one of this many. Each request may need another
	// descriptor to pass it on, so two listeners use at most four of the six parts.
	requestConnectionDivisor = 6
	// peerConnectionDivisor is the same for the listener of other daemons' messages. All
	// daemons of a mesh may send evidence to one of them.
	peerConnectionDivisor = 10
	// otherConnectionDivisor is the same for one of the other listeners.
	otherConnectionDivisor = 40
	// minOtherConnections is the smallest limit of the other listeners.
	minOtherConnections = 4
)

const (
	// StallTime is how long a connection makes no progress before it may be dropped for
	// another one. Clients on slow links pause for a few round trips, 8 ms each.
	StallTime = time.Second
	// progressBytes is how much of a body must arrive to count as progress, so that
	// single bytes do not keep a connection.
	progressBytes = 4 << 10
	// releaseWait is how long a reservation waits for the memory of dropped connections,
	// whose requests end within milliseconds.
	releaseWait = 100 * time.Millisecond
)

// Limits are the limits of a process. A limit of zero is off.
type Limits struct {
	// Bytes is the size of the budget.
	Bytes int64
	// RequestConnections, PeerConnections and OtherConnections are the largest numbers of
	// connections of a listener of requests, of the one of other daemons' messages and of
	// any other listener.
	RequestConnections int
	PeerConnections    int
	OtherConnections   int
}

// Derive returns the limits for a machine's memory and its file descriptors. Limits
// whose figure is missing are off.
func Derive(memoryBytes int64, fileDescriptors int) Limits {
	var l Limits
	if memoryBytes > 0 {
		l.Bytes = min(memoryBytes/memoryDivisor, maxBudgetBytes)
	}
	if fileDescriptors > 0 {
		l.RequestConnections = max(1, fileDescriptors/requestConnectionDivisor)
		l.PeerConnections = max(minOtherConnections, fileDescriptors/peerConnectionDivisor)
		l.OtherConnections = max(minOtherConnections, fileDescriptors/otherConnectionDivisor)
	}
	return l
}

// Enabled reports whether any limit is on.
func (l Limits) Enabled() bool { return l.Bytes > 0 || l.RequestConnections > 0 }

// Reason is the limit that a client met.
type Reason string

// Reasons of events.
const (
	// Connections means that a new connection was closed.
	Connections Reason = "connections"
	// Stalled means that the connection that had made no progress for longest was
	// dropped for another one.
	Stalled Reason = "stalled"
	// Headers means that a connection was closed because its request header did not fit.
	Headers Reason = "headers"
	// Bodies means that a request was refused because its body did not fit.
	Bodies Reason = "bodies"
	// Responses means that a response was streamed because it did not fit.
	Responses Reason = "responses"
)

// Event is one decision against a client, with its inputs.
type Event struct {
	Reason   Reason
	Listener string
	// Open is the number of connections of the listener.
	Open int
	// Used and Capacity are the reserved bytes and the size of the budget.
	Used, Capacity int64
	// Stalled is how long the dropped connection made no progress.
	Stalled time.Duration
}
