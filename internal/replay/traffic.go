package replay

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/move"
)

const (
	// provingPermille is the maximum progress of a version that is not proved.
	provingPermille = 50
	// crashRetryMs is the time after which a caller retries a crashing request.
	crashRetryMs = 400
	// crashesBeforeQuarantine is the number of targets that a request can crash
	// before it is quarantined.
	crashesBeforeQuarantine = 3
	// minShareRequests is the minimum number of requests for which a share of
	// requests is reported.
	minShareRequests = 1000
	// normalApproximationMean is the mean above which a Poisson count is sampled
	// from a normal distribution.
	normalApproximationMean = 40
)

// sendTraffic sends the requests of one tick.
func (r *run) sendTraffic(now int64) {
	share := r.meanShare()
	for _, s := range r.env.servicesInOrder {
		s.distributeLoad(now, share, r.lastStep.Focus)
		for _, rt := range s.routes {
			r.sendRoute(now, s, rt)
		}
		s.addServingTime()
	}
}

// meanShare returns the mean share of the new version over all daemons.
func (r *run) meanShare() float64 {
	var sum float64
	for _, d := range r.daemons {
		sum += d.share()
	}
	return sum / float64(len(r.daemons))
}

func (r *run) sendRoute(now int64, s *service, rt *route) {
	var models [2]responseModel
	for i, v := range s.versions {
		models[i] = newResponseModel(&rt.behaviour[i], v.load, v.share)
	}
	// The observer compares the new version with the old one under the load of the
	// new one.
	good := newResponseModel(&rt.behaviour[oldVersion], s.versions[newVersion].load, 0)
	for range poisson(r.rng, rt.perSecond*tickMs/1000) {
		d := r.daemons[r.rng.IntN(len(r.daemons))]
		index := r.chooseVersion(rt, d)
		active := s.versions[index].activeTargets
		if len(active) == 0 {
			r.countOfferedRequest(s)
			continue
		}
		t := active[r.rng.IntN(len(active))]
		o := r.newObservation(s, rt, index, models[index], t)
		d.scheduleCompletion(now, o)
		r.countRequest(now, s, index)
		if index == newVersion && s.bad && !r.ended {
			r.observer.recordRequest(now, o, models[newVersion], good, t.coldLatencyFactor())
		}
	}
}

// chooseVersion returns the index of the version that a request goes to.
func (r *run) chooseVersion(rt *route, d *daemon) int {
	if d.choosesNew(r.rng, rt) && len(rt.service.versions[newVersion].activeTargets) > 0 {
		return newVersion
	}
	return oldVersion
}

func (r *run) newObservation(s *service, rt *route, index int, m responseModel, t *target) move.Observation {
	ms := latencyQuantile(m.base, r.rng.Float64()) * m.latencyFactor * t.coldLatencyFactor()
	failed := r.rng.Float64() < m.errorRate
	return move.Observation{
		Key:     move.SampleKey{Ticket: ticketNumber, Route: rt.name, Service: s.name, New: index == newVersion},
		Latency: time.Duration(ms * float64(time.Millisecond)),
		Failed:  failed, Answered: failed,
	}
}

// countOfferedRequest counts a request to any version. Requests without an
// available target count too: without them the new version's fraction would
// exceed its share whenever the old version's targets crash.
func (r *run) countOfferedRequest(s *service) {
	if r.ended && r.outcome.End == Done {
		return
	}
	r.outcome.Requests++
	if r.outcome.ProvedMs < 0 {
		s.unprovedRequests++
	}
}

func (r *run) countRequest(now int64, s *service, index int) {
	r.countOfferedRequest(s)
	if r.ended && r.outcome.End == Done || index != newVersion {
		return
	}
	unproved := r.outcome.ProvedMs < 0
	r.outcome.NewRequests++
	r.outcome.StoppedMs = now
	if unproved {
		s.unprovedNewRequests++
		r.updateUnprovedShare()
	}
	if r.outcome.ShownMs >= 0 {
		r.outcome.AfterShown++
	}
	if r.outcome.EvidentMs >= 0 {
		r.outcome.AfterEvident++
	}
}

// updateUnprovedShare sets the outcome's unproved share to the largest of the
// services.
func (r *run) updateUnprovedShare() {
	r.outcome.UnprovedShare = 0
	for _, s := range r.env.servicesInOrder {
		if s.unprovedRequests >= minShareRequests {
			r.outcome.UnprovedShare = max(r.outcome.UnprovedShare, float64(s.unprovedNewRequests)/float64(s.unprovedRequests))
		}
	}
}

// sendCrashingRequests sends the crashing requests that are due.
func (r *run) sendCrashingRequests(now int64) {
	for i := range r.env.crashingRequests {
		c := &r.env.crashingRequests[i]
		if c.sendCount >= c.spec.SendCount || c.crashCount >= crashesBeforeQuarantine || now < c.nextSendMs {
			continue
		}
		c.sendCount++
		c.nextSendMs = now + crashRetryMs
		r.crashTarget(now, c)
	}
}

// crashTarget sends the crashing request to a target, which crashes. All other
// requests in flight on the target fail, each with its own fingerprint.
func (r *run) crashTarget(now int64, c *crashingRequest) {
	s := c.route.service
	d := r.daemons[r.rng.IntN(len(r.daemons))]
	index := r.chooseVersion(c.route, d)
	v := s.versions[index]
	if len(v.activeTargets) == 0 {
		return
	}
	c.crashCount++
	t := v.activeTargets[r.rng.IntN(len(v.activeTargets))]
	t.downUntilMs = now + c.spec.RestartMs
	t.servingMs = 0
	key := move.SampleKey{Ticket: ticketNumber, Route: c.route.name, Service: s.name, New: index == newVersion}
	d.collector.Observe(move.Observation{Key: key, Failed: true, CrashFingerprint: fingerprint(c.spec.RequestKey)})
	for range poisson(r.rng, v.load*s.slots) {
		r.lastFailedFingerprint++
		caller := r.daemons[r.rng.IntN(len(r.daemons))]
		caller.collector.Observe(move.Observation{Key: key, Failed: true, CrashFingerprint: r.lastFailedFingerprint})
	}
}

// fingerprint returns the hash of a request key. The highest bit is set, so that it
// differs from the fingerprints of the other failed requests.
func fingerprint(key string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	return hash.Sum64() | 1<<63
}

// poisson returns a random count from the Poisson distribution.
func poisson(rng *rand.Rand, mean float64) int {
	if mean > normalApproximationMean {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*rng.NormFloat64())))
	}
	limit := math.Exp(-mean)
	n := 0
	for product := rng.Float64(); product > limit; product *= rng.Float64() {
		n++
	}
	return n
}
