package daemon

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

const (
	// processorSampleInterval is the time between two samples of the process's
	// CPU time. Work that fully uses a single processor delays calls for at most
	// this long.
	processorSampleInterval = 200 * time.Millisecond
	// scaleUpAboveCores is the CPU use, in cores, above which the daemon uses all
	// processors. Above it, calls queue noticeably on a single processor.
	scaleUpAboveCores = 0.5
	// scaleDownBelowCores is the CPU use, in cores, below which one processor is
	// sufficient. It is well below scaleUpAboveCores, because the same calls use
	// more CPU time on several processors.
	scaleDownBelowCores = 0.25
	// scaleDownSamples is the number of consecutive samples, 10 s in total, that
	// must be below scaleDownBelowCores before the daemon uses one processor, so
	// that bursts do not change the number repeatedly.
	scaleDownSamples = 50
)

// processorScaler sets GOMAXPROCS to one or to all processors, depending on the
// CPU use of the daemon. With one processor, no call wakes another thread, which
// takes about a quarter of the call's CPU time. With more processors, long work
// does not delay calls.
type processorScaler struct {
	maxProcessors int
	current       int
	lowUseSamples int
	// cpuTime returns the total CPU time of the process.
	cpuTime func() time.Duration
}

// next returns the number of processors to use after a sample of the CPU use in
// cores.
func (p *processorScaler) next(use float64) int {
	if use > scaleUpAboveCores {
		p.current = p.maxProcessors
	}
	p.lowUseSamples++
	if use >= scaleDownBelowCores {
		p.lowUseSamples = 0
	}
	if p.lowUseSamples >= scaleDownSamples {
		p.current = 1
	}
	return p.current
}

// adapt samples the CPU use and adjusts GOMAXPROCS until ctx ends.
func (p *processorScaler) adapt(ctx context.Context) {
	ticker := time.NewTicker(processorSampleInterval)
	defer ticker.Stop()
	lastCPUTime, lastSample := p.cpuTime(), time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		used, now := p.cpuTime(), time.Now()
		previous := p.current
		if n := p.next(float64(used-lastCPUTime) / float64(now.Sub(lastSample))); n != previous {
			runtime.GOMAXPROCS(n)
		}
		lastCPUTime, lastSample = used, now
	}
}

// processCPUTime returns the CPU time of this process, or zero if it cannot be
// read.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// newProcessorScaler returns a scaler that starts with all processors, because
// the start of a daemon uses much CPU time.
func newProcessorScaler() *processorScaler {
	all := runtime.GOMAXPROCS(0)
	return &processorScaler{maxProcessors: all, current: all, cpuTime: processCPUTime}
}
