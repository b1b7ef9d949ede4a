package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/test/target"
)

// request is one request and all that its answer must match.
type request struct {
	id        string
	kind      Kind
	method    string
	path      string
	bodyBytes int64
	bodyTime  time.Duration
	digest    string
	padding   int64
	planned   time.Time
	first     int
}

func (c *Caller) newRequest(id string, kind Kind, planned time.Time, first int) *request {
	o := &c.options
	q := &request{id: id, kind: kind, method: http.MethodPost, planned: planned, first: first}
	switch kind {
	case Get:
		q.method, q.path, q.padding = http.MethodGet, o.GetPath, o.AnswerBytes
	case Once:
		q.path, q.bodyBytes = o.OncePath, o.OnceBytes
	case Upload:
		q.path, q.bodyBytes, q.bodyTime = o.UploadPath, o.UploadBytes, o.UploadTime
	}
	q.digest = bodyDigest(id, q.bodyBytes)
	return q
}

// run sends the request until its outcome is known or the attempts are used up.
func (c *Caller) run(ctx context.Context, q *request) *Result {
	result := &Result{
		ID: q.id, Kind: q.kind, Path: q.path, Start: q.planned,
		Bytes: q.bodyBytes, Digest: q.digest,
	}
	for n := range c.options.Attempts {
		if n > 0 {
			time.Sleep(c.options.RetryDelay)
		}
		listener := c.options.Listeners[(q.first+n)%len(c.options.Listeners)]
		attempt := Attempt{Listener: listener}
		result.Whole, result.Own = c.attempt(ctx, q, n+1, &attempt)
		result.Attempts = append(result.Attempts, attempt)
		if !q.sendAgain(attempt.Verdict) {
			break
		}
	}
	last := &result.Attempts[len(result.Attempts)-1]
	result.Status, result.Outcome = last.Status, last.Outcome
	result.Verdict, result.Version = last.Verdict, last.Version
	result.LatencyMicros = time.Since(q.planned).Microseconds()
	return result
}

// sendAgain decides as a person would: what surely was not sent is sent
// again, and so is a once-only request whose outcome is open.
func (q *request) sendAgain(v Verdict) bool {
	switch v {
	case Unreached:
		return true
	case Unknown, Cut:
		return q.kind == Once
	}
	return false
}

func (c *Caller) attempt(ctx context.Context, q *request, number int, a *Attempt) (whole, own bool) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	httpRequest, err := c.build(ctx, q, number, a.Listener)
	if err != nil {
		a.Verdict, a.Error = Unreached, err.Error()
		return false, false
	}
	response, err := c.client.Do(httpRequest)
	if err != nil {
		a.Verdict, a.Error = verdictOfError(err), err.Error()
		return false, false
	}
	defer func() { _ = response.Body.Close() }()
	return q.verify(response, a)
}

func (c *Caller) build(ctx context.Context, q *request, number int, listener string) (*http.Request, error) {
	address := url.URL{Scheme: "http", Host: listener, Path: q.path}
	if q.padding > 0 {
		address.RawQuery = url.Values{target.BytesParameter: {strconv.FormatInt(q.padding, 10)}}.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, q.method, address.String(), nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "request to listener %q", listener)
	}
	if q.bodyBytes > 0 {
		httpRequest.Body = io.NopCloser(newBody(ctx, q.id, q.bodyBytes, q.bodyTime))
		httpRequest.ContentLength = q.bodyBytes
	}
	httpRequest.Host = c.options.Host
	httpRequest.Header.Set(target.IDHeader, q.id)
	httpRequest.Header.Set(target.AttemptHeader, strconv.Itoa(number))
	if q.kind == Once {
		httpRequest.Header.Set(proxy.KeyHeader, q.id)
	}
	return httpRequest, nil
}

// verdictOfError tells a failed dial, before which nothing was sent, from a
// connection that ended later.
func verdictOfError(err error) Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unreached
	}
	return Cut
}
