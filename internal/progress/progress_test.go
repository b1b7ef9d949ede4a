package progress_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/progress"
)

func TestProgress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "progress")
}

var _ = Describe("a call with a progress watchdog", func() {
	const idleTimeout = 200 * time.Millisecond
	// fetch reads a response of the given number of parts, one byte each, which
	// the server sends with the given pause after each.
	fetch := func(pause time.Duration, parts int) (string, error) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for range parts {
				_, _ = io.WriteString(w, "x")
				_ = http.NewResponseController(w).Flush()
				select {
				case <-time.After(pause):
				case <-r.Context().Done():
					return
				}
			}
		}))
		defer server.Close()
		ctx, watchdog, release := progress.NewWatchdog(context.Background(), idleTimeout, idleTimeout)
		defer release()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		data, err := io.ReadAll(watchdog.Reader(response.Body))
		return string(data), err
	}

	// Guards against a large configuration that is never received over a slow
	// link, because each attempt is canceled before its end.
	It("is not canceled while its response arrives slowly", func() {
		data, err := fetch(idleTimeout/2, 6)
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(HaveLen(6))
	})

	// Guards against a call that hangs on a connection without data.
	It("is canceled when its response stops", func() {
		start := time.Now()
		_, err := fetch(20*idleTimeout, 3)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(start)).To(BeNumerically("<", 4*idleTimeout))
	})
})
