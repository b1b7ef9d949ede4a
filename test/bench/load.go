package bench

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

const (
	// maxIdleConnsPerHost keeps connections open for reuse by concurrent calls.
	maxIdleConnsPerHost = 1024
	// maxInFlight limits the concurrent calls of one load; calls above it are
	// skipped and counted as such.
	maxInFlight = 2000
	// callTimeout is the client timeout of one call.
	callTimeout = 5 * time.Second
)

func newCaller() *http.Client {
	transport := &http.Transport{MaxIdleConns: maxIdleConnsPerHost, MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	return &http.Client{Transport: transport, Timeout: callTimeout}
}

// load generates calls at a fixed rate (open loop): it does not wait for the
// responses of earlier calls.
type load struct {
	client   *http.Client
	method   string
	url      string
	rate     float64 // calls per second
	duration time.Duration
	// deadline is sent to the daemons in a header; later responses do not count
	// as good. Zero sends none.
	deadline time.Duration
	// withIdempotencyKey sends a new idempotency key with each call.
	withIdempotencyKey bool
	// body returns the request body of a call; nil means no body.
	body func() io.Reader
}

// tally counts the results of calls.
type tally struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	// Sent counts all calls; Good those with status 200 in time, NotRun those
	// with the outcome not-run, and Other the rest. Skipped counts calls that
	// were not sent because of maxInFlight.
	Sent    int64 `json:"sent"`
	Good    int64 `json:"good"`
	NotRun  int64 `json:"not_run"`
	Other   int64 `json:"other"`
	Skipped int64 `json:"skipped"`
	// Answers counts the calls that were not good, by status and outcome.
	Answers map[string]int64 `json:"answers,omitempty"`
}

func newTally() *tally { return &tally{latency: newHistogram(), Answers: map[string]int64{}} }

// run sends calls for the duration of the load, waits for their responses and
// counts them in t. Latency is measured from the time when a call is sent.
func (l *load) run(ctx context.Context, t *tally) {
	interval := time.Duration(float64(time.Second) / l.rate)
	inFlight := make(chan struct{}, maxInFlight)
	var group sync.WaitGroup
	start := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.Sub(start) >= l.duration {
			break
		}
		time.Sleep(time.Until(due))
		select {
		case inFlight <- struct{}{}:
			group.Go(func() {
				l.call(ctx, t)
				<-inFlight
			})
		default:
			t.skip()
		}
	}
	group.Wait()
}

func (t *tally) skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Skipped++
}

func (l *load) call(ctx context.Context, t *tally) {
	if l.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, l.deadline)
		defer cancel()
	}
	request, err := l.request(ctx)
	if err != nil {
		return
	}
	started := time.Now()
	response, err := l.client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	t.add(response, err, time.Since(started))
}

func (l *load) request(ctx context.Context) (*http.Request, error) {
	var body io.Reader
	if l.body != nil {
		body = l.body()
	}
	method := l.method
	if method == "" {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, l.url, body)
	if err == nil && l.deadline > 0 {
		request.Header.Set(proxy.DeadlineHeader, formatMillis(l.deadline))
	}
	if err == nil && l.withIdempotencyKey {
		request.Header.Set(proxy.KeyHeader, rand.Text())
	}
	return request, err
}

func (t *tally) add(response *http.Response, err error, elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Sent++
	if err != nil {
		t.Answers["no answer"]++
	} else if response.StatusCode != http.StatusOK {
		t.Answers[fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get(proxy.OutcomeHeader))]++
	}
	switch {
	case err == nil && response.StatusCode == http.StatusOK:
		t.Good++
		recordDuration(t.latency, elapsed)
	case response != nil && response.Header.Get(proxy.OutcomeHeader) == string(proxy.NotRun):
		t.NotRun++
	default:
		t.Other++
	}
}

// slowBody is a request body that is sent in pieces at even intervals.
type slowBody struct {
	pieces int
	pause  time.Duration
	piece  []byte
}

func newSlowBody(bytesTotal, pieces int, over time.Duration) *slowBody {
	return &slowBody{pieces: pieces, pause: over / time.Duration(pieces), piece: bytes.Repeat([]byte{'x'}, bytesTotal/pieces)}
}

// Read returns the next piece after a pause.
func (s *slowBody) Read(p []byte) (int, error) {
	if s.pieces == 0 {
		return 0, io.EOF
	}
	s.pieces--
	time.Sleep(s.pause)
	return copy(p, s.piece), nil
}
