package sidecar

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// maxStretch is how much later than configurationBound a configuration may be in force
// while the store rejects some VMs. The platform sets this limit.
const maxStretch = 5 * time.Second

// rejections are the ways in which the store does not serve a VM.
var rejections = []vmFault{
	{name: "connections reset", storeRefused: true},
	{name: "no response", storeUnreachable: true},
}

// inOrderOfSelection returns the VMs of each failure domain in the order in which they are
// selected as readers and spares.
func inOrderOfSelection(m *simulatedMesh) map[string][]*simulatedVM {
	byDomain := map[string][]*simulatedVM{}
	for _, vm := range m.vms {
		byDomain[vm.domain] = append(byDomain[vm.domain], vm)
	}
	for _, vms := range byDomain {
		slices.SortFunc(vms, func(a, b *simulatedVM) int {
			return cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name))
		})
	}
	return byDomain
}

// awaitConfiguration stores the version of the configuration and returns how long the
// slowest VM without a fault took to apply it, at most the limit.
func awaitConfiguration(m *simulatedMesh, version int, limit time.Duration) (slowest time.Duration) {
	m.configure(version)
	for start := time.Now(); time.Since(start) < limit; time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(m.vms, func(vm *simulatedVM) bool { return !vm.faulty() && vm.configuration() < uint64(version) }) {
			return time.Since(start)
		}
		slowest = time.Since(start)
	}
	return slowest
}

// Guards against daemons that the store serves and that miss a configuration because their
// readers and the daemons that look for the store in their place are all rejected.
func TestRowsFollowWhicheverDaemonsTheStoreRejects(t *testing.T) {
	const vms, domains, maxRejected = 20, 2, 7
	for _, rejection := range rejections {
		for _, c := range []struct {
			name   string
			choose func(m *simulatedMesh, random *rand.Rand) []*simulatedVM
		}{
			{"the first three of each domain", func(m *simulatedMesh, _ *rand.Rand) (chosen []*simulatedVM) {
				for _, all := range inOrderOfSelection(m) {
					chosen = append(chosen, all[:3]...)
				}
				return chosen
			}},
			{"the first four of one domain and three of the other", func(m *simulatedMesh, _ *rand.Rand) (chosen []*simulatedVM) {
				order := inOrderOfSelection(m)
				return append(order["domain0"][:4], order["domain1"][:3]...)
			}},
			{"the readers and the last of one domain", func(m *simulatedMesh, _ *rand.Rand) (chosen []*simulatedVM) {
				order := inOrderOfSelection(m)
				return append(append(order["domain0"][:2], order["domain1"][:2]...), order["domain0"][7:]...)
			}},
			{"the readers and any others", func(m *simulatedMesh, random *rand.Rand) (chosen []*simulatedVM) {
				order := inOrderOfSelection(m)
				chosen = append(order["domain0"][:2:2], order["domain1"][:2]...)
				others := append(order["domain0"][2:], order["domain1"][2:]...)
				random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
				return append(chosen, others[:maxRejected-len(chosen)]...)
			}},
			{"any", func(m *simulatedMesh, random *rand.Rand) []*simulatedVM {
				chosen := slices.Clone(m.vms)
				random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
				return chosen[:maxRejected]
			}},
		} {
			t.Run(fmt.Sprintf("%s, %s", c.name, rejection.name), func(t *testing.T) {
				t.Parallel()
				var slowest time.Duration
				for at := time.Duration(0); at < 13*time.Second; at += *sourceStep {
					synctest.Test(t, func(t *testing.T) {
						m := newSimulatedMesh(t, vms, domains)
						for _, vm := range c.choose(m, rand.New(rand.NewPCG(uint64(at), 3))) {
							vm.fail(&rejection)
						}
						time.Sleep(at)
						for version := 2; version < 5; version++ {
							took := awaitConfiguration(m, version, configurationBound+maxStretch+time.Second)
							slowest = max(slowest, took)
							if took > configurationBound+maxStretch {
								t.Errorf("configuration %d stored %v after the rejection: in force after %v", version, at, took)
								return
							}
						}
					})
				}
				t.Logf("in force after at most %v", slowest)
			})
		}
	}
}

// Guards against daemons that miss rows of the mesh table because the store rejects only the
// calls of their readers for that table, and against a substitute that it rejects in the same
// way.
func TestRowsFollowWhenTheStoreRejectsOneTable(t *testing.T) {
	for _, rejection := range rejections {
		rejection.table = mesh.Table
		t.Run(rejection.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newSimulatedMesh(t, 20, 2)
				for _, all := range inOrderOfSelection(m) {
					for _, vm := range all[:3] {
						vm.fail(&rejection)
					}
				}
				time.Sleep(30 * time.Second)
				m.write((&mesh.TargetRecord{VM: "vm0", Incarnation: 2, Sequence: 1, State: "draining", Domain: "domain0", Inbound: "vm0:2", Peer: "vm0:1"}).Row())
				time.Sleep(configurationBound + maxStretch)
				for _, vm := range m.vms {
					if applied := vm.daemon.tableVersion(mesh.TargetKey("vm0")); !vm.faulty() && applied != m.version {
						t.Errorf("%s has version %d of the row in place of %d", vm.name, applied, m.version)
					}
				}
			})
		})
	}
}

