package integration_test

import (
	"net/http"
	"slices"

	"github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// mutualTLS names the scenarios whose daemons use mutual TLS with one another.
var mutualTLS = []string{
	"controller-killed", "platform-down", "planned-stop", "bad-at-once", "link-daemons", "herd", "replaced-and-answers-lost",
}

// newAuthority returns a certificate authority for the scenario's daemons, or nil
// if the scenario does not use mutual TLS.
func (w *world) newAuthority() *fleet.Authority {
	if !slices.Contains(mutualTLS, w.name) {
		return nil
	}
	authority, err := fleet.NewAuthority("first")
	w.Expect(err).NotTo(gomega.HaveOccurred())
	return authority
}

// rotateAuthority replaces the authority and all certificates while the daemons
// run. At all times, every daemon accepts the certificates of all others.
func (w *world) rotateAuthority() {
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
	w.retiredAuthority, w.authority = w.authority, second
	w.logf("all certificates are now issued by the second authority")
}

// startUntrustedDaemon starts a daemon with the valid token and a certificate of
// the retired authority.
func (w *world) startUntrustedDaemon() *fleet.VM {
	vm, err := w.fleet.AddVM(fleet.VMConfig{Name: "stranger", Domain: "domain-1", Region: "region-1", ForeignAuthority: w.retiredAuthority})
	w.Expect(err).NotTo(gomega.HaveOccurred())
	return vm
}

// expectRejected expects that the untrusted daemon runs but is not ready, and
// that no daemon lists it as a member. It then kills the untrusted daemon.
func (w *world) expectRejected(untrusted *fleet.VM) {
	w.Expect(untrusted.Daemon.Ended()).To(gomega.BeFalse(), "the untrusted daemon has ended")
	w.Expect(adminStatusCode(untrusted, "healthz")).To(gomega.Equal(http.StatusOK))
	w.Expect(adminStatusCode(untrusted, "readyz")).To(gomega.Equal(http.StatusServiceUnavailable))
	for _, vm := range w.fleet.VMs() {
		status, ok := w.status(vm)
		w.Expect(ok).To(gomega.BeTrue(), vm.Name)
		for _, m := range status.Members {
			w.Expect(m.VM).NotTo(gomega.Equal(untrusted.Name), vm.Name)
		}
	}
	w.logf("the mesh rejected the untrusted daemon")
	untrusted.Daemon.Kill()
	_ = untrusted.Daemon.Wait()
}

// adminStatusCode requests a path of a daemon's admin address and returns the
// status code of the response, or 0 if there is none.
func adminStatusCode(vm *fleet.VM, path string) int {
	response, err := http.Get("http://" + vm.Admin + "/" + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
