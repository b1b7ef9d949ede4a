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
	wireMetric  = "magnoliamount_peer_wire_bytes_total"
	frameMetric = "magnoliamount_peer_frame_bytes_total"
)

// scrapers bounds the scrapes at a time.
const scrapers = 8

// Reading is what one daemon has used and sent since the start of the mesh,
// over all its processes.
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

// sampler reads the daemons in turn and keeps totals across restarts.
type sampler struct {
	mesh *mesh
	mu   sync.Mutex
	last map[string]Reading
	base map[string]Reading
	pids map[string]int
	all  []Sample
	stop chan struct{}
	done chan struct{}
}

func newSampler(m *mesh) *sampler {
	return &sampler{mesh: m, last: map[string]Reading{}, base: map[string]Reading{}, pids: map[string]int{}}
}

// start takes samples at the interval until finish.
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

// take reads every daemon. A daemon that does not answer keeps its last totals.
func (s *sampler) take() Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := Sample{At: time.Now(), Daemons: map[string]Reading{}, Platform: s.mesh.platformStats()}
	var mu sync.Mutex
	var group sync.WaitGroup
	places := make(chan struct{}, scrapers)
	fresh := map[string]Reading{}
	for _, vm := range s.mesh.vms {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			reading, err := s.mesh.read(vm)
			if err == nil {
				mu.Lock()
				fresh[vm.Name] = reading
				mu.Unlock()
			}
		})
	}
	group.Wait()
	for _, vm := range s.mesh.vms {
		sample.Daemons[vm.Name] = s.total(vm, fresh)
	}
	s.all = append(s.all, sample)
	return sample
}

// total adds what earlier processes of the daemon had counted.
func (s *sampler) total(vm *fleet.VM, fresh map[string]Reading) Reading {
	now, ok := fresh[vm.Name]
	if !ok {
		return plus(s.base[vm.Name], s.last[vm.Name])
	}
	return s.combine(vm.Name, vm.Daemon.PID(), now)
}

func (s *sampler) combine(vm string, pid int, now Reading) Reading {
	if old, known := s.pids[vm]; known && old != pid {
		s.base[vm] = plus(s.base[vm], s.last[vm])
	}
	s.pids[vm] = pid
	s.last[vm] = now
	return plus(s.base[vm], now)
}

func plus(base, now Reading) Reading {
	sum := Reading{Received: base.Received + now.Received, Sent: base.Sent + now.Sent, Kinds: map[string]float64{}}
	sum.Usage = Usage{CPU: base.Usage.CPU + now.Usage.CPU, ResidentKiB: now.Usage.ResidentKiB}
	for _, kinds := range []map[string]float64{base.Kinds, now.Kinds} {
		for kind, n := range kinds {
			sum.Kinds[kind] += n
		}
	}
	return sum
}

func (m *mesh) read(vm *fleet.VM) (Reading, error) {
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
	for _, metric := range families[wireMetric].GetMetric() {
		if labelOf(metric, "direction") == "received" {
			reading.Received = metric.GetCounter().GetValue()
		} else {
			reading.Sent = metric.GetCounter().GetValue()
		}
	}
	for _, metric := range families[frameMetric].GetMetric() {
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

// platformStats reads the counts of the stand-in; zero when it does not answer.
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
