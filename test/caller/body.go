package caller

import (
	"context"
	"io"
	"time"

	"github.com/magnoliamount/magnoliamount/test/target"
)

// slowChunkBytes is how much of a slow body is sent at once.
const slowChunkBytes = 64 << 10

// slowReader yields a body evenly over a time.
type slowReader struct {
	ctx     context.Context
	source  io.Reader
	perByte time.Duration
}

// newBody returns the body of a request: n bytes that depend on the id only.
func newBody(ctx context.Context, id string, n int64, total time.Duration) io.Reader {
	source := target.Padding(id, n)
	if total <= 0 || n == 0 {
		return source
	}
	return &slowReader{ctx: ctx, source: source, perByte: total / time.Duration(n)}
}

// Read yields at most one chunk, after the time that the chunk takes.
func (r *slowReader) Read(p []byte) (int, error) {
	if len(p) > slowChunkBytes {
		p = p[:slowChunkBytes]
	}
	n, err := r.source.Read(p)
	timer := time.NewTimer(time.Duration(n) * r.perByte)
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
