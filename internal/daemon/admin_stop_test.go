package daemon_test

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
