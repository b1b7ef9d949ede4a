package bench

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// platformFront forwards the calls of some daemons to the platform. It counts
// them, and it can refuse them or bound the written items.
type platformFront struct {
	listener net.Listener
	forward  *httputil.ReverseProxy

	mu sync.Mutex
	// cut closes the connection of every call.
	cut bool
	// writeLimit is in items a second; zero is unbounded.
	writeLimit float64
	tokens     float64
	refilled   time.Time
	count      FrontCount
}

// FrontCount is what passed a front since its start.
type FrontCount struct {
	Reads uint64 `json:"reads"`
	// WriteCalls are operations, and Writes the items in them.
	WriteCalls uint64 `json:"write_calls"`
	Writes     uint64 `json:"writes"`
	Refused    uint64 `json:"refused"`
	Throttled  uint64 `json:"throttled"`
}

// frontConnections is above the calls that all daemons have in flight.
const frontConnections = 1024

// throttleBurst is the second of writes that the limit allows at once, as a
// provisioned table does.
const throttleBurst = 1.0

func openFront(upstream string) (*platformFront, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "listen in front of the platform")
	}
	f := &platformFront{listener: listener, refilled: time.Now()}
	f.forward = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: upstream})
	f.forward.Transport = &http.Transport{MaxIdleConns: frontConnections, MaxIdleConnsPerHost: frontConnections}
	// A daemon that leaves before the answer is no failure of the front.
	f.forward.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	go func() { _ = http.Serve(listener, f) }()
	return f, nil
}

func (f *platformFront) address() string { return f.listener.Addr().String() }

func (f *platformFront) close() { _ = f.listener.Close() }

func (f *platformFront) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *platformFront) setWriteLimit(itemsPerSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeLimit, f.tokens, f.refilled = itemsPerSecond, itemsPerSecond*throttleBurst, time.Now()
}

func (f *platformFront) counted() FrontCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// ServeHTTP forwards one call of the API.
func (f *platformFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	switch f.admit(r.Method, operation, body) {
	case frontCut:
		panic(http.ErrAbortHandler)
	case frontThrottled:
		w.Header().Set("Content-Type", "application/x-amz-json-1.0")
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, throttledBody)
	default:
		f.forward.ServeHTTP(w, r)
	}
}

// throttledBody is the API's answer to a call above the provisioned rate.
const throttledBody = `{"__type":"com.amazonaws.dynamodb.v20120810#ProvisionedThroughputExceededException","message":"above the rate"}`

type verdict int

const (
	frontPassed verdict = iota
	frontCut
	frontThrottled
)

// admit counts a call and decides about it.
func (f *platformFront) admit(method, operation string, body []byte) verdict {
	items := writtenItems(method, operation, body)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut {
		f.count.Refused++
		return frontCut
	}
	if items == 0 {
		f.count.Reads++
		return frontPassed
	}
	if f.writeLimit > 0 && !f.take(float64(items)) {
		f.count.Throttled++
		return frontThrottled
	}
	f.count.WriteCalls++
	f.count.Writes += uint64(items)
	return frontPassed
}

// take draws on the allowance. The caller holds the lock.
func (f *platformFront) take(items float64) bool {
	now := time.Now()
	f.tokens = min(f.tokens+now.Sub(f.refilled).Seconds()*f.writeLimit, f.writeLimit*throttleBurst)
	f.refilled = now
	if f.tokens < items {
		return false
	}
	f.tokens -= items
	return true
}

// writtenItems is the number of items that a call writes or checks, zero for reads.
func writtenItems(method, operation string, body []byte) int {
	switch operation {
	case "TransactWriteItems":
		var in struct{ TransactItems []json.RawMessage }
		_ = json.Unmarshal(body, &in)
		return max(len(in.TransactItems), 1)
	case "PutItem", "UpdateItem", "DeleteItem":
		return 1
	}
	if operation == "" && method == http.MethodPut {
		return 1
	}
	return 0
}

func (c FrontCount) minus(then FrontCount) FrontCount {
	return FrontCount{
		Reads: c.Reads - then.Reads, WriteCalls: c.WriteCalls - then.WriteCalls, Writes: c.Writes - then.Writes,
		Refused: c.Refused - then.Refused, Throttled: c.Throttled - then.Throttled,
	}
}
