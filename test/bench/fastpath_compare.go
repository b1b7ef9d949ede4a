package bench

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// compareRates are the rates of the comparison, in calls per second. They are the
// rates of the latency measurement that can occur at the design size, where a
// daemon forwards about 245 outgoing calls per second.
var compareRates = []float64{100, 245, 500, 1500}

// compareNetwork is the address prefix of the older mesh, which runs at the same
// time as the newer one.
const compareNetwork = "127.8.0."

// Comparison is the raw result of the comparison of two revisions of the source.
type Comparison struct {
	Repeats []Compared `json:"repeats"`
}

// Compared is the result of one repeat at one rate.
type Compared struct {
	Rate   float64   `json:"rate"`
	Old    PathCost  `json:"old"`
	New    PathCost  `json:"new"`
	Direct Quantiles `json:"direct"`
	Failed int64     `json:"failed"`
	Load   string    `json:"load"`
}

// PathCost is the cost of a call through two daemons.
type PathCost struct {
	Through Quantiles `json:"through"`
	// CPU is the processor time for each call, in microseconds, as the mean of the
	// two daemons.
	CPU float64 `json:"cpu_us_per_call_and_daemon"`
	// Switches is the number of voluntary context switches for each call, as the
	// mean of the two daemons.
	Switches float64 `json:"switches_per_call_and_daemon"`
}

// MeasureComparison alternates blocks of calls through daemons of Options.Bin and of
// Options.Against, so that other load on the machine affects both alike.
func MeasureComparison(o *Options, dir string) ([]Row, any, error) {
	result := &Comparison{}
	newer, err := startPathMesh(o, dir+"/new", 1)
	if err != nil {
		return nil, result, err
	}
	defer newer.close()
	older, err := startOlderMesh(o, dir+"/old")
	if err != nil {
		return nil, result, err
	}
	defer older.close()
	var paths []*pathBenchmark
	for _, m := range []*mesh{older, newer} {
		if err := m.serveFastService("--slots", "50"); err != nil {
			return nil, result, err
		}
		p := newPathBenchmark(m.ctx, m.vms[0], m.vms[1])
		p.warmUp()
		paths = append(paths, p)
	}
	for range o.Repeats {
		for _, rate := range compareRates {
			result.Repeats = append(result.Repeats, compareAt(paths[0], paths[1], rate))
		}
	}
	return result.rows(), result, nil
}

// startOlderMesh starts two daemons of Options.Against on compareNetwork.
func startOlderMesh(o *Options, dir string) (*mesh, error) {
	older := *o
	older.Bin, older.Processors = o.Against, ""
	m, err := startMeshWithConfig(&older, dir, meshConfig{})
	if err != nil {
		return nil, err
	}
	for i := range 2 {
		vm, err := m.fleet.AddVM(fleet.VMConfig{Name: vmName(i), Domain: domainOf(i), Region: regionOf(i), IP: compareNetwork + strconv.Itoa(i+1)})
		if err != nil {
			m.close()
			return nil, err
		}
		m.vms = append(m.vms, vm)
	}
	if err := m.waitReady(); err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

// compareAt runs blocks of direct calls, and of calls through the old and the new
// daemons. The old and the new daemons go first in turn.
func compareAt(older, newer *pathBenchmark, rate float64) Compared {
	direct := newTally()
	meters := [2]*pathCostMeter{{path: older, tally: newTally()}, {path: newer, tally: newTally()}}
	for i := range blocksPerRepeat {
		newer.runBlock(newer.direct, rate, direct)
		meters[i%2].runBlock(rate)
		meters[1-i%2].runBlock(rate)
	}
	c := Compared{Rate: rate, Old: meters[0].cost(), New: meters[1].cost(), Direct: quantiles(direct.latency), Load: loadAverage()}
	for _, t := range []*tally{direct, meters[0].tally, meters[1].tally} {
		c.Failed += t.Sent - t.Good
	}
	return c
}

// pathCostMeter adds up the cost of the blocks of calls through two daemons.
type pathCostMeter struct {
	path     *pathBenchmark
	tally    *tally
	cpu      time.Duration
	switches int64
}

func (c *pathCostMeter) runBlock(rate float64) {
	cpu, switches := c.path.daemonUsage()
	c.path.runBlock(c.path.through, rate, c.tally)
	cpuAfter, switchesAfter := c.path.daemonUsage()
	c.cpu += cpuAfter - cpu
	c.switches += switchesAfter - switches
}

func (c *pathCostMeter) cost() PathCost {
	calls := 2 * float64(max(c.tally.Sent, 1))
	return PathCost{
		Through: quantiles(c.tally.latency), CPU: float64(c.cpu.Nanoseconds()) / 1000 / calls, Switches: float64(c.switches) / calls,
	}
}

// daemonUsage returns the processor time and the voluntary context switches of
// both daemons since their start.
func (p *pathBenchmark) daemonUsage() (cpu time.Duration, switches int64) {
	for _, pid := range []int{p.outboundPID, p.inboundPID} {
		c, s := threadUsageOf(pid)
		cpu += c
		switches += s
	}
	return cpu, switches
}

// threadUsageOf adds up the processor time and the voluntary context switches of the
// threads of a process. It reads schedstat, which is in nanoseconds, because
// /proc/PID/stat is in ticks of 10 ms.
func threadUsageOf(pid int) (cpu time.Duration, switches int64) {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	for _, path := range paths {
		runTime, _, _ := strings.Cut(readText(path+"/schedstat"), " ")
		ns, _ := strconv.ParseInt(runTime, 10, 64)
		n, _ := strconv.ParseInt(fieldOf(path+"/status", "voluntary_ctxt_switches"), 10, 64)
		cpu += time.Duration(ns)
		switches += n
	}
	return cpu, switches
}

// compareFigures are the figures that have a row for the old and the new daemons at
// each rate.
var compareFigures = []struct {
	name, unit string
	value      func(PathCost, Quantiles) float64
}{
	{"added, median", "ms", func(c PathCost, direct Quantiles) float64 { return c.Through.P50 - direct.P50 }},
	{"added, 99th", "ms", func(c PathCost, direct Quantiles) float64 { return c.Through.P99 - direct.P99 }},
	{"processor", "us/call", func(c PathCost, _ Quantiles) float64 { return c.CPU }},
	{"context switches", "1/call", func(c PathCost, _ Quantiles) float64 { return c.Switches }},
}

func (c *Comparison) rows() []Row {
	var rows []Row
	for _, rate := range compareRates {
		for _, figure := range compareFigures {
			var older, newer []float64
			var failed int64
			for _, r := range c.Repeats {
				if r.Rate != rate {
					continue
				}
				older = append(older, figure.value(r.Old, r.Direct))
				newer = append(newer, figure.value(r.New, r.Direct))
				failed += r.Failed
			}
			name := fmt.Sprintf("%g calls/s: %s, ", rate, figure.name)
			rows = append(rows,
				Row{Name: name + "old", Unit: figure.unit, Measured: median(older), Note: spread(older)},
				Row{Name: name + "new", Unit: figure.unit, Measured: median(newer), Note: fmt.Sprintf("%s; %d failed", spread(newer), failed)})
		}
	}
	return rows
}
