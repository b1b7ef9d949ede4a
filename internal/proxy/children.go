package proxy

import (
	"maps"
	"sync"
	"sync/atomic"
)

// maxChildren bounds the kept metrics of one vector. Each new one copies the
// map, and labels come from other daemons as well.
const maxChildren = 1024

// children keeps the metrics of a vector by their labels, so that a request
// neither hashes label values nor takes the vector's lock. The zero value is
// ready for use, also by several goroutines.
type children[K comparable, V any] struct {
	// adding serialises changes.
	adding sync.Mutex
	known  atomic.Pointer[map[K]V]
}

// get returns the kept metric, or the one that find returns. Metrics beyond
// the limit are looked up each time.
func (c *children[K, V]) get(labels K, find func() V) V {
	known := c.load()
	if child, ok := known[labels]; ok {
		return child
	}
	child := find()
	if len(known) < maxChildren {
		c.add(labels, child)
	}
	return child
}

func (c *children[K, V]) load() map[K]V {
	if known := c.known.Load(); known != nil {
		return *known
	}
	return nil
}

func (c *children[K, V]) add(labels K, child V) {
	c.adding.Lock()
	defer c.adding.Unlock()
	next := map[K]V{}
	maps.Copy(next, c.load())
	next[labels] = child
	c.known.Store(&next)
}
