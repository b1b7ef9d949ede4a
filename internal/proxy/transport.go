package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/memlimit"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

const (
	// dialTimeout is far above the time that a connection within the region
	// takes and below usual deadlines, so that a failed VM is excluded before
	// callers time out.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is shorter than the idle timeout that the daemons' servers
	// should use (90 s), so that the client closes an idle connection first.
	idleTimeout = 60 * time.Second
	// expectTimeout is how long a request waits for "100 Continue" before it
	// sends its body.
	expectTimeout = 2 * time.Second
	// defaultConnections is the connection limit of an endpoint that announces
	// none.
	defaultConnections = 110
	// ioBufferBytes is the size of a connection's read and write buffers.
	ioBufferBytes = 8 << 10
	// maxResponseHeaderBytes bounds the header of a response, which contains the
	// daemons' fields in addition to those of the target.
	maxResponseHeaderBytes = 2 * maxHeaderBytes
)

// link is the HTTP client for one endpoint, with a bounded number of
// connections. Requests without a body and requests whose body is completely
// buffered use the connections of pool; all others use http.Transport.
type link struct {
	address     string
	connections uint32
	// maxBufferedBytes is the length up to which responses of any framing are
	// buffered. With zero, only short responses of known length are buffered.
	maxBufferedBytes int
	pool             pool
	transport        *http.Transport
}

// linkOptions configures a link.
type linkOptions struct {
	// connections is the connection limit; zero means defaultConnections.
	connections uint32
	// maxBufferedBytes is as in link.
	maxBufferedBytes int
	// requestID is the header field in which the endpoint echoes the id of the
	// request; empty when it does not echo the id.
	requestID string
	// load, if set, is updated with the bytes that the connections transfer.
	load *routing.LinkLoad
}

func newLink(address string, options linkOptions) *link {
	limit := int(options.connections)
	if limit == 0 {
		limit = defaultConnections
	}
	l := &link{address: address, connections: options.connections, maxBufferedBytes: options.maxBufferedBytes}
	l.pool.address = address
	l.pool.requestID = options.requestID
	l.pool.load = options.load
	l.pool.dialer.Timeout = dialTimeout
	l.pool.permits = make(chan struct{}, limit)
	l.transport = &http.Transport{
		DialContext:            l.pool.dialWithPermit,
		DisableCompression:     true,
		MaxConnsPerHost:        limit,
		MaxIdleConns:           limit,
		MaxIdleConnsPerHost:    limit,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  expectTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         ioBufferBytes,
		WriteBufferSize:        ioBufferBytes,
	}
	return l
}

func (l *link) close() {
	l.pool.close()
	l.transport.CloseIdleConnections()
}

// dialError is the error of an attempt to open a connection that failed.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// countedConn counts the bytes that are passed to the network.
type countedConn struct {
	net.Conn
	written atomic.Int64
	// dialTime is how long it took to open the connection.
	dialTime time.Duration
	// permits gets the connection's permit back when it is closed.
	permits chan struct{}
	closed  atomic.Bool
	// load, if set, is updated with the bytes that the connection transfers.
	load *routing.LinkLoad
}

// Read adds the bytes read to the load of the VM's network link. It reports a reset as
// an error also if a write has received the error of the kernel.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && wasReset(c.Conn) {
		err = syscall.ECONNRESET
	}
	if c.load != nil {
		c.load.AddReceived(n)
	}
	return n, err
}

// Close closes the connection and returns its permit once.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		<-c.permits
	}
	return err
}

// Write counts the bytes written. Bytes count from the start of the call, so
// that a write in progress is never mistaken for no write.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n - len(p)))
	if c.load != nil {
		c.load.AddSent(n)
	}
	return n, err
}

// ReadFrom copies a body through a shared buffer. Without it, io.Copy in
// http.Transport allocates 32 KiB for each body that exceeds the connection's
// buffer.
func (c *countedConn) ReadFrom(r io.Reader) (int64, error) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	return io.CopyBuffer(writeOnly{c}, r, *buffer)
}

// writeOnly hides ReadFrom from io.CopyBuffer.
type writeOnly struct{ io.Writer }

// writeTracker records whether any byte of a request was passed to the network.
type writeTracker struct {
	mu    sync.Mutex
	conn  *countedConn
	base  int64
	wrote bool
}

func (s *writeTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	if !ok {
		s.wrote = true
		return
	}
	s.conn = conn
	s.base = conn.written.Load()
}

// setupTime returns how much of the latency of a request with a response may be
// due to opening its connection.
func (s *writeTracker) setupTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return 0
	}
	return s.conn.setupTime(s.base)
}

// reused reports whether the connection carried an earlier request.
func (s *writeTracker) reused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn == nil || s.base > 0
}

func (s *writeTracker) update() {
	if s.conn != nil && s.conn.written.Load() != s.base {
		s.wrote = true
	}
}

// closeAndCheck reports whether a byte of a failed request may have reached the
// endpoint. It closes the connection first, so that no further byte is sent.
func (s *writeTracker) closeAndCheck() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
	}
	s.update()
	return s.wrote
}

