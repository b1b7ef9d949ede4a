package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
	"golang.org/x/sys/unix"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/settings"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

// buildProgram builds the program once and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	return gexec.Build("github.com/magnoliamount/magnoliamount/cmd/magnoliamount")
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// settingsText returns the settings as a file, with the secrets that settings.Format
// hides.
func settingsText(s *settings.Settings) string {
	return fmt.Sprintf(`[vm]
name = %s
failure_domain = %s
region = %s
[listen]
caller = %s
inbound = %s
peer = %s
admin = %s
[peers]
token = %s
[platform]
table_endpoint = %s
table = %s
object_endpoint = %s
bucket = %s
region = %s
access_key = %s
secret_key = %s
[admin]
token = %s
[timeouts]
drain_notice = %s
`, s.VM.Name, s.VM.FailureDomain, s.VM.Region, s.Listen.Caller, s.Listen.Inbound, s.Listen.Peer, s.Listen.Admin, s.Peers.Token,
		s.Platform.TableEndpoint, s.Platform.Table, s.Platform.ObjectEndpoint, s.Platform.Bucket, s.Platform.Region,
		s.Platform.AccessKey, s.Platform.SecretKey, s.Admin.Token, s.Timeouts.DrainNotice)
}

const (
	// slowRunTime is how long the target takes for a request while the daemon stops. It
	// is longer than the drain notice and the time between two signals.
	slowRunTime = 2 * time.Second
	// signalInterval is the time between two signals.
	signalInterval = slowRunTime / 4
	// logLinesBeyondPipe is a number of log lines that a pipe of one page cannot hold.
	logLinesBeyondPipe = 100
)

// process is the program `magnoliamount daemon` with a target beside it.
type process struct {
	settings *settings.Settings
	command  *exec.Cmd
	client   *http.Client
	// done is closed when the process has ended.
	done chan struct{}
	// runTime is how long the target takes for a request, and runs counts its requests.
	runTime atomic.Int64
	runs    atomic.Int64
	target  *httptest.Server
}

// startProcess starts the daemon with its log going to output, which it closes.
func startProcess(output *os.File) *process {
	GinkgoHelper()
	platform := httptest.NewServer(standin.New())
	DeferCleanup(platform.Close)
	program, err := buildProgram()
	Expect(err).NotTo(HaveOccurred())
	p := &process{settings: newSettings("vm-1", platform.URL), client: &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}, done: make(chan struct{})}
	p.settings.Timeouts.DrainNotice = 100 * time.Millisecond
	p.target = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		p.runs.Add(1)
		time.Sleep(time.Duration(p.runTime.Load()))
		_, _ = w.Write([]byte("done"))
	}))
	DeferCleanup(p.target.Close)
	path := filepath.Join(GinkgoT().TempDir(), "daemon.ini")
	Expect(os.WriteFile(path, []byte(settingsText(p.settings)), 0o600)).To(Succeed())
	p.command = exec.Command(program, "daemon", "--config", path)
	p.command.Stderr = output
	Expect(p.command.Start()).To(Succeed())
	Expect(output.Close()).To(Succeed())
	go func() {
		defer close(p.done)
		_ = p.command.Wait()
	}()
	DeferCleanup(func() {
		_ = p.command.Process.Kill()
		Eventually(p.done, testTimeout).Should(BeClosed())
	})
	Eventually(ready(p.settings), testTimeout, 20*time.Millisecond).Should(Equal(http.StatusOK))
	return p
}

