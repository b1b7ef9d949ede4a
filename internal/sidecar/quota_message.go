package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/quota"
)

const (
	// quotaPath is the path on the peer listener to which daemons post questions for
	// tokens.
	quotaPath = "/v2/quota"
	// maxQuotaBytes bounds a question, whose largest part is the tenant's name, and an
	// answer.
	maxQuotaBytes = 1 << 10
	// maxQuotaWait bounds the time in an answer.
	maxQuotaWait = time.Hour
)

// quotaQuestion is the message of a quota.Question. Its names are short because bytes
// between failure domains have a price.
type quotaQuestion struct {
	Tenant string `json:"t"`
	Need   int    `json:"n"`
	Extra  int    `json:"x,omitempty"`
}

// quotaAnswer is the message of a quota.Answer.
type quotaAnswer struct {
	Tokens     int   `json:"n,omitempty"`
	WaitMS     int64 `json:"w,omitempty"`
	NotLending bool  `json:"o,omitempty"`
	Low        bool  `json:"l,omitempty"`
}

// decodeQuotaQuestion decodes and validates a question. It fails with fault.Invalid.
func decodeQuotaQuestion(r io.Reader) (quota.Question, error) {
	var q quotaQuestion
	if err := decodeQuota(r, &q); err != nil {
		return quota.Question{}, err
	}
	if q.Tenant == "" || q.Need < 1 || q.Need > quota.MaxTokens || q.Extra < 0 || q.Extra > quota.MaxTokens {
		return quota.Question{}, fault.New(fault.Invalid, "the question has no tenant or a number outside 1 to %d", quota.MaxTokens)
	}
	return quota.Question{Tenant: q.Tenant, Need: q.Need, Extra: q.Extra}, nil
}

// decodeQuotaAnswer decodes and validates the answer to q. It fails with fault.Invalid.
func decodeQuotaAnswer(r io.Reader, q quota.Question) (*quota.Answer, error) {
	var a quotaAnswer
	if err := decodeQuota(r, &a); err != nil {
		return nil, err
	}
	switch {
	case a.Tokens < 0 || a.Tokens > q.Need+q.Extra:
		return nil, fault.New(fault.Invalid, "the answer has %d tokens, but %d were asked for", a.Tokens, q.Need+q.Extra)
	case a.Tokens == 0 && (a.WaitMS < 1 || a.WaitMS > maxQuotaWait.Milliseconds()):
		return nil, fault.New(fault.Invalid, "the answer has neither tokens nor a time from 1 ms to %s", maxQuotaWait)
	}
	return &quota.Answer{Tokens: a.Tokens, Wait: time.Duration(a.WaitMS) * time.Millisecond, NotLending: a.NotLending, Low: a.Low}, nil
}

func decodeQuota(r io.Reader, message any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxQuotaBytes+1))
	if err == nil && len(data) > maxQuotaBytes {
		err = fault.New(fault.Invalid, "the message has more than %d bytes", maxQuotaBytes)
	}
	if err == nil {
		err = json.Unmarshal(data, message)
	}
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the message cannot be read")
	}
	return nil
}

// encodeQuotaAnswer encodes an answer. Waits are rounded up to milliseconds.
func encodeQuotaAnswer(a quota.Answer) ([]byte, error) {
	message := quotaAnswer{Tokens: a.Tokens, NotLending: a.NotLending, Low: a.Low}
	if a.Tokens == 0 {
		message.WaitMS = min(max(1, (a.Wait+time.Millisecond-1).Milliseconds()), maxQuotaWait.Milliseconds())
	}
	encoded, err := json.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot encode an answer")
	}
	return encoded, nil
}

// newQuotaTransport returns the transport for questions. It adds no headers that homes
// do not read.
func newQuotaTransport() http.RoundTripper {
	transport := newPeerTransport().(*http.Transport)
	transport.DisableCompression = true
	return transport
}

// postQuestion sends the question to the home and returns its answer.
func postQuestion(ctx context.Context, client *http.Client, address string, q quota.Question) (*quota.Answer, error) {
	encoded, err := json.Marshal(quotaQuestion{Tenant: q.Tenant, Need: q.Need, Extra: q.Extra})
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot encode a question")
	}
	ctx, cancel := context.WithTimeout(ctx, quota.AnswerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+quotaPath, bytes.NewReader(encoded))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "invalid daemon address %q", address)
	}
	// An empty value keeps the client from adding the header.
	request.Header["User-Agent"] = []string{""}
	response, err := client.Do(request)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "cannot reach the daemon at %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Unavailable, "the daemon at %s responded with status %d", address, response.StatusCode)
	}
	return decodeQuotaAnswer(response.Body, q)
}

// serveQuota serves quotaPath.
func (q *quotas) serveQuota(w http.ResponseWriter, r *http.Request) {
	question, err := decodeQuotaQuestion(r.Body)
	if err != nil {
		http.Error(w, "the question is invalid", http.StatusBadRequest)
		return
	}
	encoded, err := encodeQuotaAnswer(q.lend(question))
	if err != nil {
		http.Error(w, "the answer cannot be encoded", http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil
	h.Set("Content-Length", strconv.Itoa(len(encoded)))
	// A write error needs no handling: a daemon that got no answer asks another home.
	_, _ = w.Write(encoded)
}
