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

var _ = Describe("a call under watch", func() {
	const quiet = 200 * time.Millisecond
	// fetch reads an answer whose parts come with a pause between them.
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
		ctx, watch, release := progress.New(context.Background(), quiet, quiet)
		defer release()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		data, err := io.ReadAll(watch.Reader(response.Body))
		return string(data), err
	}

	// Guards against a large configuration that never comes over a slow link,
	// since each try is given up before its end.
	It("is not ended while its answer comes slowly", func() {
		data, err := fetch(quiet/2, 6)
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(HaveLen(6))
	})

	// Guards against a call that hangs on a silent connection.
	It("is ended when its answer stops", func() {
		began := time.Now()
		_, err := fetch(20*quiet, 3)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 4*quiet))
	})
})
