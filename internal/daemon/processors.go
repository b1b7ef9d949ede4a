package daemon

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

const (
	// processorSample is how often the daemon's processor time is read. Work
	// that fills the one processor holds calls up for at most this long.
	processorSample = 200 * time.Millisecond
	// spreadAbove is the use, in cores, from which on the daemon takes all
	// processors. Calls queue noticeably above it.
	spreadAbove = 0.5
	// gatherBelow is the use, in cores, below which one processor suffices. It
	// is well under spreadAbove, because the same calls cost more on several.
	gatherBelow = 0.25
	// calmSamples is how many samples in a row must be below gatherBelow, 10 s
	// in all, so that bursts do not change the number again and again.
	calmSamples = 50
)

// processors chooses how many processors the daemon's goroutines run on. With
// one, no call wakes another thread, which is about a quarter of its processor
// time; with more, long work does not hold calls up.
type processors struct {
	most    int
	current int
	calm    int
	// spent returns the processor time of the process so far.
	spent func() time.Duration
}

// next returns the number of processors after a sample of the use in cores.
func (p *processors) next(use float64) int {
	if use > spreadAbove {
		p.current = p.most
	}
	p.calm++
	if use >= gatherBelow {
		p.calm = 0
	}
	if p.calm >= calmSamples {
		p.current = 1
	}
	return p.current
}

// adapt follows the use of the daemon until the end of ctx.
func (p *processors) adapt(ctx context.Context) {
	ticker := time.NewTicker(processorSample)
	defer ticker.Stop()
	last, at := p.spent(), time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		used, now := p.spent(), time.Now()
		before := p.current
		if n := p.next(float64(used-last) / float64(now.Sub(at))); n != before {
			runtime.GOMAXPROCS(n)
		}
		last, at = used, now
	}
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// newProcessors begins with all, because the start of a daemon is long work.
func newProcessors() *processors {
	all := runtime.GOMAXPROCS(0)
	return &processors{most: all, current: all, spent: processorTime}
}
