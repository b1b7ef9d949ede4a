package bench

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// Targets of the request path, in milliseconds at the 99th percentile.
const (
	targetAddedMs  = 0.8
	stretchAddedMs = 0.4
)

// Course of the latency measurement.
const (
	// blockTime is short, so that a change of the machine's load meets
	// direct and forwarded calls alike.
	blockTime = 500 * time.Millisecond
	// blocksPerRate is how many pairs of blocks one repeat has.
	blocksPerRate = 4
	warmUpTime    = 2 * time.Second
	warmUpRate    = 500
	lookupPath    = "/fast"
)

// callRates are the rates of the latency measurement, in calls a second.
// A daemon of the design size carries about 245 outgoing calls a second.
var callRates = []float64{100, 245, 500, 1500, 3000}

// Added is the latency of the mesh at one rate.
type Added struct {
	Rate    float64   `json:"rate"`
	Direct  Quantiles `json:"direct"`
	Through Quantiles `json:"through"`
	// AddedP50 and AddedP99 are differences of quantiles, in milliseconds.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// OutboundCPU and InboundCPU are microseconds of the daemons for each call.
	OutboundCPU float64 `json:"outbound_cpu_us_per_call"`
	InboundCPU  float64 `json:"inbound_cpu_us_per_call"`
	Failed      int64   `json:"failed"`
	Load        string  `json:"load"`
}

// FastPath is the raw result of the request path.
type FastPath struct {
	Repeats  [][]Added  `json:"repeats"`
	Outbound Usage      `json:"outbound"`
	Inbound  Usage      `json:"inbound"`
	Overload []Overload `json:"overload"`
	Urgent   Urgent     `json:"urgent"`
	Chain    []Chain    `json:"chain"`
}

// MeasureFastPath measures latency, overload and retries.
func MeasureFastPath(o *Options, dir string) ([]Row, any, error) {
	result := &FastPath{}
	steps := []func(*Options, string) error{result.latency, result.overload, result.chain}
	for i, step := range steps {
		if err := step(o, fmt.Sprintf("%s/%d", dir, i)); err != nil {
			return result.rows(), result, err
		}
	}
	return result.rows(), result, nil
}

// pathMesh has one daemon for callers and daemons with real targets.
func pathMesh(o *Options, dir string, targets int) (*mesh, error) {
	m, err := startMesh(o, dir, targets+1)
	if err != nil {
		return nil, err
	}
	return m, nil
}

// serveOne sets up the service "fast" on all VMs but the first.
func (m *mesh) serveOne(args ...string) error {
	for _, vm := range m.vms[1:] {
		if err := vm.StartTarget("fast", "v1", append(args, "--record", "")...); err != nil {
			return err
		}
	}
	t := &model.Ticket{
		Note:     "set up the measured service",
		Services: []model.Service{{Name: "fast", Versions: []string{"v1"}, Shares: map[string]uint32{"v1": model.TotalShare}}},
		Routes: []model.Route{
			{Name: "lookup", PathPrefix: lookupPath, Service: "fast", Class: model.Urgent, Idempotent: true},
			{Name: "upload", PathPrefix: uploadPath, Service: "fast", Class: model.Bulk},
		},
	}
	if _, err := m.submit(m.vms[0], t); err != nil {
		return err
	}
	// Targets count as cold for 10 s, and their share rises meanwhile.
	time.Sleep(coldTime)
	return nil
}

// coldTime is above the slow start of a target.
const coldTime = 11 * time.Second

func (r *FastPath) latency(o *Options, dir string) error {
	m, err := pathMesh(o, dir, 1)
	if err != nil {
		return err
	}
	defer m.close()
	if err := m.serveOne("--slots", "50"); err != nil {
		return err
	}
	client, target := m.vms[0], m.vms[1]
	measure := newPathMeasure(m.ctx, client, target)
	measure.warmUp()
	for range o.Repeats {
		var repeat []Added
		for _, rate := range callRates {
			repeat = append(repeat, measure.at(rate))
		}
		r.Repeats = append(r.Repeats, repeat)
	}
	r.Outbound = usageOf(client.Daemon.PID())
	r.Inbound = usageOf(target.Daemon.PID())
	return nil
}

// pathMeasure compares direct calls with calls through two daemons.
type pathMeasure struct {
	ctx      context.Context
	direct   load
	through  load
	outbound int
	inbound  int
}

func newPathMeasure(ctx context.Context, from, to *fleet.VM) *pathMeasure {
	return &pathMeasure{
		ctx:      ctx,
		direct:   load{client: newCaller(), url: "http://" + to.TargetAddress + lookupPath},
		through:  load{client: newCaller(), url: "http://" + from.Caller + lookupPath},
		outbound: from.Daemon.PID(), inbound: to.Daemon.PID(),
	}
}

func (p *pathMeasure) warmUp() {
	for _, l := range []load{p.direct, p.through} {
		l.rate, l.duration = warmUpRate, warmUpTime
		l.run(p.ctx, newTally())
	}
}

// at alternates short blocks of both ways at one rate.
func (p *pathMeasure) at(rate float64) Added {
	direct, through := newTally(), newTally()
	var outbound, inbound time.Duration
	for range blocksPerRate {
		p.block(p.direct, rate, direct)
		out, in := usageOf(p.outbound).CPU, usageOf(p.inbound).CPU
		p.block(p.through, rate, through)
		outbound += usageOf(p.outbound).CPU - out
		inbound += usageOf(p.inbound).CPU - in
	}
	a := Added{Rate: rate, Direct: quantiles(direct.latency), Through: quantiles(through.latency), Load: loadAverage()}
	a.AddedP50 = a.Through.P50 - a.Direct.P50
	a.AddedP99 = a.Through.P99 - a.Direct.P99
	calls := float64(max(through.Sent, 1))
	a.OutboundCPU = float64(outbound.Microseconds()) / calls
	a.InboundCPU = float64(inbound.Microseconds()) / calls
	a.Failed = through.Sent - through.Good + direct.Sent - direct.Good
	return a
}

func (p *pathMeasure) block(l load, rate float64, t *tally) {
	l.rate, l.duration = rate, blockTime
	l.run(p.ctx, t)
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}

func spread(values []float64) string {
	if len(values) == 0 {
		return ""
	}
	return fmt.Sprintf("%.3g to %.3g in %d repeats", slices.Min(values), slices.Max(values), len(values))
}
