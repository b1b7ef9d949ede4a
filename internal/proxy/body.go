package proxy

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/memlimit"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

const (
	// prefixBytes is the length of the body prefix that is part of a request's
	// fingerprint and digest.
	prefixBytes = 4 << 10
	// maxReplayBytes bounds the part of the body that is buffered for a retry,
	// unless the proxy is configured to buffer more.
	maxReplayBytes = 64 << 10
	// trustLengthAfterBytes is how much of a body must have been received before
	// its stated length determines the size of the buffer.
	trustLengthAfterBytes = 16 << 10
	// bufferGrowthFactor is the factor by which the capacity of the buffer grows.
	bufferGrowthFactor = 4
)

// bodySource is a request's body, shared by all attempts to send it. It buffers
// the first maxBuffered bytes, so that a request that did not run can be retried.
type bodySource struct {
	body io.Reader
	// length is the stated length of the body; negative if it is unknown.
	length      int64
	maxBuffered int
	// reading is held while a read from the caller is in progress.
	reading sync.Mutex
	// mu guards the fields below.
	mu       sync.Mutex
	buffered []byte
	// overflow is true when bytes were read that are not in buffered.
	overflow bool
	err      error
	// holder holds the reservations of the caller's connection, and reserved is how many
	// bytes of them are for buffered. With released, the exchange has ended.
	holder   *memlimit.Holder
	reserved int64
	released bool
	// first is the body of the first attempt. It is stored here to save an
	// allocation, since most requests need only one attempt.
	first attemptBody
}

// newBodySource returns the source of the request's body. It buffers the first
// limit bytes.
func newBodySource(r *http.Request, limit int) *bodySource {
	s := &bodySource{body: r.Body, length: r.ContentLength, maxBuffered: limit, holder: memlimit.FromContext(r.Context())}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		s.length = 0
		s.err = io.EOF
	}
	return s
}

func (s *bodySource) empty() bool { return s.length == 0 }

// ended reports whether the whole body was read from the caller.
func (s *bodySource) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err == io.EOF
}

// setReadDeadline makes reads from the caller fail at the deadline. A blocked
// read would otherwise prevent http.Transport from returning, because it waits until
// the body is no longer in use. The server removes the deadline before the next
// request on the connection.
func (s *bodySource) setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	if !s.ended() {
		_ = http.NewResponseController(w).SetReadDeadline(deadline)
	}
}

// fillPrefix reads until the prefix is buffered or the body ends. It fails with
// fault.Timeout when the caller does not send the prefix before the deadline, and with
// fault.Overloaded when there is no memory to buffer it.
func (s *bodySource) fillPrefix() error { return s.fillTo(prefixBytes) }

// fillTo reads until the first limit bytes are buffered or the body ends. Its
// errors are those of fillPrefix.
func (s *bodySource) fillTo(limit int) error {
	for {
		s.mu.Lock()
		done, err := len(s.buffered) >= limit, s.err
		s.mu.Unlock()
		if err == io.EOF || done {
			return nil
		}
		if err != nil && s.holder.Dropped() {
			return fault.Wrap(err, fault.Overloaded, "the request's body was stalled while memory was short")
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return fault.Wrap(err, fault.Timeout, "the request's body did not come before the deadline")
		}
		if fault.Is(err, fault.Overloaded) {
			return err
		}
		if err != nil {
			return fault.Wrap(err, fault.Protocol, "cannot read the request's body")
		}
		s.readMore(limit, nil)
	}
}

// reportLength adds the length of the body to the load of the VM's network link,
// if the body is completely buffered.
func (s *bodySource) reportLength(load *routing.LinkLoad) {
	if length, complete := s.completeLength(); load != nil && complete && length > 0 {
		load.ObserveBody(length)
	}
}

// completeLength returns the number of buffered bytes and whether they are the
// whole body.
func (s *bodySource) completeLength() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.buffered)), s.err == io.EOF && !s.overflow
}

// readMore reads once from the caller into the buffer, up to a total of limit
// bytes. It does nothing if the buffer has limit bytes already, or if attempt a
// was closed or has buffered bytes left to read.
func (s *bodySource) readMore(limit int, a *attemptBody) {
	s.reading.Lock()
	defer s.reading.Unlock()
	s.mu.Lock()
	have := len(s.buffered)
	if s.err != nil || have >= limit || (a != nil && (a.closed || a.offset < have)) {
		s.mu.Unlock()
		return
	}
	if !s.grow() {
		s.err = fault.New(fault.Overloaded, "no memory to buffer the request's body")
		s.mu.Unlock()
		return
	}
	// Until the lock is taken again, other goroutines read only the bytes before
	// this chunk.
	chunk := s.buffered[have:min(cap(s.buffered), limit)]
	s.mu.Unlock()
	n, err := s.body.Read(chunk)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffered = s.buffered[:have+n]
	s.end(err)
}

