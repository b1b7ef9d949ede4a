package bench

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// Course of the overload measurement.
const (
	overloadTargets = 2
	// workMs is the time that a target works on a call, in milliseconds.
	workMs       = 20
	overloadTime = 6 * time.Second
	// overloadDeadline is 25 times the work of a call.
	overloadDeadline = 500 * time.Millisecond
	uploadPath       = "/upload"
	uploadBytes      = 1 << 20
	uploadPieces     = 64
	uploadTime       = time.Second
	// uploaders is three times the slots of all targets.
	uploaders  = 3 * overloadTargets * slotsPerTarget
	urgentRate = 100
	urgentTime = 6 * time.Second
	// capacity is what the slots allow, in calls a second.
	capacity = overloadTargets * slotsPerTarget * 1000 / workMs
)

// Overload is the goodput at a multiple of the capacity.
type Overload struct {
	Factor  float64 `json:"factor"`
	Offered float64 `json:"offered_per_second"`
	Goodput float64 `json:"goodput_per_second"`
	// Part is the goodput in percent of the capacity.
	Part    float64   `json:"percent_of_capacity"`
	Latency Quantiles `json:"latency"`
	Tally   *tally    `json:"tally"`
	Load    string    `json:"load"`
}

// Urgent is the latency of urgent calls without and with uploads.
type Urgent struct {
	Alone   Quantiles `json:"alone"`
	Uploads Quantiles `json:"with_uploads"`
	Failed  int64     `json:"failed"`
	Load    string    `json:"load"`
}

func (r *FastPath) overload(o *Options, dir string) error {
	m, err := pathMesh(o, dir, overloadTargets)
	if err != nil {
		return err
	}
	defer m.close()
	if err := m.serveOne("--latency-ms", "20"); err != nil {
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
	l := load{client: newCaller(), url: url + lookupPath, rate: factor * capacity, duration: overloadTime, deadline: overloadDeadline}
	started := time.Now()
	l.run(ctx, t)
	goodput := float64(t.Good) / time.Since(started).Seconds()
	return Overload{
		Factor: factor, Offered: l.rate, Goodput: goodput, Part: goodput / capacity * 100,
		Latency: quantiles(t.latency), Tally: t, Load: loadAverage(),
	}
}

func urgentDuringUploads(ctx context.Context, url string) Urgent {
	alone, busy := newTally(), newTally()
	urgent := load{client: newCaller(), url: url + lookupPath, rate: urgentRate, duration: urgentTime}
	urgent.run(ctx, alone)
	uploads, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for range uploaders {
		group.Go(func() { uploadUntil(uploads, url) })
	}
	time.Sleep(uploadTime)
	urgent.run(ctx, busy)
	stop()
	group.Wait()
	return Urgent{
		Alone: quantiles(alone.latency), Uploads: quantiles(busy.latency),
		Failed: busy.Sent - busy.Good, Load: loadAverage(),
	}
}

// uploadUntil sends one upload after the other; refused ones are sent again
// after a pause, as a caller would.
func uploadUntil(ctx context.Context, url string) {
	l := load{
		client: newCaller(), method: http.MethodPost, url: url + uploadPath,
		body: func() io.Reader { return newSlowBody(uploadBytes, uploadPieces, uploadTime) },
	}
	t := newTally()
	for ctx.Err() == nil {
		l.call(ctx, t)
		time.Sleep(uploadTime / 10)
	}
}
