package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/workcost"
)

const (
	// relativeWorkSmoothing is the weight of the latest report in the relative work of
	// a target.
	relativeWorkSmoothing = 0.1
	// maxRelativeWork bounds what one report tells about the relative work, up and down.
	maxRelativeWork = 8
	// maxRelativeWorkAge is the age of the last report from which the relative work is
	// ignored.
	maxRelativeWorkAge = 30 * time.Second
	// relativeWorkDrift pulls the relative work to 1 with each report, since only its
	// ratio between targets is known.
	relativeWorkDrift = 0.002
)

// CallerCosts learns at a caller's daemon how much work its requests cause, from the
// reports of the targets' daemons. It is safe for concurrent use.
type CallerCosts struct {
	// active is true once a target has told its pace.
	active atomic.Bool
	mu     sync.Mutex
	model  *workcost.Model
}

// NewCallerCosts returns costs without observations.
func NewCallerCosts() *CallerCosts {
	return &CallerCosts{model: workcost.New(workcost.ExpectedSamples)}
}

// Active reports whether a target has told its pace.
func (c *CallerCosts) Active() bool { return c.active.Load() }

// RequestWork is the expected work of one request. The zero value is unknown.
type RequestWork struct {
	// Expected is how long a target with the relative work 1 works on it.
	Expected time.Duration
	key      workcost.Key
	keyed    bool
}

// Expect returns the expected work of a request with the features.
func (c *CallerCosts) Expect(f workcost.Features) RequestWork {
	if !c.active.Load() {
		return RequestWork{}
	}
	w := RequestWork{key: workcost.NewKey(f), keyed: true}
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.model.Expect(&w.key); d != nil {
		w.Expected = d.Mean()
	}
	return w
}

// Learn records what the daemon beside the target reported when it got the request.
func (c *CallerCosts) Learn(t *Target, w *RequestWork, r WorkReport) {
	t.reportWork(r)
	c.active.Store(true)
	if !w.keyed || r.Expected <= 0 {
		return
	}
	relative := t.relativeWork()
	if w.Expected > 0 {
		told := min(maxRelativeWork, max(1.0/maxRelativeWork, float64(r.Expected)/float64(w.Expected)))
		relative += relativeWorkSmoothing * (told - relative)
		relative += relativeWorkDrift * (1 - relative)
		t.counters.relativeWork.Store(math.Float64bits(relative))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.model.Learn(&w.key, time.Duration(float64(r.Expected)/relative))
}

// reportWork records the target's backlog and pace.
func (t *Target) reportWork(r WorkReport) {
	t.counters.backlog.Store(int64(r.Backlog))
	t.counters.workPace.Store(math.Float64bits(r.Pace))
}

// relativeWork returns how long the target takes for work, compared with others, when
// both are at their mean pace.
func (t *Target) relativeWork() float64 {
	if stored := t.counters.relativeWork.Load(); stored != 0 {
		return math.Float64frombits(stored)
	}
	return 1
}

// tellsWork reports whether the target has recently told its backlog.
func (t *Target) tellsWork(now time.Time) bool {
	return t.counters.workPace.Load() != 0 && t.reportAge(now) < maxLoadReportAge
}

// workTime returns how long the target is expected to take for the request, without the
// wait for a slot. After maxRelativeWorkAge a target counts like the others, so that it
// can show that it has changed. The reported pace is not used: it has changed by the time
// at which the request would arrive.
func (e *costEstimator) workTime(t *Target) time.Duration {
	if t.reportAge(e.now) >= maxRelativeWorkAge {
		return e.work
	}
	return time.Duration(float64(e.work) * t.relativeWork())
}

// workWait estimates the wait for a slot of a target that uses the fraction busy of its
// slots from its backlog. Of the backlog of a target whose slots are all in use, the
// rest of the running requests counts only until the first of them ends.
func (e *costEstimator) workWait(t *Target, busy float64, own time.Duration) time.Duration {
	slots := t.slots()
	excess := busy + 1/slots - 1
	if excess <= 0 || busy <= 0 {
		return 0
	}
	since := float64(t.counters.inFlight.Load()-t.counters.inFlightAtReport.Load()) / slots
	backlog := float64(t.counters.backlog.Load()) + max(0, since)*float64(own)
	return time.Duration(backlog * excess / busy)
}
