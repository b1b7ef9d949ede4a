package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// noHeaderLimit is the value of headerBytesLeft while no response header is
// being read.
const noHeaderLimit = -1

var errHeaderTooLong = errors.New("the response header is too long")

// directConn is a connection on which one goroutine writes a request and reads
// its response. http.Transport uses one goroutine to write requests and another
// to read responses; waking their threads is a large part of the cost of a
// request at low rates.
type directConn struct {
	*countedConn
	raw    syscall.RawConn
	reader *bufio.Reader
	writer *bufio.Writer
	// headerBytesLeft is the number of bytes that the response header may still
	// have.
	headerBytesLeft int64
	// responseStarted is true once response bytes have been received.
	responseStarted bool
	idleSince       time.Time
	probeByte       [1]byte
	noPendingData   bool
	pool            *pool
	// mustClose is true when the connection cannot carry another request: the
	// last one was not sent completely, or a response was received that may belong
	// to another request.
	mustClose bool
	// reused is true when the connection carried an earlier request.
	reused bool
	// identified is as in sendResult, for the last response.
	identified bool
}

func newDirectConn(counted *countedConn, p *pool) (*directConn, error) {
	c := &directConn{countedConn: counted, headerBytesLeft: noHeaderLimit, pool: p}
	c.reader = bufio.NewReaderSize(c, ioBufferBytes)
	c.writer = bufio.NewWriterSize(counted, ioBufferBytes)
	conn, ok := counted.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no file descriptor")
	}
	raw, err := conn.SyscallConn()
	c.raw = raw
	return c, err
}

// Read reads from the connection for the buffered reader, up to the header size
// limit.
func (c *directConn) Read(p []byte) (int, error) {
	if c.headerBytesLeft == noHeaderLimit {
		return c.countedConn.Read(p)
	}
	if c.headerBytesLeft == 0 {
		return 0, errHeaderTooLong
	}
	n, err := c.countedConn.Read(p[:min(int64(len(p)), c.headerBytesLeft)])
	c.headerBytesLeft -= int64(n)
	c.responseStarted = c.responseStarted || n > 0
	return n, err
}

// usable reports whether an idle connection is open and has no pending data. No
// goroutine reads from an idle connection, so its end is detected here.
func (c *directConn) usable() bool {
	c.noPendingData = false
	err := c.raw.Read(c.peek)
	return err == nil && c.noPendingData
}

// peek reads without blocking. A server that sends data on an idle connection,
// such as status 408, is about to close it.
func (c *directConn) peek(fd uintptr) bool {
	_, err := syscall.Read(int(fd), c.probeByte[:])
	c.noPendingData = errors.Is(err, syscall.EAGAIN)
	return true
}

const (
	// inlineBodyBytes is the size up to which a body is written before the
	// response is read. It fits into the buffers of a socket, so that the write
	// does not block on an endpoint that responds without reading.
	inlineBodyBytes = 16 << 10
	// bodyWriteGrace is how long a response waits for the write of a long body,
	// which another goroutine reports, to end.
	bodyWriteGrace = 2 * time.Millisecond
	// maxMismatchedResponses bounds the number of responses to other requests
	// that are skipped, and maxMismatchedBytes the length of each.
	maxMismatchedResponses = 3
	maxMismatchedBytes     = 1 << 20
	// maxInformational bounds the informational responses before the final one,
	// as net/http does. A faulty endpoint may send them without end.
	maxInformational = 5
)

// roundTrip sends the request and reads the header of the final response.
func (c *directConn) roundTrip(r *http.Request) (*http.Response, error) {
	if r.ContentLength <= inlineBodyBytes {
		if err := c.write(r); err != nil {
			return nil, err
		}
		return c.receive(r)
	}
	sent := make(chan error, 1)
	go func() { sent <- c.write(r) }()
	response, err := c.receive(r)
	if err == nil {
		c.mustClose = c.mustClose || !sentCompletely(sent)
	}
	return response, err
}

