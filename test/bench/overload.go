package bench

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// Parameters of the overload measurement.
const (
	overloadTargets = 2
	// serviceTimeMs is the time that a target takes to process a call.
	serviceTimeMs    = 20
	overloadDuration = 6 * time.Second
	// overloadDeadline is 25 times the service time of a call.
	overloadDeadline = 500 * time.Millisecond
	uploadPath       = "/upload"
	uploadBytes      = 1 << 20
	uploadPieces     = 64
	uploadDuration   = time.Second
	// uploaders is three times the slots of all targets.
	uploaders            = 3 * overloadTargets * slotsPerTarget
	urgentCallsPerSecond = 100
	urgentDuration       = 6 * time.Second
	// capacityPerSecond is the number of calls per second that the slots of all
	// targets allow.
	capacityPerSecond = overloadTargets * slotsPerTarget * 1000 / serviceTimeMs
)

// Overload is the result of a load at a multiple of the capacity.
type Overload struct {
	Factor  float64 `json:"factor"`
	Offered float64 `json:"offered_per_second"`
	Goodput float64 `json:"goodput_per_second"`
	// PercentOfCapacity is the goodput in percent of the capacity.
	PercentOfCapacity float64   `json:"percent_of_capacity"`
	Latency           Quantiles `json:"latency"`
	Tally             *tally    `json:"tally"`
	Load              string    `json:"load"`
}

// Urgent is the latency of urgent calls without and with concurrent uploads.
type Urgent struct {
	Alone   Quantiles `json:"alone"`
	Uploads Quantiles `json:"with_uploads"`
	Failed  int64     `json:"failed"`
	Load    string    `json:"load"`
}

func (r *FastPath) overload(o *Options, dir string) error {
	m, err := startPathMesh(o, dir, overloadTargets)
	if err != nil {
		return err
	}
	defer m.close()
	if err := m.serveFastService("--latency-ms", "20"); err != nil {
		return err
	}
	url := "http://" + m.vms[0].Caller
	for _, factor := range []float64{1, 1.5, 3} {
		r.Overload = append(r.Overload, overloadAt(m.ctx, url, factor))
		time.Sleep(time.Second)
	}
	r.Urgent = urgentDuringUploads(m.ctx, url)
	return nil
}

func overloadAt(ctx context.Context, url string, factor float64) Overload {
	t := newTally()
	l := load{client: newCaller(), url: url + lookupPath, rate: factor * capacityPerSecond, duration: overloadDuration, deadline: overloadDeadline}
	started := time.Now()
	l.run(ctx, t)
	goodput := float64(t.Good) / time.Since(started).Seconds()
	return Overload{
		Factor: factor, Offered: l.rate, Goodput: goodput, PercentOfCapacity: goodput / capacityPerSecond * 100,
		Latency: quantiles(t.latency), Tally: t, Load: loadAverage(),
	}
}

func urgentDuringUploads(ctx context.Context, url string) Urgent {
	alone, withUploads := newTally(), newTally()
	urgent := load{client: newCaller(), url: url + lookupPath, rate: urgentCallsPerSecond, duration: urgentDuration}
	urgent.run(ctx, alone)
	uploads, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for range uploaders {
		group.Go(func() { uploadUntil(uploads, url) })
	}
	time.Sleep(uploadDuration)
	urgent.run(ctx, withUploads)
	stop()
	group.Wait()
	return Urgent{
		Alone: quantiles(alone.latency), Uploads: quantiles(withUploads.latency),
		Failed: withUploads.Sent - withUploads.Good, Load: loadAverage(),
	}
}

// uploadUntil sends uploads one after the other until ctx ends. It pauses
// between them, as a caller does before it retries a refused call.
func uploadUntil(ctx context.Context, url string) {
	l := load{
		client: newCaller(), method: http.MethodPost, url: url + uploadPath,
		body: func() io.Reader { return newSlowBody(uploadBytes, uploadPieces, uploadDuration) },
	}
	t := newTally()
	for ctx.Err() == nil {
		l.call(ctx, t)
		time.Sleep(uploadDuration / 10)
	}
}
