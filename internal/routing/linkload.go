package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linkUsageWindow is the interval over which the utilization of a link is
	// measured. It covers a few long bodies on a slow link.
	linkUsageWindow = 250 * time.Millisecond
	// maxLinkUtilization bounds the utilization from which the wait is
	// computed, since the wait grows without bound as the utilization
	// approaches 1.
	maxLinkUtilization = 0.95
	// bodySizeSmoothing is the smoothing factor of the moving averages of body
	// sizes.
	bodySizeSmoothing = 0.1
)

// LinkLoad estimates how long data for a VM waits for the VM's network link. On
// a slow link, long bodies delay all data behind them. It is safe for
// concurrent use.
type LinkLoad struct {
	// rate is the capacity of the link in bytes per second.
	rate           float64
	received, sent atomic.Int64
	// pending is the total length, in bytes, of the bodies that are reserved and
	// not yet received.
	pending atomic.Int64

	mu sync.Mutex
	// windowStart is the start of the current window. startReceived and
	// startSent are the bytes received and sent before it.
	windowStart              time.Time
	startReceived, startSent int64
	// utilization is the utilization of the link in the last window.
	utilization float64
	// sendRate is the number of bytes per second that the VM sent in the last window.
	sendRate float64
	// meanSize is the mean body size in bytes, and meanSquaredSize the mean of
	// its square.
	meanSize, meanSquaredSize float64
}

// NewLinkLoad returns the load of a link with a capacity of rate bytes per
// second in each direction.
func NewLinkLoad(rate uint64) *LinkLoad { return &LinkLoad{rate: float64(rate)} }

// Rate returns the capacity of the link in bytes per second.
func (l *LinkLoad) Rate() uint64 { return uint64(l.rate) }

// AddReceived counts n received bytes.
func (l *LinkLoad) AddReceived(n int) { l.received.Add(int64(n)) }

// AddSent counts n sent bytes.
func (l *LinkLoad) AddSent(n int) { l.sent.Add(int64(n)) }

// ObserveBody records the length of a request body in bytes.
func (l *LinkLoad) ObserveBody(n int64) {
	size := float64(n)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meanSize += bodySizeSmoothing * (size - l.meanSize)
	l.meanSquaredSize += bodySizeSmoothing * (size*size - l.meanSquaredSize)
}

// ReserveBody counts a body of n bytes that a sender is allowed to send.
// ReleaseBody must follow when the body is received or not sent.
func (l *LinkLoad) ReserveBody(n int64) { l.pending.Add(n) }

// ReleaseBody ends a reservation of n bytes by ReserveBody.
func (l *LinkLoad) ReleaseBody(n int64) { l.pending.Add(-n) }

// TransferTime returns how long an idle link takes to transfer n bytes.
func (l *LinkLoad) TransferTime(n int64) time.Duration {
	return time.Duration(float64(n) / l.rate * float64(time.Second))
}

// EstimateWait estimates how long the next bytes wait for the link. It is the
// maximum of the transfer time of the reserved bodies and the mean wait of a
// single-server queue with the measured sizes (Pollaczek-Khinchine formula).
func (l *LinkLoad) EstimateWait(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceWindow(now)
	pending := l.TransferTime(l.pending.Load())
	if l.meanSize <= 0 {
		return pending
	}
	utilization := min(l.utilization, maxLinkUtilization)
	residual := l.meanSquaredSize / (2 * l.meanSize) / l.rate
	return max(pending, time.Duration(utilization/(1-utilization)*residual*float64(time.Second)))
}

// SendRate returns the rate at which the VM sends, in bytes per second.
func (l *LinkLoad) SendRate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceWindow(now)
	return l.sendRate
}

func (l *LinkLoad) advanceWindow(now time.Time) {
	elapsed := now.Sub(l.windowStart)
	if elapsed < linkUsageWindow {
		return
	}
	received, sent := l.received.Load(), l.sent.Load()
	transferred := max(received-l.startReceived, sent-l.startSent)
	l.sendRate = float64(sent-l.startSent) / elapsed.Seconds()
	l.utilization = float64(transferred) / (l.rate * elapsed.Seconds())
	l.windowStart, l.startReceived, l.startSent = now, received, sent
}
