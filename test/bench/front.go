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

// platformProxy is a reverse proxy between some daemons and the platform. It counts
// the calls, and it can refuse all of them or limit the rate of written items.
type platformProxy struct {
	listener net.Listener
	forward  *httputil.ReverseProxy

	mu sync.Mutex
	// unreachable makes the proxy close the connection of every call.
	unreachable bool
	// writeLimit is in items per second; zero means no limit. writeTokens is the
	// number of items that the limit allowed at refilledAt.
	writeLimit  float64
	writeTokens float64
	refilledAt  time.Time
	counts      PlatformCallCounts
}

// PlatformCallCounts counts the calls to a platformProxy since its start.
type PlatformCallCounts struct {
	Reads uint64 `json:"reads"`
	// WriteCalls counts the write operations, and Writes the items in them.
	WriteCalls uint64 `json:"write_calls"`
	Writes     uint64 `json:"writes"`
	// Refused counts the calls whose connection was closed, and Throttled the
	// write operations above the write limit.
	Refused   uint64 `json:"refused"`
	Throttled uint64 `json:"throttled"`
}

// proxyIdleConnections is more than the calls that all daemons have in flight, so
// that the proxy reuses its connections.
const proxyIdleConnections = 1024

// throttleBurstSeconds is the burst that the write limit allows, in seconds of writes
// at the limit, as a table with provisioned throughput does.
const throttleBurstSeconds = 1.0

// startPlatformProxy starts a proxy on a free loopback port that forwards calls to upstream.
func startPlatformProxy(upstream string) (*platformProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "listen for the platform proxy")
	}
	f := &platformProxy{listener: listener, refilledAt: time.Now()}
	f.forward = httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: upstream})
	f.forward.Transport = &http.Transport{MaxIdleConns: proxyIdleConnections, MaxIdleConnsPerHost: proxyIdleConnections}
	// A daemon that closes its connection before the response is no failure of the
	// proxy.
	f.forward.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	go func() { _ = http.Serve(listener, f) }()
	return f, nil
}

func (f *platformProxy) address() string { return f.listener.Addr().String() }

func (f *platformProxy) close() { _ = f.listener.Close() }

// setUnreachable makes the proxy refuse all calls, or forward them again.
func (f *platformProxy) setUnreachable(unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = unreachable
}

// setWriteLimit sets the write limit and allows a full burst; zero means no limit.
func (f *platformProxy) setWriteLimit(itemsPerSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeLimit, f.writeTokens, f.refilledAt = itemsPerSecond, itemsPerSecond*throttleBurstSeconds, time.Now()
}

// callCounts returns the counts since the start.
func (f *platformProxy) callCounts() PlatformCallCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// ServeHTTP forwards, refuses or throttles one call of the platform's API.
func (f *platformProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	switch f.admit(r.Method, operation, body) {
	case callRefused:
		panic(http.ErrAbortHandler)
	case callThrottled:
		w.Header().Set("Content-Type", "application/x-amz-json-1.0")
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, throttledBody)
	default:
		f.forward.ServeHTTP(w, r)
	}
}

// throttledBody is the API's response to a call above the provisioned rate.
const throttledBody = `{"__type":"com.amazonaws.dynamodb.v20120810#ProvisionedThroughputExceededException","message":"above the rate"}`

// admission is the decision about a call.
type admission int

const (
	callForwarded admission = iota
	callRefused
	callThrottled
)

// admit counts a call and returns whether to forward it.
func (f *platformProxy) admit(method, operation string, body []byte) admission {
	items := writtenItems(method, operation, body)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		f.counts.Refused++
		return callRefused
	}
	if items == 0 {
		f.counts.Reads++
		return callForwarded
	}
	if f.writeLimit > 0 && !f.takeWriteTokens(float64(items)) {
		f.counts.Throttled++
		return callThrottled
	}
	f.counts.WriteCalls++
	f.counts.Writes += uint64(items)
	return callForwarded
}

// takeWriteTokens takes tokens for the items from the token bucket of the write
// limit, or returns false if there are too few. The caller must hold f.mu.
func (f *platformProxy) takeWriteTokens(items float64) bool {
	now := time.Now()
	f.writeTokens = min(f.writeTokens+now.Sub(f.refilledAt).Seconds()*f.writeLimit, f.writeLimit*throttleBurstSeconds)
	f.refilledAt = now
	if f.writeTokens < items {
		return false
	}
	f.writeTokens -= items
	return true
}

// writtenItems returns the number of items that a call writes or checks; zero for reads.
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

// sub returns the calls that were counted since the earlier counts.
func (c PlatformCallCounts) sub(earlier PlatformCallCounts) PlatformCallCounts {
	return PlatformCallCounts{
		Reads: c.Reads - earlier.Reads, WriteCalls: c.WriteCalls - earlier.WriteCalls, Writes: c.Writes - earlier.Writes,
		Refused: c.Refused - earlier.Refused, Throttled: c.Throttled - earlier.Throttled,
	}
}
