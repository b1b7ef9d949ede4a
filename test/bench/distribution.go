package bench

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// Targets of the distribution.
const (
	targetConvergenceMs  = 10_000
	stretchConvergenceMs = 1_000
	targetBytes          = 4096
	stretchBusiestBytes  = 512
)

// Course of a distribution run.
const (
	sampleInterval = 5 * time.Second
	idleTime       = 20 * time.Second
	shortIdleTime  = 10 * time.Second
	// ticketInterval is 196 times the design's rate of one in 78.5 s.
	ticketInterval = 400 * time.Millisecond
	manyTickets    = 100
	fewTickets     = 20
	// settleTime lets the endpoints of the start spread.
	settleTime = 5 * time.Second
	// minute is the window of the busiest minute.
	minute = 60 * time.Second
	// churnRestarts in a minute at 100 daemons are about 330 times the
	// design's rate of 130 a day at 490.
	churnRestarts = 6
	// churnTickets in a minute are 4 times the design's rate.
	churnTickets = 3
	// restartPause is how long a replaced daemon is away.
	restartPause = time.Second
	pollTickets  = 10
	pollSpacing  = time.Second
	// cutTime is how long a failure domain is frozen.
	cutTime    = 40 * time.Second
	cutTickets = 5
	// recoverLimit bounds the wait for a domain to be back.
	recoverLimit = 40 * time.Second
)

// Distribution is the raw result for one number of daemons.
type Distribution struct {
	Daemons     int         `json:"daemons"`
	StartTook   string      `json:"start_took"`
	Idle        Phase       `json:"idle"`
	Changes     Phase       `json:"changes"`
	Convergence Convergence `json:"convergence"`
	// PerChange is the received bytes per daemon and change above idle.
	PerChange float64  `json:"bytes_per_change_and_daemon"`
	Polling   *Polling `json:"polling,omitempty"`
	Churn     *Phase   `json:"churn,omitempty"`
	Herd      *Phase   `json:"herd,omitempty"`
	Cut       *Phase   `json:"cut,omitempty"`
	// HerdBack and CutBack are the seconds until all daemons of the domain
	// had the newest revision again.
	HerdBack float64 `json:"herd_back_s,omitempty"`
	CutBack  float64 `json:"cut_back_s,omitempty"`
	// CutOthers is the convergence of tickets on the daemons that were not cut.
	CutOthers *Convergence `json:"cut_others,omitempty"`
}

// MeasureDistribution measures meshes of all sizes; the largest one also goes
// through churn, a herd restart and a cut.
func MeasureDistribution(o *Options, dir string) ([]Row, any, error) {
	var rows []Row
	var raw []*Distribution
	for i, n := range o.Sizes {
		d := &Distribution{Daemons: n}
		raw = append(raw, d)
		err := d.measure(o, filepath.Join(dir, fmt.Sprint(n)), i == len(o.Sizes)-1)
		rows = append(rows, d.rows()...)
		if err != nil {
			return rows, raw, err
		}
	}
	return rows, raw, nil
}

