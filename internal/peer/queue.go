package peer

import (
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// queuedFrame is an encoded frame in a send queue.
type queuedFrame struct {
	kind    string
	encoded []byte
}

// queue is the send queue of one link. Urgent frames, which are all frames that
// are not bulk, are sent before bulk frames. Each of the two groups is sent in
// order.
type queue struct {
	mu          sync.Mutex
	urgent      []queuedFrame
	bulk        []queuedFrame
	bytes       int
	maxFrames   int
	maxBytes    int
	bulkLimiter *tokenBucket
	closed      bool
	// changed notifies the writer of a new frame or of close; its capacity is one.
	changed chan struct{}
}

func newQueue(c *Config, now time.Time) *queue {
	return &queue{
		maxFrames: c.QueueFrames, maxBytes: c.QueueBytes,
		bulkLimiter: newTokenBucket(c.BulkBytesPerSecond, c.BulkBurstBytes, now),
		changed:     make(chan struct{}, 1),
	}
}

// push adds a frame. It fails with fault.Overloaded when the queue is full;
// after close it drops the frame.
func (q *queue) push(frame queuedFrame, bulk bool, now time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil
	}
	frames := len(q.urgent) + len(q.bulk)
	if frames >= q.maxFrames || q.bytes+len(frame.encoded) > q.maxBytes {
		return fault.New(fault.Overloaded, "send queue of the link is full: %d frames, %d bytes", frames, q.bytes)
	}
	q.bytes += len(frame.encoded)
	if bulk {
		if len(q.bulk) == 0 {
			q.bulkLimiter.refillToBurst(now)
		}
		q.bulk = append(q.bulk, frame)
	} else {
		q.urgent = append(q.urgent, frame)
	}
	q.notifyWriter()
	return nil
}

// close makes the queue drop later frames. Frames that are already queued stay.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notifyWriter()
}

func (q *queue) notifyWriter() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// popResult is the result of pop: a frame, a time to wait, or the end of the
// queue. The zero value means that the queue is empty.
type popResult struct {
	frame queuedFrame
	// ok is true when frame is set.
	ok bool
	// wait is the time until the first bulk frame may be sent; zero if there is
	// none.
	wait time.Duration
	// done is true when the queue is closed and empty.
	done bool
}

// pop removes and returns the next frame to send.
func (q *queue) pop(now time.Time) popResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.urgent) > 0 {
		return q.removeFirst(&q.urgent)
	}
	if len(q.bulk) == 0 {
		return popResult{done: q.closed}
	}
	if wait := q.bulkLimiter.take(len(q.bulk[0].encoded), now); wait > 0 {
		return popResult{wait: wait}
	}
	return q.removeFirst(&q.bulk)
}

func (q *queue) removeFirst(list *[]queuedFrame) popResult {
	frame := (*list)[0]
	(*list)[0] = queuedFrame{}
	*list = (*list)[1:]
	q.bytes -= len(frame.encoded)
	return popResult{frame: frame, ok: true}
}
