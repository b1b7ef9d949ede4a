// Package once makes requests run at most once. Before a request runs, the
// daemon beside the target writes a claim for its idempotency key to the
// platform's table. The claim outlives every VM.
package once

import "context"

// Decision is what a claim allows.
type Decision int

// Decisions of a Claimer.
const (
	// Granted means that this attempt, and no other, may run the request.
	Granted Decision = iota + 1
	// Replay means that the request ran before and its answer was kept.
	Replay
	// InDoubt means that another attempt holds the claim and its answer is not
	// known: the request may have run.
	InDoubt
)

// Key names a request that runs at most once.
type Key struct {
	Service string
	// Value is the caller's idempotency key.
	Value string
}

// Answer is a kept answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Grant is the result of a claim.
type Grant struct {
	Decision Decision
	// Attempt identifies this attempt; it is set when Decision is Granted.
	Attempt string
	// Answer is set when Decision is Replay.
	Answer *Answer
}

// Claimer claims keys. Failures have kinds of package fault; after any
// failure the request must not run, and the caller may be told "not run".
type Claimer interface {
	// Claim asks to run the request. It fails with fault.Invalid when the key
	// was used before with another request digest.
	Claim(ctx context.Context, key Key, digest string) (Grant, error)
	// Release gives up a claim whose request was surely not forwarded. It
	// returns at once and is carried out in the background.
	Release(key Key, attempt string)
	// Finish keeps the answer for later attempts. It returns at once and is
	// carried out in the background; an answer that is too large is not kept.
	Finish(key Key, attempt string, answer Answer)
}
