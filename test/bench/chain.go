package bench

import (
	"fmt"
	"net/http"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

// Parameters of the chain measurement.
const (
	chainHops = 6
	// lastHopTargets is the number of targets of the last service. With more than
	// one, its callers can retry on another target.
	lastHopTargets = 2
	// chainRate is in calls per second.
	chainRate     = 50
	chainDuration = 6 * time.Second
	// overloadedLatencyMs is the latency of the last service's targets, in
	// milliseconds, at which they shed nearly all calls.
	overloadedLatencyMs = 400

	requestsMetric = "magnoliamount_requests_total"
	retriesMetric  = "magnoliamount_retries_total"
)

// Chain holds the results of calls over a chain of services.
type Chain struct {
	Mode string `json:"mode"`
	// Calls counts the calls to the first service. Arrived counts the requests at
	// the daemons of the last service, including retries.
	Calls   int64   `json:"calls"`
	Arrived float64 `json:"arrived"`
	// Amplification is Arrived divided by Calls.
	Amplification float64 `json:"amplification"`
	// Retries counts the retries of all daemons.
	Retries float64 `json:"retries"`
	Tally   *tally  `json:"tally"`
	Load    string  `json:"load"`
}

func hopName(hop int) string { return fmt.Sprintf("hop-%d", hop) }

// chain measures calls over a chain of services, in which each target calls the
// next service through its own daemon. The last service first answers normally,
// then sheds load, then fails all requests.
func (r *FastPath) chain(o *Options, dir string) error {
	m, err := startMesh(o, dir, chainHops+lastHopTargets)
	if err != nil {
		return err
	}
	defer m.close()
	if err := m.startChain(); err != nil {
		return err
	}
	modes := []struct {
		name      string
		behaviour map[string]any
	}{
		{"works", map[string]any{}},
		{"sheds", map[string]any{"latency_ms": overloadedLatencyMs}},
		{"fails", map[string]any{"fail_fraction": 1}},
	}
	for _, mode := range modes {
		for _, vm := range m.vms[chainHops:] {
			if err := vm.SetBehaviour(mode.behaviour); err != nil {
				return err
			}
		}
		r.Chain = append(r.Chain, m.runChainLoad(mode.name))
		time.Sleep(time.Second)
	}
	return nil
}

// startChain starts hop i on VM i, and the last hop on all remaining VMs.
func (m *mesh) startChain() error {
	t := &model.Ticket{Note: "set up the chain"}
	for hop := 1; hop <= chainHops; hop++ {
		name := hopName(hop)
		t.Services = append(t.Services, model.Service{Name: name, Versions: []string{"v1"}, Shares: map[string]uint32{"v1": model.TotalShare}})
		t.Routes = append(t.Routes, model.Route{Name: name, PathPrefix: "/" + name, Service: name, Class: model.Normal, Idempotent: true})
	}
	if _, err := m.submit(m.vms[0], t); err != nil {
		return err
	}
	for i, vm := range m.vms[1:] {
		hop := min(i+1, chainHops)
		args := []string{"--record", ""}
		if hop < chainHops {
			args = append(args, "--next", "/"+hopName(hop+1))
		} else {
			args = append(args, "--slots", "1")
		}
		if err := vm.StartTarget(hopName(hop), "v1", args...); err != nil {
			return err
		}
	}
	time.Sleep(coldTargetTime)
	return nil
}

// runChainLoad sends calls to the first service and counts the requests at the last.
func (m *mesh) runChainLoad(mode string) Chain {
	arrived, retries := m.chainCounts()
	t := newTally()
	l := load{client: newCaller(), url: "http://" + m.vms[0].Caller + "/" + hopName(1), rate: chainRate, duration: chainDuration, deadline: callTimeout}
	l.run(m.ctx, t)
	arrivedAfter, retriesAfter := m.chainCounts()
	c := Chain{Mode: mode, Calls: t.Sent, Arrived: arrivedAfter - arrived, Retries: retriesAfter - retries, Tally: t, Load: loadAverage()}
	c.Amplification = c.Arrived / float64(max(c.Calls, 1))
	return c
}

// chainCounts returns the number of requests that arrived at the last service and
// the number of retries of all daemons. It skips daemons that do not answer.
func (m *mesh) chainCounts() (arrived, retries float64) {
	for i, vm := range m.vms {
		response, err := http.Get("http://" + vm.Admin + "/metrics")
		if err != nil {
			continue
		}
		families, err := parseMetrics(response.Body)
		_ = response.Body.Close()
		if err != nil {
			continue
		}
		for _, metric := range families[retriesMetric].GetMetric() {
			retries += metric.GetCounter().GetValue()
		}
		for _, metric := range families[requestsMetric].GetMetric() {
			if i >= chainHops && labelOf(metric, "side") == "inbound" {
				arrived += metric.GetCounter().GetValue()
			}
		}
	}
	return arrived, retries
}
