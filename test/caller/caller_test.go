package caller_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/test/caller"
	"github.com/magnoliamount/magnoliamount/test/target"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

// closedPort is an address on which no process listens.
const closedPort = "127.0.0.1:1"

// writeAnswer responds like a target. It applies change to the answer before it sends it.
func writeAnswer(w http.ResponseWriter, r *http.Request, change func(*target.Response)) {
	digest := target.NewDigest()
	n, _ := io.Copy(digest, r.Body)
	padding, _ := strconv.ParseInt(r.URL.Query().Get(target.BytesParameter), 10, 64)
	a := target.Response{
		VM: "vm1", Version: "v1", ID: r.Header.Get(target.IDHeader), Method: r.Method, Path: r.URL.Path,
		Bytes: n, Digest: target.DigestText(digest), Padding: padding,
	}
	change(&a)
	line, _ := json.Marshal(a)
	_, _ = w.Write(append(line, '\n'))
	_, _ = io.Copy(w, target.Padding(a.ID, a.Padding))
}

func unchanged(*target.Response) {}

// daemonResponse returns a handler that responds like a daemon with the outcome and status.
func daemonResponse(o proxy.Outcome, status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(proxy.OutcomeHeader, string(o))
		w.WriteHeader(status)
	}
}

func serve(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

// runLoad sends ten requests of a kind and returns the summary and the recorded results.
func runLoad(kind caller.Kind, listeners ...string) (caller.Summary, []caller.Result) {
	GinkgoHelper()
	o := caller.DefaultOptions()
	o.Listeners, o.Rate, o.Duration = listeners, 100, 100*time.Millisecond
	o.GetWeight, o.OnceWeight, o.UploadWeight = 0, 0, 0
	*map[caller.Kind]*int{caller.Get: &o.GetWeight, caller.Once: &o.OnceWeight, caller.Upload: &o.UploadWeight}[kind] = 1
	o.UploadBytes, o.UploadTime, o.RetryDelay = 300<<10, 100*time.Millisecond, time.Millisecond
	o.Record = filepath.Join(GinkgoT().TempDir(), "results.jsonl")
	c, err := caller.New(o)
	Expect(err).NotTo(HaveOccurred())
	summary, err := c.Run(context.Background())
	Expect(err).NotTo(HaveOccurred())
	content, err := os.ReadFile(o.Record)
	Expect(err).NotTo(HaveOccurred())
	var results []caller.Result
	for line := range strings.Lines(string(content)) {
		var r caller.Result
		Expect(json.Unmarshal([]byte(line), &r)).To(Succeed())
		results = append(results, r)
	}
	Expect(results).To(HaveLen(10))
	Expect(summary.Sent).To(Equal(int64(10)))
	return summary, results
}

var _ = DescribeTable("detects every response that is incomplete or does not match the request",
	func(kind caller.Kind, handler http.HandlerFunc, verdict caller.Verdict) {
		summary, results := runLoad(kind, serve(handler))
		for _, r := range results {
			Expect(r.Verdict).To(Equal(verdict), r.Attempts[0].Error)
			Expect(r.Complete && r.Matching).To(Equal(verdict == caller.Answered))
		}
		counts := map[caller.Verdict]int64{
			caller.Answered: summary.Answered, caller.NotRun: summary.NotRun, caller.Unknown: summary.Unknown,
			caller.Cut: summary.Cut, caller.Wrong: summary.Wrong,
		}
		Expect(counts[verdict]).To(Equal(int64(10)))
	},
	Entry("matching response to a lookup", caller.Get, func(w http.ResponseWriter, r *http.Request) { writeAnswer(w, r, unchanged) }, caller.Answered),
	Entry("matching response to an upload", caller.Upload, func(w http.ResponseWriter, r *http.Request) { writeAnswer(w, r, unchanged) }, caller.Answered),
	Entry("response to another request", caller.Get, func(w http.ResponseWriter, r *http.Request) {
		writeAnswer(w, r, func(a *target.Response) { a.ID = "other" })
	}, caller.Wrong),
	Entry("digest of another request body", caller.Upload, func(w http.ResponseWriter, r *http.Request) {
		writeAnswer(w, r, func(a *target.Response) { a.Digest = "other" })
	}, caller.Wrong),
	Entry("one changed byte at the end of the response", caller.Get, func(w http.ResponseWriter, r *http.Request) {
		recorded := httptest.NewRecorder()
		writeAnswer(recorded, r, unchanged)
		body := recorded.Body.Bytes()
		body[len(body)-1] ^= 1
		_, _ = w.Write(body)
	}, caller.Wrong),
	Entry("more padding than requested", caller.Get, func(w http.ResponseWriter, r *http.Request) {
		writeAnswer(w, r, unchanged)
		_, _ = w.Write([]byte("x"))
	}, caller.Wrong),
	Entry("connection that ends during the response", caller.Get, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "4000")
		writeAnswer(w, r, unchanged)
		panic(http.ErrAbortHandler)
	}, caller.Cut),
	Entry("connection that ends before the response", caller.Upload, func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}, caller.Cut),
	Entry("daemon response with the outcome not-run", caller.Once, daemonResponse(proxy.NotRun, 503), caller.NotRun),
	Entry("daemon response with the outcome unknown", caller.Get, daemonResponse(proxy.Unknown, 502), caller.Unknown),
	Entry("error status without an outcome", caller.Get, http.NotFound, caller.Unknown),
)

var _ = Describe("retries", func() {
	It("retries a once-only request of unknown outcome through another daemon with the same idempotency key", func() {
		var mu sync.Mutex
		attemptsByKey := map[string][]string{}
		recordAttempt := func(r *http.Request, name string) {
			mu.Lock()
			defer mu.Unlock()
			key := r.Header.Get(proxy.KeyHeader)
			attemptsByKey[key] = append(attemptsByKey[key], name+r.Header.Get(target.AttemptHeader))
		}
		bad := serve(func(w http.ResponseWriter, r *http.Request) {
			recordAttempt(r, "bad")
			daemonResponse(proxy.Unknown, 502)(w, r)
		})
		good := serve(func(w http.ResponseWriter, r *http.Request) {
			recordAttempt(r, "good")
			writeAnswer(w, r, unchanged)
		})
		summary, _ := runLoad(caller.Once, bad, good)
		Expect(summary.Answered).To(Equal(int64(10)))
		Expect(summary.Resent).To(Equal(int64(5)))
		Expect(attemptsByKey).To(HaveLen(10))
		for key, attempts := range attemptsByKey {
			Expect(key).NotTo(BeEmpty())
			Expect(attempts).To(Or(Equal([]string{"good1"}), Equal([]string{"bad1", "good2"})))
		}
	})

	It("does not retry an upload of unknown outcome, but retries one whose daemon was not reached", func() {
		summary, _ := runLoad(caller.Upload, serve(daemonResponse(proxy.Unknown, 502)))
		Expect(summary.Resent).To(BeZero())
		summary, _ = runLoad(caller.Upload, closedPort, serve(func(w http.ResponseWriter, r *http.Request) { writeAnswer(w, r, unchanged) }))
		Expect(summary.Answered).To(Equal(int64(10)))
		Expect(summary.ByVersion).To(Equal(map[string]int64{"v1": 10}))
	})

	It("rejects options without a listener", func() {
		_, err := caller.New(caller.DefaultOptions())
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
	})
})
