package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/memlimit"
)

// bufferedResponseBytes is the length up to which a response is read completely
// before its status is forwarded.
const bufferedResponseBytes = copyBufferBytes

// bufferedBody is the body of a short response that has been read completely.
type bufferedBody struct {
	remaining []byte
	buffer    *[]byte
	pool      *sync.Pool
	// awaitPart, if set, waits until a part of the given size may be sent.
	awaitPart func(bytes int)
	// reserved is returned to holder when the body is closed.
	holder   *memlimit.Holder
	reserved int64
}

// bufferResponse reads a short response completely: one of known length, or of
// any framing up to wholeBytes. If the connection breaks in the meantime, the
// attempt fails with an outcome and may be retried; otherwise the caller would
// receive a truncated response. Longer ones reserve memory with the holder and are left
// as streams if there is none.
func bufferResponse(response *http.Response, wholeBytes int, holder *memlimit.Holder) error {
	length := response.ContentLength
	if length == 0 || response.Body == http.NoBody {
		return nil
	}
	if length < 0 && wholeBytes > 0 {
		return bufferUnknownLength(response, wholeBytes, holder)
	}
	if length < 0 || length > int64(max(bufferedResponseBytes, wholeBytes)) {
		return nil
	}
	reserved := int64(0)
	if length > bufferedResponseBytes {
		if !holder.ReserveResponse(length) {
			return nil
		}
		reserved = length
	}
	body, buffer, pool := responseBuffer(int(length))
	_, err := io.ReadFull(response.Body, body)
	_ = response.Body.Close()
	if err != nil {
		if pool != nil {
			pool.Put(buffer)
		}
		holder.Release(reserved)
		return fault.Wrap(err, fault.Protocol, "the answer was cut short")
	}
	response.Body = &bufferedBody{remaining: body, buffer: buffer, pool: pool, holder: holder, reserved: reserved}
	return nil
}

// responseBuffer returns a buffer of the given length, and the pooled buffer
// and its pool, which are nil when the length exceeds bufferedResponseBytes.
func responseBuffer(length int) ([]byte, *[]byte, *sync.Pool) {
	if length > bufferedResponseBytes {
		return make([]byte, length), nil, nil
	}
	pool := buffersFor(int64(length))
	buffer := pool.Get().(*[]byte)
	return (*buffer)[:length], buffer, pool
}

// bufferUnknownLength reads a response without a stated length. A response
// longer than the limit, or than the memory that can be reserved, is forwarded as a
// stream.
func bufferUnknownLength(response *http.Response, limit int, holder *memlimit.Holder) error {
	var body []byte
	var reserved int64
	ended := false
	for !ended && len(body) <= limit {
		if len(body) == cap(body) {
			next := min(max(smallBufferBytes, responseGrowthFactor*len(body)), limit+1)
			if next > bufferedResponseBytes {
				if !holder.ReserveResponse(int64(next) - reserved) {
					break
				}
				reserved = int64(next)
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil && err != io.EOF {
			_ = response.Body.Close()
			holder.Release(reserved)
			return fault.Wrap(err, fault.Protocol, "the answer was cut short")
		}
		ended = err == io.EOF
	}
	release := &releasingCloser{holder: holder, reserved: reserved, closer: response.Body}
	if !ended {
		remaining := &sizeLimitedReader{source: response.Body, bytesLeft: maxUnknownLengthBytes - int64(len(body))}
		response.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), remaining), Closer: release}
		return nil
	}
	_ = response.Body.Close()
	if len(response.Trailer) > 0 {
		// Trailers require a chunked response, so the length stays unset.
		response.Body = &prefixedBody{Reader: bytes.NewReader(body), Closer: release}
		return nil
	}
	response.ContentLength = int64(len(body))
	setHeader(response.Header, "Content-Length", strconv.Itoa(len(body)))
	response.Body = &bufferedBody{remaining: body, holder: holder, reserved: reserved}
	return nil
}

// maxUnknownLengthBytes bounds a response without a stated length, which a
// faulty endpoint may send until the connection is closed. It equals the limit
// that operators set for request bodies on the users' platform.
const maxUnknownLengthBytes = 64 << 20

var errResponseTooLong = errors.New("the response of unknown length is too long")

// sizeLimitedReader reads at most bytesLeft bytes and then fails with
// errResponseTooLong.
type sizeLimitedReader struct {
	source    io.Reader
	bytesLeft int64
}

// Read implements io.Reader.
func (b *sizeLimitedReader) Read(p []byte) (int, error) {
	if b.bytesLeft <= 0 {
		return 0, errResponseTooLong
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.bytesLeft)])
	b.bytesLeft -= int64(n)
	return n, err
}

// responseGrowthFactor is the factor by which the buffer of a response of unknown length
// grows.
const responseGrowthFactor = 2

// releasingCloser closes a response and returns the memory of its buffered part.
type releasingCloser struct {
	holder   *memlimit.Holder
	reserved int64
	closer   io.Closer
}

// Close implements io.Closer.
func (r *releasingCloser) Close() error {
	r.holder.Release(r.reserved)
	r.reserved = 0
	return r.closer.Close()
}

// prefixedBody is a body whose beginning has already been read; its Reader
// returns that part again.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// Read implements io.Reader.
func (g *bufferedBody) Read(p []byte) (int, error) {
	if len(g.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, g.remaining)
	g.remaining = g.remaining[n:]
	return n, nil
}

// Close returns the buffer to its pool.
func (g *bufferedBody) Close() error {
	if g.buffer != nil {
		g.pool.Put(g.buffer)
	}
	g.holder.Release(g.reserved)
	g.remaining, g.buffer, g.reserved = nil, nil, 0
	return nil
}
