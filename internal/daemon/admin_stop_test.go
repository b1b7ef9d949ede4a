package daemon_test

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/settings"
	"github.com/magnoliamount/magnoliamount/internal/ticketfile"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

var _ = Describe("a daemon that stops while operators' requests are in flight", func() {
	// Guards against an operator who gets EOF in place of the response that says
	// whether to submit the ticket again.
	It("answers them before it closes their connections", func() {
		s, store, stop := startOnStandin()
		body, err := ticketfile.Compact(firstTicket())
		Expect(err).NotTo(HaveOccurred())

		// The platform responds later than the daemon stops.
		store.SetFaults(standin.Faults{LatencyMillis: 1500})
		var mu sync.Mutex
		var failures []error
		var requests sync.WaitGroup
		for range 10 {
			requests.Go(func() {
				r, err := http.NewRequest(http.MethodPost, "http://"+s.Listen.Admin+"/v1/tickets", bytes.NewReader(body))
				if err == nil {
					r.Header.Set("Authorization", "Bearer "+token)
					var response *http.Response
					if response, err = (&http.Client{Transport: &http.Transport{}}).Do(r); err == nil {
						_ = response.Body.Close()
					}
				}
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failures = append(failures, err)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		Expect(stop()).To(Succeed())
		requests.Wait()
		Expect(failures).To(BeEmpty())
	})
})

var _ = Describe("a daemon that stops while an operator's request waits for the platform", func() {
	// Guards against an operator who gets EOF because the platform responds later than
	// the daemon waits for its last responses.
	It("answers the request when the daemon ends", func() {
		s, store, stop := startOnStandin(func(s *settings.Settings) { s.Platform.Timeout = testTimeout })
		store.SetFaults(standin.Faults{LatencyMillis: 5000})
		outcome := make(chan error, 1)
		go func() {
			r, err := http.NewRequest(http.MethodGet, "http://"+s.Listen.Admin+"/v1/tickets/1", nil)
			if err == nil {
				r.Header.Set("Authorization", "Bearer "+token)
				var response *http.Response
				if response, err = (&http.Client{Transport: &http.Transport{}}).Do(r); err == nil {
					_ = response.Body.Close()
				}
			}
			outcome <- err
		}()
		time.Sleep(100 * time.Millisecond)
		Expect(stop()).To(Succeed())
		var err error
		Eventually(outcome, testTimeout).Should(Receive(&err))
		Expect(err).NotTo(HaveOccurred())
	})
})
