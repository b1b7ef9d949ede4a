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
	// idlePerHost keeps the connections of all calls in flight open.
	idlePerHost = 1024
	// maxInFlight bounds the calls of one load; further ones are skipped.
	maxInFlight = 2000
	// callTimeout bounds a call of a load.
	callTimeout = 5 * time.Second
)

func newCaller() *http.Client {
	transport := &http.Transport{MaxIdleConns: idlePerHost, MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}
	return &http.Client{Transport: transport, Timeout: callTimeout}
}

// load sends calls at a fixed rate, whether or not earlier ones were answered.
type load struct {
	client   *http.Client
	method   string
	url      string
	rate     float64
	duration time.Duration
	// deadline is passed on to the daemons, and later answers do not count as good.
	deadline time.Duration
	// once gives each call an idempotency key of its own.
	once bool
	// body makes the body of a call; nil means none.
	body func() io.Reader
}

// tally is what a load got.
type tally struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	// Sent calls, those answered 200 in time, and those answered otherwise.
	Sent    int64 `json:"sent"`
	Good    int64 `json:"good"`
	NotRun  int64 `json:"not_run"`
	Other   int64 `json:"other"`
	Skipped int64 `json:"skipped"`
	// Answers counts the calls that were not good by status and outcome.
	Answers map[string]int64 `json:"answers,omitempty"`
}

func newTally() *tally { return &tally{latency: newHistogram(), Answers: map[string]int64{}} }

// run sends the load and adds to the tally. The latency of a call counts from
// its sending.
func (l *load) run(ctx context.Context, t *tally) {
	interval := time.Duration(float64(time.Second) / l.rate)
	places := make(chan struct{}, maxInFlight)
	var group sync.WaitGroup
	start := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.Sub(start) >= l.duration {
			break
		}
		time.Sleep(time.Until(due))
		select {
		case places <- struct{}{}:
			group.Go(func() {
				l.call(ctx, t)
				<-places
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
		request.Header.Set(proxy.DeadlineHeader, millis(l.deadline))
	}
	if err == nil && l.once {
		request.Header.Set(proxy.KeyHeader, rand.Text())
	}
	return request, err
}

func (t *tally) add(response *http.Response, err error, took time.Duration) {
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
		record(t.latency, took)
	case response != nil && response.Header.Get(proxy.OutcomeHeader) == string(proxy.NotRun):
		t.NotRun++
	default:
		t.Other++
	}
}

// slowBody is an upload that arrives evenly over a time.
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
