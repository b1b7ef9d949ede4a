package sidecar

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"slices"
	"sync"
)

// maxCachedResponses bounds the number of cached responses. Most daemons that
// poll a reader lack the same rows, so a few entries are enough.
const maxCachedResponses = 4

// responseKey holds every value that the encoded response depends on: the
// versions in the request and the state of the responding daemon.
type responseKey struct {
	requestOperators, requestMesh       uint64
	operatorChanges, meshChanges        uint64
	operatorsComplete, meshComplete     uint64
	ownSequence, ownIncarnation, ownEra uint64
	storeAgeMS                          int64
	reading, storeUnavailable, longPoll bool
	// evacuations is the JSON form of the evacuations in the response.
	evacuations string
}

// responseKey returns the cache key of the response to the request. It runs in
// the event loop.
func (d *Daemon) responseKey(request, response *gossipMessage) responseKey {
	key := responseKey{
		requestOperators: request.Operators.Version, requestMesh: request.Mesh.Version,
		operatorChanges: d.tables.operators.changeCount, meshChanges: d.tables.mesh.changeCount,
		operatorsComplete: d.tables.operators.completeVersion, meshComplete: d.tables.mesh.completeVersion,
		storeAgeMS: response.StoreAgeMS, reading: response.Reading, storeUnavailable: response.StoreUnavailable, longPoll: request.WaitMS > 0,
	}
	if response.Own != nil {
		key.ownSequence, key.ownIncarnation, key.ownEra = response.Own.Sequence, response.Own.Incarnation, response.Own.Era
	}
	if response.Evacuations != nil {
		// A struct of strings and numbers always encodes.
		encoded, _ := json.Marshal(response.Evacuations)
		key.evacuations = string(encoded)
	}
	return key
}

// responseCache caches encoded gossip responses, so that a reader encodes a
// configuration once and not once for each daemon that polls it. It is safe for
// concurrent use.
type responseCache struct {
	mu      sync.Mutex
	entries []cachedResponse
}

// cachedResponse is one entry of a responseCache.
type cachedResponse struct {
	key     responseKey
	encoded []byte
}

// get returns the cached response for the key, or calls encode and caches its
// result. Concurrent calls wait for one encoding.
func (c *responseCache) get(key responseKey, encode func() []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.IndexFunc(c.entries, func(entry cachedResponse) bool { return entry.key == key }); i >= 0 {
		return c.entries[i].encoded
	}
	encoded := encode()
	if len(c.entries) == maxCachedResponses {
		c.entries = slices.Delete(c.entries, 0, 1)
	}
	c.entries = append(c.entries, cachedResponse{key, encoded})
	return encoded
}

// encodeCompressed returns the message as gzip-compressed JSON. A configuration
// with many routes takes a few hundred kilobytes, and small VMs have slow
// links.
func encodeCompressed(message any) []byte {
	var buffer bytes.Buffer
	// These calls cannot fail: the level is valid, the buffer is in memory, and the
	// message holds only strings and numbers.
	compressed, _ := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	_ = json.NewEncoder(compressed).Encode(message)
	_ = compressed.Close()
	return buffer.Bytes()
}