func (c *directConn) write(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// sentCompletely reports whether the request was sent completely before its
// response was received.
func sentCompletely(sent <-chan error) bool {
	select {
	case err := <-sent:
		return err == nil
	case <-time.After(bodyWriteGrace):
		return false
	}
}

// receive reads the header of the final response. An endpoint may send a late
// second response to an earlier request; its request id does not match, and it
// is skipped.
func (c *directConn) receive(r *http.Request) (*http.Response, error) {
	defer func() { c.headerBytesLeft = noHeaderLimit }()
	for mismatched, informationals := 0, 0; ; {
		c.headerBytesLeft = maxResponseHeaderBytes
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		match := c.pool.identify(r, response, c.reused)
		switch {
		case informational(response.StatusCode):
			if informationals++; informationals > maxInformational {
				return nil, errors.New("the endpoint sent too many informational responses")
			}
		case match != otherRequest:
			c.identified = match == sameRequest
			c.mustClose = c.mustClose || !c.identified
			return response, nil
		case mismatched == maxMismatchedResponses || response.Close:
			return nil, errors.New("the endpoint sent responses to other requests")
		default:
			mismatched++
			c.mustClose = true
			c.headerBytesLeft = noHeaderLimit
			if _, err := io.CopyN(io.Discard, response.Body, maxMismatchedBytes); err != io.EOF {
				return nil, errors.New("a response to another request is too long or incomplete")
			}
		}
	}
}

func informational(status int) bool {
	return status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// sendDirect carries out one round trip of a request that one goroutine can
// send completely. It returns false without sending anything when the link is
// at its connection limit.
func (l *link) sendDirect(s *outgoingRequest) (sendResult, bool) {
	ctx := s.request.Context()
	conn, err := l.pool.get(ctx)
	if err != nil {
		var dialed *dialError
		return sendResult{err: err, dialFailed: errors.As(err, &dialed) && ctx.Err() == nil}, true
	}
	if conn == nil {
		return sendResult{}, false
	}
	writtenBefore := conn.written.Load()
	conn.responseStarted, conn.reused = false, writtenBefore > 0
	d := &directBody{pool: &l.pool, conn: conn}
	d.stopAbort = context.AfterFunc(ctx, conn.abort)
	response, err := conn.roundTrip(s.request)
	if err != nil {
		d.end(false)
		return sendResult{err: err, wrote: conn.written.Load() != writtenBefore, responseStarted: conn.responseStarted}, true
	}
	d.reusable = !conn.mustClose && !response.Close && response.StatusCode != http.StatusSwitchingProtocols
	if response.Body == http.NoBody {
		d.end(true)
	} else {
		d.ReadCloser = response.Body
		response.Body = d
	}
	return sendResult{response: response, wrote: true, setupTime: conn.setupTime(writtenBefore), identified: conn.identified}, true
}

// abort ends a round trip whose context has ended. It resets the connection:
// otherwise an endpoint that has not read the request yet would find it after
// the close and run it for a caller that has disconnected.
func (c *directConn) abort() {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	_ = c.Close()
}

// directBody is the body of a response. Its connection is reused once the body
// has been read to its end.
type directBody struct {
	io.ReadCloser
	pool *pool
	conn *directConn
	// stopAbort cancels the call of abort that the end of the context triggers.
	// It returns false when abort has already been started.
	stopAbort func() bool
	// reusable is false when the connection must be closed after the response.
	reusable bool
	ended    bool
}

// Read implements io.Reader.
func (d *directBody) Read(p []byte) (int, error) {
	if d.ended {
		return 0, io.EOF
	}
	n, err := d.ReadCloser.Read(p)
	if err != nil {
		d.end(err == io.EOF)
	}
	return n, err
}

// Close closes the connection unless the response was read to its end.
func (d *directBody) Close() error {
	d.end(false)
	return nil
}

func (d *directBody) end(complete bool) {
	if d.ended {
		return
	}
	d.ended = true
	notAborted := d.stopAbort()
	if notAborted && complete && d.reusable && d.conn.reader.Buffered() == 0 {
		d.pool.put(d.conn)
		return
	}
	_ = d.conn.Close()
}
