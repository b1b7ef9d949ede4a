package caller

import (
	"context"
	"io"
	"time"

	"github.com/magnoliamount/magnoliamount/test/target"
)

// pacedChunkBytes is the maximum size of one chunk of a paced body.
const pacedChunkBytes = 64 << 10

// pacedReader yields a body at a constant rate.
type pacedReader struct {
	ctx         context.Context
	source      io.Reader
	timePerByte time.Duration
}

// newBody returns the body of a request: n bytes that depend only on the request ID.
// A positive total spreads the body evenly over that duration.
func newBody(ctx context.Context, id string, n int64, total time.Duration) io.Reader {
	source := target.Padding(id, n)
	if total <= 0 || n == 0 {
		return source
	}
	return &pacedReader{ctx: ctx, source: source, timePerByte: total / time.Duration(n)}
}

// Read returns at most one chunk, after a delay in proportion to the chunk's size.
func (r *pacedReader) Read(p []byte) (int, error) {
	if len(p) > pacedChunkBytes {
		p = p[:pacedChunkBytes]
	}
	n, err := r.source.Read(p)
	timer := time.NewTimer(time.Duration(n) * r.timePerByte)
	defer timer.Stop()
	select {
	case <-timer.C:
		return n, err
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
}

// bodyDigest returns the digest of the body that newBody yields.
func bodyDigest(id string, n int64) string {
	digest := target.NewDigest()
	_, _ = io.Copy(digest, target.Padding(id, n))
	return target.DigestText(digest)
}