// sendResult is the result of one round trip. Exactly one of response and err is set.
type sendResult struct {
	response *http.Response
	err      error
	// wrote is false only if no byte of the request can have reached the endpoint.
	wrote bool
	// responseStarted is true when part of a response was received, but not all of it.
	responseStarted bool
	// dialFailed is true when no connection could be opened.
	dialFailed bool
	// setupTime is how much of the latency may be due to opening a connection; zero
	// for a reused connection.
	setupTime time.Duration
	// identified is false when the response may belong to another request.
	identified bool
}

// setupAllowance is the extra latency of the first request on a connection,
// besides the dial: the other daemon accepts the connection and may have to dial
// its target, each about 1 ms, and more on a busy machine.
const setupAllowance = 5 * time.Millisecond

// setupTime returns the value of sendResult.setupTime. written is the number of
// bytes that were written to the connection before the request.
func (c *countedConn) setupTime(written int64) time.Duration {
	if written > 0 {
		return 0
	}
	return c.dialTime + setupAllowance
}

// outgoingRequest is the outgoing request of one attempt, with the tracker of its writes.
type outgoingRequest struct {
	request *http.Request
	writes  writeTracker
	trace   httptrace.ClientTrace
	// direct is true when one goroutine can send the request and then read the
	// response, because no body is streamed at the same time.
	direct bool
}

// send performs one round trip. It never sends the request a second time.
func (l *link) send(s *outgoingRequest) sendResult {
	result, done := sendResult{}, false
	if s.direct {
		result, done = l.sendDirect(s)
	}
	if !done {
		result = l.sendTransport(s)
	}
	if result.err == nil && result.response.StatusCode < http.StatusOK {
		// No request asks for an upgrade, so 101 is as invalid as a status below 100.
		_ = result.response.Body.Close()
		err := errors.Newf("the endpoint sent status %d as its final one", result.response.StatusCode)
		return sendResult{err: err, wrote: true, responseStarted: true}
	}
	if result.err == nil {
		if err := bufferResponse(result.response, l.maxBufferedBytes, memlimit.FromContext(s.request.Context())); err != nil {
			return sendResult{err: err, wrote: true, responseStarted: true}
		}
	}
	return result
}

func (l *link) sendTransport(s *outgoingRequest) sendResult {
	s.trace.GotConn = s.writes.gotConn
	ctx := s.request.Context()
	response, err := l.transport.RoundTrip(s.request.WithContext(httptrace.WithClientTrace(ctx, &s.trace)))
	if err == nil {
		result := sendResult{response: response, wrote: true, setupTime: s.writes.setupTime(), identified: true}
		if l.pool.identify(s.request, response, s.writes.reused()) != sameRequest {
			// The response to this request may still arrive, and the next request
			// on the connection would receive it.
			s.writes.closeAndCheck()
			_ = response.Body.Close()
			response.Body, response.ContentLength = http.NoBody, 0
			result.identified = false
		}
		return result
	}
	var dialErr *dialError
	wrote := s.writes.closeAndCheck()
	refused := errors.As(err, &dialErr) && !wrote && ctx.Err() == nil
	return sendResult{err: err, wrote: wrote, dialFailed: refused}
}

// emptyBody is a body without content. Unlike http.NoBody, it prevents
// http.Transport from retrying the request.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// WriteTo saves io.Copy the allocation of a 32 KiB buffer.
func (emptyBody) WriteTo(io.Writer) (int64, error) { return 0, nil }

// identityEncoding is a TransferEncoding value that all requests share. They do
// not modify it.
var identityEncoding = []string{"identity"}

// requestTemplate is copied to create requests with a context. Setting the
// context of a complete request would copy that request again.
var requestTemplate http.Request

// newOutgoingRequest builds the request of one attempt. http.Transport retries a
// request by itself if its method is safe or if it has an idempotency key, and if
// its body is nil or can be rewound. A non-nil body without GetBody and a key
// header in a spelling that http.Transport does not check prevent that. The
// header map gets space for the given number of added headers.
func newOutgoingRequest(ctx context.Context, r *http.Request, address string, src *bodySource, body *attemptBody, added int) *outgoingRequest {
	length, complete := src.completeLength()
	s := &outgoingRequest{direct: (src.empty() || complete && len(r.Trailer) == 0) && r.Method != http.MethodConnect}
	out := requestTemplate.WithContext(ctx)
	s.request = out
	out.Method, out.URL, out.Host = r.Method, cloneURL(r, address), r.Host
	out.Proto, out.ProtoMajor, out.ProtoMinor = "HTTP/1.1", 1, 1
	out.Header = make(http.Header, len(r.Header)+added)
	out.ContentLength = src.length
	if complete {
		out.ContentLength = length
	}
	copyEndToEnd(out.Header, r.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		// http.Transport would add its own name.
		setHeader(out.Header, "User-Agent", "")
	}
	hideIdempotencyKey(out.Header, KeyHeader, "idempotency-key")
	hideIdempotencyKey(out.Header, "X-Idempotency-Key", "x-idempotency-key")
	switch {
	case !src.empty():
		out.Body = body
		out.Trailer = r.Trailer
	case safeMethod(r.Method):
		// "identity" prevents http.Transport from reading ahead in the body to
		// find out whether it is empty; no encoding is sent.
		out.Body = emptyBody{}
		out.TransferEncoding = identityEncoding
	}
	return s
}

func hideIdempotencyKey(h http.Header, name, spelling string) {
	if values, ok := h[name]; ok {
		delete(h, name)
		h[spelling] = values
	}
}

func safeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}
