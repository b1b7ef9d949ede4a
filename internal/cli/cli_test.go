package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/cli"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/settings"
	"github.com/magnoliamount/magnoliamount/internal/ticketfile"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

const (
	token             = "operator-token"
	exampleSettings   = "../../magnoliamount.example.ini"
	ticketWithoutMove = `{"number":1,"services":[{"name":"s","versions":["v"],"shares":{"v":100}}]}`
	ticketWithMove    = `{"number":1,"services":[{"name":"s","versions":["v"],"shares":{"v":100}}],"moves":[{"service":"s","finish":"+90s"}]}`
)

// fakeBackend returns the values that a test sets and records the digests of
// submitted tickets.
type fakeBackend struct {
	mu        sync.Mutex
	submitErr error
	digests   []string
	// ticketAnswers are the results of successive calls of Ticket. The last one
	// is repeated.
	ticketAnswers []admin.TicketStatus
	events        []timeline.Event
	status        admin.Status
}

func (f *fakeBackend) Submit(_ context.Context, t *model.Ticket) (admin.TicketStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	digest, _ := ticketfile.Digest(t)
	f.digests = append(f.digests, digest)
	return admin.TicketStatus{Number: t.Number, Digest: digest, State: "open"}, f.submitErr
}

func (f *fakeBackend) Ticket(_ context.Context, number uint64) (admin.TicketStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ticketAnswers) == 0 {
		return admin.TicketStatus{}, fault.New(fault.NotFound, "ticket %d does not exist", number)
	}
	next := f.ticketAnswers[0]
	if len(f.ticketAnswers) > 1 {
		f.ticketAnswers = f.ticketAnswers[1:]
	}
	return next, nil
}

func (f *fakeBackend) Tickets(context.Context, int) ([]admin.TicketStatus, error) {
	return []admin.TicketStatus{{Number: 2, State: "open", Note: "two\x1b[2J\nlines"}}, nil
}
func (f *fakeBackend) State() *model.State                            { return model.NewState() }
func (f *fakeBackend) Status() admin.Status                           { return f.status }
func (f *fakeBackend) Timeline(admin.TimelineFilter) []timeline.Event { return f.events }
func (f *fakeBackend) Ready() error                                   { return nil }

