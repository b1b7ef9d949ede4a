package bench

import (
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// revisionPoll is the interval at which a daemon's revision is polled.
const revisionPoll = 50 * time.Millisecond

// Phase holds the resources that the daemons used during an interval of a run.
type Phase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	// Received and Sent are peer traffic in bytes per second, as a mean over the
	// daemons.
	Received float64 `json:"received_bytes_per_second"`
	Sent     float64 `json:"sent_bytes_per_second"`
	// MaxReceived and MaxSent are the maxima over the daemons.
	MaxReceived float64 `json:"received_most_bytes_per_second"`
	MaxSent     float64 `json:"sent_most_bytes_per_second"`
	// CPU is in percent of a core, as a mean over the daemons.
	CPU    float64 `json:"cpu_percent_of_a_core"`
	MaxCPU float64 `json:"cpu_most_percent_of_a_core"`
	// Resident is the mean resident memory at the end, in MiB.
	Resident    float64 `json:"resident_mib"`
	MaxResident float64 `json:"resident_most_mib"`
	// Kinds are the frame bytes of all daemons, by direction and kind of frame.
	Kinds map[string]float64 `json:"kinds"`
	// Reads are the platform's read operations per second, including those with
	// an empty result; Writes are its written items per second.
	Reads  float64 `json:"platform_reads_per_second"`
	Writes float64 `json:"platform_writes_per_second"`
	Load   string  `json:"load"`
}

// phase runs do and returns the resources that the daemons used meanwhile.
func (s *sampler) phase(name string, do func() error) (Phase, error) {
	before := s.take()
	s.start(sampleInterval)
	err := do()
	s.finish()
	return phaseBetween(name, before, s.take()), err
}

func phaseBetween(name string, before, after Sample) Phase {
	p := Phase{Name: name, Seconds: after.At.Sub(before.At).Seconds(), Kinds: map[string]float64{}, Load: loadAverage()}
	count := float64(len(after.Daemons))
	for vm, end := range after.Daemons {
		start := before.Daemons[vm]
		received := (end.Received - start.Received) / p.Seconds
		sent := (end.Sent - start.Sent) / p.Seconds
		cpu := (end.Usage.CPU - start.Usage.CPU).Seconds() / p.Seconds * 100
		resident := float64(end.Usage.ResidentKiB) / 1024
		p.Received += received / count
		p.Sent += sent / count
		p.CPU += cpu / count
		p.Resident += resident / count
		p.MaxReceived = max(p.MaxReceived, received)
		p.MaxSent = max(p.MaxSent, sent)
		p.MaxCPU = max(p.MaxCPU, cpu)
		p.MaxResident = max(p.MaxResident, resident)
		for kind, n := range end.Kinds {
			p.Kinds[kind] += n - start.Kinds[kind]
		}
	}
	p.Reads = float64(readOperations(after)-readOperations(before)) / p.Seconds
	p.Writes = float64(after.Platform.ItemWrites-before.Platform.ItemWrites) / p.Seconds
	return p
}

func readOperations(s Sample) uint64 {
	var reads uint64
	for _, operation := range []string{"GetItem", "Query", "GetObject"} {
		reads += s.Platform.Operations[operation]
	}
	return reads
}

// without returns a mesh without the excluded VMs. It serves only to query
// daemons.
func (m *mesh) without(excluded []*fleet.VM) *mesh {
	remaining := slices.DeleteFunc(slices.Clone(m.vms), func(vm *fleet.VM) bool { return slices.Contains(excluded, vm) })
	return &mesh{fleet: m.fleet, vms: remaining, ctx: m.ctx}
}

// waitRevision waits until all given VMs have applied the revision. It returns
// an error after recoverLimit.
func (m *mesh) waitRevision(vms []*fleet.VM, revision uint64) error {
	deadline := time.Now().Add(recoveryTimeout)
	for _, vm := range vms {
		for {
			if r, err := m.revisionOf(vm); err == nil && r >= revision {
				break
			}
			if time.Now().After(deadline) {
				return fault.New(fault.Timeout, "%s has not reached revision %d after %s", vm.Name, revision, recoveryTimeout)
			}
			time.Sleep(revisionPoll)
		}
	}
	return nil
}

func (m *mesh) revisionOf(vm *fleet.VM) (uint64, error) {
	client, err := m.fleet.Client(vm)
	if err != nil {
		return 0, err
	}
	status, err := client.Status(m.ctx)
	return status.Revision, err
}
