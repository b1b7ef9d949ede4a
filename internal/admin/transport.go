package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// exchange is one call of the API with all its attempts.
type exchange struct {
	method string
	path   string
	body   []byte
	// into receives the answer.
	into any
	// inDoubt is set when an attempt may have taken effect without an answer.
	inDoubt bool
}

// run sends a request to the servers in turn until one gives a definite answer.
func (c *Client) run(ctx context.Context, x *exchange) error {
	var last error
	for attempt := range c.config.Attempts {
		if attempt > 0 && c.pause(ctx, attempt) != nil {
			return fault.Wrap(last, fault.Timeout, "gave up after %d attempts", attempt)
		}
		last = c.attempt(ctx, c.servers[attempt%len(c.servers)], x)
		if last == nil || Refused(fault.KindOf(last)) {
			return last
		}
		x.inDoubt = x.inDoubt || mayHaveRun(last)
		if ctx.Err() != nil {
			return fault.Wrap(last, fault.Timeout, "gave up after %d attempts", attempt+1)
		}
	}
	return last
}

// mayHaveRun reports whether the daemon may have acted on the failed attempt.
func mayHaveRun(err error) bool {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return false
	}
	switch fault.KindOf(err) {
	case fault.UnknownOutcome, fault.Timeout, fault.Internal:
		return true
	}
	return Unreachable(err)
}

func (c *Client) pause(ctx context.Context, attempt int) error {
	wait := c.config.Backoff << (attempt - 1)
	if c.config.Random != nil {
		wait = time.Duration(c.config.Random.Int64N(int64(wait)) + 1)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Timeout, "stopped while waiting")
	case <-timer.C:
		return nil
	}
}

func (c *Client) attempt(ctx context.Context, server *url.URL, x *exchange) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, x.method, server.Scheme+"://"+server.Host+x.path, bytes.NewReader(x.body))
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "request to %s", server.Host)
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Token)
	if x.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return unreachable(server, err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return unreachable(server, err)
	}
	return decodeAnswer(server, response.StatusCode, answer, x.into)
}

func decodeAnswer(server *url.URL, status int, answer []byte, into any) error {
	if len(answer) > maxAnswerBytes {
		return malformed(server, status)
	}
	if status == http.StatusOK {
		if err := json.Unmarshal(answer, into); err != nil {
			return malformed(server, status)
		}
		return nil
	}
	var body ErrorBody
	if err := json.Unmarshal(answer, &body); err != nil || body.Kind == "" {
		return malformed(server, status)
	}
	return body.failure()
}

// malformed is an answer that no daemon gives. It counts as no answer, because
// it says nothing about the ticket.
func malformed(server *url.URL, status int) error {
	return unreachable(server, fault.New(fault.Protocol, "status %d without the API's JSON body", status))
}

func unreachable(server *url.URL, err error) error {
	return fault.Wrap(&UnreachableError{Server: server.Host, cause: err}, fault.Unavailable, "daemon %s cannot be reached", server.Host)
}

// Unreachable reports whether the failure means that no daemon gave an answer.
func Unreachable(err error) bool {
	var cause *UnreachableError
	return errors.As(err, &cause)
}
