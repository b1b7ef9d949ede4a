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
	ctx      context.Context
	source   io.Reader
	interval time.Duration
}

// newBody returns the body of a request: n bytes that depend on the id only.
func newBody(ctx context.Context, id string, n int64, total time.Duration) io.Reader {
	source := target.Padding(id, n)
	chunks := n / slowChunkBytes
	if total <= 0 || chunks == 0 {
		return source
	}
	return &slowReader{ctx: ctx, source: source, interval: total / time.Duration(chunks)}
}

// Read waits one interval and yields at most one chunk.
func (r *slowReader) Read(p []byte) (int, error) {
	timer := time.NewTimer(r.interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
	if len(p) > slowChunkBytes {
		p = p[:slowChunkBytes]
	}
	return r.source.Read(p)
}

// bodyDigest returns the digest of the body that newBody yields.
func bodyDigest(id string, n int64) string {
	digest := target.NewDigest()
	_, _ = io.Copy(digest, target.Padding(id, n))
	return target.DigestText(digest)
}
