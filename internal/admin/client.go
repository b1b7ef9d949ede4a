package admin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/ticketfile"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// Defaults of a Client.
const (
	// DefaultAttempts is the maximum number of attempts of a call.
	DefaultAttempts = 4
	// DefaultAttemptTimeout is the timeout of one attempt.
	DefaultAttemptTimeout = 10 * time.Second
	// DefaultBackoff is the maximum pause after the first attempt. The maximum
	// doubles with each further attempt.
	DefaultBackoff = 200 * time.Millisecond
	// maxResponseBytes limits the size of a response body, so that a server that
	// is no daemon cannot exhaust the client's memory.
	maxResponseBytes = 32 << 20
)

// ClientConfig configures a Client. Zero fields mean the defaults.
type ClientConfig struct {
	// Servers lists the daemons to try in turn, as IP:port or URL. It must not be
	// empty.
	Servers []string
	// Token is the bearer token of operators.
	Token string
	// HTTP sends the requests. Its Timeout should be zero, because AttemptTimeout
	// limits each attempt.
	HTTP           *http.Client
	Attempts       int
	AttemptTimeout time.Duration
	Backoff        time.Duration
	// Random adds jitter to the pauses between attempts; nil means the full
	// pause without jitter.
	Random *rand.Rand
}

// Client calls the administration API. It is not safe for concurrent use when
// ClientConfig.Random is set.
type Client struct {
	config  ClientConfig
	servers []*url.URL
}

// NewClient returns a client for the configuration. It fails with
// fault.Invalid when no server is configured or a server is neither IP:port
// nor an HTTP URL.
func NewClient(config ClientConfig) (*Client, error) {
	if len(config.Servers) == 0 {
		return nil, fault.New(fault.Invalid, "no server is given")
	}
	c := &Client{config: withDefaults(config)}
	for _, server := range config.Servers {
		parsed, err := parseServer(server)
		if err != nil {
			return nil, err
		}
		c.servers = append(c.servers, parsed)
	}
	return c, nil
}

func withDefaults(config ClientConfig) ClientConfig {
	if config.HTTP == nil {
		config.HTTP = &http.Client{CheckRedirect: refuseRedirect}
	}
	if config.Attempts <= 0 {
		config.Attempts = DefaultAttempts
	}
	if config.AttemptTimeout <= 0 {
		config.AttemptTimeout = DefaultAttemptTimeout
	}
	if config.Backoff <= 0 {
		config.Backoff = DefaultBackoff
	}
	return config
}

// refuseRedirect disables redirects, so that the token is not sent to another
// server.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func parseServer(server string) (*url.URL, error) {
	text := server
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.User != nil {
		return nil, fault.New(fault.Invalid, "server %q is not IP:port, http://IP:port or https://IP:port", server)
	}
	return parsed, nil
}

// Submit sends the ticket until a daemon accepts or refuses it or the attempts
// are used up. Retries are safe, because the same number and digest get the
// same response. When an attempt without a response may have taken effect, the
// error is fault.UnknownOutcome, and Submit may be called again with the same
// ticket.
func (c *Client) Submit(ctx context.Context, t *model.Ticket) (TicketStatus, error) {
	var status TicketStatus
	body, err := ticketfile.Compact(t)
	if err != nil {
		return status, err
	}
	call := &apiCall{method: http.MethodPost, path: "/v1/tickets", body: body, result: &status}
	err = c.sendWithRetries(ctx, call)
	if err != nil && call.outcomeUnknown && !Refused(fault.KindOf(err)) {
		return status, fault.Wrap(err, fault.UnknownOutcome, "ticket %d may have been accepted; submit it again", t.Number)
	}
	return status, err
}

// Check validates the ticket against a daemon's state without submitting it.
func (c *Client) Check(ctx context.Context, t *model.Ticket) (CheckResult, error) {
	var result CheckResult
	body, err := ticketfile.Compact(t)
	if err != nil {
		return result, err
	}
	return result, c.call(ctx, http.MethodPost, "/v1/check", body, &result)
}

// Ticket returns the status of a ticket, or fault.NotFound.
func (c *Client) Ticket(ctx context.Context, number uint64) (TicketStatus, error) {
	var status TicketStatus
	return status, c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/tickets/%d", number), nil, &status)
}

// Tickets returns up to limit tickets, the newest first. A limit of 0 means the
// server's default.
func (c *Client) Tickets(ctx context.Context, limit int) ([]TicketStatus, error) {
	path := "/v1/tickets"
	if limit != 0 {
		path += "?limit=" + strconv.Itoa(limit)
	}
	var list []TicketStatus
	return list, c.call(ctx, http.MethodGet, path, nil, &list)
}

// State returns the configuration that a daemon has applied.
func (c *Client) State(ctx context.Context) (StateBody, error) {
	var state StateBody
	return state, c.call(ctx, http.MethodGet, "/v1/state", nil, &state)
}

// Status returns a daemon's description of itself and its view of the mesh.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
}

// Timeline returns the events of one daemon that match the filter.
func (c *Client) Timeline(ctx context.Context, filter TimelineFilter) ([]timeline.Event, error) {
	values := url.Values{}
	if filter.Ticket != 0 {
		values.Set("ticket", strconv.FormatUint(filter.Ticket, 10))
	}
	if filter.VM != "" {
		values.Set("vm", filter.VM)
	}
	if filter.Request != "" {
		values.Set("request", filter.Request)
	}
	path := "/v1/timeline"
	if len(values) > 0 {
		path += "?" + values.Encode()
	}
	var events []timeline.Event
	return events, c.call(ctx, http.MethodGet, path, nil, &events)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	return c.sendWithRetries(ctx, &apiCall{method: method, path: path, body: body, result: result})
}
