package bench

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// compareRates are those of the latency measurement that a daemon of the design
// size can have; it carries about 245 outgoing calls a second.
var compareRates = []float64{100, 245, 500, 1500}

// compareNet is the loopback network of the older mesh, which runs beside the
// current one.
const compareNet = "127.8.0."

// Comparison holds the readings of two revisions, taken in turn.
type Comparison struct {
	Repeats []Compared `json:"repeats"`
}

// Compared is one reading at one rate.
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
	// CPU is the processor time of both daemons for each call, in microseconds.
	CPU float64 `json:"cpu_us_per_call_and_daemon"`
	// Switches are the voluntary context switches of a daemon for each call.
	Switches float64 `json:"switches_per_call_and_daemon"`
}

// MeasureComparison alternates blocks of calls through daemons of Options.Bin
// and of Options.Against, so that the load of others meets both alike.
func MeasureComparison(o *Options, dir string) ([]Row, any, error) {
	result := &Comparison{}
	newer, err := pathMesh(o, dir+"/new", 1)
	if err != nil {
		return nil, result, err
	}
	defer newer.close()
	older, err := olderMesh(o, dir+"/old")
	if err != nil {
		return nil, result, err
	}
	defer older.close()
	var paths []*pathMeasure
	for _, m := range []*mesh{older, newer} {
		if err := m.serveOne("--slots", "50"); err != nil {
			return nil, result, err
		}
		p := newPathMeasure(m.ctx, m.vms[0], m.vms[1])
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

func olderMesh(o *Options, dir string) (*mesh, error) {
	older := *o
	older.Bin, older.Processors = o.Against, ""
	m, err := startMeshOf(&older, dir, meshConfig{})
	if err != nil {
		return nil, err
	}
	for i := range 2 {
		vm, err := m.fleet.AddVM(fleet.VMConfig{Name: vmName(i), Domain: domainOf(i), Region: regionOf(i), IP: compareNet + strconv.Itoa(i+1)})
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

// compareAt takes blocks of direct calls, of the old and of the new daemons,
// with old and new going first in turn.
func compareAt(older, newer *pathMeasure, rate float64) Compared {
	direct := newTally()
	sides := [2]*costOf{{path: older, tally: newTally()}, {path: newer, tally: newTally()}}
	for i := range blocksPerRate {
		newer.block(newer.direct, rate, direct)
		sides[i%2].block(rate)
		sides[1-i%2].block(rate)
	}
	c := Compared{Rate: rate, Old: sides[0].cost(), New: sides[1].cost(), Direct: quantiles(direct.latency), Load: loadAverage()}
	for _, t := range []*tally{direct, sides[0].tally, sides[1].tally} {
		c.Failed += t.Sent - t.Good
	}
	return c
}

type costOf struct {
	path     *pathMeasure
	tally    *tally
	cpu      time.Duration
	switches int64
}

func (c *costOf) block(rate float64) {
	cpu, switches := c.path.threads()
	c.path.block(c.path.through, rate, c.tally)
	cpuAfter, switchesAfter := c.path.threads()
	c.cpu += cpuAfter - cpu
	c.switches += switchesAfter - switches
}

func (c *costOf) cost() PathCost {
	calls := 2 * float64(max(c.tally.Sent, 1))
	return PathCost{
		Through: quantiles(c.tally.latency), CPU: float64(c.cpu.Nanoseconds()) / 1000 / calls, Switches: float64(c.switches) / calls,
	}
}

// threads returns the processor time and the voluntary context switches of
// both daemons so far.
func (p *pathMeasure) threads() (cpu time.Duration, switches int64) {
	for _, pid := range []int{p.outbound, p.inbound} {
		c, s := threadsOf(pid)
		cpu += c
		switches += s
	}
	return cpu, switches
}

// threadsOf adds up the threads of a process. Their processor time is in
// nanoseconds, where that in /proc/PID/stat is in ticks of 10 ms.
func threadsOf(pid int) (cpu time.Duration, switches int64) {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	for _, path := range paths {
		ran, _, _ := strings.Cut(readText(path+"/schedstat"), " ")
		ns, _ := strconv.ParseInt(ran, 10, 64)
		n, _ := strconv.ParseInt(fieldOf(path+"/status", "voluntary_ctxt_switches"), 10, 64)
		cpu += time.Duration(ns)
		switches += n
	}
	return cpu, switches
}

// compareFigures are the rows of each rate; old and new have one each.
var compareFigures = []struct {
	name, unit string
	of         func(PathCost, Quantiles) float64
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
				older = append(older, figure.of(r.Old, r.Direct))
				newer = append(newer, figure.of(r.New, r.Direct))
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
