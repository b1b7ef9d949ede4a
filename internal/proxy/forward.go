package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

const (
	// copyBufferBytes is the size of the buffer for a streamed response.
	copyBufferBytes = 32 << 10
	// smallBufferBytes is the size of the buffer for a short response.
	smallBufferBytes = 4 << 10
)

var (
	buffers      = sync.Pool{New: func() any { return newBuffer(copyBufferBytes) }}
	smallBuffers = sync.Pool{New: func() any { return newBuffer(smallBufferBytes) }}
)

func newBuffer(size int) *[]byte {
	buffer := make([]byte, size)
	return &buffer
}

// buffersFor returns the pool of buffers for a response of the given length.
func buffersFor(length int64) *sync.Pool {
	if length >= 0 && length <= smallBufferBytes {
		return &smallBuffers
	}
	return &buffers
}

func cloneURL(r *http.Request, address string) *url.URL {
	u := *r.URL
	u.Scheme = "http"
	// http.Transport would convert user information into an Authorization
	// header.
	u.User = nil
	u.Host = address
	return &u
}

// announceTrailers sets the Trailer header, which names the trailers that
// follow the body.
func announceTrailers(h http.Header, response *http.Response) {
	if len(response.Trailer) == 0 {
		return
	}
	names := make([]string, 0, len(response.Trailer))
	for name := range response.Trailer {
		names = append(names, name)
	}
	setHeader(h, "Trailer", strings.Join(names, ", "))
}

