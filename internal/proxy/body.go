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
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

const (
	// prefixBytes is the part of the body that identifies a request.
	prefixBytes = 4 << 10
	// replayBytes bounds the part of the body that is kept for a retry.
	replayBytes = 64 << 10
	// trustedBytes is how much of a body must have come for its stated length
	// to be believed.
	trustedBytes = 16 << 10
	// keptGrowth is the factor by which the room for the kept part grows.
	keptGrowth = 4
)

// source is a request's body, shared by all attempts to send it. It keeps the
// first replayBytes, so that an attempt that did not run can be repeated.
type source struct {
	body   io.Reader
	length int64
	limit  int
	// reading is held while a read from the caller is in progress.
	reading sync.Mutex
	// mu guards what follows.
	mu       sync.Mutex
	kept     []byte
	overflow bool
	err      error
	// first is the body of the first attempt, which most requests end with.
	first attemptBody
}

// newSource returns the source of the request's body. Only the first limit
// bytes are kept.
func newSource(r *http.Request, limit int) *source {
	s := &source{body: r.Body, length: r.ContentLength, limit: limit}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		s.length = 0
		s.err = io.EOF
	}
	return s
}

func (s *source) empty() bool { return s.length == 0 }

// ended reports whether the whole body was read from the caller.
func (s *source) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err == io.EOF
}

// limitTime makes reads from the caller fail at the deadline. A read that hangs
// would otherwise keep http.Transport from returning, because it waits until
// the body is no longer in use. The server removes the limit before the next
// request of the connection.
func (s *source) limitTime(w http.ResponseWriter, deadline time.Time) {
	if !s.ended() {
		_ = http.NewResponseController(w).SetReadDeadline(deadline)
	}
}

// fill reads until the prefix is known or the body ends. It fails with
// fault.Timeout when the caller does not send it in time.
func (s *source) fill() error { return s.fillTo(prefixBytes) }

// fillTo reads until the first limit bytes are known or the body ends. It
// fails as fill does.
func (s *source) fillTo(limit int) error {
	for {
		s.mu.Lock()
		done, err := len(s.kept) >= limit, s.err
		s.mu.Unlock()
		if err == io.EOF || done {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return fault.Wrap(err, fault.Timeout, "the request's body did not come before the deadline")
		}
		if err != nil {
			return fault.Wrap(err, fault.Protocol, "cannot read the request's body")
		}
		s.more(limit, nil)
	}
}

// measure tells the load of the VM's link how long the body is, if all of it
// has come.
func (s *source) measure(load *routing.LinkLoad) {
	if length, whole := s.whole(); load != nil && whole && length > 0 {
		load.ObserveBody(length)
	}
}

// whole returns the length of the body when all of it is kept, or false.
func (s *source) whole() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.kept)), s.err == io.EOF && !s.overflow
}

// more reads up to limit bytes in all into the kept part. It returns false
// when the kept part is full, or when the attempt was given up meanwhile.
func (s *source) more(limit int, a *attemptBody) {
	s.reading.Lock()
	defer s.reading.Unlock()
	s.mu.Lock()
	have := len(s.kept)
	if s.err != nil || have >= limit || (a != nil && (a.closed || a.offset < have)) {
		s.mu.Unlock()
		return
	}
	s.grow()
	// Others read only the part before this one meanwhile.
	chunk := s.kept[have:min(cap(s.kept), limit)]
	s.mu.Unlock()
	n, err := s.body.Read(chunk)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = s.kept[:have+n]
	s.err = err
}

// grow makes room after the kept part, if there is none. The room rises with
// what has come, because a caller may state a length that it does not send.
// One byte past the stated length leaves room to read the end of the body.
func (s *source) grow() {
	have := len(s.kept)
	if have < cap(s.kept) {
		return
	}
	room := min(max(prefixBytes, keptGrowth*have), s.limit)
	if s.length >= 0 {
		if have >= trustedBytes {
			room = s.limit
		}
		room = int(min(int64(room), s.length+1))
	}
	next := make([]byte, have, max(room, have+1))
	copy(next, s.kept)
	s.kept = next
}

// prefix returns the known part of the first prefixBytes.
func (s *source) prefix() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kept[:min(len(s.kept), prefixBytes)]
}

// attempt returns a reader of the whole body for one attempt, or nil when a
// part of it is no longer kept.
func (s *source) attempt() *attemptBody {
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
	source *source
	// offset and closed are guarded by the source's mu.
	offset int
	closed bool
}

// Read returns kept bytes first and then reads from the caller.
func (a *attemptBody) Read(p []byte) (int, error) {
	s := a.source
	for {
		s.mu.Lock()
		if a.closed {
			s.mu.Unlock()
			return 0, fault.New(fault.Internal, "the attempt has ended")
		}
		if a.offset < len(s.kept) {
			n := copy(p, s.kept[a.offset:])
			a.offset += n
			s.mu.Unlock()
			return n, nil
		}
		if err := s.err; err != nil {
			s.mu.Unlock()
			return 0, err
		}
		if len(s.kept) >= s.limit {
			s.overflow = true
			s.mu.Unlock()
			return a.direct(p)
		}
		s.mu.Unlock()
		s.more(s.limit, a)
	}
}

// direct reads past the kept part. No other attempt follows after this.
func (a *attemptBody) direct(p []byte) (int, error) {
	s := a.source
	s.reading.Lock()
	defer s.reading.Unlock()
	n, err := s.body.Read(p)
	if err != nil {
		s.mu.Lock()
		s.err = err
		s.mu.Unlock()
	}
	return n, err
}

// Close ends the attempt: it reads no more from the caller.
func (a *attemptBody) Close() error {
	a.source.mu.Lock()
	defer a.source.mu.Unlock()
	a.closed = true
	return nil
}

// fingerprint identifies a request that crashes its target. It covers the
// query as well, because the query often selects what the target runs.
func fingerprint(r *http.Request, key string, prefix []byte) uint64 {
	d := xxhash.New()
	// A hash.Hash never returns an error.
	for _, part := range []string{r.Method, r.URL.RequestURI(), key} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(prefix)
	return d.Sum64()
}

// requestDigest tells requests that share an idempotency key apart.
func requestDigest(r *http.Request, prefix []byte, length int64) string {
	d := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), strconv.FormatInt(length, 10)} {
		_, _ = io.WriteString(d, part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(prefix)
	return hex.EncodeToString(d.Sum(nil))
}

// giveUp ends the attempt and reports whether another one can send the body.
func (a *attemptBody) giveUp() bool {
	a.source.mu.Lock()
	defer a.source.mu.Unlock()
	a.closed = true
	return !a.source.overflow
}
