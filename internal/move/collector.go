package move

import (
	"cmp"
	"slices"
	"sync"
)

// maxFingerprints is the maximum number of stored crash fingerprints. The oldest
// is evicted first; quarantine stops a request that crashes targets long before that.
const maxFingerprints = 4096

// Collector counts the observations of one daemon. It is safe for concurrent use.
type Collector struct {
	mu               sync.Mutex
	samples          map[SampleKey]*Sample
	crashedKeys      map[SampleKey]bool
	fingerprints     map[uint64]bool
	fingerprintOrder []uint64
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{
		samples:      map[SampleKey]*Sample{},
		crashedKeys:  map[SampleKey]bool{},
		fingerprints: map[uint64]bool{},
	}
}

// Observe counts a finished request. A crash fingerprint counts as at most
// one failure until it is evicted. Within one interval, crashes count as at most
// one failure for each key, because the crash of one target fails every request
// that the target is running.
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
		if o.Answered && o.CrashFingerprint == 0 {
			s.AnsweredErrors++
		}
	}
	s.Latency[BucketOf(o.Latency)]++
}

// admitCrash stores the crash fingerprint and reports whether the crash counts as
// a failure.
func (c *Collector) admitCrash(o Observation) bool {
	if c.fingerprints[o.CrashFingerprint] {
		return false
	}
	c.addFingerprint(o.CrashFingerprint)
	if c.crashedKeys[o.Key] {
		return false
	}
	c.crashedKeys[o.Key] = true
	return true
}

func (c *Collector) addFingerprint(fingerprint uint64) {
	if len(c.fingerprintOrder) == maxFingerprints {
		delete(c.fingerprints, c.fingerprintOrder[0])
		c.fingerprintOrder = c.fingerprintOrder[1:]
	}
	c.fingerprints[fingerprint] = true
	c.fingerprintOrder = append(c.fingerprintOrder, fingerprint)
}

// Drain returns the counts since the previous call, ordered by key, and starts a
// new interval.
func (c *Collector) Drain() []Sample {
	c.mu.Lock()
	samples := c.samples
	c.samples = make(map[SampleKey]*Sample, len(samples))
	c.crashedKeys = map[SampleKey]bool{}
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

// routeKey identifies a route of a service.
type routeKey struct {
	service string
	route   string
}

func (k routeKey) compare(other routeKey) int {
	return cmp.Or(cmp.Compare(k.service, other.service), cmp.Compare(k.route, other.route))
}

// insertKey inserts key, which must not be present, into the sorted keys.
func insertKey(keys []routeKey, key routeKey) []routeKey {
	at, _ := slices.BinarySearchFunc(keys, key, routeKey.compare)
	return slices.Insert(keys, at, key)
}