// copyTrailers copies the trailers, which are available only after the body.
func copyTrailers(h http.Header, response *http.Response, announced int) {
	for name, values := range response.Trailer {
		if announced == 0 {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

// streamErrors holds the errors of forwarding a response body.
type streamErrors struct {
	// upstream is the error of reading the response from its sender.
	upstream error
	// caller is the error of writing the response to its receiver.
	caller error
}

// stream copies the response body. A response of unknown length is flushed
// after each part; one of known length is flushed only if it arrives in several
// parts. The parts are also added to recorder if it is not nil. A failure of
// the caller does not stop the copying while recorder still needs the rest.
func stream(w http.ResponseWriter, response *http.Response, recorder *responseRecorder) streamErrors {
	var result streamErrors
	flusher := http.NewResponseController(w)
	if buffered, ok := response.Body.(*bufferedBody); ok {
		recorder.add(buffered.remaining)
		result.caller = writeBuffered(w, flusher, buffered)
		return result
	}
	pool := buffersFor(response.ContentLength)
	buffer := pool.Get().(*[]byte)
	defer pool.Put(buffer)
	var written int64
	for {
		n, err := response.Body.Read(*buffer)
		if n > 0 {
			recorder.add((*buffer)[:n])
			written += int64(n)
			result.caller = writePart(w, flusher, (*buffer)[:n], written != response.ContentLength, result.caller)
		}
		if err == io.EOF {
			return result
		}
		if err != nil {
			result.upstream = fault.Wrap(err, fault.Protocol, "the answer was cut short")
			return result
		}
		if result.caller != nil && !recorder.needsMore() {
			return result
		}
	}
}

// writeBuffered writes a buffered response, in parts if it has to wait for its turns.
func writeBuffered(w http.ResponseWriter, flusher *http.ResponseController, body *bufferedBody) error {
	rest := body.remaining
	if body.awaitPart == nil {
		return writePart(w, flusher, rest, false, nil)
	}
	for len(rest) > 0 {
		part := rest[:min(len(rest), longResponsePartBytes)]
		body.awaitPart(len(part))
		if err := writePart(w, flusher, part, true, nil); err != nil {
			return err
		}
		rest = rest[len(part):]
	}
	return nil
}

func writePart(w http.ResponseWriter, flusher *http.ResponseController, part []byte, flush bool, previous error) error {
	if previous != nil {
		return previous
	}
	if _, err := w.Write(part); err != nil {
		return fault.Wrap(err, fault.Unavailable, "the caller disconnected")
	}
	if !flush {
		return nil
	}
	if err := flusher.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "the caller disconnected")
	}
	return nil
}

// abortResponse closes the caller's connection, so that the caller cannot
// mistake an incomplete response for a complete one. It resets that of an HTTP/1.0
// caller, for which a proper close ends a response without a length.
func abortResponse(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 && r.ProtoMinor == 0 {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			resetConn(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// resetConn resets a TCP connection, which may have wrappers that have NetConn.
func resetConn(conn net.Conn) {
	defer conn.Close()
	for c := conn; ; {
		if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
			_ = tcp.SetLinger(0)
			return
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		c = wrapper.NetConn()
	}
}

// earlyResponse allows a response to begin while the request body is still
// being read; by default the server reads the body first.
type earlyResponse struct {
	w       http.ResponseWriter
	r       *http.Request
	started bool
}

// start is called before the response status is sent. It prevents the server
// from reusing the connection, because the server panics when the body ends
// after the handler.
func (e *earlyResponse) start() {
	if e.started || e.r.ProtoMajor != 1 {
		return
	}
	if err := http.NewResponseController(e.w).EnableFullDuplex(); err == nil {
		setHeader(e.w.Header(), "Connection", "close")
		e.started = true
	}
}

// end is called at the end of the handler. It aborts a read of the body that is
// still in progress, because the server waits for that read.
func (e *earlyResponse) end(src *bodySource) {
	if e.started && (src == nil || !src.ended()) {
		_ = http.NewResponseController(e.w).SetReadDeadline(time.Unix(1, 0))
	}
}

// beforeResponse is called before a target's response is forwarded.
func (e *earlyResponse) beforeResponse(src *bodySource) {
	if !src.ended() {
		e.start()
	}
}

// beforeRefusal is called before a refusal is sent. Bodies of unknown length
// and bodies that did not arrive in time can take long, so the response begins
// before they end. Of other bodies, net/http reads up to 256 KiB of the rest, so
// that a shed request with a short body does not cost a connection.
func (e *earlyResponse) beforeRefusal(src *bodySource, refused *refusal) {
	timedOut := refused.status == http.StatusGatewayTimeout || fault.Is(refused.err, fault.Timeout)
	late := timedOut && src != nil && !src.ended()
	if late || e.r.ContentLength < 0 {
		e.start()
	}
}

// relay sends the status, the headers, the body and the trailers of a response.
func relay(w http.ResponseWriter, response *http.Response, recorder *responseRecorder) streamErrors {
	announceTrailers(w.Header(), response)
	announced := len(response.Trailer)
	if _, ok := w.Header()["Content-Type"]; !ok {
		// Without this, the server guesses a content type.
		w.Header()["Content-Type"] = nil
	}
	w.WriteHeader(response.StatusCode)
	if response.ContentLength < 0 {
		// The caller receives the headers of a streamed response before its
		// body.
		_ = http.NewResponseController(w).Flush()
	}
	result := stream(w, response, recorder)
	if result.upstream == nil && result.caller == nil {
		copyTrailers(w.Header(), response, announced)
	}
	return result
}

// sendFailure returns the refusal that describes a failed round trip to the
// caller. It distinguishes an expired deadline from a failed connection.
func sendFailure(ctx context.Context, result sendResult, to string) *refusal {
	newRefusal := unknown
	if !result.wrote {
		newRefusal = notRun
	}
	if ctx.Err() != nil || errors.Is(result.err, os.ErrDeadlineExceeded) {
		return newRefusal(http.StatusGatewayTimeout, fault.Wrap(result.err, fault.Timeout, "no answer from %s before the deadline", to))
	}
	if !result.wrote {
		return notRun(http.StatusServiceUnavailable, fault.Wrap(result.err, fault.Unavailable, "cannot connect to %s", to))
	}
	return unknown(http.StatusBadGateway, fault.Wrap(result.err, fault.UnknownOutcome, "the connection to %s failed", to))
}

// responseRecorder stores a response body up to a size limit. A nil
// *responseRecorder stores nothing.
type responseRecorder struct {
	body       []byte
	limit      int
	overflowed bool
}

func (k *responseRecorder) add(part []byte) {
	if k == nil || k.overflowed {
		return
	}
	if len(k.body)+len(part) > k.limit {
		k.overflowed = true
		k.body = nil
		return
	}
	k.body = append(k.body, part...)
}

func (k *responseRecorder) needsMore() bool { return k != nil && !k.overflowed }