// tableVersion returns the version of the row in the daemon's copy of the mesh table.
func (d *Daemon) tableVersion(key rows.Key) (version uint64) {
	d.loop.call(func(time.Time) { version = d.tables.mesh.rows[key].Version })
	return version
}

// Guards against daemons of a large mesh that follow no rows while the store rejects a third
// of the VMs, those that are selected first in each failure domain.
func TestRowsFollowInALargeMeshThatTheStoreServesInPart(t *testing.T) {
	const vms, domains, rejected = 295, 5, 103
	for _, rejection := range rejections {
		for _, at := range []time.Duration{0, 5 * time.Second} {
			t.Run(fmt.Sprintf("%s, %v", rejection.name, at), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					m := newSimulatedMesh(t, vms, domains)
					for _, all := range inOrderOfSelection(m) {
						for _, vm := range all[:rejected/domains] {
							vm.fail(&rejection)
						}
					}
					time.Sleep(at)
					if took := awaitConfiguration(m, 2, configurationBound+maxStretch+time.Second); took > configurationBound+maxStretch {
						t.Errorf("in force after %v", took)
					}
				})
			})
		}
	}
}

// Guards against daemons that miss configurations while different VMs are rejected by the
// store, lose power or become slow one after the other and at the same time.
func TestRowsFollowThroughSeriesOfRejections(t *testing.T) {
	const vms, domains, maxFaulty = 20, 2, 7
	for i := range *sourceSeeds {
		seed := uint64(*sourceSeed + i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 4))
				m := newSimulatedMesh(t, vms, domains)
				faults := slices.Concat(rejections, rejections, rejections, sourceFaults)
				for range 6 + random.IntN(12) {
					f := faults[random.IntN(len(faults))]
					f.lasts = time.Duration(1000+random.IntN(8000)) * time.Millisecond
					time.AfterFunc(time.Duration(random.IntN(12000))*time.Millisecond, func() {
						faulty := 0
						for _, vm := range m.vms {
							if vm.faulty() {
								faulty++
							}
						}
						candidates := m.vms
						if readers := m.readers(); len(readers) > 0 && random.IntN(3) > 0 {
							candidates = readers
						}
						if vm := candidates[random.IntN(len(candidates))]; faulty < maxFaulty && !vm.faulty() {
							vm.fail(&f)
						}
					})
				}
				if slowest := applyTimes(m, random); slowest > configurationBound+maxStretch {
					t.Errorf("configuration in force after %v", slowest)
				}
			})
		})
	}
}

// Guards against daemons that call the store again and again while it serves none of them,
// and right after it serves them again. The bounds are the calls that the readers and one
// spare of each failure domain made when nobody else looked for the store.
func TestAStoreThatRejectsAllGetsFewCalls(t *testing.T) {
	// The calls vary with random delays, so the mean of a few plays counts.
	const plays = 3
	for _, c := range []struct {
		vms, domains int
		rejection    vmFault
		// during bounds the calls while the store rejects all VMs, and total those with the
		// time after it.
		during, total int
	}{
		{295, 5, rejections[0], 352, 443},
		{295, 5, rejections[1], 101, 177},
		{62, 3, rejections[0], 312, 367},
		{62, 3, rejections[1], 69, 114},
		{20, 2, rejections[0], 251, 287},
		{20, 2, rejections[1], 50, 79},
	} {
		t.Run(fmt.Sprintf("%d VMs, %s", c.vms, c.rejection.name), func(t *testing.T) {
			t.Parallel()
			during, total := 0, 0
			for range plays {
				synctest.Test(t, func(t *testing.T) {
					d, a := playRejectionOfAll(newSimulatedMesh(t, c.vms, c.domains), c.rejection)
					t.Logf("%d calls while the store rejects all, %d after", d, a)
					during, total = during+d, total+d+a
				})
			}
			if during > plays*c.during || total > plays*c.total {
				t.Errorf("%d calls in %d plays, and %d with the time after; more than %d or %d in each", during, plays, total, c.during, c.total)
			}
		})
	}
}

// playRejectionOfAll lets the store reject all VMs for 15 s. It returns the number of calls
// meanwhile, and in the 10 s after.
func playRejectionOfAll(m *simulatedMesh, rejection vmFault) (during, after int) {
	time.Sleep(20 * time.Second)
	begin := m.storeAttempts()
	rejection.lasts = 15 * time.Second
	for _, vm := range m.vms {
		vm.fail(&rejection)
	}
	time.Sleep(rejection.lasts)
	during = m.storeAttempts() - begin
	time.Sleep(10 * time.Second)
	return during, m.storeAttempts() - begin - during
}
