package replay

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

// daemon is one simulated caller-side daemon.
type daemon struct {
	collector *move.Collector
	brake     *move.Brake
	targets   *move.TargetTracker
	step      move.Step
	incoming  []delivery
	stopped   bool
	braked    bool
	stopAt    int64
	// pending holds observations by the tick at which the request finishes.
	pending map[int64][]move.Observation
	// draws chooses the versions of each route.
	draws map[*route]*move.WeylSequence
}

type delivery struct {
	atMs int64
	step move.Step
}

func newDaemon(judge move.Judge, ticket *model.OpenTicket) *daemon {
	return &daemon{
		collector: move.NewCollector(),
		brake:     move.NewBrake(judge),
		targets:   move.NewTargetTracker(ticket, false),
		stopAt:    -1,
		pending:   map[int64][]move.Observation{},
		draws:     map[*route]*move.WeylSequence{},
	}
}

// receive applies the steps that have arrived, and a stop.
func (d *daemon) receive(now int64) {
	for len(d.incoming) > 0 && d.incoming[0].atMs <= now {
		if d.incoming[0].step.Newer(d.step) {
			d.step = d.incoming[0].step
		}
		d.incoming = d.incoming[1:]
	}
	if d.stopAt >= 0 && now >= d.stopAt {
		d.stopped = true
	}
}

// share is the fraction of traffic that the daemon gives to the new version.
func (d *daemon) share() float64 {
	if d.stopped {
		return 0
	}
	return float64(d.step.Permille) / move.FullProgress
}

// picksNew chooses the version of a request of the route as the router does.
func (d *daemon) picksNew(rng *rand.Rand, rt *route) bool {
	draw, ok := d.draws[rt]
	if !ok {
		draw = move.NewWeylSequence(rng.Uint64())
		d.draws[rt] = draw
	}
	return draw.Next() < d.share()
}

// finish counts the requests that finish at now.
func (d *daemon) finish(now int64) {
	for _, o := range d.pending[now] {
		d.collector.Observe(o)
	}
	delete(d.pending, now)
}

func (d *daemon) later(now int64, o move.Observation) {
	at := now + o.Latency.Milliseconds()/tickMs*tickMs
	if at == now {
		d.collector.Observe(o)
		return
	}
	d.pending[at] = append(d.pending[at], o)
}

// drain ends an interval and reports whether the daemon set its brake in it.
func (d *daemon) drain(now time.Time, counts map[string]move.TargetCount, cutOff bool) (samples []move.Sample, reason string, set bool) {
	samples = d.collector.Drain()
	d.targets.Update(now, counts, d.step)
	stage := d.targets.Stage(now, d.step)
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

// send schedules a delivery after a random delay of at most limit.
func (d *daemon) send(rng *rand.Rand, now int64, limit time.Duration, step move.Step) {
	at := now + rng.Int64N(limit.Milliseconds()+1)
	if n := len(d.incoming); n > 0 {
		at = max(at, d.incoming[n-1].atMs)
	}
	d.incoming = append(d.incoming, delivery{atMs: at, step: step})
}

func (d *daemon) stop(rng *rand.Rand, now int64, limit time.Duration) {
	if d.stopAt < 0 {
		d.stopAt = now + rng.Int64N(limit.Milliseconds()+1)
	}
}
