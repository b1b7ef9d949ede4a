package replay

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/move"
)

const (
	// provingPermille is the most progress of a version that is not proved.
	provingPermille = 50
	// crashSendMs is how long a caller waits before it sends a crashing request again.
	crashSendMs = 400
	// crashesAllowed is how many targets a request can kill before its quarantine.
	crashesAllowed = 3
	// shareRequests is how many requests a share of requests needs.
	shareRequests = 1000
	// normalMean is the mean above which a Poisson count is drawn from a
	// normal distribution.
	normalMean = 40
)

// traffic sends the requests of one tick.
func (r *run) traffic(now int64) {
	share := r.meanShare()
	for _, s := range r.world.order {
		s.spread(now, share, r.lastStep.Focus)
		for _, rt := range s.routes {
			r.sendRoute(now, s, rt)
		}
		s.warm()
	}
}

func (r *run) meanShare() float64 {
	var sum float64
	for _, d := range r.daemons {
		sum += d.share()
	}
	return sum / float64(len(r.daemons))
}

func (r *run) sendRoute(now int64, s *service, rt *route) {
	var effects [2]effect
	for i, v := range s.versions {
		effects[i] = effectOf(&rt.behaviour[i], v.load, v.share)
	}
	// The good counterpart of the new version is the old one under the same load.
	good := effectOf(&rt.behaviour[oldVersion], s.versions[newVersion].load, 0)
	for range poisson(r.rng, rt.perSecond*tickMs/1000) {
		d := r.daemons[r.rng.IntN(len(r.daemons))]
		index := r.pick(rt, d)
		used := s.versions[index].used
		if len(used) == 0 {
			r.countOffered(s)
			continue
		}
		t := used[r.rng.IntN(len(used))]
		o := r.request(s, rt, index, effects[index], t)
		d.later(now, o)
		r.count(now, s, index)
		if index == newVersion && s.bad && !r.ended {
			r.observer.sent(now, o, effects[newVersion], good, t.coldFactor())
		}
	}
}

// pick chooses the version of a request.
func (r *run) pick(rt *route, d *daemon) int {
	if d.picksNew(r.rng, rt) && len(rt.service.versions[newVersion].used) > 0 {
		return newVersion
	}
	return oldVersion
}

func (r *run) request(s *service, rt *route, index int, e effect, t *target) move.Observation {
	ms := quantile(e.base, r.rng.Float64()) * e.latency * t.coldFactor()
	return move.Observation{
		Key:     move.SampleKey{Ticket: ticketNumber, Route: rt.name, Service: s.name, New: index == newVersion},
		Latency: time.Duration(ms * float64(time.Millisecond)),
		Failed:  r.rng.Float64() < e.errors,
	}
}

// countOffered counts a request of any version. Requests that find no target
// belong to the service's traffic too: without them the new version's part
// would exceed its share whenever the old version's targets crash.
func (r *run) countOffered(s *service) {
	if r.ended && r.out.End == Done {
		return
	}
	r.out.Requests++
	if r.out.ProvedMs < 0 {
		s.unprovedAll++
	}
}

func (r *run) count(now int64, s *service, index int) {
	r.countOffered(s)
	if r.ended && r.out.End == Done || index != newVersion {
		return
	}
	unproved := r.out.ProvedMs < 0
	r.out.NewRequests++
	r.out.StoppedMs = now
	if unproved {
		s.unprovedNew++
		r.noteUnprovedShare()
	}
	if r.out.ShownMs >= 0 {
		r.out.AfterShown++
	}
	if r.out.EvidentMs >= 0 {
		r.out.AfterEvident++
	}
}

// noteUnprovedShare keeps the largest share of the services at this time.
func (r *run) noteUnprovedShare() {
	r.out.UnprovedShare = 0
	for _, s := range r.world.order {
		if s.unprovedAll >= shareRequests {
			r.out.UnprovedShare = max(r.out.UnprovedShare, float64(s.unprovedNew)/float64(s.unprovedAll))
		}
	}
}

// crashes sends the crashing requests that are due.
func (r *run) crashes(now int64) {
	for i := range r.world.crashes {
		c := &r.world.crashes[i]
		if c.sent >= c.spec.Sent || c.kills >= crashesAllowed || now < c.nextMs {
			continue
		}
		c.sent++
		c.nextMs = now + crashSendMs
		r.crash(now, c)
	}
}

// crash kills a target. Every request that it is running fails.
func (r *run) crash(now int64, c *crash) {
	s := c.route.service
	d := r.daemons[r.rng.IntN(len(r.daemons))]
	index := r.pick(c.route, d)
	v := s.versions[index]
	if len(v.used) == 0 {
		return
	}
	c.kills++
	t := v.used[r.rng.IntN(len(v.used))]
	t.awayUntil = now + c.spec.RestartMs
	t.warmMs = 0
	key := move.SampleKey{Ticket: ticketNumber, Route: c.route.name, Service: s.name, New: index == newVersion}
	d.collector.Observe(move.Observation{Key: key, Failed: true, CrashFingerprint: fingerprint(c.spec.RequestKey)})
	for range poisson(r.rng, v.load*s.slots) {
		r.crashKeys++
		victim := r.daemons[r.rng.IntN(len(r.daemons))]
		victim.collector.Observe(move.Observation{Key: key, Failed: true, CrashFingerprint: r.crashKeys})
	}
}

func fingerprint(key string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	return hash.Sum64() | 1<<63
}

func poisson(rng *rand.Rand, mean float64) int {
	if mean > normalMean {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*rng.NormFloat64())))
	}
	limit := math.Exp(-mean)
	n := 0
	for product := rng.Float64(); product > limit; product *= rng.Float64() {
		n++
	}
	return n
}
