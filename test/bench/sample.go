package bench

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/test/fleet"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

// Metrics of the peer transport.
const (
	wireBytesMetric  = "magnoliamount_peer_wire_bytes_total"
	frameBytesMetric = "magnoliamount_peer_frame_bytes_total"
)

// maxConcurrentScrapes limits the concurrent scrapes of daemons.
const maxConcurrentScrapes = 8

// Reading holds the traffic in bytes and the resource usage of one daemon since
// the start of the mesh, summed over the daemon's restarts.
type Reading struct {
	Received float64            `json:"received"`
	Sent     float64            `json:"sent"`
	Kinds    map[string]float64 `json:"kinds"`
	Usage    Usage              `json:"usage"`
}

// Sample holds the readings of all daemons at one time.
type Sample struct {
	At       time.Time          `json:"at"`
	Daemons  map[string]Reading `json:"daemons"`
	Platform standin.Stats      `json:"platform"`
}

// sampler scrapes the daemons and keeps totals across restarts.
type sampler struct {
	mesh     *mesh
	mu       sync.Mutex
	current  map[string]Reading
	previous map[string]Reading
	pids     map[string]int
	samples  []Sample
	stop     chan struct{}
	done     chan struct{}
}

func newSampler(m *mesh) *sampler {
	return &sampler{mesh: m, current: map[string]Reading{}, previous: map[string]Reading{}, pids: map[string]int{}}
}

// start takes samples at the interval until finish is called.
func (s *sampler) start(interval time.Duration) {
	s.stop = make(chan struct{})
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.take()
			case <-s.stop:
				return
			}
		}
	}()
}

func (s *sampler) finish() {
	close(s.stop)
	<-s.done
}

// take scrapes every daemon. A daemon that does not respond keeps its last
// totals.
func (s *sampler) take() Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := Sample{At: time.Now(), Daemons: map[string]Reading{}, Platform: s.mesh.platformStats()}
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentScrapes)
	readings := map[string]Reading{}
	for _, vm := range s.mesh.vms {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			reading, err := s.mesh.scrape(vm)
			if err == nil {
				mu.Lock()
				readings[vm.Name] = reading
				mu.Unlock()
			}
		})
	}
	group.Wait()
	for _, vm := range s.mesh.vms {
		sample.Daemons[vm.Name] = s.total(vm, readings)
	}
	s.samples = append(s.samples, sample)
	return sample
}

// total returns the totals of a daemon, including its earlier processes.
func (s *sampler) total(vm *fleet.VM, readings map[string]Reading) Reading {
	now, ok := readings[vm.Name]
	if !ok {
		return addReadings(s.previous[vm.Name], s.current[vm.Name])
	}
	return s.totalAcrossRestarts(vm.Name, vm.Daemon.PID(), now)
}

// totalAcrossRestarts adds the reading of the current process to the totals of
// the daemon's earlier processes. A new pid means that the daemon has restarted.
func (s *sampler) totalAcrossRestarts(vm string, pid int, now Reading) Reading {
	if old, known := s.pids[vm]; known && old != pid {
		s.previous[vm] = addReadings(s.previous[vm], s.current[vm])
	}
	s.pids[vm] = pid
	s.current[vm] = now
	return addReadings(s.previous[vm], now)
}

// addReadings returns the sum of two readings, with the resident memory of b.
func addReadings(a, b Reading) Reading {
	sum := Reading{Received: a.Received + b.Received, Sent: a.Sent + b.Sent, Kinds: map[string]float64{}}
	sum.Usage = Usage{CPU: a.Usage.CPU + b.Usage.CPU, ResidentKiB: b.Usage.ResidentKiB}
	for _, kinds := range []map[string]float64{a.Kinds, b.Kinds} {
		for kind, n := range kinds {
			sum.Kinds[kind] += n
		}
	}
	return sum
}

func (m *mesh) scrape(vm *fleet.VM) (Reading, error) {
	response, err := m.http.Get("http://" + vm.Admin + "/metrics")
	if err != nil {
		return Reading{}, fault.Wrap(err, fault.Unavailable, "scrape %s", vm.Name)
	}
	defer response.Body.Close()
	families, err := parseMetrics(response.Body)
	if err != nil {
		return Reading{}, err
	}
	reading := Reading{Kinds: map[string]float64{}, Usage: usageOf(vm.Daemon.PID())}
	for _, metric := range families[wireBytesMetric].GetMetric() {
		if labelOf(metric, "direction") == "received" {
			reading.Received = metric.GetCounter().GetValue()
		} else {
			reading.Sent = metric.GetCounter().GetValue()
		}
	}
	for _, metric := range families[frameBytesMetric].GetMetric() {
		name := strings.ToLower(labelOf(metric, "direction") + " " + labelOf(metric, "kind"))
		reading.Kinds[name] = metric.GetCounter().GetValue()
	}
	return reading, nil
}

func parseMetrics(r io.Reader) (map[string]*dto.MetricFamily, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "parse metrics")
	}
	return families, nil
}

func labelOf(m *dto.Metric, name string) string {
	for _, label := range m.GetLabel() {
		if label.GetName() == name {
			return label.GetValue()
		}
	}
	return ""
}

// platformStats reads the counters of the platform stand-in. They are zero if it
// does not respond.
func (m *mesh) platformStats() standin.Stats {
	var stats standin.Stats
	response, err := http.Get("http://" + m.fleet.PlatformAddress + "/_standin/stats?items=0")
	if err != nil {
		return stats
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&stats)
	return stats
}
