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
	// DefaultAttempts is how often a call is sent at most.
	DefaultAttempts = 4
	// DefaultAttemptTimeout bounds one attempt.
	DefaultAttemptTimeout = 10 * time.Second
	// DefaultBackoff is the longest pause after the first attempt. It doubles
	// with each further attempt.
	DefaultBackoff = 200 * time.Millisecond
	// maxAnswerBytes bounds an answer, so that a wrong server cannot exhaust memory.
	maxAnswerBytes = 32 << 20
)

// ClientConfig configures a Client. Zero fields mean the defaults.
type ClientConfig struct {
	// Servers are the daemons to try in turn, as IP:port or URL. At least one.
	Servers []string
	Token   string
	// HTTP sends the requests. Its own timeout should be zero.
	HTTP           *http.Client
	Attempts       int
	AttemptTimeout time.Duration
	Backoff        time.Duration
	// Random spreads the pauses; nil means full pauses.
	Random *rand.Rand
}

// Client calls the administration API. It is not safe for use by several
// goroutines when Random is set.
type Client struct {
	config  ClientConfig
	servers []*url.URL
}

// NewClient checks the configuration. It fails with fault.Invalid for a
// server that is neither IP:port nor an HTTP URL.
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

// refuseRedirect keeps the token from being sent elsewhere.
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

// Submit sends the ticket until a daemon accepts or refuses it. Sending it
// again is safe, because the same number and digest get the same answer.
// When an attempt may have taken effect without an answer, the failure is
// fault.UnknownOutcome, and Submit may be called again with the same ticket.
func (c *Client) Submit(ctx context.Context, t *model.Ticket) (TicketStatus, error) {
	var status TicketStatus
	body, err := ticketfile.Compact(t)
	if err != nil {
		return status, err
	}
	sent := &exchange{method: http.MethodPost, path: "/v1/tickets", body: body, into: &status}
	err = c.run(ctx, sent)
	if err != nil && sent.inDoubt && !Refused(fault.KindOf(err)) {
		return status, fault.Wrap(err, fault.UnknownOutcome, "ticket %d may have been accepted; submit it again", t.Number)
	}
	return status, err
}

// Check runs the ticket against a daemon's state without submitting it.
func (c *Client) Check(ctx context.Context, t *model.Ticket) (CheckResult, error) {
	var result CheckResult
	body, err := ticketfile.Compact(t)
	if err != nil {
		return result, err
	}
	return result, c.call(ctx, http.MethodPost, "/v1/check", body, &result)
}

// Ticket returns the statement about a ticket, or fault.NotFound.
func (c *Client) Ticket(ctx context.Context, number uint64) (TicketStatus, error) {
	var status TicketStatus
	return status, c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/tickets/%d", number), nil, &status)
}

// Tickets returns the newest tickets first. A limit of 0 means the server's default.
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

// Status describes a daemon and what it knows of the mesh.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
}

// Timeline returns one daemon's events.
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

func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	return c.run(ctx, &exchange{method: method, path: path, body: body, into: into})
}
