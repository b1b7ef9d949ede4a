package proxy

import (
	"io"
	"net/http"
	"sync"

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

// gather reads an answer of known, short length as a whole. A connection that
// breaks within it then is a failed attempt, which has an outcome and may be
// repeated, and not an answer that is cut short at the caller.
func gather(response *http.Response) error {
	length := response.ContentLength
	if length <= 0 || length > gatherBytes || response.Body == http.NoBody {
		return nil
	}
	pool := buffersFor(length)
	buffer := pool.Get().(*[]byte)
	body := (*buffer)[:length]
	_, err := io.ReadFull(response.Body, body)
	_ = response.Body.Close()
	if err != nil {
		pool.Put(buffer)
		return fault.Wrap(err, fault.Protocol, "the answer was cut short")
	}
	response.Body = &gathered{rest: body, buffer: buffer, pool: pool}
	return nil
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
