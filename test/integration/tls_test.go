package integration_test

import (
	"net/http"
	"slices"

	"github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// mutualTLS names the scenarios whose daemons use mutual TLS between them.
var mutualTLS = []string{
	"controller-killed", "platform-down", "planned-stop", "bad-at-once", "link-daemons", "herd", "replaced-and-answers-lost",
}

// authority returns the authority of the scenario's daemons, or nil.
func (w *world) newAuthority() *fleet.Authority {
	if !slices.Contains(mutualTLS, w.name) {
		return nil
	}
	authority, err := fleet.NewAuthority("first")
	w.Expect(err).NotTo(gomega.HaveOccurred())
	return authority
}

// rotate replaces the authority and all certificates while the daemons run.
// At each moment every daemon accepts the certificates of all others.
func (w *world) rotate() {
	second, err := fleet.NewAuthority("second")
	w.Expect(err).NotTo(gomega.HaveOccurred())
	for _, step := range []func(vm *fleet.VM) error{
		func(vm *fleet.VM) error { return vm.Trust(w.authority, second) },
		second.Issue,
		func(vm *fleet.VM) error { return vm.Trust(second) },
	} {
		for _, vm := range w.fleet.VMs() {
			w.Expect(step(vm)).To(gomega.Succeed())
		}
	}
	w.retired, w.authority = w.authority, second
	w.note("the certificates are of another authority now")
}

// startStranger starts a daemon with the right token and a certificate of the
// retired authority.
func (w *world) startStranger() *fleet.VM {
	vm, err := w.fleet.AddVM(fleet.VMConfig{Name: "stranger", Domain: "domain-1", Region: "region-1", Stranger: w.retired})
	w.Expect(err).NotTo(gomega.HaveOccurred())
	return vm
}

// expectKeptOut expects that the stranger runs, does not serve, and is no
// member for any daemon.
func (w *world) expectKeptOut(stranger *fleet.VM) {
	w.Expect(stranger.Daemon.Ended()).To(gomega.BeFalse(), "the stranger has ended")
	w.Expect(answer(stranger, "healthz")).To(gomega.Equal(http.StatusOK))
	w.Expect(answer(stranger, "readyz")).To(gomega.Equal(http.StatusServiceUnavailable))
	for _, vm := range w.fleet.VMs() {
		status, ok := w.status(vm)
		w.Expect(ok).To(gomega.BeTrue(), vm.Name)
		for _, m := range status.Members {
			w.Expect(m.VM).NotTo(gomega.Equal(stranger.Name), vm.Name)
		}
	}
	w.note("the stranger was kept out")
	stranger.Daemon.Kill()
	_ = stranger.Daemon.Wait()
}

func answer(vm *fleet.VM, path string) int {
	response, err := http.Get("http://" + vm.Admin + "/" + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
