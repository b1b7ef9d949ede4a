package bench

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// Target and stretch values of the distribution, in milliseconds and in bytes per
// second and daemon.
const (
	targetConvergenceMs  = 10_000
	stretchConvergenceMs = 1_000
	targetBytes          = 4096
	stretchBusiestBytes  = 512
)

// Parameters of a distribution run.
const (
	sampleInterval = 5 * time.Second
	idleTime       = 20 * time.Second
	shortIdleTime  = 10 * time.Second
	// ticketInterval gives 196 times the design's rate of one ticket in 78.5 s.
	ticketInterval = 400 * time.Millisecond
	manyTickets    = 100
	fewTickets     = 20
	// settleTime is the wait after the start in which the endpoints reach all
	// daemons.
	settleTime = 5 * time.Second
	// minute is the length of the window for the figures of the busiest minute.
	minute = 60 * time.Second
	// churnRestarts is the number of daemon restarts in a minute. With 100 daemons
	// it is about 330 times the design's rate of 130 per day for 490 daemons.
	churnRestarts = 6
	// churnTickets is the number of tickets in the same minute, 4 times the
	// design's rate.
	churnTickets = 3
	// restartDelay is the time between the stop and the start of a daemon.
	restartDelay       = time.Second
	pollTickets        = 10
	pollTicketInterval = time.Second
	// cutDuration is the time for which the daemons of a failure domain are
	// suspended.
	cutDuration = 40 * time.Second
	cutTickets  = 5
	// recoveryTimeout bounds the wait until a failure domain has recovered.
	recoveryTimeout = 40 * time.Second
)

// Distribution is the raw result for one number of daemons.
type Distribution struct {
	Daemons     int         `json:"daemons"`
	StartTook   string      `json:"start_took"`
	Idle        Phase       `json:"idle"`
	Changes     Phase       `json:"changes"`
	Convergence Convergence `json:"convergence"`
	// PerChange is the number of received bytes per daemon and change, less those
	// of an idle mesh.
	PerChange float64  `json:"bytes_per_change_and_daemon"`
	Polling   *Polling `json:"polling,omitempty"`
	Churn     *Phase   `json:"churn,omitempty"`
	Herd      *Phase   `json:"herd,omitempty"`
	Cut       *Phase   `json:"cut,omitempty"`
	// HerdRecovery is the time in seconds from the restart of a failure domain until
	// all daemons are ready. CutRecovery is the time in seconds from the end of the
	// cut until all daemons of the domain have applied the newest revision.
	HerdRecovery float64 `json:"herd_back_s,omitempty"`
	CutRecovery  float64 `json:"cut_back_s,omitempty"`
	// CutOthers is the convergence of tickets on the daemons that were not suspended.
	CutOthers *Convergence `json:"cut_others,omitempty"`
}

// MeasureDistribution measures meshes of all sizes of the options. On the last one
// it also measures polling, churn, the restart of a whole failure domain (herd) and
// its suspension (cut).
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

// measure runs the parts for one mesh. If full is set, it uses the longer times and
// also measures polling and faults.
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
	if err := d.measureChanges(m, s, tickets); err != nil || !full {
		return err
	}
	if err := d.measurePolling(m); err != nil {
		return err
	}
	return d.measureFaults(o, m, s)
}

func (d *Distribution) measureChanges(m *mesh, s *sampler, n int) error {
	var tickets []acceptedTicket
	started := time.Now()
	phase, err := s.phase("changes", func() error {
		var err error
		tickets, err = m.submitChanges(n, ticketInterval)
		time.Sleep(time.Second)
		return err
	})
	if err != nil {
		return err
	}
	d.Changes = phase
	d.PerChange = (phase.Received - d.Idle.Received) * phase.Seconds / float64(n)
	d.Convergence, err = m.measureConvergence(tickets)
	d.Convergence.Rate = float64(n) / time.Since(started).Hours() * 24
	return err
}

func (d *Distribution) measurePolling(m *mesh) error {
	polling, err := m.comparePolling(d.Daemons, pollTickets, pollTicketInterval)
	d.Polling = &polling
	return err
}

func (d *Distribution) measureFaults(o *Options, m *mesh, s *sampler) error {
	random := rand.New(rand.NewPCG(o.Seed, 0))
	churn, err := s.phase("churn", func() error { return m.churn(random) })
	d.Churn = &churn
	if err != nil {
		return err
	}
	domain := m.domainWithout(m.controller())
	herd, err := s.phase("herd", func() error { return d.restartDomain(m, domain) })
	d.Herd = &herd
	if err != nil {
		return err
	}
	cut, err := s.phase("cut", func() error { return d.suspendDomain(m, domain) })
	d.Cut = &cut
	return err
}

// churn restarts random daemons and submits a few tickets, evenly over a minute.
func (m *mesh) churn(random *rand.Rand) error {
	end := time.Now().Add(minute)
	steps := churnRestarts + churnTickets
	for i := range steps {
		if i%(steps/churnTickets) == 0 {
			if _, err := m.submit(m.vms[0], m.change()); err != nil {
				return err
			}
		} else if err := m.restartDaemon(m.vms[1+random.IntN(len(m.vms)-1)]); err != nil {
			return err
		}
		time.Sleep(time.Until(end) / time.Duration(steps-i))
	}
	return nil
}

// restartDaemon stops a daemon gracefully and starts it again after restartDelay.
func (m *mesh) restartDaemon(vm *fleet.VM) error {
	if err := vm.StopDaemon(recoveryTimeout); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	return vm.StartDaemon()
}

// restartDomain kills all daemons of a failure domain and starts them again at once.
func (d *Distribution) restartDomain(m *mesh, domain []*fleet.VM) error {
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
	d.HerdRecovery = time.Since(started).Seconds()
	time.Sleep(minute - min(minute, time.Since(started)))
	return nil
}

// suspendDomain suspends all daemons of a failure domain, so that all their links fail,
// while another daemon accepts tickets. It then resumes them and waits until they
// have applied the last ticket.
func (d *Distribution) suspendDomain(m *mesh, domain []*fleet.VM) error {
	for _, vm := range domain {
		m.unannounced.Store(vm.Name, true)
		vm.Daemon.Suspend()
	}
	end := time.Now().Add(cutDuration)
	others := m.without(domain)
	var tickets []acceptedTicket
	for range cutTickets {
		time.Sleep(cutDuration / (cutTickets + 1))
		revision, err := m.submit(others.vms[0], m.change())
		if err != nil {
			return err
		}
		tickets = append(tickets, acceptedTicket{vm: others.vms[0], ticket: m.ticket, revision: revision})
	}
	time.Sleep(time.Until(end))
	for _, vm := range domain {
		vm.Daemon.Resume()
		m.unannounced.Delete(vm.Name)
	}
	resumed := time.Now()
	if err := m.waitRevision(domain, tickets[len(tickets)-1].revision); err != nil {
		return err
	}
	d.CutRecovery = time.Since(resumed).Seconds()
	convergence, err := others.measureConvergence(tickets)
	d.CutOthers = &convergence
	return err
}
