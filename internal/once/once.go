// Package once makes requests run at most once. Before a request runs, the
// daemon on the target's VM writes a claim for its idempotency key to the
// platform's table. The claim is not lost when a VM fails.
package once

import "context"

// Decision is the result of a claim.
type Decision int

// Decisions of a Claimer.
const (
	// Granted means that this attempt, and no other, may run the request.
	Granted Decision = iota + 1
	// Replay means that the request ran before and its response is stored.
	Replay
	// InDoubt means that another attempt holds the claim and has not stored a
	// response: the request may have run.
	InDoubt
)

// Key identifies a request that runs at most once.
type Key struct {
	Service string
	// Value is the caller's idempotency key.
	Value string
}

// Response is the stored response to a request.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Grant is the decision on a claim, with the data that belongs to it.
type Grant struct {
	Decision Decision
	// Attempt identifies this attempt; it is set when Decision is Granted.
	Attempt string
	// Response is set when Decision is Replay.
	Response *Response
}

// Claimer claims idempotency keys. Its errors have kinds of package fault.
// After any error the request must not run, and the daemon may report the
// outcome "not run" to the caller.
type Claimer interface {
	// Claim requests the right to run the request. It fails with fault.Invalid
	// when the key was used before with another request digest.
	Claim(ctx context.Context, key Key, digest string) (Grant, error)
	// Release deletes a claim whose request was certainly not forwarded. It
	// returns at once; the deletion runs in the background.
	Release(key Key, attempt string)
	// Finish stores the response for later attempts. It returns at once; the
	// write runs in the background. A response that is too large is not stored.
	Finish(key Key, attempt string, response Response)
}
