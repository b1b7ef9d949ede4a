// Package workcost learns how much work requests cause. It does no I/O and is not safe
// for concurrent use.
package workcost

import (
	"math"
	"math/bits"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxClasses bounds the classes of a model, which take about 0.3 KB each.
	maxClasses = 1024
	// evictionSample is the number of classes of which the one that was used least
	// recently is dropped.
	evictionSample = 8
	// MeasuredSamples is the number of samples from which a class is used when the
	// samples are measured work, and ExpectedSamples when they are what another daemon
	// expects, which varies less. Below, a coarser class is used.
	MeasuredSamples = 6
	ExpectedSamples = 2
	// errorSmoothing is the weight of the latest request in the error of a grouping.
	errorSmoothing = 1.0 / 64
	// minGain is the part by which a finer grouping must lower the error to be used.
	minGain = 0.05
	// maxPrefixSegments is the number of path segments that tell requests apart.
	maxPrefixSegments = 3
)

// Features are the properties of a request from which its work is expected.
type Features struct {
	Route  string
	Tenant string
	Caller string
	Path   string
	Bytes  int64
}

// feature is a set of features, as bits.
type feature uint

const (
	byTenant feature = 1 << iota
	byCaller
	bySize
	byPath
)

// groupings lists the sets of features, beside the route, by which requests are divided
// into classes, from coarse to fine. Which of them predicts the work best is learned
// for each route.
var groupings = [...]feature{
	0, bySize, byPath, byTenant, byCaller, byPath | bySize, byTenant | byPath, byTenant | bySize, byCaller | byPath,
	byTenant | byCaller | bySize | byPath,
}

// routeErrors holds the aged squared errors of the logarithm of the expected work, and
// how many there were, for each grouping of the requests of a route.
type routeErrors struct {
	values [len(groupings)]float64
	counts [len(groupings)]float64
}

// Model learns the work of classes of requests.
type Model struct {
	classes map[uint64]*Distribution
	errors  map[uint64]*routeErrors
	uses    uint64
	// minSamples is the number of samples from which a class is used.
	minSamples float32
}

// New returns a model without samples that uses a class from minSamples on.
func New(minSamples int) *Model {
	return &Model{classes: map[uint64]*Distribution{}, errors: map[uint64]*routeErrors{}, minSamples: float32(minSamples)}
}

// Key identifies the classes of one request, so that its features need not be kept.
type Key struct {
	route uint64
	parts [4]uint64
}

// NewKey returns the key of a request with the features.
func NewKey(f Features) Key {
	return Key{route: xxhash.Sum64String(f.Route), parts: [4]uint64{
		xxhash.Sum64String(f.Tenant), xxhash.Sum64String(f.Caller), uint64(bits.Len64(uint64(max(0, f.Bytes)))), xxhash.Sum64String(prefix(f.Path)),
	}}
}

// prefix returns the first segments of the path before one that has a digit, which is
// usually the name of a single object.
func prefix(path string) string {
	end := 0
	for range maxPrefixSegments {
		rest := path[end:]
		if rest == "" {
			break
		}
		length := len(rest)
		if i := strings.IndexByte(rest[1:], '/'); i >= 0 {
			length = i + 1
		}
		if strings.ContainsAny(rest[:length], "0123456789") {
			break
		}
		end += length
	}
	return path[:end]
}

// class returns the identifier of the request's class in a grouping.
func (k *Key) class(grouping int) uint64 {
	const multiplier = 0x9E3779B97F4A7C15
	hash := (k.route + uint64(grouping) + 1) * multiplier
	for i, part := range k.parts {
		if groupings[grouping]&(1<<i) != 0 {
			hash = (bits.RotateLeft64(hash, 29) ^ part) * multiplier
		}
	}
	return hash
}

// Expect returns the distribution of the work of the request's class, or nil when
// nothing like it has been learned.
func (m *Model) Expect(k *Key) *Distribution {
	errors := m.errors[k.route]
	if errors == nil {
		return nil
	}
	var best *Distribution
	lowest := math.Inf(1)
	for i := range groupings {
		if best != nil && errors.values[i] >= lowest*(1-minGain) {
			continue
		}
		d := m.classes[k.class(i)]
		if d == nil || i > 0 && (errors.counts[i] == 0 || d.samples < m.minSamples) {
			continue
		}
		best, lowest = d, errors.values[i]
	}
	if best != nil {
		m.uses++
		best.usedAt = m.uses
	}
	return best
}

// Learn adds the work of a request.
func (m *Model) Learn(k *Key, work time.Duration) {
	ms := max(milliseconds(work), 0.1)
	logMs := math.Log(ms)
	errors := m.errors[k.route]
	if errors == nil {
		if len(m.errors) >= maxClasses/len(groupings) {
			return
		}
		errors = &routeErrors{}
		m.errors[k.route] = errors
	}
	m.uses++
	for i := range groupings {
		id := k.class(i)
		d := m.classes[id]
		if d == nil {
			if len(m.classes) >= maxClasses {
				m.evict()
			}
			d = &Distribution{}
			m.classes[id] = d
		}
		if d.samples >= m.minSamples {
			errors.add(i, (logMs-d.logMean)*(logMs-d.logMean))
		}
		d.add(ms, logMs)
		d.usedAt = m.uses
	}
}

// add adds the squared error of a prediction by the grouping.
func (e *routeErrors) add(grouping int, squared float64) {
	e.counts[grouping]++
	e.values[grouping] += max(errorSmoothing, 1/e.counts[grouping]) * (squared - e.values[grouping])
}

// evict drops a class that has not been used for long.
func (m *Model) evict() {
	var oldest uint64
	least, seen := uint64(math.MaxUint64), 0
	for id, d := range m.classes {
		if d.usedAt < least {
			oldest, least = id, d.usedAt
		}
		if seen++; seen == evictionSample {
			break
		}
	}
	delete(m.classes, oldest)
}

// Classes returns the number of classes.
func (m *Model) Classes() int { return len(m.classes) }
