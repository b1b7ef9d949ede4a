package proxy

import (
	"context"
	"io"
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
	// copyBytes is the size of the buffer for a streamed answer.
	copyBytes = 32 << 10
	// smallBytes is the size of the buffer for a short answer.
	smallBytes = 4 << 10
)

var (
	buffers      = sync.Pool{New: func() any { return newBuffer(copyBytes) }}
	smallBuffers = sync.Pool{New: func() any { return newBuffer(smallBytes) }}
)

func newBuffer(size int) *[]byte {
	buffer := make([]byte, size)
	return &buffer
}

// buffersFor returns the pool of buffers for an answer of the length.
func buffersFor(length int64) *sync.Pool {
	if length >= 0 && length <= smallBytes {
		return &smallBuffers
	}
	return &buffers
}

func cloneURL(r *http.Request, address string) *url.URL {
	u := *r.URL
	u.Scheme = "http"
	// http.Transport would turn a user into an Authorization header.
	u.User = nil
	u.Host = address
	return &u
}

// announceTrailers tells the caller which trailers follow the body.
func announceTrailers(h http.Header, response *http.Response) {
	if len(response.Trailer) == 0 {
		return
	}
	names := make([]string, 0, len(response.Trailer))
	for name := range response.Trailer {
		names = append(names, name)
	}
	setOne(h, "Trailer", strings.Join(names, ", "))
}

// copyTrailers sends the trailers, which are known after the body.
func copyTrailers(h http.Header, response *http.Response, announced int) {
	for name, values := range response.Trailer {
		if announced == 0 {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

// streamed is what became of an answer's body.
type streamed struct {
	// upstream is the failure of the sender of the answer.
	upstream error
	// caller is the failure of its receiver.
	caller error
}

// stream copies the answer's body. An answer of unknown length is flushed
// after each part; one of known length only if it comes in several parts. The
// parts also go to keep, if it is not nil. A failed caller does not end the
// copying while keep wants the rest.
func stream(w http.ResponseWriter, response *http.Response, keep *keptAnswer) streamed {
	var result streamed
	flusher := http.NewResponseController(w)
	if whole, ok := response.Body.(*gathered); ok {
		keep.add(whole.rest)
		result.caller = writePart(w, flusher, whole.rest, false, nil)
		return result
	}
	pool := buffersFor(response.ContentLength)
	buffer := pool.Get().(*[]byte)
	defer pool.Put(buffer)
	var written int64
	for {
		n, err := response.Body.Read(*buffer)
		if n > 0 {
			keep.add((*buffer)[:n])
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
		if result.caller != nil && !keep.wanted() {
			return result
		}
	}
}

func writePart(w http.ResponseWriter, flusher *http.ResponseController, part []byte, flush bool, failed error) error {
	if failed != nil {
		return failed
	}
	if _, err := w.Write(part); err != nil {
		return fault.Wrap(err, fault.Unavailable, "the caller is gone")
	}
	if !flush {
		return nil
	}
	if err := flusher.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "the caller is gone")
	}
	return nil
}

// cut closes the caller's connection, so that an incomplete answer is never
// taken for a whole one.
func cut() { panic(http.ErrAbortHandler) }

// early lets an answer begin while the request's body is still being read; by
// default the server reads the body first.
type early struct {
	w       http.ResponseWriter
	r       *http.Request
	started bool
}

// start is called before the answer's status is sent. The server cannot use
// the connection again: it panics when the body ends after the handler.
func (e *early) start() {
	if e.started || e.r.ProtoMajor != 1 {
		return
	}
	if err := http.NewResponseController(e.w).EnableFullDuplex(); err == nil {
		setOne(e.w.Header(), "Connection", "close")
		e.started = true
	}
}

// end is called at the end of the handler. It ends a read of the body that is
// in progress, because the server waits for it.
func (e *early) end(src *source) {
	if e.started && (src == nil || !src.ended()) {
		_ = http.NewResponseController(e.w).SetReadDeadline(time.Unix(1, 0))
	}
}

// beforeAnswer is called before a target's answer is passed on.
func (e *early) beforeAnswer(src *source) {
	if !src.ended() {
		e.start()
	}
}

// beforeRefusal is called before a refusal. Bodies of unknown length and
// bodies that did not come in time can take long. Other bodies are left to the
// server, so that a shed request does not cost a connection.
func (e *early) beforeRefusal(src *source, status int) {
	late := status == http.StatusGatewayTimeout && src != nil && !src.ended()
	if late || e.r.ContentLength < 0 {
		e.start()
	}
}

// relay sends the status, the headers, the body and the trailers of an answer.
func relay(w http.ResponseWriter, response *http.Response, keep *keptAnswer) streamed {
	announceTrailers(w.Header(), response)
	announced := len(response.Trailer)
	if _, ok := w.Header()["Content-Type"]; !ok {
		// The server would guess a type.
		w.Header()["Content-Type"] = nil
	}
	w.WriteHeader(response.StatusCode)
	if response.ContentLength < 0 {
		// The caller sees the headers of a streamed answer before its body.
		_ = http.NewResponseController(w).Flush()
	}
	result := stream(w, response, keep)
	if result.upstream == nil && result.caller == nil {
		copyTrailers(w.Header(), response, announced)
	}
	return result
}

// sendFailure describes a failed round trip to the caller. A deadline that
// passed is told apart from a failed connection.
func sendFailure(ctx context.Context, result sendResult, to string) *refusal {
	answer := unknown
	if !result.wrote {
		answer = notRun
	}
	if ctx.Err() != nil || errors.Is(result.err, os.ErrDeadlineExceeded) {
		return answer(http.StatusGatewayTimeout, fault.Wrap(result.err, fault.Timeout, "no answer from %s before the deadline", to))
	}
	if !result.wrote {
		return notRun(http.StatusServiceUnavailable, fault.Wrap(result.err, fault.Unavailable, "cannot connect to %s", to))
	}
	return unknown(http.StatusBadGateway, fault.Wrap(result.err, fault.UnknownOutcome, "the connection to %s failed", to))
}

// keptAnswer keeps the body of an answer up to a limit. A nil *keptAnswer
// keeps nothing.
type keptAnswer struct {
	body  []byte
	limit int
	over  bool
}

func (k *keptAnswer) add(part []byte) {
	if k == nil || k.over {
		return
	}
	if len(k.body)+len(part) > k.limit {
		k.over = true
		k.body = nil
		return
	}
	k.body = append(k.body, part...)
}

func (k *keptAnswer) wanted() bool { return k != nil && !k.over }
