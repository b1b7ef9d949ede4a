package once

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/platform"
)

const (
	// MinPruneAge is the minimum age at which claims may be deleted. If a
	// claim is deleted while its caller still retries the request, the request
	// can run a second time.
	MinPruneAge = 24 * time.Hour
	// claimPartitions is the number of partitions that hold claims.
	claimPartitions = 256
	// prunePageSize is the number of claims that one query reads.
	prunePageSize = 100
	// maxPruneAttempts limits the attempts of one call to a throttled or
	// failing table.
	maxPruneAttempts = 6
)

// PruneConfig configures Prune.
type PruneConfig struct {
	Table platform.Table
	// OlderThan is the age from which claims are deleted, by the clock of the
	// daemon that wrote them. It must be at least MinPruneAge.
	OlderThan time.Duration
	// PerSecond limits the claims that are read and deleted in a second, which
	// reserves platform capacity for the daemons.
	PerSecond int
	// DryRun counts the old claims without deleting them.
	DryRun bool
	Now    time.Time
}

// PruneResult holds the counters of Prune. After an error they cover the claims
// processed before it.
type PruneResult struct {
	Read int `json:"read"`
	// Old counts the claims that are at least PruneConfig.OlderThan old.
	Old     int `json:"old"`
	Deleted int `json:"deleted"`
	// Unreadable counts the claims that were not deleted because their body
	// cannot be decoded.
	Unreadable int `json:"unreadable"`
}

// pruner is the state of one run of Prune.
type pruner struct {
	PruneConfig
	result PruneResult
}

// Prune deletes old claims, with and without a stored response. It may be run
// again after any error. It fails with fault.Invalid, without a call to the
// table, when the age or the rate is too low.
func Prune(ctx context.Context, c PruneConfig) (PruneResult, error) {
	if c.OlderThan < MinPruneAge {
		return PruneResult{}, fault.New(fault.Invalid, "the minimum age of claims to delete is %s, not %s", MinPruneAge, c.OlderThan)
	}
	if c.PerSecond <= 0 {
		return PruneResult{}, fault.New(fault.Invalid, "the rate %d is below 1 claim per second", c.PerSecond)
	}
	p := &pruner{PruneConfig: c}
	for i := range claimPartitions {
		if err := p.prunePartition(ctx, fmt.Sprintf("claim/%02x", i)); err != nil {
			return p.result, err
		}
	}
	return p.result, nil
}

func (p *pruner) prunePartition(ctx context.Context, name string) error {
	after := ""
	for {
		page, err := p.readPage(ctx, name, after)
		if err != nil {
			return err
		}
		if err := p.deleteOld(ctx, page); err != nil {
			return err
		}
		if len(page) < prunePageSize {
			return nil
		}
		after = page[len(page)-1].Key.Sort
	}
}

func (p *pruner) readPage(ctx context.Context, partition, after string) ([]platform.Item, error) {
	var page []platform.Item
	err := p.retry(ctx, func() (err error) {
		page, err = p.Table.Query(ctx, partition, after, prunePageSize)
		return err
	})
	p.result.Read += len(page)
	return page, p.waitForRate(ctx, len(page), err)
}

// deleteOld deletes the old claims of a page, each on the condition that it has
// not been written since it was read.
func (p *pruner) deleteOld(ctx context.Context, page []platform.Item) error {
	for _, item := range page {
		if !p.isOld(item) {
			continue
		}
		p.result.Old++
		if p.DryRun {
			continue
		}
		if err := p.deleteClaim(ctx, item); err != nil {
			return err
		}
	}
	return nil
}

func (p *pruner) isOld(item platform.Item) bool {
	var body claimBody
	if err := json.Unmarshal(item.Body, &body); err != nil || body.WrittenAt <= 0 {
		p.result.Unreadable++
		return false
	}
	return p.Now.Sub(time.UnixMilli(body.WrittenAt)) >= p.OlderThan
}

func (p *pruner) deleteClaim(ctx context.Context, item platform.Item) error {
	write := platform.Write{Op: platform.Delete, Condition: platform.IfRev, WantRev: item.Rev, Item: platform.Item{Key: item.Key}}
	responseLost := false
	err := p.retry(ctx, func() error {
		err := p.Table.Transact(ctx, []platform.Write{write})
		responseLost = responseLost || fault.Is(err, fault.UnknownOutcome)
		return err
	})
	if fault.Is(err, fault.ConditionFailed) {
		// The claim was written after it was read, or an earlier deletion took
		// effect and its response was lost.
		if responseLost {
			p.result.Deleted++
		}
		return p.waitForRate(ctx, 1, nil)
	}
	if err == nil {
		p.result.Deleted++
	}
	return p.waitForRate(ctx, 1, err)
}

// retry repeats a call, with exponential backoff, while the table does not carry
// it out or its outcome is unknown.
func (p *pruner) retry(ctx context.Context, call func() error) error {
	backoff := DefaultMinBackoff
	for attempt := 1; ; attempt++ {
		err := call()
		transient := fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Throttled) || fault.Is(err, fault.UnknownOutcome)
		if !transient || attempt == maxPruneAttempts {
			return err
		}
		if sleep(ctx, backoff) != nil {
			return err
		}
		backoff = min(2*backoff, DefaultMaxBackoff)
	}
}

// waitForRate waits for the time that n claims take at the configured rate. If
// err is not nil it returns err at once.
func (p *pruner) waitForRate(ctx context.Context, n int, err error) error {
	if err != nil {
		return err
	}
	return sleep(ctx, time.Duration(n)*time.Second/time.Duration(p.PerSecond))
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Timeout, "interrupted")
	case <-time.After(d):
		return nil
	}
}
