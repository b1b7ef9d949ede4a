package routing

import "time"

const (
	// holdTimeSmoothing is the smoothing factor of the moving averages of hold
	// times.
	holdTimeSmoothing = 0.1
	// maxKinds bounds the number of request kinds that are tracked.
	maxKinds = 256
)

// holdTimes holds the mean times that requests hold a slot of one target. They
// are zero until the first request completes.
type holdTimes struct {
	byClass [classCount]time.Duration
	byKind  map[string]time.Duration
	// mean is the mean over the requests of all classes.
	mean time.Duration
}

func newHoldTimes() holdTimes { return holdTimes{byKind: map[string]time.Duration{}} }

// expected estimates how long a request holds its slot.
func (h *holdTimes) expected(w *Waiter) time.Duration {
	if t, ok := h.byKind[w.Kind]; ok && w.Kind != "" {
		return t
	}
	if t := h.byClass[rank(w.Class)]; t > 0 || w.Kind == "" {
		return t
	}
	return h.mean
}

// ofQueue returns the hold time from which the wait in the queue is estimated:
// the mean over all requests when kinds are tracked, otherwise the mean over the
// classes with equal weights.
func (h *holdTimes) ofQueue() time.Duration {
	if len(h.byKind) > 0 {
		return h.mean
	}
	var sum time.Duration
	measured := 0
	for _, t := range h.byClass {
		if t > 0 {
			sum += t
			measured++
		}
	}
	return sum / time.Duration(max(1, measured))
}

// record updates the means after a request has released its slot.
func (h *holdTimes) record(w *Waiter, holdTime time.Duration) {
	class := rank(w.Class)
	h.byClass[class] = movingAverage(h.byClass[class], holdTime)
	h.mean = movingAverage(h.mean, holdTime)
	if w.Kind == "" {
		return
	}
	if _, known := h.byKind[w.Kind]; known || len(h.byKind) < maxKinds {
		h.byKind[w.Kind] = movingAverage(h.byKind[w.Kind], holdTime)
	}
}

func movingAverage(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(holdTimeSmoothing*float64(newest-mean))
}