var _ = Describe("Run", func() {
	var (
		backend        *fakeBackend
		server         *httptest.Server
		dir            string
		stdout, stderr *bytes.Buffer
		config         cli.Config
		now            time.Time
	)

	BeforeEach(func() {
		backend = &fakeBackend{}
		server = httptest.NewServer(admin.NewServer(backend, admin.ServerConfig{Token: token}))
		DeferCleanup(server.Close)
		dir = GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "token"), []byte(token+"\n"), 0o600)).To(Succeed())
		now = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
		config = cli.Config{Version: "v1", Stdin: strings.NewReader(""), Now: func() time.Time { return now }}
	})

	run := func(args ...string) int {
		stdout, stderr = &bytes.Buffer{}, &bytes.Buffer{}
		config.Stdout, config.Stderr = stdout, stderr
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		return cli.Run(ctx, append([]string{"magnoliamount"}, args...), config)
	}
	runRemote := func(args ...string) int {
		return run(append(args, "--server", server.URL, "--token-file", filepath.Join(dir, "token"))...)
	}
	writeTicket := func(content string) string {
		path := filepath.Join(dir, "ticket.json")
		Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		return path
	}

	DescribeTable("exits with 2 for invalid usage without sending a request",
		func(args ...string) {
			Expect(run(args...)).To(Equal(cli.ExitUsage), stderr.String())
			Expect(stderr.String()).NotTo(BeEmpty())
		},
		Entry("no command"),
		Entry("an unknown command", "bogus"),
		Entry("an unknown subcommand", "ticket", "bogus"),
		Entry("an unknown flag", "version", "--bogus"),
		Entry("an unknown output format", "version", "--output", "xml"),
		Entry("a daemon without a settings file", "daemon"),
		Entry("a settings file that does not exist", "settings", "check", "--config", "/nonexistent.ini"),
		Entry("no file", "ticket", "submit"),
		Entry("two files", "ticket", "check", "--offline", "a", "b"),
		Entry("no server", "ticket", "list", "--token-file", "/dev/null"),
		Entry("no token", "ticket", "list", "--server", "127.0.0.1:1"),
		Entry("an empty token", "ticket", "list", "--server", "127.0.0.1:1", "--token-file", "/dev/null"),
		Entry("a missing token file", "ticket", "list", "--server", "127.0.0.1:1", "--token-file", "/nonexistent"),
		Entry("a server URL with another scheme", "ticket", "list", "--server", "ftp://x", "--token-file", exampleSettings),
		Entry("a bad limit", "ticket", "list", "--limit", "0"),
		Entry("a bad ticket number", "ticket", "show", "zero"),
		Entry("an unknown value of --for", "ticket", "wait", "--for", "ever", "1"),
		Entry("a bad duration", "ticket", "wait", "--timeout", "9", "1"),
		Entry("a missing event file", "timeline", "--file", "/nonexistent"),
	)

	It("validates a file offline and lists its errors", func() {
		Expect(run("ticket", "check", "--offline", writeTicket(ticketWithMove))).To(Equal(cli.ExitOK), stderr.String())
		Expect(run("ticket", "check", "--offline", writeTicket(`{"number":1,"x":1,"y":2}`))).To(Equal(cli.ExitUsage))
		Expect(stderr.String()).To(And(ContainSubstring("$.x: unknown field"), ContainSubstring("$.y: unknown field")))
	})

	It("exits with 2 for errors in the file and with 3 for a refusal by the daemon", func() {
		Expect(runRemote("ticket", "check", writeTicket(ticketWithoutMove))).To(Equal(cli.ExitOK), stderr.String())
		Expect(runRemote("ticket", "check", "--output", "json", writeTicket(`{"number":7,"remove_routes":["r"]}`))).To(Equal(cli.ExitRefused))
		var body admin.ErrorBody
		Expect(json.Unmarshal(stderr.Bytes(), &body)).To(Succeed())
		Expect(body).To(And(HaveField("Kind", fault.OutOfOrder), HaveField("Expected", uint64(1))))
	})

	DescribeTable("exits with the code of each failure of a submission",
		func(kind fault.Kind, code int) {
			backend.submitErr = fault.New(kind, "x")
			Expect(runRemote("ticket", "submit", writeTicket(ticketWithoutMove))).To(Equal(code), stderr.String())
		},
		Entry("refused because of an open move", fault.OpenMove, cli.ExitRefused),
		Entry("ticket number already used", fault.NumberTaken, cli.ExitRefused),
		Entry("platform down", fault.Unavailable, cli.ExitFailed),
		Entry("unknown outcome", fault.UnknownOutcome, cli.ExitFailed),
	)

	It("exits with 3 for a wrong token and with 6 when no daemon responds", func() {
		Expect(os.WriteFile(filepath.Join(dir, "token"), []byte("wrong-token"), 0o600)).To(Succeed())
		Expect(runRemote("status")).To(Equal(cli.ExitRefused))
		server.Close()
		Expect(runRemote("status")).To(Equal(cli.ExitUnreachable))
	})

	It("retries a relative finish time with the same digest, guarding against a refusal as another ticket", func() {
		path := writeTicket(ticketWithMove)
		backend.submitErr = fault.New(fault.UnknownOutcome, "answer lost")
		Expect(runRemote("ticket", "submit", path)).To(Equal(cli.ExitFailed))
		now = now.Add(time.Hour)
		backend.submitErr = nil
		Expect(runRemote("ticket", "submit", path)).To(Equal(cli.ExitOK), stderr.String())
		Expect(backend.digests).To(HaveEach(backend.digests[0]))
	})

	It("resolves a relative finish time again after a refusal or a change of the file, but not after a wrong token", func() {
		path := writeTicket(ticketWithMove)
		Expect(runRemote("ticket", "submit", path)).To(Equal(cli.ExitOK))
		first := backend.digests[0]
		now = now.Add(time.Hour)
		Expect(os.WriteFile(filepath.Join(dir, "token"), []byte("wrong-token"), 0o600)).To(Succeed())
		Expect(runRemote("ticket", "submit", path)).To(Equal(cli.ExitRefused))
		Expect(os.WriteFile(filepath.Join(dir, "token"), []byte(token), 0o600)).To(Succeed())
		backend.submitErr = fault.New(fault.OpenMove, "x")
		Expect(runRemote("ticket", "submit", path)).To(Equal(cli.ExitRefused))
		Expect(backend.digests[len(backend.digests)-1]).To(Equal(first))
		backend.submitErr = nil
		Expect(runRemote("ticket", "submit", path)).To(Equal(cli.ExitOK))
		Expect(backend.digests[len(backend.digests)-1]).NotTo(Equal(first))
		now = now.Add(time.Hour)
		second := backend.digests[len(backend.digests)-1]
		writeTicket(strings.Replace(ticketWithMove, "+90s", "+91s", 1))
		Expect(runRemote("ticket", "submit", path)).To(Equal(cli.ExitOK))
		Expect(backend.digests[len(backend.digests)-1]).NotTo(Equal(second))
	})

	It("rejects a damaged file of resolved times and a relative finish time from standard input", func() {
		path := writeTicket(ticketWithMove)
		Expect(os.WriteFile(path+".resolved", []byte("{"), 0o600)).To(Succeed())
		Expect(runRemote("ticket", "submit", path)).To(Equal(cli.ExitUsage))
		config.Stdin = strings.NewReader(ticketWithMove)
		Expect(runRemote("ticket", "submit", "-")).To(Equal(cli.ExitUsage))
		Expect(backend.digests).To(BeEmpty())
	})

	DescribeTable("waits for a ticket and reports its result by the exit code",
		func(goal string, code int, ticketAnswers ...admin.TicketStatus) {
			backend.ticketAnswers = ticketAnswers
			Expect(runRemote("ticket", "wait", "--for", goal, "--interval", "1ms", "1")).To(Equal(code), stderr.String())
		},
		Entry("done", "done", cli.ExitOK, admin.TicketStatus{State: "open"}, admin.TicketStatus{State: "open", InForce: true}, admin.TicketStatus{State: "done"}),
		Entry("in force", "in-force", cli.ExitOK, admin.TicketStatus{State: "open"}, admin.TicketStatus{State: "open", InForce: true}),
		Entry("done but not in force yet", "in-force", cli.ExitOK, admin.TicketStatus{State: "done"}, admin.TicketStatus{State: "done", InForce: true}),
		Entry("taken back", "done", cli.ExitTakenBack, admin.TicketStatus{State: "open"}, admin.TicketStatus{State: "taken-back", InForce: true}),
		Entry("taken back before it was in force", "in-force", cli.ExitTakenBack, admin.TicketStatus{State: "taken-back"}),
		Entry("superseded", "done", cli.ExitFailed, admin.TicketStatus{State: "superseded"}),
	)

	It("exits with 5 when the ticket is not done before the timeout or does not exist yet", func() {
		Expect(runRemote("ticket", "wait", "--timeout", "50ms", "--interval", "1ms", "1")).To(Equal(cli.ExitTimeout))
		backend.ticketAnswers = []admin.TicketStatus{{State: "open"}}
		Expect(runRemote("ticket", "wait", "--timeout", "50ms", "--interval", "1ms", "1")).To(Equal(cli.ExitTimeout))
	})

	It("replaces control characters in notes, guarding against changes of the terminal", func() {
		Expect(runRemote("ticket", "list")).To(Equal(cli.ExitOK))
		Expect(stdout.String()).To(ContainSubstring("two [2J lines"))
	})

	It("merges the time lines of servers, members and files, and fails when a daemon does not respond", func() {
		other := &fakeBackend{events: []timeline.Event{{Clock: 2, VM: "b", Kind: timeline.RevisionApplied}}}
		second := httptest.NewServer(admin.NewServer(other, admin.ServerConfig{Token: token}))
		DeferCleanup(second.Close)
		backend.events = []timeline.Event{{Clock: 3, VM: "a", Kind: timeline.RevisionInForce}}
		backend.status = admin.Status{VM: "a", Members: []admin.MemberStatus{{VM: "a"}, {VM: "b", AdminAddress: second.Listener.Addr().String()}}}
		saved := filepath.Join(dir, "events")
		Expect(os.WriteFile(saved, []byte(`{"clock":1,"vm":"c","kind":"ticket-accepted"}`), 0o600)).To(Succeed())
		Expect(runRemote("timeline", "--members", "--file", saved, "--output", "json")).To(Equal(cli.ExitOK), stderr.String())
		events, err := timeline.ReadLines(stdout)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveExactElements(HaveField("VM", "c"), HaveField("VM", "b"), HaveField("VM", "a")))
		second.Close()
		Expect(runRemote("timeline", "--members")).To(Equal(cli.ExitFailed))
		Expect(stdout.String()).To(ContainSubstring("revision-in-force"))
	})

	// Guards against deleting claims while callers still retry their requests.
	It("refuses to prune claims without a minimum age or with one below 24 hours", func() {
		config.OpenPlatform = func(*settings.Settings) (*platform.Store, error) { return &platform.Store{}, nil }
		Expect(run("claims", "prune", "--config", exampleSettings)).To(Equal(cli.ExitUsage))
		Expect(run("claims", "prune", "--config", exampleSettings, "--older-than", "23h")).To(Equal(cli.ExitUsage))
		Expect(stderr.String()).To(ContainSubstring("24h"))
	})

	It("runs the daemon with validated settings and reports its failure", func() {
		var received *settings.Settings
		config.RunDaemon = func(_ context.Context, s *settings.Settings) error {
			received = s
			return fault.New(fault.Unavailable, "address in use")
		}
		Expect(run("daemon", "--config", exampleSettings)).To(Equal(cli.ExitFailed))
		Expect(received.VM.Name).To(Equal("order-1"))
	})

	It("passes all arguments to the replay, including flags", func() {
		var received []string
		config.Replay = func(_ context.Context, args []string, _ io.Writer) error {
			received = args
			return nil
		}
		Expect(run("replay", "--seed", "1", "trace")).To(Equal(cli.ExitOK), stderr.String())
		Expect(received).To(Equal([]string{"--seed", "1", "trace"}))
	})

	It("does not print secrets of the settings", func() {
		for _, form := range []string{"table", "json"} {
			Expect(run("settings", "print", "--config", exampleSettings, "--output", form)).To(Equal(cli.ExitOK))
			Expect(stdout.String()).To(And(ContainSubstring("order-1"), Not(ContainSubstring("change-this"))))
		}
	})

	It("exits with 5, not 6, when --timeout ends a submission", func() {
		server.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		})
		Expect(runRemote("ticket", "submit", "--timeout", "2s", writeTicket(ticketWithoutMove))).To(Equal(cli.ExitTimeout))
		Expect(stderr.String()).To(ContainSubstring("may have been accepted"))
	})

	It("exits with 6 when no daemon returns its time line", func() {
		server.Close()
		Expect(runRemote("timeline")).To(Equal(cli.ExitUnreachable))
	})

	It("submits a large ticket unchanged, guarding against escaping and indentation that exceed the size limit", func() {
		note := strings.Repeat("<", model.MaxTicketBytes-1000)
		Expect(runRemote("ticket", "submit", writeTicket(strings.Replace(ticketWithMove, "{", `{"note":"`+note+`",`, 1)))).To(Equal(cli.ExitOK), stderr.String())
		Expect(runRemote("ticket", "submit", filepath.Join(dir, "ticket.json"))).To(Equal(cli.ExitOK), stderr.String())
		Expect(backend.digests).To(HaveEach(backend.digests[0]))
	})

	It("trusts the certificate of a daemon only with --ca-file, guarding against a token sent to an impostor", func() {
		secure := httptest.NewTLSServer(admin.NewServer(backend, admin.ServerConfig{Token: token}))
		DeferCleanup(secure.Close)
		ca := filepath.Join(dir, "ca.pem")
		block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: secure.Certificate().Raw})
		Expect(os.WriteFile(ca, block, 0o600)).To(Succeed())
		flags := []string{"status", "--server", secure.URL, "--token-file", filepath.Join(dir, "token")}
		Expect(run(append(flags, "--ca-file", ca)...)).To(Equal(cli.ExitOK), stderr.String())
		Expect(run(flags...)).To(Equal(cli.ExitUnreachable))
		Expect(run(append(flags, "--ca-file", filepath.Join(dir, "token"))...)).To(Equal(cli.ExitUsage))
	})

	It("exits with 6 for a response that does not come from a daemon", func() {
		server.Config.Handler = http.NotFoundHandler()
		Expect(runRemote("status")).To(Equal(cli.ExitUnreachable))
	})
})
