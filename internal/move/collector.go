package move

import (
	"cmp"
	"slices"
	"sync"
)

// fingerprintsKept bounds the memory of crash fingerprints. The oldest is
// forgotten first; quarantine stops a crashing request long before that.
const fingerprintsKept = 4096

// Collector counts the observations of one daemon. It is safe for concurrent use.
type Collector struct {
	mu      sync.Mutex
	samples map[SampleKey]*Sample
	crashed map[SampleKey]bool
	seen    map[uint64]bool
	order   []uint64
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{
		samples: map[SampleKey]*Sample{},
		crashed: map[SampleKey]bool{},
		seen:    map[uint64]bool{},
	}
}

// Observe counts a finished request. A crash fingerprint counts as at most
// one failure for the life of the collector. Within one interval, crashes
// count as at most one failure for each key, because the death of one target
// fails every request that the target is running.
func (c *Collector) Observe(o Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.CrashFingerprint != 0 && !c.admitCrash(o) {
		return
	}
	s, ok := c.samples[o.Key]
	if !ok {
		s = &Sample{Key: o.Key}
		c.samples[o.Key] = s
	}
	s.Requests++
	if o.Failed || o.CrashFingerprint != 0 {
		s.Errors++
	}
	s.Latency[BucketOf(o.Latency)]++
}

func (c *Collector) admitCrash(o Observation) bool {
	if c.seen[o.CrashFingerprint] {
		return false
	}
	c.remember(o.CrashFingerprint)
	if c.crashed[o.Key] {
		return false
	}
	c.crashed[o.Key] = true
	return true
}

func (c *Collector) remember(fingerprint uint64) {
	if len(c.order) == fingerprintsKept {
		delete(c.seen, c.order[0])
		c.order = c.order[1:]
	}
	c.seen[fingerprint] = true
	c.order = append(c.order, fingerprint)
}

// Drain returns the counts since the last call, ordered by key, and starts a
// new interval.
func (c *Collector) Drain() []Sample {
	c.mu.Lock()
	samples := c.samples
	c.samples = make(map[SampleKey]*Sample, len(samples))
	c.crashed = map[SampleKey]bool{}
	c.mu.Unlock()
	drained := make([]Sample, 0, len(samples))
	for _, s := range samples {
		drained = append(drained, *s)
	}
	slices.SortFunc(drained, func(a, b Sample) int { return compareKeys(a.Key, b.Key) })
	return drained
}

func compareKeys(a, b SampleKey) int {
	return cmp.Or(
		cmp.Compare(a.Ticket, b.Ticket),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Route, b.Route),
		compareBool(a.New, b.New),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// routeKey names a route of a service.
type routeKey struct {
	service string
	route   string
}

func (k routeKey) compare(other routeKey) int {
	return cmp.Or(cmp.Compare(k.service, other.service), cmp.Compare(k.route, other.route))
}

// insertKey inserts a key that keys does not hold.
func insertKey(keys []routeKey, key routeKey) []routeKey {
	at, _ := slices.BinarySearchFunc(keys, key, routeKey.compare)
	return slices.Insert(keys, at, key)
}
