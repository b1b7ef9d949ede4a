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

// Caller sends one load.
type Caller struct {
	options Options
	client  *http.Client
	random  *rand.Rand
	tally   *tally
	slots   chan struct{}

	mu   sync.Mutex
	file *os.File
	// recordError is the first failure to write the record.
	recordError error
}

// New opens the record. It fails with fault.Invalid.
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

// Run sends the load until its duration is over or the context ends, waits
// for the requests in flight, and returns the summary. Requests start at
// their planned times, whether or not earlier ones were answered.
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
		c.start(&inFlight, n, planned)
	}
	inFlight.Wait()
	c.client.CloseIdleConnections()
	return c.tally.result(), c.closeRecord()
}

// start sends one request, unless too many are in flight.
func (c *Caller) start(inFlight *sync.WaitGroup, n int64, planned time.Time) {
	id := fmt.Sprintf("%s-%08d", c.options.Prefix, n)
	kind := c.chooseKind()
	select {
	case c.slots <- struct{}{}:
	default:
		c.finish(&Result{ID: id, Kind: kind, Start: planned, Verdict: Skipped})
		return
	}
	inFlight.Go(func() {
		defer func() { <-c.slots }()
		q := c.newRequest(id, kind, planned, int(n)%len(c.options.Listeners))
		// Requests in flight outlive the load, so that its end cuts none.
		c.finish(c.run(context.Background(), q))
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

func (c *Caller) finish(r *Result) {
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
