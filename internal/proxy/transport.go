package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/routing"
)

const (
	// dialTimeout is far above the time that a connection within the region
	// takes, and below usual deadlines, so that a dead VM is left out before
	// callers give up.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is shorter than the idle timeout that servers of daemons
	// should have (90 s), so that the client closes an idle connection first.
	idleTimeout = 60 * time.Second
	// expectTimeout is how long a body waits for "100 Continue".
	expectTimeout = 2 * time.Second
	// defaultConnections stands in for an announcement without connections.
	defaultConnections = 110
	// ioBufferBytes is the size of a connection's buffers.
	ioBufferBytes = 8 << 10
	// maxAnswerHeaderBytes bounds the header of an answer, which has the fields
	// of daemons beside those of the target.
	maxAnswerHeaderBytes = 2 * maxHeaderBytes
)

// link sends requests to one endpoint over a bounded number of connections.
// Requests without a body go over those of pool, all others over http.Transport.
type link struct {
	address     string
	connections uint32
	// wholeBytes bounds the answers of any framing that are read whole; zero
	// limits that to short ones of known length.
	wholeBytes int
	pool       pool
	transport  *http.Transport
}

// linkOptions says how a link is used.
type linkOptions struct {
	// connections is the most connections; zero means defaultConnections.
	connections uint32
	wholeBytes  int
	// requestID is the field by which the endpoint tells whose answer it
	// sends; empty when it does not say.
	requestID string
	// load, if set, learns what the link's connections carry.
	load *routing.LinkLoad
}

func newLink(address string, options linkOptions) *link {
	limit := int(options.connections)
	if limit == 0 {
		limit = defaultConnections
	}
	l := &link{address: address, connections: options.connections, wholeBytes: options.wholeBytes}
	l.pool.address = address
	l.pool.requestID = options.requestID
	l.pool.load = options.load
	l.pool.dialer.Timeout = dialTimeout
	l.pool.places = make(chan struct{}, limit)
	l.transport = &http.Transport{
		DialContext:            l.pool.dialPlaced,
		DisableCompression:     true,
		MaxConnsPerHost:        limit,
		MaxIdleConns:           limit,
		MaxIdleConnsPerHost:    limit,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  expectTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		ReadBufferSize:         ioBufferBytes,
		WriteBufferSize:        ioBufferBytes,
	}
	return l
}

func (l *link) close() {
	l.pool.close()
	l.transport.CloseIdleConnections()
}

// dialError marks the failures after which no connection existed.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// countedConn counts the bytes that were handed to the network.
type countedConn struct {
	net.Conn
	written atomic.Int64
	// dialTime is how long it took to open the connection.
	dialTime time.Duration
	// places gets the connection's place back when it is closed.
	places chan struct{}
	closed atomic.Bool
	// load, if set, learns what the connection carries.
	load *routing.LinkLoad
}

// Read counts what is read for the load of the VM's link.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.load != nil {
		c.load.AddReceived(n)
	}
	return n, err
}

// Close closes the connection and gives its place back once.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		<-c.places
	}
	return err
}

// Write counts what is written. Bytes count from the start of the call, so
// that a write in progress is never taken for none.
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

// sent tells whether any byte of a request was handed to the network.
type sent struct {
	mu    sync.Mutex
	conn  *countedConn
	base  int64
	wrote bool
}

func (s *sent) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	if !ok {
		s.wrote = true
		return
	}
	s.conn = conn
	s.base = conn.written.Load()
}

// setup returns what the connection of an answered request may have cost.
func (s *sent) setup() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return 0
	}
	return s.conn.setupTime(s.base)
}

func (s *sent) settle() {
	if s.conn != nil && s.conn.written.Load() != s.base {
		s.wrote = true
	}
}

// any reports whether a byte of a failed request may have reached the
// endpoint. It closes the connection, so that no byte follows.
func (s *sent) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
	}
	s.settle()
	return s.wrote
}

