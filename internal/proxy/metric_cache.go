package proxy

import (
	"maps"
	"sync"
	"sync/atomic"
)

// maxCachedMetrics bounds the cached metrics of one vector. Each new one copies
// the map, and labels also come from other daemons.
const maxCachedMetrics = 1024

// metricCache caches the metrics of a vector by their labels, so that a request
// neither hashes label values nor takes the vector's lock. The zero value is
// ready for use, also by concurrent goroutines.
type metricCache[K comparable, V any] struct {
	// addMu serialises changes of cached.
	addMu  sync.Mutex
	cached atomic.Pointer[map[K]V]
}

// get returns the cached metric, or else the result of lookUp. Metrics beyond
// the limit are looked up each time.
func (c *metricCache[K, V]) get(labels K, lookUp func() V) V {
	cached := c.load()
	if metric, ok := cached[labels]; ok {
		return metric
	}
	metric := lookUp()
	if len(cached) < maxCachedMetrics {
		c.add(labels, metric)
	}
	return metric
}

func (c *metricCache[K, V]) load() map[K]V {
	if cached := c.cached.Load(); cached != nil {
		return *cached
	}
	return nil
}

func (c *metricCache[K, V]) add(labels K, metric V) {
	c.addMu.Lock()
	defer c.addMu.Unlock()
	next := map[K]V{}
	maps.Copy(next, c.load())
	next[labels] = metric
	c.cached.Store(&next)
}
