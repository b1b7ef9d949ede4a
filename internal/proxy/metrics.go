package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/magnoliamount/magnoliamount/internal/quota"
)

// Metrics counts requests for Prometheus. A nil *Metrics counts nothing.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	inFlight *prometheus.GaugeVec
	shed     *prometheus.CounterVec
	retries  *prometheus.CounterVec
	// keyRefusals counts requests refused because of their API key.
	keyRefusals *prometheus.CounterVec
	quotas      *prometheus.CounterVec
	rules       *prometheus.CounterVec

	// The fields below cache the metrics of labels that were used before.
	requestsByLabels metricCache[requestLabels, prometheus.Counter]
	latencyByLabels  metricCache[latencyLabels, prometheus.Observer]
	outbound         prometheus.Gauge
	inbound          prometheus.Gauge
}

// requestLabels are the labels of Metrics.requests.
type requestLabels struct {
	side    string
	route   string
	outcome Outcome
	version string
}

// latencyLabels are the labels of Metrics.latency.
type latencyLabels struct{ side, route string }

// Values of the label "side": the proxy of the daemon that handled the request.
const (
	outboundSide = "outbound"
	inboundSide  = "inbound"
)

// outcomeAnswered is the label value for requests that a target responded to.
const outcomeAnswered Outcome = "answered"

// NewMetrics registers the metrics of both proxies.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliamount_requests_total", Help: "Finished requests.",
		}, []string{"side", "route", "outcome", "version"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "magnoliamount_request_seconds", Help: "Time to the first byte of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"side", "route"}),
		inFlight: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "magnoliamount_requests_in_flight", Help: "Requests in flight.",
		}, []string{"side"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliamount_requests_shed_total", Help: "Requests refused for lack of slots or time.",
		}, []string{"class", "reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliamount_retries_total", Help: "Retries sent.",
		}, []string{"route"}),
		keyRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliamount_api_key_refusals_total", Help: "Requests refused because of their API key.",
		}, []string{"reason"}),
		quotas: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliamount_quota_requests_total", Help: "Requests of tenants with a quota, by whether they got a token.",
		}, []string{"result"}),
		rules: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliamount_admission_refusals_total", Help: "Requests refused before they were sent to a target, by the rule that applied.",
		}, []string{"rule"}),
	}
	r.MustRegister(m.keyRefusals, m.requests, m.latency, m.inFlight, m.shed, m.retries, m.quotas, m.rules)
	m.outbound = m.inFlight.WithLabelValues(outboundSide)
	m.inbound = m.inFlight.WithLabelValues(inboundSide)
	return m
}

func (m *Metrics) gauge(side string) prometheus.Gauge {
	if side == outboundSide {
		return m.outbound
	}
	return m.inbound
}

func (m *Metrics) begin(side string) {
	if m != nil {
		m.gauge(side).Inc()
	}
}

func (m *Metrics) end(side string) {
	if m != nil {
		m.gauge(side).Dec()
	}
}

func (m *Metrics) countFinished(side, route string, outcome Outcome, version string) {
	if m == nil {
		return
	}
	labels := requestLabels{side: side, route: route, outcome: outcome, version: version}
	m.requestsByLabels.get(labels, func() prometheus.Counter {
		return m.requests.WithLabelValues(side, route, string(outcome), version)
	}).Inc()
}

func (m *Metrics) observeFirstByte(side, route string, latency time.Duration) {
	if m == nil {
		return
	}
	m.latencyByLabels.get(latencyLabels{side: side, route: route}, func() prometheus.Observer {
		return m.latency.WithLabelValues(side, route)
	}).Observe(latency.Seconds())
}

func (m *Metrics) countShed(class, reason string) {
	if m != nil {
		m.shed.WithLabelValues(class, reason).Inc()
	}
}

func (m *Metrics) countRule(rule string) {
	if m != nil {
		m.rules.WithLabelValues(rule).Inc()
	}
}

func (m *Metrics) countRetry(route string) {
	if m != nil {
		m.retries.WithLabelValues(route).Inc()
	}
}

func (m *Metrics) countKeyRefusal(reason string) {
	if m != nil {
		m.keyRefusals.WithLabelValues(reason).Inc()
	}
}

func (m *Metrics) countQuota(result quota.Outcome) {
	if m != nil {
		m.quotas.WithLabelValues(string(result)).Inc()
	}
}
