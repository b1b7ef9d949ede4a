package target_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/test/target"
)

const eventuallyTimeout = 60 * time.Second

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(eventuallyTimeout)
	RunSpecs(t, "target")
}

// testTarget is a running target of one spec.
type testTarget struct {
	*target.Target
	record string
	stop   context.CancelFunc
	done   chan error
}

// startTarget runs a target until the spec ends or stop is called.
func startTarget(options target.Options) *testTarget {
	GinkgoHelper()
	options.VM, options.Service, options.Version = "vm1", "order", "v2"
	options.Listen = "127.0.0.1:0"
	options.Record = filepath.Join(GinkgoT().TempDir(), "runs.jsonl")
	t, err := target.New(options)
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	r := &testTarget{Target: t, record: options.Record, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- t.Run(ctx) }()
	DeferCleanup(stop)
	return r
}

// send returns the status, the decoded first line of the body and the padding.
func (r *testTarget) send(method, path, id string, body io.Reader) (int, target.Response, []byte) {
	GinkgoHelper()
	request, err := http.NewRequest(method, "http://"+r.Address()+path, body)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(target.IDHeader, id)
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	line, _ := reader.ReadBytes('\n')
	var first target.Response
	_ = json.Unmarshal(line, &first)
	padding, err := io.ReadAll(reader)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, first, padding
}

func (r *testTarget) status(path string) int {
	GinkgoHelper()
	status, _, _ := r.send(http.MethodGet, path, "", nil)
	return status
}

func (r *testTarget) entries() []target.Entry {
	GinkgoHelper()
	content, err := os.ReadFile(r.record)
	Expect(err).NotTo(HaveOccurred())
	var all []target.Entry
	for line := range strings.Lines(string(content)) {
		var e target.Entry
		Expect(json.Unmarshal([]byte(line), &e)).To(Succeed())
		all = append(all, e)
	}
	return all
}

// fakeDaemon records the announcements that it receives on its caller listener.
type fakeDaemon struct {
	mu               sync.Mutex
	requests         []string
	lastAnnouncement target.Announcement
}

func (d *fakeDaemon) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests = append(d.requests, r.Method+" "+r.URL.Path)
	_ = json.NewDecoder(r.Body).Decode(&d.lastAnnouncement)
}

func (d *fakeDaemon) recordedRequests() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.requests...)
}

