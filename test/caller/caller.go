package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Caller sends the requests of one load and records their results.
type Caller struct {
	options Options
	client  *http.Client
	random  *rand.Rand
	tally   *tally
	// slots limits the requests in flight.
	slots chan struct{}

	mu   sync.Mutex
	file *os.File
	// recordError is the first error of writing the record.
	recordError error
}

// New returns a caller and opens its record file. It fails with fault.Invalid if
// the options are invalid or the file cannot be opened.
func New(options Options) (*Caller, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	c := &Caller{
		options: options, tally: newTally(),
		random: rand.New(rand.NewPCG(options.Seed, 0)),
		slots:  make(chan struct{}, options.MaxInFlight),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: options.MaxInFlight,
			DisableCompression:  true,
		}},
	}
	if options.Record == "" {
		return c, nil
	}
	file, err := os.OpenFile(options.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "open record %q", options.Record)
	}
	c.file = file
	return c, nil
}

// Run sends requests until the duration of the load has passed or the context is
// done, waits for the requests in flight, and returns the summary. Each request
// starts at its planned time, whether or not earlier requests have completed.
func (c *Caller) Run(ctx context.Context) (Summary, error) {
	var inFlight sync.WaitGroup
	start := time.Now()
	for n := int64(0); ; n++ {
		offset := time.Duration(float64(n) / c.options.Rate * float64(time.Second))
		if c.options.Duration > 0 && offset >= c.options.Duration {
			break
		}
		planned := start.Add(offset)
		if !sleepUntil(ctx, planned) {
			break
		}
		c.sendIfBelowLimit(&inFlight, n, planned)
	}
	inFlight.Wait()
	c.client.CloseIdleConnections()
	return c.tally.snapshot(), c.closeRecord()
}

// sendIfBelowLimit sends one request in the background. It records the request as
// Skipped if MaxInFlight requests are in flight.
func (c *Caller) sendIfBelowLimit(inFlight *sync.WaitGroup, n int64, planned time.Time) {
	id := fmt.Sprintf("%s-%08d", c.options.Prefix, n)
	kind := c.chooseKind()
	select {
	case c.slots <- struct{}{}:
	default:
		c.recordResult(&Result{ID: id, Kind: kind, Start: planned, Verdict: Skipped})
		return
	}
	inFlight.Go(func() {
		defer func() { <-c.slots }()
		q := c.newRequest(id, kind, planned, int(n)%len(c.options.Listeners))
		// The request does not use the context of Run, so the end of the load does
		// not cancel requests in flight.
		c.recordResult(c.run(context.Background(), q))
	})
}

func (c *Caller) chooseKind() Kind {
	o := &c.options
	n := c.random.IntN(o.GetWeight + o.OnceWeight + o.UploadWeight)
	switch {
	case n < o.GetWeight:
		return Get
	case n < o.GetWeight+o.OnceWeight:
		return Once
	}
	return Upload
}

func (c *Caller) recordResult(r *Result) {
	c.tally.add(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.file == nil {
		return
	}
	line, err := json.Marshal(r)
	if err == nil {
		_, err = c.file.Write(append(line, '\n'))
	}
	if err != nil && c.recordError == nil {
		c.recordError = fault.Wrap(err, fault.Internal, "record request %s", r.ID)
	}
}

func (c *Caller) closeRecord() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.file == nil {
		return nil
	}
	if err := c.file.Close(); err != nil && c.recordError == nil {
		c.recordError = fault.Wrap(err, fault.Internal, "close record")
	}
	return c.recordError
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
