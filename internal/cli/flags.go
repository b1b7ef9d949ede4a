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

// Names of flags that several commands have.
const (
	outputFlag  = "output"
	serverFlag  = "server"
	tokenFlag   = "token-file"
	caFlag      = "ca-file"
	configName  = "config"
	ticketFlag  = "ticket"
	timeoutFlag = "timeout"
)

// maxTokenBytes bounds a token file.
const maxTokenBytes = 4 << 10

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: outputFlag, Value: "table", Usage: "output form, `table|json`"},
		&cli.StringSliceFlag{
			Name: serverFlag, Usage: "`IP:PORT` or URL of a daemon's administration API; may be repeated",
			Sources: cli.EnvVars("MAGNOLIAMOUNT_SERVER"),
		},
		&cli.StringFlag{
			Name: tokenFlag, Usage: "`FILE` that holds the bearer token",
			Sources: cli.EnvVars("MAGNOLIAMOUNT_TOKEN_FILE"),
		},
		&cli.StringFlag{
			Name: caFlag, Usage: "`FILE` with the certificates, in PEM form, that sign the daemons' certificates",
			Sources: cli.EnvVars("MAGNOLIAMOUNT_CA_FILE"),
		},
	}
}

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: configName, Usage: "settings `FILE`", Required: true}
}

func timeoutFlagOf(value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: timeoutFlag, Value: value, Usage: "longest time to try, such as 90s"}
}

// readOutput checks --output before any command runs. A subcommand can give
// the flag too, so print reads it again.
func (a *app) readOutput(ctx context.Context, command *cli.Command) (context.Context, error) {
	return ctx, a.setOutput(command)
}

func (a *app) setOutput(command *cli.Command) error {
	switch form := command.String(outputFlag); form {
	case "table":
		a.json = false
	case "json":
		a.json = true
	default:
		return usage(nil, "--output %q is not table or json", form)
	}
	return nil
}

func loadSettings(command *cli.Command) (*settings.Settings, error) {
	if _, err := arguments(command); err != nil {
		return nil, err
	}
	s, err := settings.Load(command.String(configName))
	return s, badInput(err)
}

// clientConfig reads the flags that every call of the API needs.
func clientConfig(command *cli.Command) (admin.ClientConfig, error) {
	config := admin.ClientConfig{Servers: command.StringSlice(serverFlag)}
	if len(config.Servers) == 0 {
		return config, usage(nil, "--server is missing")
	}
	if command.String(tokenFlag) == "" {
		return config, usage(nil, "--token-file is missing")
	}
	token, err := readBounded(command.String(tokenFlag), maxTokenBytes)
	if err != nil {
		return config, err
	}
	config.Token = strings.TrimSpace(string(token))
	if config.Token == "" {
		return config, usage(nil, "the token file is empty")
	}
	if strings.ContainsFunc(config.Token, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return config, usage(nil, "the token has characters other than printable ASCII")
	}
	config.HTTP, err = httpClient(command.String(caFlag))
	return config, err
}

func httpClient(caFile string) (*http.Client, error) {
	transport := &http.Transport{}
	if caFile != "" {
		content, err := readBounded(caFile, maxTicketFileBytes)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(content) {
			return nil, usage(nil, "%s holds no certificate in PEM form", caFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &http.Client{Transport: transport, CheckRedirect: refuseRedirect}, nil
}

// refuseRedirect keeps the token from being sent elsewhere.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newClient(command *cli.Command) (*admin.Client, error) {
	config, err := clientConfig(command)
	if err != nil {
		return nil, err
	}
	config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	client, err := admin.NewClient(config)
	return client, badInput(err)
}

// readBounded reads a file that the operator named.
func readBounded(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, badInput(fault.Wrap(err, fault.NotFound, "%s cannot be opened", path))
	}
	defer func() { _ = file.Close() }()
	return readLimited(file, path, limit)
}

func readLimited(r io.Reader, name string, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, badInput(fault.Wrap(err, fault.Invalid, "%s cannot be read", name))
	}
	if int64(len(content)) > limit {
		return nil, badInput(fault.New(fault.Invalid, "%s has more than %d bytes", name, limit))
	}
	return content, nil
}
