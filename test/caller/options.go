package caller

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Options configure a load.
type Options struct {
	// Listeners are the host:port addresses of the caller listeners, used round-robin.
	Listeners []string
	// Host is the Host header. If it is empty, the listener's address is sent.
	Host string
	// Rate is the number of requests per second.
	Rate float64
	// Duration is the duration of the load. Zero sends requests until the context is done.
	Duration time.Duration
	// GetWeight, OnceWeight and UploadWeight are the relative frequencies of the kinds.
	GetWeight, OnceWeight, UploadWeight int
	// GetPath, OncePath and UploadPath are the request paths of the kinds.
	GetPath, OncePath, UploadPath string
	// AnswerBytes is the size of the padding that a lookup requests in its response.
	AnswerBytes int64
	// OnceBytes is the size of the body of a once-only request.
	OnceBytes int64
	// UploadBytes is the size of an upload. It is sent evenly over UploadTime.
	UploadBytes int64
	UploadTime  time.Duration
	// Timeout is the timeout of one attempt.
	Timeout time.Duration
	// Attempts is the maximum number of attempts of one request.
	Attempts int
	// RetryDelay is the delay before a request is retried.
	RetryDelay time.Duration
	// MaxInFlight is the maximum number of requests in flight. Further requests are skipped.
	MaxInFlight int
	// Prefix is the prefix of the request IDs. It must differ between callers.
	Prefix string
	// Seed is the seed of the random choice of kinds.
	Seed uint64
	// Record is the file to which results are appended as JSON lines. If it is empty,
	// results are not recorded.
	Record string
}

// DefaultOptions returns the options of a light load of all kinds. Listeners is empty.
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
