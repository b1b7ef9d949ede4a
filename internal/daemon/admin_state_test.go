package daemon_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

var _ = Describe("a daemon whose event loop has ended", func() {
	// Guards against a ticket that has ended and is reported as open, because the
	// status is computed from an empty state.
	It("does not answer operators from an empty state", func() {
		s, store, stop := startOnStandin()
		client, err := admin.NewClient(admin.ClientConfig{Servers: []string{s.Listen.Admin}, Token: token, Attempts: 1})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Submit(context.Background(), firstTicket())
		Expect(err).NotTo(HaveOccurred())
		ended := func() string {
			status, err := client.Ticket(context.Background(), 1)
			Expect(err).NotTo(HaveOccurred())
			return status.State
		}
		Eventually(ended, testTimeout, 50*time.Millisecond).Should(Equal("done"))

		// The platform responds after the event loop has ended and before the daemon
		// has.
		store.SetFaults(standin.Faults{LatencyMillis: 600})
		state := make(chan string, 1)
		go func() {
			status, err := client.Ticket(context.Background(), 1)
			if err != nil {
				// A failure makes the operator ask again, which is correct.
				state <- "failed"
				return
			}
			state <- status.State
		}()
		time.Sleep(50 * time.Millisecond)
		Expect(stop()).To(Succeed())
		var received string
		Eventually(state, testTimeout).Should(Receive(&received))
		Expect(received).To(BeElementOf("done", "failed"))
	})
})
