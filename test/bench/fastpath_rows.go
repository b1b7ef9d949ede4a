package bench

import "fmt"

// minGoodputPercent is the goal for the goodput under overload, in percent of the
// capacity. It is a goal of these benchmarks; the design names none.
const minGoodputPercent = 80

// maxAmplification is the goal for the requests per call that arrive at the end of
// a chain. A retry budget of 10% at each of six hops gives 1.1^6, about 1.8.
const maxAmplification = 1.8

func (r *FastPath) rows() []Row {
	rows := r.latencyRows()
	for _, o := range r.Overload {
		rows = append(rows, Row{
			Name: fmt.Sprintf("goodput at %gx of the slots", o.Factor), Unit: "% of capacity", Measured: o.PercentOfCapacity, Target: minGoodputPercent, AtLeast: true,
			Note: fmt.Sprintf("%d not run, %d other, 99th %.0f ms", o.Tally.NotRun, o.Tally.Other, o.Latency.P99),
		})
	}
	if r.Urgent.Alone.Count > 0 {
		rows = append(rows,
			Row{Name: "urgent calls alone, 99th", Unit: "ms", Measured: r.Urgent.Alone.P99, Note: "20 ms of work"},
			Row{Name: "urgent calls during uploads, 99th", Unit: "ms", Measured: r.Urgent.Uploads.P99, Note: fmt.Sprintf("%d uploaders, %d failed", uploaders, r.Urgent.Failed)})
	}
	for _, c := range r.Chain {
		rows = append(rows, Row{
			Name: "chain of 6, last service " + c.Mode + ": arrivals per call", Unit: "", Measured: c.Amplification, Target: maxAmplification,
			Note: fmt.Sprintf("%d calls, %.0f retries, %d answered 200", c.Calls, c.Retries, c.Tally.Good),
		})
	}
	return rows
}

func (r *FastPath) latencyRows() []Row {
	var rows []Row
	for i, rate := range callRates {
		var p50, p99, outbound, inbound []float64
		var failed int64
		for _, repeat := range r.Repeats {
			p50 = append(p50, repeat[i].AddedP50)
			p99 = append(p99, repeat[i].AddedP99)
			outbound = append(outbound, repeat[i].OutboundCPU)
			inbound = append(inbound, repeat[i].InboundCPU)
			failed += repeat[i].Failed
		}
		name := fmt.Sprintf("%g calls/s: ", rate)
		rows = append(rows,
			Row{Name: name + "added, median", Unit: "ms", Measured: median(p50), Note: spread(p50)},
			Row{Name: name + "added, 99th", Unit: "ms", Measured: median(p99), Target: targetAddedMs, Stretch: stretchAddedMs, Note: spread(p99)},
			Row{Name: name + "processor, outbound", Unit: "us/call", Measured: median(outbound), Note: spread(outbound)},
			Row{Name: name + "processor, inbound", Unit: "us/call", Measured: median(inbound), Note: fmt.Sprintf("%s; %d failed", spread(inbound), failed)})
	}
	return append(rows,
		Row{Name: "resident, outbound", Unit: "MiB", Measured: float64(r.Outbound.ResidentKiB) / 1024, Target: targetMiB},
		Row{Name: "resident, inbound", Unit: "MiB", Measured: float64(r.Inbound.ResidentKiB) / 1024, Target: targetMiB})
}
