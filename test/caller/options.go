package caller

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Options describe a load.
type Options struct {
	// Listeners are the caller listeners, host:port, used in turn.
	Listeners []string
	// Host is the Host header; empty sends the listener's address.
	Host string
	// Rate is the number of requests a second.
	Rate float64
	// Duration of the load; zero sends until the context ends.
	Duration time.Duration
	// GetWeight, OnceWeight and UploadWeight set the mix of kinds.
	GetWeight, OnceWeight, UploadWeight int
	// GetPath, OncePath and UploadPath are the paths of the kinds.
	GetPath, OncePath, UploadPath string
	// AnswerBytes is the padding that lookups ask for.
	AnswerBytes int64
	// OnceBytes is the size of a once-only request's body.
	OnceBytes int64
	// UploadBytes is the size of an upload, sent evenly over UploadTime.
	UploadBytes int64
	UploadTime  time.Duration
	// Timeout bounds one attempt.
	Timeout time.Duration
	// Attempts bounds the sendings of one request.
	Attempts int
	// RetryDelay is the pause before a request is sent again.
	RetryDelay time.Duration
	// MaxInFlight bounds the requests in flight; further ones are skipped.
	MaxInFlight int
	// Prefix makes the ids of several callers differ.
	Prefix string
	// Seed seeds the choice of kinds.
	Seed uint64
	// Record is the file for the results, as JSON lines; empty keeps none.
	Record string
}

// DefaultOptions returns a light load of all kinds, without listeners.
func DefaultOptions() Options {
	return Options{
		Rate: 50, GetWeight: 80, OnceWeight: 18, UploadWeight: 2,
		GetPath: "/lookup", OncePath: "/reorder", UploadPath: "/scan",
		AnswerBytes: 2 << 10, OnceBytes: 1 << 10, UploadBytes: 4 << 20, UploadTime: 3 * time.Second,
		Timeout: 60 * time.Second, Attempts: 3, RetryDelay: 500 * time.Millisecond,
		MaxInFlight: 2000, Prefix: "c",
	}
}

func (o *Options) check() error {
	switch {
	case len(o.Listeners) == 0:
		return fault.New(fault.Invalid, "no listener to send to")
	case o.Rate <= 0:
		return fault.New(fault.Invalid, "rate %g is not positive", o.Rate)
	case o.GetWeight < 0 || o.OnceWeight < 0 || o.UploadWeight < 0:
		return fault.New(fault.Invalid, "weights of the mix must not be negative")
	case o.GetWeight+o.OnceWeight+o.UploadWeight == 0:
		return fault.New(fault.Invalid, "all weights of the mix are zero")
	case o.Attempts < 1:
		return fault.New(fault.Invalid, "attempts %d is below 1", o.Attempts)
	case o.MaxInFlight < 1:
		return fault.New(fault.Invalid, "limit of requests in flight %d is below 1", o.MaxInFlight)
	}
	return nil
}
