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

// Target and stretch values of the latency that the request path adds, in
// milliseconds at the 99th percentile.
const (
	targetAddedMs  = 0.8
	stretchAddedMs = 0.4
)

// Parameters of the latency measurement.
const (
	// blockDuration is short, so that a change of the machine's load affects
	// direct and forwarded calls alike.
	blockDuration = 500 * time.Millisecond
	// blocksPerRepeat is the number of pairs of blocks at each rate in one repeat.
	blocksPerRepeat = 4
	warmUpDuration  = 2 * time.Second
	// warmUpRate is in calls per second.
	warmUpRate = 500
	lookupPath = "/fast"
)

// callRates are the rates of the latency measurement, in calls per second.
// A daemon at the design size forwards about 245 outgoing calls per second.
var callRates = []float64{100, 245, 500, 1500, 3000}

// Added is the latency and processor time that two daemons add to calls at one rate.
type Added struct {
	Rate    float64   `json:"rate"`
	Direct  Quantiles `json:"direct"`
	Through Quantiles `json:"through"`
	// AddedP50 and AddedP99 are differences of quantiles, in milliseconds.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// OutboundCPU and InboundCPU are the processor times of the two daemons for each
	// call, in microseconds.
	OutboundCPU float64 `json:"outbound_cpu_us_per_call"`
	InboundCPU  float64 `json:"inbound_cpu_us_per_call"`
	Failed      int64   `json:"failed"`
	Load        string  `json:"load"`
}

// FastPath is the raw result of the fastpath part. Outbound and Inbound are the total
// usage of the two daemons of the latency measurement.
type FastPath struct {
	Repeats  [][]Added  `json:"repeats"`
	Outbound Usage      `json:"outbound"`
	Inbound  Usage      `json:"inbound"`
	Overload []Overload `json:"overload"`
	Urgent   Urgent     `json:"urgent"`
	Chain    []Chain    `json:"chain"`
}

// MeasureFastPath measures the request path: latency, overload, and retries over a
// chain of services.
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

// startPathMesh starts a mesh with one daemon for callers and one for each target.
func startPathMesh(o *Options, dir string, targets int) (*mesh, error) {
	m, err := startMesh(o, dir, targets+1)
	if err != nil {
		return nil, err
	}
	return m, nil
}

// serveFastService starts targets of the service "fast" on all VMs but the first, submits
// its routes, and waits until the targets have their full share.
func (m *mesh) serveFastService(args ...string) error {
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
	// Targets are cold for their first 10 s, in which their share rises.
	time.Sleep(coldTargetTime)
	return nil
}

// coldTargetTime is longer than the slow start of a target, which is 10 s.
const coldTargetTime = 11 * time.Second

// latency measures the added latency at all rates, as often as the options ask.
func (r *FastPath) latency(o *Options, dir string) error {
	m, err := startPathMesh(o, dir, 1)
	if err != nil {
		return err
	}
	defer m.close()
	if err := m.serveFastService("--slots", "50"); err != nil {
		return err
	}
	client, target := m.vms[0], m.vms[1]
	path := newPathBenchmark(m.ctx, client, target)
	path.warmUp()
	for range o.Repeats {
		var repeat []Added
		for _, rate := range callRates {
			repeat = append(repeat, path.measureRate(rate))
		}
		r.Repeats = append(r.Repeats, repeat)
	}
	r.Outbound = usageOf(client.Daemon.PID())
	r.Inbound = usageOf(target.Daemon.PID())
	return nil
}

// pathBenchmark compares direct calls to a target with calls through two daemons,
// whose process IDs are outboundPID and inboundPID.
type pathBenchmark struct {
	ctx         context.Context
	direct      load
	through     load
	outboundPID int
	inboundPID  int
}

func newPathBenchmark(ctx context.Context, from, to *fleet.VM) *pathBenchmark {
	return &pathBenchmark{
		ctx:         ctx,
		direct:      load{client: newCaller(), url: "http://" + to.TargetAddress + lookupPath},
		through:     load{client: newCaller(), url: "http://" + from.Caller + lookupPath},
		outboundPID: from.Daemon.PID(), inboundPID: to.Daemon.PID(),
	}
}

// warmUp sends calls on both ways and discards their results.
func (p *pathBenchmark) warmUp() {
	for _, l := range []load{p.direct, p.through} {
		l.rate, l.duration = warmUpRate, warmUpDuration
		l.run(p.ctx, newTally())
	}
}

// measureRate alternates short blocks of direct calls and of calls through the daemons
// at one rate.
func (p *pathBenchmark) measureRate(rate float64) Added {
	direct, through := newTally(), newTally()
	var outbound, inbound time.Duration
	for range blocksPerRepeat {
		p.runBlock(p.direct, rate, direct)
		outboundBefore, inboundBefore := usageOf(p.outboundPID).CPU, usageOf(p.inboundPID).CPU
		p.runBlock(p.through, rate, through)
		outbound += usageOf(p.outboundPID).CPU - outboundBefore
		inbound += usageOf(p.inboundPID).CPU - inboundBefore
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

func (p *pathBenchmark) runBlock(l load, rate float64, t *tally) {
	l.rate, l.duration = rate, blockDuration
	l.run(p.ctx, t)
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// median returns the upper median, or zero without values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}

// spread returns a note with the range and the number of the values.
func spread(values []float64) string {
	if len(values) == 0 {
		return ""
	}
	return fmt.Sprintf("%.3g to %.3g in %d repeats", slices.Min(values), slices.Max(values), len(values))
}
