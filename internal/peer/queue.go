package peer

import (
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// item is an encoded frame that waits to be sent.
type item struct {
	kind    string
	encoded []byte
}

// queue holds the frames of one link. Bulk frames keep their order among
// themselves and are overtaken by the others.
type queue struct {
	mu        sync.Mutex
	urgent    []item
	bulk      []item
	bytes     int
	maxFrames int
	maxBytes  int
	pace      *bucket
	closed    bool
	// changed holds at most one wake-up for the writer.
	changed chan struct{}
}

func newQueue(c *Config, now time.Time) *queue {
	return &queue{
		maxFrames: c.QueueFrames, maxBytes: c.QueueBytes,
		pace:    newBucket(c.BulkBytesPerSecond, c.BulkBurstBytes, now),
		changed: make(chan struct{}, 1),
	}
}

// push adds a frame. It fails with fault.Overloaded when the queue is full;
// after close it drops the frame.
func (q *queue) push(it item, bulk bool, now time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil
	}
	frames := len(q.urgent) + len(q.bulk)
	if frames >= q.maxFrames || q.bytes+len(it.encoded) > q.maxBytes {
		return fault.New(fault.Overloaded, "send queue of the link is full with %d frames of %d bytes", frames, q.bytes)
	}
	q.bytes += len(it.encoded)
	if bulk {
		if len(q.bulk) == 0 {
			q.pace.idle(now)
		}
		q.bulk = append(q.bulk, it)
	} else {
		q.urgent = append(q.urgent, it)
	}
	q.wake()
	return nil
}

// close keeps what waits and drops what is pushed later.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.wake()
}

func (q *queue) wake() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// popped is the answer of pop: a frame, a time to wait, or the end.
type popped struct {
	item item
	ok   bool
	// wait is how long the first bulk frame has to wait; zero without one.
	wait time.Duration
	// done is true when the queue is closed and empty.
	done bool
}

// pop removes the frame to send next.
func (q *queue) pop(now time.Time) popped {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.urgent) > 0 {
		return q.take(&q.urgent)
	}
	if len(q.bulk) == 0 {
		return popped{done: q.closed}
	}
	if wait := q.pace.take(len(q.bulk[0].encoded), now); wait > 0 {
		return popped{wait: wait}
	}
	return q.take(&q.bulk)
}

func (q *queue) take(list *[]item) popped {
	it := (*list)[0]
	(*list)[0] = item{}
	*list = (*list)[1:]
	q.bytes -= len(it.encoded)
	return popped{item: it, ok: true}
}