// announce announces the target as a version of the service.
func (p *process) announce(version string) {
	GinkgoHelper()
	body, err := json.Marshal(proxy.Announcement{Service: "orders", Version: version, Address: p.target.Listener.Addr().String(), Slots: 4, Connections: 10})
	Expect(err).NotTo(HaveOccurred())
	response, err := p.client.Post("http://"+p.settings.Listen.Caller+proxy.TargetPath, "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// send sends a request that may run once and returns the status of its response.
func (p *process) send() (int, error) {
	response, err := p.client.Post("http://"+p.settings.Listen.Caller+"/orders", "text/plain", nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// serveOrders adds a route to the target and waits until requests succeed.
func (p *process) serveOrders() {
	GinkgoHelper()
	p.announce("v1")
	operator, err := admin.NewClient(admin.ClientConfig{Servers: []string{p.settings.Listen.Admin}, Token: token})
	Expect(err).NotTo(HaveOccurred())
	ticket := firstTicket()
	ticket.Routes = []model.Route{{Name: "orders", PathPrefix: "/orders", Service: "orders", Class: model.Normal}}
	_, err = operator.Submit(context.Background(), ticket)
	Expect(err).NotTo(HaveOccurred())
	Eventually(p.send, testTimeout, 20*time.Millisecond).Should(Equal(http.StatusOK))
}

// stop sends SIGTERM and expects the end of a planned stop.
func (p *process) stop() {
	GinkgoHelper()
	Expect(p.command.Process.Signal(syscall.SIGTERM)).To(Succeed())
	p.expectPlannedEnd()
}

func (p *process) expectPlannedEnd() {
	GinkgoHelper()
	Eventually(p.done, testTimeout).Should(BeClosed())
	Expect(p.command.ProcessState.String()).To(Equal("exit status 0"))
}

// discardedLog returns a file for a log that is not examined.
func discardedLog() *os.File {
	GinkgoHelper()
	output, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	Expect(err).NotTo(HaveOccurred())
	return output
}

var _ = Describe("the process of a daemon", func() {
	// Guards against a signal that ends the process before the requests in flight are
	// answered, because its handler lasts only until the first signal.
	DescribeTable("answers the request in flight when it gets another signal while it stops", func(signals ...syscall.Signal) {
		p := startProcess(discardedLog())
		p.serveOrders()
		p.runTime.Store(int64(slowRunTime))
		served := p.runs.Load()
		type outcome struct {
			status int
			err    error
		}
		outcomes := make(chan outcome, 1)
		go func() {
			status, err := p.send()
			outcomes <- outcome{status, err}
		}()
		Eventually(p.runs.Load, testTimeout, 5*time.Millisecond).Should(Equal(served + 1))
		Expect(p.command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		for _, s := range signals {
			time.Sleep(signalInterval)
			// A process that the signal before has ended is detected by its outcome.
			_ = p.command.Process.Signal(s)
		}
		var received outcome
		Eventually(outcomes, testTimeout).Should(Receive(&received))
		Expect(received.err).NotTo(HaveOccurred())
		Expect(received.status).To(Equal(http.StatusOK))
		p.expectPlannedEnd()
	},
		Entry("SIGTERM", syscall.SIGTERM),
		Entry("SIGHUP", syscall.SIGHUP),
		Entry("both", syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM),
	)

	// Guards against a reload that ends a daemon, which has no stop in progress.
	It("continues to serve after SIGHUP", func() {
		p := startProcess(discardedLog())
		p.serveOrders()
		Expect(p.command.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Consistently(p.send, signalInterval, 50*time.Millisecond).Should(Equal(http.StatusOK))
		p.stop()
	})

	// Guards against a daemon that waits for the program that reads its log.
	It("serves and stops while its log is not read", func() {
		reader, writer, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(reader.Close)
		_, err = unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize())
		Expect(err).NotTo(HaveOccurred())
		p := startProcess(writer)
		for i := range logLinesBeyondPipe {
			p.announce(fmt.Sprintf("v%d", 2+i%2))
		}
		p.serveOrders()
		p.stop()
	})

	// Guards against a daemon that ends with the program that reads its log.
	It("serves and stops when the reader of its log has ended", func() {
		reader, writer, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		p := startProcess(writer)
		Expect(reader.Close()).To(Succeed())
		p.serveOrders()
		p.stop()
	})
})