func (d *Distribution) measure(o *Options, dir string, full bool) error {
	started := time.Now()
	m, err := startMesh(o, dir, d.Daemons)
	if err != nil {
		return err
	}
	defer m.close()
	d.StartTook = time.Since(started).Round(10 * time.Millisecond).String()
	if err := m.setUp(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	s := newSampler(m)
	tickets, idle := fewTickets, shortIdleTime
	if full {
		tickets, idle = manyTickets, idleTime
	}
	d.Idle, _ = s.phase("idle", func() error { time.Sleep(idle); return nil })
	if err := d.changes(m, s, tickets); err != nil || !full {
		return err
	}
	if err := d.polling(m); err != nil {
		return err
	}
	return d.faults(o, m, s)
}

func (d *Distribution) changes(m *mesh, s *sampler, n int) error {
	var tickets []accepted
	started := time.Now()
	phase, err := s.phase("changes", func() error {
		var err error
		tickets, err = m.submitMany(n, ticketInterval)
		time.Sleep(time.Second)
		return err
	})
	if err != nil {
		return err
	}
	d.Changes = phase
	d.PerChange = (phase.Received - d.Idle.Received) * phase.Seconds / float64(n)
	d.Convergence, err = m.converge(tickets)
	d.Convergence.Rate = float64(n) / time.Since(started).Hours() * 24
	return err
}

func (d *Distribution) polling(m *mesh) error {
	polling, err := m.comparePolling(d.Daemons, pollTickets, pollSpacing)
	d.Polling = &polling
	return err
}

func (d *Distribution) faults(o *Options, m *mesh, s *sampler) error {
	random := rand.New(rand.NewPCG(o.Seed, 0))
	churn, err := s.phase("churn", func() error { return m.churn(random) })
	d.Churn = &churn
	if err != nil {
		return err
	}
	domain := m.domainWithout(m.controller())
	herd, err := s.phase("herd", func() error { return d.herd(m, domain) })
	d.Herd = &herd
	if err != nil {
		return err
	}
	cut, err := s.phase("cut", func() error { return d.cut(m, domain) })
	d.Cut = &cut
	return err
}

// churn replaces daemons at even times of a minute, with a few tickets.
func (m *mesh) churn(random *rand.Rand) error {
	end := time.Now().Add(minute)
	steps := churnRestarts + churnTickets
	for i := range steps {
		if i%(steps/churnTickets) == 0 {
			if _, err := m.submit(m.vms[0], m.change()); err != nil {
				return err
			}
		} else if err := m.replace(m.vms[1+random.IntN(len(m.vms)-1)]); err != nil {
			return err
		}
		time.Sleep(time.Until(end) / time.Duration(steps-i))
	}
	return nil
}

// replace stops a daemon as planned and starts it again.
func (m *mesh) replace(vm *fleet.VM) error {
	if err := vm.StopDaemon(recoverLimit); err != nil {
		return err
	}
	time.Sleep(restartPause)
	return vm.StartDaemon()
}

// herd kills a whole failure domain and starts it again at once.
func (d *Distribution) herd(m *mesh, domain []*fleet.VM) error {
	for _, vm := range domain {
		vm.Daemon.Kill()
	}
	for _, vm := range domain {
		_ = vm.Daemon.Wait()
	}
	started := time.Now()
	for _, vm := range domain {
		if err := vm.StartDaemon(); err != nil {
			return err
		}
	}
	if err := m.waitReady(); err != nil {
		return err
	}
	d.HerdBack = time.Since(started).Seconds()
	time.Sleep(minute - min(minute, time.Since(started)))
	return nil
}

// cut freezes a whole failure domain, which cuts all its links, while tickets
// are accepted elsewhere.
func (d *Distribution) cut(m *mesh, domain []*fleet.VM) error {
	for _, vm := range domain {
		m.frozen.Store(vm.Name, true)
		vm.Daemon.Suspend()
	}
	end := time.Now().Add(cutTime)
	others := m.without(domain)
	var tickets []accepted
	for range cutTickets {
		time.Sleep(cutTime / (cutTickets + 1))
		revision, err := m.submit(others.vms[0], m.change())
		if err != nil {
			return err
		}
		tickets = append(tickets, accepted{vm: others.vms[0], ticket: m.ticket, revision: revision})
	}
	time.Sleep(time.Until(end))
	for _, vm := range domain {
		vm.Daemon.Resume()
		m.frozen.Delete(vm.Name)
	}
	thawed := time.Now()
	if err := m.waitRevision(domain, tickets[len(tickets)-1].revision); err != nil {
		return err
	}
	d.CutBack = time.Since(thawed).Seconds()
	convergence, err := others.converge(tickets)
	d.CutOthers = &convergence
	return err
}
