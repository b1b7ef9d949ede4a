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

const deadline = 60 * time.Second

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(deadline)
	RunSpecs(t, "target")
}

// running is a target of a spec.
type running struct {
	*target.Target
	record string
	stop   context.CancelFunc
	done   chan error
}

func run(options target.Options) *running {
	GinkgoHelper()
	options.VM, options.Service, options.Version = "vm1", "order", "v2"
	options.Listen = "127.0.0.1:0"
	options.Record = filepath.Join(GinkgoT().TempDir(), "runs.jsonl")
	t, err := target.New(options)
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	r := &running{Target: t, record: options.Record, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- t.Run(ctx) }()
	DeferCleanup(stop)
	return r
}

func (r *running) send(method, path, id string, body io.Reader) (int, target.Answer, []byte) {
	GinkgoHelper()
	request, err := http.NewRequest(method, "http://"+r.Address()+path, body)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(target.IDHeader, id)
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	line, _ := reader.ReadBytes('\n')
	var answer target.Answer
	_ = json.Unmarshal(line, &answer)
	rest, err := io.ReadAll(reader)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, answer, rest
}

func (r *running) status(path string) int {
	GinkgoHelper()
	status, _, _ := r.send(http.MethodGet, path, "", nil)
	return status
}

func (r *running) entries() []target.Entry {
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

// daemon records the announcements to a caller listener.
type daemon struct {
	mu    sync.Mutex
	calls []string
	last  target.Announcement
}

func (d *daemon) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, r.Method+" "+r.URL.Path)
	_ = json.NewDecoder(r.Body).Decode(&d.last)
}

func (d *daemon) seen() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.calls...)
}

var _ = Describe("a target", func() {
	It("echoes what identifies the request, and streams large bodies both ways", func() {
		t := run(target.Options{})
		sent, err := io.ReadAll(target.Padding("other", 3<<20))
		Expect(err).NotTo(HaveOccurred())
		status, answer, rest := t.send(http.MethodPost, "/scan?bytes=2000000", "r1", bytes.NewReader(sent))
		Expect(status).To(Equal(http.StatusOK))
		digest := target.NewDigest()
		_, _ = digest.Write(sent)
		Expect(answer).To(Equal(target.Answer{
			VM: "vm1", Service: "order", Version: "v2", ID: "r1", Method: "POST", Path: "/scan",
			Bytes: 3 << 20, Digest: target.DigestText(digest), Padding: 2000000,
		}))
		expected, err := io.ReadAll(target.Padding("r1", 2000000))
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(rest, expected)).To(BeTrue())
	})

	It("announces itself, withdraws, and finishes requests in flight before it stops", func() {
		d := &daemon{}
		listener := httptest.NewServer(d)
		DeferCleanup(listener.Close)
		t := run(target.Options{Daemon: listener.Listener.Addr().String(), Slots: 10, Connections: 120})
		Eventually(d.seen).Should(HaveLen(1))
		Expect(d.last).To(Equal(target.Announcement{Service: "order", Version: "v2", Address: t.Address(), Slots: 10, Connections: 120}))
		body, upload := io.Pipe()
		answered := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			status, _, _ := t.send(http.MethodPost, "/scan", "r1", body)
			answered <- status
		}()
		Eventually(t.entries).Should(HaveLen(2))
		t.stop()
		Eventually(d.seen).Should(ContainElement("DELETE " + target.AnnouncePath))
		Consistently(t.done, "200ms").ShouldNot(Receive())
		_, _ = upload.Write([]byte("rest"))
		Expect(upload.Close()).To(Succeed())
		Eventually(answered).Should(Receive(Equal(http.StatusOK)))
		Eventually(t.done).Should(Receive(BeNil()))
		var phases []target.Phase
		for _, e := range t.entries() {
			phases = append(phases, e.Phase)
		}
		Expect(phases).To(Equal([]target.Phase{target.Up, target.Started, target.Leaving, target.Ended, target.Stopped}))
	})

	It("records the start of a run before a crash, so that the run is not lost to the checker", func() {
		exited := make(chan int, 1)
		t := run(target.Options{
			Behaviour: target.Behaviour{CrashPath: "poison"},
			Exit:      func(code int) { exited <- code; panic(http.ErrAbortHandler) },
		})
		_, err := http.Get("http://" + t.Address() + "/a/poison/b")
		Expect(err).To(HaveOccurred())
		Expect(exited).To(Receive(Not(BeZero())))
		entries := t.entries()
		Expect(entries).To(HaveLen(3))
		Expect(entries[1].Phase).To(Equal(target.Started))
		Expect(entries[2].Phase).To(Equal(target.Crashed))
	})

	It("fails after a number of requests, on a path only", func() {
		t := run(target.Options{Behaviour: target.Behaviour{FailFraction: 1, AfterRequests: 2, PathPrefix: "/reorder"}})
		Expect([]int{t.status("/reorder"), t.status("/reorder"), t.status("/lookup"), t.status("/reorder/1")}).To(Equal([]int{200, 200, 200, 500}))
	})

	It("fails above a concurrency only", func() {
		t := run(target.Options{Behaviour: target.Behaviour{FailFraction: 1, AboveConcurrency: 1}})
		Expect(t.status("/a")).To(Equal(http.StatusOK))
		body, upload := io.Pipe()
		answered := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			status, _, _ := t.send(http.MethodPost, "/b", "r1", body)
			answered <- status
		}()
		Eventually(t.entries).Should(HaveLen(4))
		Expect(t.status("/a")).To(Equal(http.StatusInternalServerError))
		Expect(upload.Close()).To(Succeed())
		Eventually(answered).Should(Receive(Equal(http.StatusOK)))
	})

	It("takes its behaviour by a request, and can lie about its health", func() {
		t := run(target.Options{})
		behave := func(text string) int {
			status, _, _ := t.send(http.MethodPost, target.BehaviourPath, "", strings.NewReader(text))
			return status
		}
		Expect(behave(`{"fail_fraction": 1}`)).To(Equal(http.StatusNoContent))
		Expect([]int{t.status("/a"), t.status(target.HealthPath)}).To(Equal([]int{500, 503}))
		Expect(behave(`{"fail_fraction": 1, "lie_health": true}`)).To(Equal(http.StatusNoContent))
		Expect([]int{t.status("/a"), t.status(target.HealthPath)}).To(Equal([]int{500, 200}))
		Expect(behave(`{"fail_fractoin": 1}`)).To(Equal(http.StatusBadRequest), "a misspelled behaviour must not pass as none")
	})

	It("is slow while cold and under added latency", func() {
		b := target.Behaviour{ColdMs: 3_600_000, ColdLatencyMs: 300, LatencyMs: 200}
		t := run(target.Options{Behaviour: b})
		start := time.Now()
		Expect(t.status("/a")).To(Equal(http.StatusOK))
		Expect(time.Since(start)).To(BeNumerically(">", 450*time.Millisecond))
	})
})
