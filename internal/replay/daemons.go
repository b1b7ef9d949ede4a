package replay

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

// daemon is one simulated caller-side daemon.
type daemon struct {
	collector     *move.Collector
	brake         *move.Brake
	targetTracker *move.TargetTracker
	step          move.Step
	deliveries    []stepDelivery
	stopped       bool
	braked        bool
	// stopAtMs is the time at which the daemon stops traffic to the new version;
	// -1 means that no stop is scheduled.
	stopAtMs int64
	// pending contains the observations of unfinished requests, by the tick in
	// milliseconds at which the request finishes.
	pending map[int64][]move.Observation
	// sequences contains the sequence of each route that chooses the versions of
	// its requests.
	sequences map[*route]*move.WeylSequence
}

// stepDelivery is the delivery of a step to a daemon.
type stepDelivery struct {
	atMs int64
	step move.Step
}

func newDaemon(judge move.Judge, ticket *model.OpenTicket) *daemon {
	return &daemon{
		collector:     move.NewCollector(),
		brake:         move.NewBrake(judge),
		targetTracker: move.NewTargetTracker(ticket, false),
		stopAtMs:      -1,
		pending:       map[int64][]move.Observation{},
		sequences:     map[*route]*move.WeylSequence{},
	}
}

// applyDeliveries applies the steps that have arrived by now, and a stop that is
// due.
func (d *daemon) applyDeliveries(now int64) {
	for len(d.deliveries) > 0 && d.deliveries[0].atMs <= now {
		if d.deliveries[0].step.Newer(d.step) {
			d.step = d.deliveries[0].step
		}
		d.deliveries = d.deliveries[1:]
	}
	if d.stopAtMs >= 0 && now >= d.stopAtMs {
		d.stopped = true
	}
}

// share returns the fraction of traffic that the daemon sends to the new version.
func (d *daemon) share() float64 {
	if d.stopped {
		return 0
	}
	return float64(d.step.Permille) / move.FullProgress
}

// choosesNew reports whether the next request of the route goes to the new
// version. It uses the same sequence as the router.
func (d *daemon) choosesNew(rng *rand.Rand, rt *route) bool {
	sequence, ok := d.sequences[rt]
	if !ok {
		sequence = move.NewWeylSequence(rng.Uint64())
		d.sequences[rt] = sequence
	}
	return sequence.Next() < d.share()
}

// completeRequests records the requests that finish at now.
func (d *daemon) completeRequests(now int64) {
	for _, o := range d.pending[now] {
		d.collector.Observe(o)
	}
	delete(d.pending, now)
}

// scheduleCompletion records the observation of a request that starts now at the
// tick in which the request finishes.
func (d *daemon) scheduleCompletion(now int64, o move.Observation) {
	at := now + o.Latency.Milliseconds()/tickMs*tickMs
	if at == now {
		d.collector.Observe(o)
		return
	}
	d.pending[at] = append(d.pending[at], o)
}

// drain ends a sample interval. It returns the samples of the interval and
// whether the daemon set its brake in it, with the reason.
func (d *daemon) drain(now time.Time, counts map[string]move.TargetCount, cutOff bool) (samples []move.Sample, reason string, set bool) {
	samples = d.collector.Drain()
	d.targetTracker.Update(now, counts, d.step)
	stage := d.targetTracker.Stage(now, d.step)
	stage.ControllerUnreachable = cutOff
	d.brake.Observe(now, stage, samples)
	reason, set = d.brake.Set()
	set = set && !d.braked
	if set {
		d.braked = true
		d.stopped = true
	}
	return samples, reason, set
}

// sendStep schedules the delivery of a step after a random delay of at most
// maxDelay. Steps arrive in the order in which they are sent.
func (d *daemon) sendStep(rng *rand.Rand, now int64, maxDelay time.Duration, step move.Step) {
	at := now + rng.Int64N(maxDelay.Milliseconds()+1)
	if n := len(d.deliveries); n > 0 {
		at = max(at, d.deliveries[n-1].atMs)
	}
	d.deliveries = append(d.deliveries, stepDelivery{atMs: at, step: step})
}

// sendStop schedules the stop of traffic to the new version after a random delay
// of at most maxDelay. Only the first call has an effect.
func (d *daemon) sendStop(rng *rand.Rand, now int64, maxDelay time.Duration) {
	if d.stopAtMs < 0 {
		d.stopAtMs = now + rng.Int64N(maxDelay.Milliseconds()+1)
	}
}
