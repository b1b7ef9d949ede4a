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

// apiCall is one call of the API, which may take several attempts.
type apiCall struct {
	method string
	path   string
	body   []byte
	// result receives the decoded response body.
	result any
	// outcomeUnknown is set when an attempt without a response may have taken effect.
	outcomeUnknown bool
}

// sendWithRetries sends the call to the servers in turn until one accepts or
// refuses it, the attempts are used up or ctx ends.
func (c *Client) sendWithRetries(ctx context.Context, call *apiCall) error {
	var last error
	for attempt := range c.config.Attempts {
		if attempt > 0 && c.waitBackoff(ctx, attempt) != nil {
			return fault.Wrap(last, fault.Timeout, "gave up after %d attempts", attempt)
		}
		last = c.attempt(ctx, c.servers[attempt%len(c.servers)], call)
		if last == nil || Refused(fault.KindOf(last)) {
			return last
		}
		call.outcomeUnknown = call.outcomeUnknown || mayHaveTakenEffect(last)
		if ctx.Err() != nil {
			return fault.Wrap(last, fault.Timeout, "gave up after %d attempts", attempt+1)
		}
	}
	return last
}

// mayHaveTakenEffect reports whether the daemon may have executed the failed
// attempt. It cannot have done so when the connection was not established.
func mayHaveTakenEffect(err error) bool {
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

// waitBackoff waits before the next attempt, with exponential backoff and, if
// Random is set, jitter. It returns an error when ctx ends first.
func (c *Client) waitBackoff(ctx context.Context, attempt int) error {
	wait := c.config.Backoff << (attempt - 1)
	if c.config.Random != nil {
		wait = time.Duration(c.config.Random.Int64N(int64(wait)) + 1)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Timeout, "canceled while waiting for the next attempt")
	case <-timer.C:
		return nil
	}
}

// attempt sends the call once to the server and decodes the response.
func (c *Client) attempt(ctx context.Context, server *url.URL, call *apiCall) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, server.Scheme+"://"+server.Host+call.path, bytes.NewReader(call.body))
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "request to %s", server.Host)
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Token)
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return newUnreachableError(server, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return newUnreachableError(server, err)
	}
	return decodeResponse(server, response.StatusCode, data, call.result)
}

func decodeResponse(server *url.URL, status int, data []byte, result any) error {
	if len(data) > maxResponseBytes {
		return malformedResponse(server, status)
	}
	if status == http.StatusOK {
		if err := json.Unmarshal(data, result); err != nil {
			return malformedResponse(server, status)
		}
		return nil
	}
	var failure ErrorBody
	if err := json.Unmarshal(data, &failure); err != nil || failure.Kind == "" {
		return malformedResponse(server, status)
	}
	return failure.toError()
}

// malformedResponse returns the error for a response that no daemon sends. The
// error is the same as for a missing response, because the response does not
// tell whether the ticket was accepted.
func malformedResponse(server *url.URL, status int) error {
	return newUnreachableError(server, fault.New(fault.Protocol, "status %d without the API's JSON body", status))
}

// newUnreachableError returns the error for a server that sent no usable response.
func newUnreachableError(server *url.URL, err error) error {
	return fault.Wrap(&UnreachableError{Server: server.Host, cause: err}, fault.Unavailable, "daemon %s cannot be reached", server.Host)
}

// Unreachable reports whether the error means that no daemon sent a usable
// response.
func Unreachable(err error) bool {
	var cause *UnreachableError
	return errors.As(err, &cause)
}
