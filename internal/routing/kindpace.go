package routing

import (
	"sync"
	"time"
)

// kindPaces holds the times that one target takes for requests of each kind. It
// is safe for concurrent use.
type kindPaces struct {
	mu     sync.Mutex
	byKind map[string]kindPace
}

type kindPace struct {
	pace       time.Duration
	reportedAt time.Time
}

func (k *kindPaces) report(now time.Time, kind string, pace time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.byKind[kind]; !known && len(k.byKind) >= maxKinds {
		return
	}
	if k.byKind == nil {
		k.byKind = map[string]kindPace{}
	}
	k.byKind[kind] = kindPace{pace: pace, reportedAt: now}
}

// current returns the pace for the kind, or zero when no recent report has it.
func (k *kindPaces) current(now time.Time, kind string) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	reported, ok := k.byKind[kind]
	if !ok || now.Sub(reported.reportedAt) >= maxPaceReportAge {
		return 0
	}
	return reported.pace
}

// ReportKindPace records the mean time that the target takes for requests of the
// kind.
func (t *Target) ReportKindPace(now time.Time, kind string, pace time.Duration) {
	t.counters.kindPaces.report(now, kind, pace)
}
