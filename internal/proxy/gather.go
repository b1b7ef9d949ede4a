package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// gatherBytes is the length up to which an answer is read as a whole before
// its status is passed on.
const gatherBytes = copyBytes

// gathered is the body of a short answer that has been read as a whole.
type gathered struct {
	rest   []byte
	buffer *[]byte
	pool   *sync.Pool
}

// gather reads a short answer as a whole: one of known length, or of any
// framing up to wholeBytes. A connection that breaks within it then is a failed
// attempt, which has an outcome and may be repeated, and not an answer that is
// cut short at the caller.
func gather(response *http.Response, wholeBytes int) error {
	length := response.ContentLength
	if length == 0 || response.Body == http.NoBody {
		return nil
	}
	if length < 0 && wholeBytes > 0 {
		return gatherOpen(response, wholeBytes)
	}
	if length < 0 || length > int64(max(gatherBytes, wholeBytes)) {
		return nil
	}
	body, buffer, pool := room(int(length))
	_, err := io.ReadFull(response.Body, body)
	_ = response.Body.Close()
	if err != nil {
		if pool != nil {
			pool.Put(buffer)
		}
		return fault.Wrap(err, fault.Protocol, "the answer was cut short")
	}
	response.Body = &gathered{rest: body, buffer: buffer, pool: pool}
	return nil
}

// room returns a buffer of the length. The pool is nil for a long one.
func room(length int) ([]byte, *[]byte, *sync.Pool) {
	if length > gatherBytes {
		return make([]byte, length), nil, nil
	}
	pool := buffersFor(int64(length))
	buffer := pool.Get().(*[]byte)
	return (*buffer)[:length], buffer, pool
}

// gatherOpen reads an answer without a stated length. One that is longer than
// the limit is passed on as it comes.
func gatherOpen(response *http.Response, limit int) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		_ = response.Body.Close()
		return fault.Wrap(err, fault.Protocol, "the answer was cut short")
	}
	if len(body) > limit {
		rest := &bounded{from: response.Body, left: maxOpenBytes - int64(len(body))}
		response.Body = &resumed{Reader: io.MultiReader(bytes.NewReader(body), rest), Closer: response.Body}
		return nil
	}
	_ = response.Body.Close()
	if len(response.Trailer) > 0 {
		// Trailers go with an answer in parts.
		response.Body = &resumed{Reader: bytes.NewReader(body), Closer: io.NopCloser(nil)}
		return nil
	}
	response.ContentLength = int64(len(body))
	setOne(response.Header, "Content-Length", strconv.Itoa(len(body)))
	response.Body = &gathered{rest: body}
	return nil
}

// maxOpenBytes bounds an answer without a stated length, which a faulty endpoint
// may send until the connection is closed. It is what operators allow for the
// bodies of requests on the users' platform.
const maxOpenBytes = 64 << 20

var errEndless = errors.New("the answer has no end")

// bounded fails with errEndless beyond its bytes.
type bounded struct {
	from io.Reader
	left int64
}

// Read implements io.Reader.
func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errEndless
	}
	n, err := b.from.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// resumed is a body whose beginning was read already.
type resumed struct {
	io.Reader
	io.Closer
}

// Read implements io.Reader.
func (g *gathered) Read(p []byte) (int, error) {
	if len(g.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, g.rest)
	g.rest = g.rest[n:]
	return n, nil
}

// Close gives the buffer back.
func (g *gathered) Close() error {
	if g.buffer != nil {
		g.pool.Put(g.buffer)
	}
	g.rest, g.buffer = nil, nil
	return nil
}
