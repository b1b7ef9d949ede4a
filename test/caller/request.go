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

// request is one request and the values that its response must match.
type request struct {
	id            string
	kind          Kind
	method        string
	path          string
	bodyBytes     int64
	bodyTime      time.Duration
	digest        string
	padding       int64
	planned       time.Time
	firstListener int
}

func (c *Caller) newRequest(id string, kind Kind, planned time.Time, firstListener int) *request {
	o := &c.options
	q := &request{id: id, kind: kind, method: http.MethodPost, planned: planned, firstListener: firstListener}
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

// run sends the request until shouldRetry forbids a retry or the maximum number of
// attempts is reached.
func (c *Caller) run(ctx context.Context, q *request) *Result {
	result := &Result{
		ID: q.id, Kind: q.kind, Path: q.path, Start: q.planned,
		Bytes: q.bodyBytes, Digest: q.digest,
	}
	for n := range c.options.Attempts {
		if n > 0 {
			time.Sleep(c.options.RetryDelay)
		}
		listener := c.options.Listeners[(q.firstListener+n)%len(c.options.Listeners)]
		attempt := Attempt{Listener: listener}
		result.Complete, result.Matching = c.sendAttempt(ctx, q, n+1, &attempt)
		result.Attempts = append(result.Attempts, attempt)
		if !q.shouldRetry(attempt.Verdict) {
			break
		}
	}
	last := &result.Attempts[len(result.Attempts)-1]
	result.Status, result.Outcome = last.Status, last.Outcome
	result.Verdict, result.Version = last.Verdict, last.Version
	result.LatencyMicros = time.Since(q.planned).Microseconds()
	return result
}

// shouldRetry reports whether the request is sent again after an attempt, as a person
// who uses the service would decide. Requests that were certainly not sent are retried, and so are once-only requests whose
// outcome is unknown, because their idempotency key prevents a second run.
func (q *request) shouldRetry(v Verdict) bool {
	switch v {
	case Unreached:
		return true
	case Unknown, Cut:
		return q.kind == Once
	}
	return false
}

func (c *Caller) sendAttempt(ctx context.Context, q *request, number int, a *Attempt) (complete, matching bool) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	httpRequest, err := c.newHTTPRequest(ctx, q, number, a.Listener)
	if err != nil {
		a.Verdict, a.Error = Unreached, err.Error()
		return false, false
	}
	response, err := c.client.Do(httpRequest)
	if err != nil {
		a.Verdict, a.Error = verdictForError(err), err.Error()
		return false, false
	}
	defer func() { _ = response.Body.Close() }()
	return q.verify(response, a)
}

func (c *Caller) newHTTPRequest(ctx context.Context, q *request, number int, listener string) (*http.Request, error) {
	address := url.URL{Scheme: "http", Host: listener, Path: q.path}
	if q.padding > 0 {
		address.RawQuery = url.Values{target.BytesParameter: {strconv.FormatInt(q.padding, 10)}}.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, q.method, address.String(), nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "create request to listener %q", listener)
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

// verdictForError returns Unreached if the dial failed, since nothing was sent then,
// and Cut if the connection failed later.
func verdictForError(err error) Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unreached
	}
	return Cut
}
