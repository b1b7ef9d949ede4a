package caller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range in microseconds and number of significant digits of the latency histograms.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = int64(10 * time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

// Latency holds the latency quantiles of one kind of request, in milliseconds. It
// includes answered requests only.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Summary counts the requests of a load by the verdict of their last attempt.
type Summary struct {
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	// Failed counts the answered requests with a 5xx status.
	Failed    int64 `json:"failed"`
	NotRun    int64 `json:"not_run"`
	Unknown   int64 `json:"unknown"`
	Unreached int64 `json:"unreached"`
	Cut       int64 `json:"cut"`
	Wrong     int64 `json:"wrong"`
	// Skipped counts the planned requests that were not sent.
	Skipped int64 `json:"skipped"`
	// Resent counts the attempts after the first one of each request.
	Resent int64 `json:"resent"`
	// ByVersion counts the answered requests by the target's version.
	ByVersion map[string]int64 `json:"by_version"`
	Latency   map[Kind]Latency `json:"latency"`
}

// tally accumulates results into a summary. It is safe for concurrent use.
type tally struct {
	mu         sync.Mutex
	summary    Summary
	histograms map[Kind]*hdrhistogram.Histogram
}

func newTally() *tally {
	t := &tally{histograms: map[Kind]*hdrhistogram.Histogram{}}
	t.summary.ByVersion = map[string]int64{}
	for _, kind := range []Kind{Get, Once, Upload} {
		t.histograms[kind] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
	}
	return t
}

func (t *tally) add(r *Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.summary
	if r.Verdict == Skipped {
		s.Skipped++
		return
	}
	s.Sent++
	s.Resent += int64(len(r.Attempts) - 1)
	*s.counter(r.Verdict)++
	if r.Verdict != Answered {
		return
	}
	s.ByVersion[r.Version]++
	if r.Status >= 500 {
		s.Failed++
	}
	_ = t.histograms[r.Kind].RecordValue(min(r.LatencyMicros, maxLatencyMicros))
}

func (s *Summary) counter(v Verdict) *int64 {
	switch v {
	case Answered:
		return &s.Answered
	case NotRun:
		return &s.NotRun
	case Unreached:
		return &s.Unreached
	case Cut:
		return &s.Cut
	case Wrong:
		return &s.Wrong
	}
	return &s.Unknown
}

// snapshot returns the summary of the results added so far.
func (t *tally) snapshot() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.summary
	s.Latency = map[Kind]Latency{}
	for kind, h := range t.histograms {
		if h.TotalCount() > 0 {
			s.Latency[kind] = latencyQuantiles(h)
		}
	}
	return s
}

func latencyQuantiles(h *hdrhistogram.Histogram) Latency {
	milliseconds := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count: h.TotalCount(),
		P50:   milliseconds(h.ValueAtQuantile(50)),
		P90:   milliseconds(h.ValueAtQuantile(90)),
		P99:   milliseconds(h.ValueAtQuantile(99)),
		P999:  milliseconds(h.ValueAtQuantile(99.9)),
		Max:   milliseconds(h.Max()),
	}
}
