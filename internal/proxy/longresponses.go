package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// longResponsePartBytes is the size of the parts in which a large response is sent,
// 8 ms on a link of 16 Mbit/s. Short responses wait behind one part at most.
const longResponsePartBytes = 16 << 10

// longResponseQueue makes goroutines wait for the turns of routing.LongResponses.
type longResponseQueue struct {
	link *routing.LinkLoad
	now  func() time.Time

	mu    sync.Mutex
	order *routing.LongResponses
	// changed is closed when the order changes.
	changed chan struct{}
	// sent and sentAtWindow count the bytes of large responses, to tell them from the
	// other bytes that link counts.
	sent, sentAtWindow int64
	windowStart        time.Time
}

// otherRateWindow is the interval at which the rate of the other data is measured.
const otherRateWindow = 250 * time.Millisecond

func newLongResponseQueue(link *routing.LinkLoad, now func() time.Time) *longResponseQueue {
	return &longResponseQueue{link: link, now: now, order: routing.NewLongResponses(link.Rate()), changed: make(chan struct{})}
}

// wait returns how long a further response with the objective waits for its turn.
func (q *longResponseQueue) wait(objective time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.order.Wait(q.now(), objective)
}

func (q *longResponseQueue) enter(r *routing.LongResponse) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.order.Enter(r)
	q.notify()
}

func (q *longResponseQueue) leave(r *routing.LongResponse) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.order.Leave(r)
	q.notify()
}

// notify wakes the waiting goroutines.
func (q *longResponseQueue) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// await returns when the response may send a part of the size, or when ctx ends.
func (q *longResponseQueue) await(ctx context.Context, r *routing.LongResponse, bytes int) {
	for {
		q.mu.Lock()
		now := q.now()
		q.measureOtherRate(now)
		next, delay := q.order.Next(now)
		if next == r && delay == 0 {
			q.order.Sent(now, r, bytes)
			q.sent += int64(bytes)
			q.notify()
			q.mu.Unlock()
			return
		}
		changed := q.changed
		q.mu.Unlock()
		var due <-chan time.Time
		var timer *time.Timer
		if next == r {
			timer = time.NewTimer(delay)
			due = timer.C
		}
		select {
		case <-changed:
		case <-due:
		case <-ctx.Done():
		}
		if timer != nil {
			timer.Stop()
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// measureOtherRate updates the rate of the data that is not part of large responses.
func (q *longResponseQueue) measureOtherRate(now time.Time) {
	elapsed := now.Sub(q.windowStart)
	if elapsed < otherRateWindow {
		return
	}
	long := float64(q.sent-q.sentAtWindow) / elapsed.Seconds()
	q.order.SetOtherRate(q.link.SendRate(now) - long)
	q.windowStart, q.sentAtWindow = now, q.sent
}

// SetLongResponseRoutes sets the names of the routes with large responses.
func (n *Inbound) SetLongResponseRoutes(names map[string]bool) { n.longRoutes.Store(&names) }

// isLongResponse reports whether the request is on a route with large responses.
func (s *service) isLongResponse() bool {
	names := s.n.longRoutes.Load()
	return s.n.longResponses != nil && names != nil && (*names)[s.route]
}

// takeTurn prepares the transmission of a response. A response that was read completely
// no longer needs the slot of its target. A large one is sent in parts, each when it is
// its turn. The returned function must be called after the transmission.
func (s *service) takeTurn(response *http.Response) (finish func()) {
	buffered, ok := response.Body.(*bufferedBody)
	if !ok {
		return func() {}
	}
	s.releaseSlot()
	if !s.isLongResponse() || len(buffered.remaining) <= longResponsePartBytes || sameVM(s.r) {
		return func() {}
	}
	turn := &routing.LongResponse{Objective: s.objective(), Left: int64(len(buffered.remaining))}
	s.n.longResponses.enter(turn)
	buffered.awaitPart = func(bytes int) { s.n.longResponses.await(s.ctx, turn, bytes) }
	return func() { s.n.longResponses.leave(turn) }
}

// objective returns the time by which the caller wants the response, or zero.
func (s *service) objective() time.Time {
	if ms, ok := parseNumericHeader(s.r.Header, ObjectiveHeader, 10, 32); ok {
		return s.started.Add(time.Duration(ms) * time.Millisecond)
	}
	return time.Time{}
}

// sameVM reports whether the sender of the request runs on this VM, so that the response
// does not use the VM's link.
func sameVM(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	localHost, _, errLocal := net.SplitHostPort(local.String())
	remoteHost, _, errRemote := net.SplitHostPort(r.RemoteAddr)
	return errLocal == nil && errRemote == nil && localHost == remoteHost
}
