package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/settings"
)

// Names of flags that several commands share.
const (
	outputFlag     = "output"
	serverFlag     = "server"
	tokenFlag      = "token-file"
	caFlag         = "ca-file"
	configFlagName = "config"
	ticketFlag     = "ticket"
	timeoutFlag    = "timeout"
)

// maxTokenBytes is the maximum size of a token file.
const maxTokenBytes = 4 << 10

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: outputFlag, Value: "table", Usage: "output format, `table|json`"},
		&cli.StringSliceFlag{
			Name: serverFlag, Usage: "`IP:PORT` or URL of a daemon's administration API; may be repeated",
			Sources: cli.EnvVars("MAGNOLIAMOUNT_SERVER"),
		},
		&cli.StringFlag{
			Name: tokenFlag, Usage: "`FILE` that contains the bearer token",
			Sources: cli.EnvVars("MAGNOLIAMOUNT_TOKEN_FILE"),
		},
		&cli.StringFlag{
			Name: caFlag, Usage: "`FILE` with the CA certificates of the daemons, in PEM format",
			Sources: cli.EnvVars("MAGNOLIAMOUNT_CA_FILE"),
		},
	}
}

func newConfigFlag() cli.Flag {
	return &cli.StringFlag{Name: configFlagName, Usage: "settings `FILE`", Required: true}
}

func newTimeoutFlag(value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: timeoutFlag, Value: value, Usage: "timeout of the whole command, such as 90s"}
}

// readGlobalOutputFlag validates --output before any command runs. The flag is also
// accepted after a subcommand, so withOutputFlag parses it again.
func (a *app) readGlobalOutputFlag(ctx context.Context, command *cli.Command) (context.Context, error) {
	return ctx, a.parseOutputFlag(command)
}

// parseOutputFlag sets jsonOutput from --output.
func (a *app) parseOutputFlag(command *cli.Command) error {
	switch format := command.String(outputFlag); format {
	case "table":
		a.jsonOutput = false
	case "json":
		a.jsonOutput = true
	default:
		return usageError(nil, "--output %q is not table or json", format)
	}
	return nil
}

// loadSettings loads the file that --config names. It accepts no positional
// arguments.
func loadSettings(command *cli.Command) (*settings.Settings, error) {
	if _, err := positionalArgs(command); err != nil {
		return nil, err
	}
	s, err := settings.Load(command.String(configFlagName))
	return s, inputError(err)
}

// clientConfig returns the API client configuration that the global flags
// describe.
func clientConfig(command *cli.Command) (admin.ClientConfig, error) {
	config := admin.ClientConfig{Servers: command.StringSlice(serverFlag)}
	if len(config.Servers) == 0 {
		return config, usageError(nil, "--server is missing")
	}
	if command.String(tokenFlag) == "" {
		return config, usageError(nil, "--token-file is missing")
	}
	token, err := readFileLimited(command.String(tokenFlag), maxTokenBytes)
	if err != nil {
		return config, err
	}
	config.Token = strings.TrimSpace(string(token))
	if config.Token == "" {
		return config, usageError(nil, "the token file is empty")
	}
	if strings.ContainsFunc(config.Token, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return config, usageError(nil, "the token contains characters other than printable ASCII")
	}
	config.HTTP, err = httpClient(command.String(caFlag))
	return config, err
}

func httpClient(caFile string) (*http.Client, error) {
	transport := &http.Transport{}
	if caFile != "" {
		content, err := readFileLimited(caFile, maxTicketFileBytes)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(content) {
			return nil, usageError(nil, "%s contains no certificate in PEM format", caFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &http.Client{Transport: transport, CheckRedirect: refuseRedirect}, nil
}

// refuseRedirect stops at the redirect response, so that the bearer token is not
// sent to another host.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newClient(command *cli.Command) (*admin.Client, error) {
	config, err := clientConfig(command)
	if err != nil {
		return nil, err
	}
	config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	client, err := admin.NewClient(config)
	return client, inputError(err)
}

// readFileLimited reads a file of at most limit bytes. Its errors have ExitUsage,
// because the operator chose the file.
func readFileLimited(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, inputError(fault.Wrap(err, fault.NotFound, "%s cannot be opened", path))
	}
	defer func() { _ = file.Close() }()
	return readLimited(file, path, limit)
}

// readLimited reads r to its end and fails when there are more than limit bytes.
// name describes r in errors.
func readLimited(r io.Reader, name string, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, inputError(fault.Wrap(err, fault.Invalid, "%s cannot be read", name))
	}
	if int64(len(content)) > limit {
		return nil, inputError(fault.New(fault.Invalid, "%s has more than %d bytes", name, limit))
	}
	return content, nil
}
