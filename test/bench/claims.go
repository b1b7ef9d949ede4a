package bench

import (
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

// Parameters of the measurement of claims.
const (
	claimTargets  = 8
	claimDuration = 6 * time.Second
	// claimDrainTime is the pause after each rate in which the daemons write the
	// outstanding answers to the platform.
	claimDrainTime = 3 * time.Second
	// claimDeadline is the deadline of each call. It models a caller that sets a
	// short deadline.
	claimDeadline = 2 * time.Second
	// claimWriteLimit is the platform's limit in items per second. The design
	// names "several hundred writes a second".
	claimWriteLimit = 400
)

// claimRates are the rates of once-only calls, in calls per second.
var claimRates = []float64{50, 200, 300, 400, 600}

// Claims is the raw result of the claims part.
type Claims struct {
	Targets int         `json:"targets"`
	Rates   []ClaimRate `json:"rates"`
}

// ClaimRate is the result at one rate of once-only calls.
type ClaimRate struct {
	// WriteLimit is the platform's limit in items per second; zero means no limit.
	WriteLimit float64 `json:"write_limit"`
	// Rate is in calls per second.
	Rate float64 `json:"rate"`
	// Plain is the latency of calls without a claim at the same rate.
	Plain Quantiles `json:"plain"`
	// Once is the latency of the once-only calls, and Tally counts them.
	Once  Quantiles `json:"once"`
	Tally *tally    `json:"tally"`
	// Calls counts the calls to the platform during the once-only calls.
	Calls PlatformCallCounts `json:"platform_calls"`
	// Seconds is the time in which Calls were counted.
	Seconds float64 `json:"seconds"`
	// Epoch is the controller's epoch at the end. It shows whether the controller
	// lost its lease.
	Epoch uint64 `json:"epoch"`
}

// MeasureClaims measures once-only calls, whose claims are written to the platform.
// The platform answers after a delay, and has first no write limit and then one.
func MeasureClaims(o *Options, dir string) ([]Row, any, error) {
	c := &Claims{Targets: claimTargets}
	m, err := startMeshWithConfig(o, filepath.Join(dir, "mesh"), meshConfig{daemons: claimTargets + 1, fronts: 1})
	if err != nil {
		return nil, c, err
	}
	defer m.close()
	m.placement = func(i int) (string, string) {
		if i == 0 {
			return serviceName(1), "v1"
		}
		return serviceName(0), "v1"
	}
	if err := m.serveTargets(); err != nil {
		return nil, c, err
	}
	if err := m.setUp(); err != nil {
		return nil, c, err
	}
	once := routeOf(0, 0, model.DefaultTimeout)
	once.Once, once.Idempotent = true, false
	if _, err := m.submit(m.vms[0], &model.Ticket{Note: "a route for once-only calls", Routes: []model.Route{once}}); err != nil {
		return nil, c, err
	}
	if err := m.setPlatformFaults(standin.Faults{LatencyMillis: platformLatencyMillis}); err != nil {
		return nil, c, err
	}
	time.Sleep(coldTargetTime)
	for _, limit := range []float64{0, claimWriteLimit} {
		for _, rate := range claimRates {
			c.Rates = append(c.Rates, m.measureClaimRate(rate, limit))
		}
	}
	return c.rows(), c, nil
}

// measureClaimRate sends plain calls and then once-only calls at one rate. The write
// limit holds during the once-only calls only.
func (m *mesh) measureClaimRate(rate, limit float64) ClaimRate {
	client, base := newCaller(), "http://"+m.vms[0].Caller
	plain, once := newTally(), newTally()
	calls := load{client: client, method: http.MethodPost, url: base + "/" + serviceName(0) + "/1", rate: rate, duration: claimDuration, deadline: claimDeadline}
	calls.run(m.ctx, plain)
	calls.url, calls.withIdempotencyKey = base+"/"+serviceName(0)+"/0", true
	proxy := m.fronts[0]
	proxy.setWriteLimit(limit)
	before, start := proxy.callCounts(), time.Now()
	calls.run(m.ctx, once)
	time.Sleep(claimDrainTime)
	r := ClaimRate{WriteLimit: limit, Rate: rate, Plain: quantiles(plain.latency), Once: quantiles(once.latency), Tally: once}
	r.Calls, r.Seconds = proxy.callCounts().sub(before), time.Since(start).Seconds()
	proxy.setWriteLimit(0)
	if client, err := m.fleet.Client(m.vms[0]); err == nil {
		if status, err := client.Status(m.ctx); err == nil {
			r.Epoch = status.Epoch
		}
	}
	return r
}

func (c *Claims) rows() []Row {
	var rows []Row
	for i := range c.Rates {
		r := &c.Rates[i]
		name := fmt.Sprintf("%.0f once-only calls/s", r.Rate)
		if r.WriteLimit > 0 {
			name += fmt.Sprintf(", platform of %.0f writes/s", r.WriteLimit)
		}
		sent := float64(max(r.Tally.Sent, 1))
		rows = append(rows,
			Row{Name: name + ": answered 200", Unit: "%", Measured: float64(r.Tally.Good) / sent * 100, Note: fmt.Sprintf("others: %v", r.Tally.Answers)},
			Row{Name: name + ": added, median", Unit: "ms", Measured: r.Once.P50 - r.Plain.P50},
			Row{Name: name + ": added, 99th", Unit: "ms", Measured: r.Once.P99 - r.Plain.P99, Note: fmt.Sprintf("99th of plain calls %.2f ms", r.Plain.P99)},
			Row{Name: name + ": platform items written", Unit: "per call", Measured: float64(r.Calls.Writes) / sent,
				Note: fmt.Sprintf("%d items in %d operations, %d throttled, %d reads in %.1f s; epoch %d", r.Calls.Writes, r.Calls.WriteCalls, r.Calls.Throttled, r.Calls.Reads, r.Seconds, r.Epoch)})
	}
	return rows
}
