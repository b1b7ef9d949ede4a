package bench

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// Parameters of the comparison with TLS.
const (
	tlsDaemons       = 50
	tlsRoundsPerMode = 3
	tlsIdleDuration  = 10 * time.Second
	tlsTickets       = 20
)

// TLS is the raw result of the part "tls". Rounds without and with TLS alternate.
type TLS struct {
	Daemons int        `json:"daemons"`
	Plain   []TLSRound `json:"plain"`
	Secured []TLSRound `json:"secured"`
}

// TLSRound is the raw result of one mesh.
type TLSRound struct {
	Idle    Phase `json:"idle"`
	Changes Phase `json:"changes"`
	// StartCPU is the mean processor time of a daemon from its start to the
	// idle phase, in milliseconds.
	StartCPU    float64     `json:"start_cpu_ms"`
	Convergence Convergence `json:"convergence"`
}

// MeasureTLS compares the peer links with and without mutual TLS.
func MeasureTLS(o *Options, dir string) ([]Row, any, error) {
	r := &TLS{Daemons: tlsDaemons}
	authority, err := fleet.NewAuthority("bench")
	if err != nil {
		return nil, r, err
	}
	for i := range tlsRoundsPerMode {
		for _, signer := range []*fleet.Authority{nil, authority} {
			round, err := measureTLSRound(o, filepath.Join(dir, fmt.Sprintf("%d-%t", i, signer != nil)), signer)
			if err != nil {
				return r.rows(), r, err
			}
			if signer == nil {
				r.Plain = append(r.Plain, round)
			} else {
				r.Secured = append(r.Secured, round)
			}
		}
	}
	return r.rows(), r, nil
}

func measureTLSRound(o *Options, dir string, authority *fleet.Authority) (TLSRound, error) {
	var round TLSRound
	m, err := startMeshWithConfig(o, dir, meshConfig{daemons: tlsDaemons, authority: authority})
	if err != nil {
		return round, err
	}
	defer m.close()
	if err := m.setUp(); err != nil {
		return round, err
	}
	time.Sleep(settleTime)
	s := newSampler(m)
	for _, reading := range s.take().Daemons {
		round.StartCPU += float64(reading.Usage.CPU.Milliseconds()) / tlsDaemons
	}
	round.Idle, _ = s.phase("idle", func() error { time.Sleep(tlsIdleDuration); return nil })
	var tickets []acceptedTicket
	round.Changes, err = s.phase("changes", func() error {
		tickets, err = m.submitChanges(tlsTickets, ticketInterval)
		time.Sleep(time.Second)
		return err
	})
	if err != nil {
		return round, err
	}
	round.Convergence, err = m.measureConvergence(tickets)
	return round, err
}

func (r *TLS) rows() []Row {
	var rows []Row
	for _, mode := range []struct {
		name   string
		rounds []TLSRound
	}{{"no TLS", r.Plain}, {"TLS", r.Secured}} {
		if len(mode.rounds) == 0 {
			continue
		}
		add := func(name, unit string, target float64, value func(*TLSRound) float64) {
			var values []float64
			for i := range mode.rounds {
				values = append(values, value(&mode.rounds[i]))
			}
			rows = append(rows, Row{Name: mode.name + ": " + name, Unit: unit, Measured: median(values), Target: target, Note: spread(values)})
		}
		add("start: processor, mean", "ms/daemon", 0, func(t *TLSRound) float64 { return t.StartCPU })
		add("idle: processor, mean", "% of a core", targetCPU, func(t *TLSRound) float64 { return t.Idle.CPU })
		add("idle: received, mean", "B/s", targetBytes, func(t *TLSRound) float64 { return t.Idle.Received })
		add("idle: sent, busiest daemon", "B/s", targetBytes, func(t *TLSRound) float64 { return t.Idle.MaxSent })
		add("idle: resident, mean", "MiB", targetMiB, func(t *TLSRound) float64 { return t.Idle.Resident })
		add("changes: processor, mean", "% of a core", targetCPU, func(t *TLSRound) float64 { return t.Changes.CPU })
		add("changes: received, mean", "B/s", targetBytes, func(t *TLSRound) float64 { return t.Changes.Received })
		add("changes: sent, busiest daemon", "B/s", targetBytes, func(t *TLSRound) float64 { return t.Changes.MaxSent })
		add("applied everywhere, worst", "ms", targetConvergenceMs, func(t *TLSRound) float64 { return t.Convergence.Everywhere.Max })
	}
	return rows
}