// sendResult is the result of one round trip. Exactly one of response and err is set.
type sendResult struct {
	response *http.Response
	err      error
	// wrote is false when surely no byte of the request reached the endpoint.
	wrote bool
	// begun is true when bytes came, but no whole answer.
	begun bool
	// refused is true when no connection could be opened.
	refused bool
	// setup is the part of the time that a new connection may have cost; zero
	// for a connection that was used before.
	setup time.Duration
}

// setupAllowance is what the first request on a connection may cost beside the
// dial: the other daemon accepts the connection and may have to dial its target,
// each about 1 ms, and more on a busy machine.
const setupAllowance = 5 * time.Millisecond

// setupTime returns the setup of a result. written is the number of bytes that
// the connection had carried before the request.
func (c *countedConn) setupTime(written int64) time.Duration {
	if written > 0 {
		return 0
	}
	return c.dialTime + setupAllowance
}

// sending is a request that goes out, with the record of its connection.
type sending struct {
	request *http.Request
	record  sent
	trace   httptrace.ClientTrace
	// direct is true when one goroutine can send the request and then read
	// the answer, because no body has to be sent meanwhile.
	direct bool
}

// send carries out one round trip. It never sends the request a second time.
func (l *link) send(s *sending) sendResult {
	result, done := sendResult{}, false
	if s.direct {
		result, done = l.sendDirect(s)
	}
	if !done {
		result = l.sendTransport(s)
	}
	if result.err == nil {
		if err := gather(result.response, l.wholeBytes); err != nil {
			return sendResult{err: err, wrote: true, begun: true}
		}
	}
	return result
}

func (l *link) sendTransport(s *sending) sendResult {
	s.trace.GotConn = s.record.gotConn
	ctx := s.request.Context()
	response, err := l.transport.RoundTrip(s.request.WithContext(httptrace.WithClientTrace(ctx, &s.trace)))
	if err == nil {
		return sendResult{response: response, wrote: true, setup: s.record.setup()}
	}
	var dialed *dialError
	wrote := s.record.any()
	refused := errors.As(err, &dialed) && !wrote && ctx.Err() == nil
	return sendResult{err: err, wrote: wrote, refused: refused}
}

// emptyBody is a body without content. Unlike http.NoBody, it keeps
// http.Transport from repeating the request.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// WriteTo keeps io.Copy from allocating a buffer of 32 KiB.
func (emptyBody) WriteTo(io.Writer) (int64, error) { return 0, nil }

// identity is shared by requests, which do not change it.
var identity = []string{"identity"}

// blank is copied to make requests with a context. Setting the context of a
// finished request would copy it once more.
var blank http.Request

// newSending builds the request of one attempt. http.Transport repeats a
// request by itself if its method is safe or if it has an idempotency key, and
// if its body is nil or can be rewound. A non-nil body without GetBody and a
// key in a spelling that http.Transport does not look for prevent that.
// The number of headers that are added makes room for them in the header map.
func newSending(ctx context.Context, r *http.Request, address string, src *source, body *attemptBody, added int) *sending {
	length, whole := src.whole()
	s := &sending{direct: (src.empty() || whole && len(r.Trailer) == 0) && r.Method != http.MethodConnect}
	out := blank.WithContext(ctx)
	s.request = out
	out.Method, out.URL, out.Host = r.Method, cloneURL(r, address), r.Host
	out.Proto, out.ProtoMajor, out.ProtoMinor = "HTTP/1.1", 1, 1
	out.Header = make(http.Header, len(r.Header)+added)
	out.ContentLength = src.length
	if whole {
		out.ContentLength = length
	}
	copyEndToEnd(out.Header, r.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		// http.Transport would add its own name.
		setOne(out.Header, "User-Agent", "")
	}
	hideKey(out.Header, KeyHeader, "idempotency-key")
	hideKey(out.Header, "X-Idempotency-Key", "x-idempotency-key")
	switch {
	case !src.empty():
		out.Body = body
		out.Trailer = r.Trailer
	case safeMethod(r.Method):
		// "identity" keeps http.Transport from reading ahead in the body to
		// learn whether it is empty; nothing of it is sent.
		out.Body = emptyBody{}
		out.TransferEncoding = identity
	}
	return s
}

func hideKey(h http.Header, name, spelling string) {
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
