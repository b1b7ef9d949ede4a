package bench

import (
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// revisionPoll is the interval between looks at a daemon's revision.
const revisionPoll = 50 * time.Millisecond

// Phase is what the daemons used during a part of a run.
type Phase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	// Received and Sent are bytes a second, mean over the daemons.
	Received float64 `json:"received_bytes_per_second"`
	Sent     float64 `json:"sent_bytes_per_second"`
	// ReceivedMost and SentMost are those of the busiest daemon.
	ReceivedMost float64 `json:"received_most_bytes_per_second"`
	SentMost     float64 `json:"sent_most_bytes_per_second"`
	// CPU is in percent of a core, mean over the daemons.
	CPU     float64 `json:"cpu_percent_of_a_core"`
	CPUMost float64 `json:"cpu_most_percent_of_a_core"`
	// Resident is the memory at the end, in MiB.
	Resident     float64 `json:"resident_mib"`
	ResidentMost float64 `json:"resident_most_mib"`
	// Kinds are the frame bytes of all daemons by direction and kind.
	Kinds map[string]float64 `json:"kinds"`
	// Reads are the platform's read operations a second, empty answers
	// included; Writes are its written items a second.
	Reads  float64 `json:"platform_reads_per_second"`
	Writes float64 `json:"platform_writes_per_second"`
	Load   string  `json:"load"`
}

// phase runs do and returns what the daemons used meanwhile.
func (s *sampler) phase(name string, do func() error) (Phase, error) {
	before := s.take()
	s.start(sampleInterval)
	err := do()
	s.finish()
	return difference(name, before, s.take()), err
}

func difference(name string, before, after Sample) Phase {
	p := Phase{Name: name, Seconds: after.At.Sub(before.At).Seconds(), Kinds: map[string]float64{}, Load: loadAverage()}
	count := float64(len(after.Daemons))
	for vm, now := range after.Daemons {
		then := before.Daemons[vm]
		received := (now.Received - then.Received) / p.Seconds
		sent := (now.Sent - then.Sent) / p.Seconds
		cpu := (now.Usage.CPU - then.Usage.CPU).Seconds() / p.Seconds * 100
		resident := float64(now.Usage.ResidentKiB) / 1024
		p.Received += received / count
		p.Sent += sent / count
		p.CPU += cpu / count
		p.Resident += resident / count
		p.ReceivedMost = max(p.ReceivedMost, received)
		p.SentMost = max(p.SentMost, sent)
		p.CPUMost = max(p.CPUMost, cpu)
		p.ResidentMost = max(p.ResidentMost, resident)
		for kind, n := range now.Kinds {
			p.Kinds[kind] += n - then.Kinds[kind]
		}
	}
	p.Reads = float64(readsOf(after)-readsOf(before)) / p.Seconds
	p.Writes = float64(after.Platform.ItemWrites-before.Platform.ItemWrites) / p.Seconds
	return p
}

func readsOf(s Sample) uint64 {
	var reads uint64
	for _, operation := range []string{"GetItem", "Query", "GetObject"} {
		reads += s.Platform.Operations[operation]
	}
	return reads
}

// without is the mesh without some VMs, for reading only.
func (m *mesh) without(away []*fleet.VM) *mesh {
	kept := slices.DeleteFunc(slices.Clone(m.vms), func(vm *fleet.VM) bool { return slices.Contains(away, vm) })
	return &mesh{fleet: m.fleet, vms: kept, ctx: m.ctx}
}

// waitRevision waits until all VMs have applied the revision.
func (m *mesh) waitRevision(vms []*fleet.VM, revision uint64) error {
	deadline := time.Now().Add(recoverLimit)
	for _, vm := range vms {
		for {
			if r, err := m.revisionOf(vm); err == nil && r >= revision {
				break
			}
			if time.Now().After(deadline) {
				return fault.New(fault.Timeout, "%s has not reached revision %d after %s", vm.Name, revision, recoverLimit)
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
