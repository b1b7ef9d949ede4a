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
	token   = "operator-token"
	example = "../../magnoliamount.example.ini"
	plain   = `{"number":1,"services":[{"name":"s","versions":["v"],"shares":{"v":100}}]}`
	moving  = `{"number":1,"services":[{"name":"s","versions":["v"],"shares":{"v":100}}],"moves":[{"service":"s","finish":"+90s"}]}`
)

// fakeBackend answers with what a test puts into it.
type fakeBackend struct {
	mu        sync.Mutex
	submitErr error
	digests   []string
	// looks holds the answers of Ticket, the last of them for good.
	looks  []admin.TicketStatus
	events []timeline.Event
	status admin.Status
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
	if len(f.looks) == 0 {
		return admin.TicketStatus{}, fault.New(fault.NotFound, "ticket %d does not exist", number)
	}
	next := f.looks[0]
	if len(f.looks) > 1 {
		f.looks = f.looks[1:]
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
	remote := func(args ...string) int {
		return run(append(args, "--server", server.URL, "--token-file", filepath.Join(dir, "token"))...)
	}
	file := func(content string) string {
		path := filepath.Join(dir, "ticket.json")
		Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		return path
	}

	DescribeTable("exits with 2 for wrong usage and never sends anything",
		func(args ...string) {
			Expect(run(args...)).To(Equal(cli.ExitUsage), stderr.String())
			Expect(stderr.String()).NotTo(BeEmpty())
		},
		Entry("no command"),
		Entry("an unknown command", "bogus"),
		Entry("an unknown subcommand", "ticket", "bogus"),
		Entry("an unknown flag", "version", "--bogus"),
		Entry("an unknown output form", "version", "--output", "xml"),
		Entry("a daemon without settings", "daemon"),
		Entry("settings that do not exist", "settings", "check", "--config", "/nonexistent.ini"),
		Entry("no file", "ticket", "submit"),
		Entry("two files", "ticket", "check", "--offline", "a", "b"),
		Entry("no server", "ticket", "list", "--token-file", "/dev/null"),
		Entry("no token", "ticket", "list", "--server", "127.0.0.1:1"),
		Entry("an empty token", "ticket", "list", "--server", "127.0.0.1:1", "--token-file", "/dev/null"),
		Entry("a missing token file", "ticket", "list", "--server", "127.0.0.1:1", "--token-file", "/nonexistent"),
		Entry("a server that is none", "ticket", "list", "--server", "ftp://x", "--token-file", example),
		Entry("a bad limit", "ticket", "list", "--limit", "0"),
		Entry("a bad ticket number", "ticket", "show", "zero"),
		Entry("a bad goal", "ticket", "wait", "--for", "ever", "1"),
		Entry("a bad duration", "ticket", "wait", "--timeout", "9", "1"),
		Entry("a missing event file", "timeline", "--file", "/nonexistent"),
	)

	It("checks a file offline and lists its faults", func() {
		Expect(run("ticket", "check", "--offline", file(moving))).To(Equal(cli.ExitOK), stderr.String())
		Expect(run("ticket", "check", "--offline", file(`{"number":1,"x":1,"y":2}`))).To(Equal(cli.ExitUsage))
		Expect(stderr.String()).To(And(ContainSubstring("$.x: unknown field"), ContainSubstring("$.y: unknown field")))
	})

	It("tells faults of the file (2) from a refusal by the daemon (3)", func() {
		Expect(remote("ticket", "check", file(plain))).To(Equal(cli.ExitOK), stderr.String())
		Expect(remote("ticket", "check", "--output", "json", file(`{"number":7,"remove_routes":["r"]}`))).To(Equal(cli.ExitRefused))
		var body admin.ErrorBody
		Expect(json.Unmarshal(stderr.Bytes(), &body)).To(Succeed())
		Expect(body).To(And(HaveField("Kind", fault.OutOfOrder), HaveField("Expected", uint64(1))))
	})

	DescribeTable("gives each failure of a submission its exit code",
		func(kind fault.Kind, code int) {
			backend.submitErr = fault.New(kind, "x")
			Expect(remote("ticket", "submit", file(plain))).To(Equal(code), stderr.String())
		},
		Entry("refused", fault.OpenMove, cli.ExitRefused),
		Entry("taken", fault.NumberTaken, cli.ExitRefused),
		Entry("platform down", fault.Unavailable, cli.ExitFailed),
		Entry("in doubt", fault.UnknownOutcome, cli.ExitFailed),
	)

	It("exits with 3 for a wrong token and with 6 when no daemon answers", func() {
		Expect(os.WriteFile(filepath.Join(dir, "token"), []byte("wrong-token"), 0o600)).To(Succeed())
		Expect(remote("status")).To(Equal(cli.ExitRefused))
		server.Close()
		Expect(remote("status")).To(Equal(cli.ExitUnreachable))
	})

	It("submits a relative finish with the same digest again, guarding against a refusal as another ticket", func() {
		path := file(moving)
		backend.submitErr = fault.New(fault.UnknownOutcome, "answer lost")
		Expect(remote("ticket", "submit", path)).To(Equal(cli.ExitFailed))
		now = now.Add(time.Hour)
		backend.submitErr = nil
		Expect(remote("ticket", "submit", path)).To(Equal(cli.ExitOK), stderr.String())
		Expect(backend.digests).To(HaveEach(backend.digests[0]))
	})

	It("resolves a relative finish anew after a refusal or a change of the file, but not after a wrong token", func() {
		path := file(moving)
		Expect(remote("ticket", "submit", path)).To(Equal(cli.ExitOK))
		first := backend.digests[0]
		now = now.Add(time.Hour)
		Expect(os.WriteFile(filepath.Join(dir, "token"), []byte("wrong-token"), 0o600)).To(Succeed())
		Expect(remote("ticket", "submit", path)).To(Equal(cli.ExitRefused))
		Expect(os.WriteFile(filepath.Join(dir, "token"), []byte(token), 0o600)).To(Succeed())
		backend.submitErr = fault.New(fault.OpenMove, "x")
		Expect(remote("ticket", "submit", path)).To(Equal(cli.ExitRefused))
		Expect(backend.digests[len(backend.digests)-1]).To(Equal(first))
		backend.submitErr = nil
		Expect(remote("ticket", "submit", path)).To(Equal(cli.ExitOK))
		Expect(backend.digests[len(backend.digests)-1]).NotTo(Equal(first))
		now = now.Add(time.Hour)
		second := backend.digests[len(backend.digests)-1]
		file(strings.Replace(moving, "+90s", "+91s", 1))
		Expect(remote("ticket", "submit", path)).To(Equal(cli.ExitOK))
		Expect(backend.digests[len(backend.digests)-1]).NotTo(Equal(second))
	})

	It("refuses a damaged resolution and a relative finish from standard input", func() {
		path := file(moving)
		Expect(os.WriteFile(path+".resolved", []byte("{"), 0o600)).To(Succeed())
		Expect(remote("ticket", "submit", path)).To(Equal(cli.ExitUsage))
		config.Stdin = strings.NewReader(moving)
		Expect(remote("ticket", "submit", "-")).To(Equal(cli.ExitUsage))
		Expect(backend.digests).To(BeEmpty())
	})

	DescribeTable("waits for a ticket's end and tells it by the exit code",
		func(goal string, code int, looks ...admin.TicketStatus) {
			backend.looks = looks
			Expect(remote("ticket", "wait", "--for", goal, "--interval", "1ms", "1")).To(Equal(code), stderr.String())
		},
		Entry("done", "done", cli.ExitOK, admin.TicketStatus{State: "open"}, admin.TicketStatus{State: "open", InForce: true}, admin.TicketStatus{State: "done"}),
		Entry("in force", "in-force", cli.ExitOK, admin.TicketStatus{State: "open"}, admin.TicketStatus{State: "open", InForce: true}),
		Entry("done but not in force yet", "in-force", cli.ExitOK, admin.TicketStatus{State: "done"}, admin.TicketStatus{State: "done", InForce: true}),
		Entry("taken back", "done", cli.ExitTakenBack, admin.TicketStatus{State: "open"}, admin.TicketStatus{State: "taken-back", InForce: true}),
		Entry("taken back before it was in force", "in-force", cli.ExitTakenBack, admin.TicketStatus{State: "taken-back"}),
		Entry("superseded", "done", cli.ExitFailed, admin.TicketStatus{State: "superseded"}),
	)

	It("exits with 5 when the ticket is not done in time or not known yet", func() {
		Expect(remote("ticket", "wait", "--timeout", "50ms", "--interval", "1ms", "1")).To(Equal(cli.ExitTimeout))
		backend.looks = []admin.TicketStatus{{State: "open"}}
		Expect(remote("ticket", "wait", "--timeout", "50ms", "--interval", "1ms", "1")).To(Equal(cli.ExitTimeout))
	})

	It("keeps control characters of notes off the terminal", func() {
		Expect(remote("ticket", "list")).To(Equal(cli.ExitOK))
		Expect(stdout.String()).To(ContainSubstring("two [2J lines"))
	})

	It("merges the time lines of servers, members and files, and fails when a daemon is missing", func() {
		other := &fakeBackend{events: []timeline.Event{{Clock: 2, VM: "b", Kind: timeline.RevisionApplied}}}
		second := httptest.NewServer(admin.NewServer(other, admin.ServerConfig{Token: token}))
		DeferCleanup(second.Close)
		backend.events = []timeline.Event{{Clock: 3, VM: "a", Kind: timeline.RevisionInForce}}
		backend.status = admin.Status{VM: "a", Members: []admin.MemberStatus{{VM: "a"}, {VM: "b", AdminAddress: second.Listener.Addr().String()}}}
		saved := filepath.Join(dir, "events")
		Expect(os.WriteFile(saved, []byte(`{"clock":1,"vm":"c","kind":"ticket-accepted"}`), 0o600)).To(Succeed())
		Expect(remote("timeline", "--members", "--file", saved, "--output", "json")).To(Equal(cli.ExitOK), stderr.String())
		events, err := timeline.ReadLines(stdout)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveExactElements(HaveField("VM", "c"), HaveField("VM", "b"), HaveField("VM", "a")))
		second.Close()
		Expect(remote("timeline", "--members")).To(Equal(cli.ExitFailed))
		Expect(stdout.String()).To(ContainSubstring("revision-in-force"))
	})

	// Guards against claims that are deleted while callers repeat their requests.
	It("refuses to prune claims without an age or with one below a day", func() {
		config.OpenPlatform = func(*settings.Settings) (*platform.Store, error) { return &platform.Store{}, nil }
		Expect(run("claims", "prune", "--config", example)).To(Equal(cli.ExitUsage))
		Expect(run("claims", "prune", "--config", example, "--older-than", "23h")).To(Equal(cli.ExitUsage))
		Expect(stderr.String()).To(ContainSubstring("24h"))
	})

	It("runs the daemon with checked settings and passes its failure on", func() {
		var got *settings.Settings
		config.RunDaemon = func(_ context.Context, s *settings.Settings) error {
			got = s
			return fault.New(fault.Unavailable, "address in use")
		}
		Expect(run("daemon", "--config", example)).To(Equal(cli.ExitFailed))
		Expect(got.VM.Name).To(Equal("order-1"))
	})

	It("hands all arguments to the replay, flags too", func() {
		var got []string
		config.Replay = func(_ context.Context, args []string, _ io.Writer) error {
			got = args
			return nil
		}
		Expect(run("replay", "--seed", "1", "trace")).To(Equal(cli.ExitOK), stderr.String())
		Expect(got).To(Equal([]string{"--seed", "1", "trace"}))
	})

	It("prints no secret of the settings", func() {
		for _, form := range []string{"table", "json"} {
			Expect(run("settings", "print", "--config", example, "--output", form)).To(Equal(cli.ExitOK))
			Expect(stdout.String()).To(And(ContainSubstring("order-1"), Not(ContainSubstring("change-this"))))
		}
	})

	It("exits with 5, not 6, when a submission is cut off by --timeout", func() {
		server.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		})
		Expect(remote("ticket", "submit", "--timeout", "2s", file(plain))).To(Equal(cli.ExitTimeout))
		Expect(stderr.String()).To(ContainSubstring("may have been accepted"))
	})

	It("exits with 6 when no daemon gives its time line", func() {
		server.Close()
		Expect(remote("timeline")).To(Equal(cli.ExitUnreachable))
	})

	It("submits a large ticket unchanged, guarding against escapes and indents that push it over the limit", func() {
		note := strings.Repeat("<", model.MaxTicketBytes-1000)
		Expect(remote("ticket", "submit", file(strings.Replace(moving, "{", `{"note":"`+note+`",`, 1)))).To(Equal(cli.ExitOK), stderr.String())
		Expect(remote("ticket", "submit", filepath.Join(dir, "ticket.json"))).To(Equal(cli.ExitOK), stderr.String())
		Expect(backend.digests).To(HaveEach(backend.digests[0]))
	})

	It("trusts a TLS daemon only by --ca-file, guarding against a token sent to an impostor", func() {
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

	It("does not follow an answer that no daemon gives", func() {
		server.Config.Handler = http.NotFoundHandler()
		Expect(remote("status")).To(Equal(cli.ExitUnreachable))
	})
})