var _ = Describe("a target", func() {
	It("returns the identity and digest of the request, and streams large bodies in both directions", func() {
		t := startTarget(target.Options{})
		requestBody, err := io.ReadAll(target.Padding("other", 3<<20))
		Expect(err).NotTo(HaveOccurred())
		status, response, padding := t.send(http.MethodPost, "/scan?bytes=2000000", "r1", bytes.NewReader(requestBody))
		Expect(status).To(Equal(http.StatusOK))
		digest := target.NewDigest()
		_, _ = digest.Write(requestBody)
		Expect(response).To(Equal(target.Response{
			VM: "vm1", Service: "order", Version: "v2", ID: "r1", Method: "POST", Path: "/scan",
			Bytes: 3 << 20, Digest: target.DigestText(digest), Padding: 2000000,
		}))
		expected, err := io.ReadAll(target.Padding("r1", 2000000))
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(padding, expected)).To(BeTrue())
	})

	It("announces itself, and on shutdown withdraws and finishes the requests in flight", func() {
		d := &fakeDaemon{}
		listener := httptest.NewServer(d)
		DeferCleanup(listener.Close)
		t := startTarget(target.Options{Daemon: listener.Listener.Addr().String(), Slots: 10, Connections: 120})
		Eventually(d.recordedRequests).Should(HaveLen(1))
		Expect(d.lastAnnouncement).To(Equal(target.Announcement{Service: "order", Version: "v2", Address: t.Address(), Slots: 10, Connections: 120}))
		body, upload := io.Pipe()
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			status, _, _ := t.send(http.MethodPost, "/scan", "r1", body)
			statuses <- status
		}()
		Eventually(t.entries).Should(HaveLen(2))
		t.stop()
		Eventually(d.recordedRequests).Should(ContainElement("DELETE " + target.AnnouncePath))
		Consistently(t.done, "200ms").ShouldNot(Receive())
		_, _ = upload.Write([]byte("rest"))
		Expect(upload.Close()).To(Succeed())
		Eventually(statuses).Should(Receive(Equal(http.StatusOK)))
		Eventually(t.done).Should(Receive(BeNil()))
		var phases []target.Phase
		for _, e := range t.entries() {
			phases = append(phases, e.Phase)
		}
		Expect(phases).To(Equal([]target.Phase{target.PhaseUp, target.PhaseRunStarted, target.PhaseWithdrawn, target.PhaseRunEnded, target.PhaseStopped}))
	})

	It("records the start of a run before a crash, so that the checker does not report the run as lost", func() {
		exited := make(chan int, 1)
		t := startTarget(target.Options{
			Behaviour: target.Behaviour{CrashPath: "poison"},
			Exit:      func(code int) { exited <- code; panic(http.ErrAbortHandler) },
		})
		_, err := http.Get("http://" + t.Address() + "/a/poison/b")
		Expect(err).To(HaveOccurred())
		Expect(exited).To(Receive(Not(BeZero())))
		entries := t.entries()
		Expect(entries).To(HaveLen(3))
		Expect(entries[1].Phase).To(Equal(target.PhaseRunStarted))
		Expect(entries[2].Phase).To(Equal(target.PhaseCrashed))
	})

	It("fails only after a number of requests and only on matching paths", func() {
		t := startTarget(target.Options{Behaviour: target.Behaviour{FailFraction: 1, AfterRequests: 2, PathPrefix: "/reorder"}})
		Expect([]int{t.status("/reorder"), t.status("/reorder"), t.status("/lookup"), t.status("/reorder/1")}).To(Equal([]int{200, 200, 200, 500}))
	})

	It("fails only above the configured concurrency", func() {
		t := startTarget(target.Options{Behaviour: target.Behaviour{FailFraction: 1, AboveConcurrency: 1}})
		Expect(t.status("/a")).To(Equal(http.StatusOK))
		body, upload := io.Pipe()
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			status, _, _ := t.send(http.MethodPost, "/b", "r1", body)
			statuses <- status
		}()
		Eventually(t.entries).Should(HaveLen(4))
		Expect(t.status("/a")).To(Equal(http.StatusInternalServerError))
		Expect(upload.Close()).To(Succeed())
		Eventually(statuses).Should(Receive(Equal(http.StatusOK)))
	})

	It("accepts its behaviour over HTTP, and can report itself healthy while requests fail", func() {
		t := startTarget(target.Options{})
		setBehaviour := func(text string) int {
			status, _, _ := t.send(http.MethodPost, target.BehaviourPath, "", strings.NewReader(text))
			return status
		}
		Expect(setBehaviour(`{"fail_fraction": 1}`)).To(Equal(http.StatusNoContent))
		Expect([]int{t.status("/a"), t.status(target.HealthPath)}).To(Equal([]int{500, 503}))
		Expect(setBehaviour(`{"fail_fraction": 1, "lie_health": true}`)).To(Equal(http.StatusNoContent))
		Expect([]int{t.status("/a"), t.status(target.HealthPath)}).To(Equal([]int{500, 200}))
		Expect(setBehaviour(`{"fail_fractoin": 1}`)).To(Equal(http.StatusBadRequest), "a misspelled field must be rejected, not ignored")
	})

	It("adds the warm-up latency to the configured latency", func() {
		b := target.Behaviour{ColdMs: 3_600_000, ColdLatencyMs: 300, LatencyMs: 200}
		t := startTarget(target.Options{Behaviour: b})
		start := time.Now()
		Expect(t.status("/a")).To(Equal(http.StatusOK))
		Expect(time.Since(start)).To(BeNumerically(">", 450*time.Millisecond))
	})
})
