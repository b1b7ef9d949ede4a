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
	// MinPruneAge is the least age at which claims may be deleted. A claim
	// that is deleted while its caller still repeats the request permits a
	// second run.
	MinPruneAge = 24 * time.Hour
	// claimPartitions is the number of partitions that claims are spread over.
	claimPartitions = 256
	// prunePage is the number of claims that one query reads.
	prunePage = 100
	// pruneTries bounds the tries of one call to a throttled or failing table.
	pruneTries = 6
)

// PruneConfig says which claims Prune deletes.
type PruneConfig struct {
	Table platform.Table
	// OlderThan is the age from which a claim is deleted, by the clock of the
	// daemon that wrote it; at least MinPruneAge.
	OlderThan time.Duration
	// PerSecond bounds the claims that are read and deleted in a second, so
	// that the daemons keep their part of the platform's capacity.
	PerSecond int
	// DryRun only counts.
	DryRun bool
	Now    time.Time
}

// PruneResult counts what Prune did. After a failure it holds what was done
// until then.
type PruneResult struct {
	Read int `json:"read"`
	// Old counts the claims that are old enough.
	Old     int `json:"old"`
	Deleted int `json:"deleted"`
	// Unreadable counts the claims that were left because their body is not
	// readable.
	Unreadable int `json:"unreadable"`
}

// pruner is one run of Prune.
type pruner struct {
	PruneConfig
	result PruneResult
}

// Prune deletes old claims, with and without an answer. It may be run again
// after any failure. It fails with fault.Invalid, without a call to the table,
// when the age or the rate is too low.
func Prune(ctx context.Context, c PruneConfig) (PruneResult, error) {
	if c.OlderThan < MinPruneAge {
		return PruneResult{}, fault.New(fault.Invalid, "claims younger than %s must not be deleted; %s was asked for", MinPruneAge, c.OlderThan)
	}
	if c.PerSecond <= 0 {
		return PruneResult{}, fault.New(fault.Invalid, "the rate %d is not at least 1 a second", c.PerSecond)
	}
	p := &pruner{PruneConfig: c}
	for i := range claimPartitions {
		if err := p.partition(ctx, fmt.Sprintf("claim/%02x", i)); err != nil {
			return p.result, err
		}
	}
	return p.result, nil
}

func (p *pruner) partition(ctx context.Context, name string) error {
	after := ""
	for {
		page, err := p.read(ctx, name, after)
		if err != nil {
			return err
		}
		if err := p.prune(ctx, page); err != nil {
			return err
		}
		if len(page) < prunePage {
			return nil
		}
		after = page[len(page)-1].Key.Sort
	}
}

func (p *pruner) read(ctx context.Context, partition, after string) ([]platform.Item, error) {
	var page []platform.Item
	err := p.try(ctx, func() (err error) {
		page, err = p.Table.Query(ctx, partition, after, prunePage)
		return err
	})
	p.result.Read += len(page)
	return page, p.pace(ctx, len(page), err)
}

// prune deletes the old claims of a page, each on the condition that nobody
// has written it since.
func (p *pruner) prune(ctx context.Context, page []platform.Item) error {
	for _, item := range page {
		if !p.old(item) {
			continue
		}
		p.result.Old++
		if p.DryRun {
			continue
		}
		if err := p.delete(ctx, item); err != nil {
			return err
		}
	}
	return nil
}

func (p *pruner) old(item platform.Item) bool {
	var body claimBody
	if err := json.Unmarshal(item.Body, &body); err != nil || body.WrittenAt <= 0 {
		p.result.Unreadable++
		return false
	}
	return p.Now.Sub(time.UnixMilli(body.WrittenAt)) >= p.OlderThan
}

func (p *pruner) delete(ctx context.Context, item platform.Item) error {
	write := platform.Write{Op: platform.Delete, Condition: platform.IfRev, WantRev: item.Rev, Item: platform.Item{Key: item.Key}}
	lost := false
	err := p.try(ctx, func() error {
		err := p.Table.Transact(ctx, []platform.Write{write})
		lost = lost || fault.Is(err, fault.UnknownOutcome)
		return err
	})
	if fault.Is(err, fault.ConditionFailed) {
		// The claim was written since, or a deletion whose answer was lost
		// took effect.
		if lost {
			p.result.Deleted++
		}
		return p.pace(ctx, 1, nil)
	}
	if err == nil {
		p.result.Deleted++
	}
	return p.pace(ctx, 1, err)
}

// try repeats a call that the table did not carry out, or may not have.
func (p *pruner) try(ctx context.Context, call func() error) error {
	pause := DefaultMinBackoff
	for n := 1; ; n++ {
		err := call()
		again := fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Throttled) || fault.Is(err, fault.UnknownOutcome)
		if !again || n == pruneTries {
			return err
		}
		if sleep(ctx, pause) != nil {
			return err
		}
		pause = min(2*pause, DefaultMaxBackoff)
	}
}

// pace waits for the time that n claims take at the rate.
func (p *pruner) pace(ctx context.Context, n int, err error) error {
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