// end records the error of a read, which may be nil. mu is held.
func (s *bodySource) end(err error) {
	s.err = err
	if err == io.EOF {
		s.holder.BeginRun()
	}
}

// grow increases the capacity of a full buffer. The capacity depends on the bytes
// received, because a caller may state a length that it does not send. One byte
// past the stated length leaves space to read the end of the body. It returns false
// when the memory budget has no room.
func (s *bodySource) grow() bool {
	have := len(s.buffered)
	if have < cap(s.buffered) {
		return true
	}
	capacity := min(max(prefixBytes, bufferGrowthFactor*have), s.maxBuffered)
	if s.length >= 0 {
		if have >= trustLengthAfterBytes {
			capacity = s.maxBuffered
		}
		capacity = int(min(int64(capacity), s.length+1))
	}
	capacity = max(capacity, have+1)
	if needed := int64(capacity) - s.reserved; needed > 0 {
		if s.released || !s.holder.Reserve(needed, int64(capacity)) {
			return false
		}
		s.reserved += needed
	}
	next := make([]byte, have, capacity)
	copy(next, s.buffered)
	s.buffered = next
	return true
}

// release returns the reserved memory at the end of the exchange.
func (s *bodySource) release() {
	if s == nil || s.holder == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Release(s.reserved)
	s.reserved, s.released = 0, true
}

// prefix returns the buffered part of the first prefixBytes.
func (s *bodySource) prefix() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffered[:min(len(s.buffered), prefixBytes)]
}

// newAttempt returns a reader of the whole body for one attempt, or nil when a
// part of the body was read without being buffered.
func (s *bodySource) newAttempt() *attemptBody {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overflow {
		return nil
	}
	if s.first.source == nil {
		s.first.source = s
		return &s.first
	}
	return &attemptBody{source: s}
}

// attemptBody reads the body for one attempt.
type attemptBody struct {
	source *bodySource
	// offset and closed are guarded by the source's mu.
	offset int
	closed bool
}

// Read returns buffered bytes first and then reads from the caller.
func (a *attemptBody) Read(p []byte) (int, error) {
	s := a.source
	for {
		s.mu.Lock()
		if a.closed {
			s.mu.Unlock()
			return 0, fault.New(fault.Internal, "the attempt has ended")
		}
		if a.offset < len(s.buffered) {
			n := copy(p, s.buffered[a.offset:])
			a.offset += n
			s.mu.Unlock()
			return n, nil
		}
		if err := s.err; err != nil {
			s.mu.Unlock()
			return 0, err
		}
		if len(s.buffered) >= s.maxBuffered {
			s.overflow = true
			s.mu.Unlock()
			return a.readUnbuffered(p)
		}
		s.mu.Unlock()
		s.readMore(s.maxBuffered, a)
	}
}

// readUnbuffered reads the part of the body after the buffered part. The body
// cannot be sent again afterwards.
func (a *attemptBody) readUnbuffered(p []byte) (int, error) {
	s := a.source
	s.reading.Lock()
	defer s.reading.Unlock()
	n, err := s.body.Read(p)
	if err != nil {
		s.mu.Lock()
		s.end(err)
		s.mu.Unlock()
	}
	return n, err
}

// Close ends the attempt. It starts no further reads from the caller.
func (a *attemptBody) Close() error {
	a.source.mu.Lock()
	defer a.source.mu.Unlock()
	a.closed = true
	return nil
}

// fingerprint returns a hash that identifies a request that crashes its target.
// It includes the query, because the query often selects what the target runs.
func fingerprint(r *http.Request, key string, prefix []byte) uint64 {
	d := xxhash.New()
	// A hash.Hash never returns an error.
	for _, part := range []string{r.Method, model.NormalizeHost(r.Host), r.URL.RequestURI(), key} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(prefix)
	return d.Sum64()
}

// requestDigest returns a digest that distinguishes requests with the same
// idempotency key.
func requestDigest(r *http.Request, prefix []byte, length int64) string {
	d := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), strconv.FormatInt(length, 10)} {
		_, _ = io.WriteString(d, part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(prefix)
	return hex.EncodeToString(d.Sum(nil))
}

// closeForRetry ends the attempt and reports whether another attempt can send the
// body.
func (a *attemptBody) closeForRetry() bool {
	a.source.mu.Lock()
	defer a.source.mu.Unlock()
	a.closed = true
	return !a.source.overflow
}
