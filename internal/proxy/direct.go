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

// unlimited is the header budget of a connection outside headers.
const unlimited = -1

var errHeaderTooLong = errors.New("the header of the answer is too long")

// directConn is a connection that one goroutine writes a request to and reads
// the answer from. http.Transport hands each request to a goroutine that writes
// and each answer back from one that reads, and the wakes of their threads are
// a large part of the cost of a call at low rates.
type directConn struct {
	*countedConn
	raw    syscall.RawConn
	reader *bufio.Reader
	writer *bufio.Writer
	// headerLeft is how many bytes the header of the answer may still have.
	headerLeft int64
	// begun is true once bytes came in the place of the answer.
	begun     bool
	idleSince time.Time
	probe     [1]byte
	silent    bool
	// requestID is as in linkOptions.
	requestID string
	// spent is true when the connection cannot carry another request: the last
	// one was not sent whole, or an answer to another request came.
	spent bool
}

func newDirectConn(counted *countedConn, requestID string) (*directConn, error) {
	c := &directConn{countedConn: counted, headerLeft: unlimited, requestID: requestID}
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

// Read reads for the buffered reader, within the budget of the header.
func (c *directConn) Read(p []byte) (int, error) {
	if c.headerLeft == unlimited {
		return c.countedConn.Read(p)
	}
	if c.headerLeft == 0 {
		return 0, errHeaderTooLong
	}
	n, err := c.countedConn.Read(p[:min(int64(len(p)), c.headerLeft)])
	c.headerLeft -= int64(n)
	c.begun = c.begun || n > 0
	return n, err
}

// usable reports whether an idle connection is still open and silent. Nobody
// reads from it while it is idle, so the end of the connection is found here.
func (c *directConn) usable() bool {
	c.silent = false
	err := c.raw.Read(c.peek)
	return err == nil && c.silent
}

// peek reads without waiting. A server that sends something on an idle
// connection, such as status 408, is about to close it.
func (c *directConn) peek(fd uintptr) bool {
	_, err := syscall.Read(int(fd), c.probe[:])
	c.silent = errors.Is(err, syscall.EAGAIN)
	return true
}

const (
	// inlineBodyBytes is the size up to which a body is written before the
	// answer is read. It fits into the buffers of a socket, so that the write
	// does not wait for an endpoint that answers without reading.
	inlineBodyBytes = 16 << 10
	// sentGrace is how long an answer waits for the end of the write of a long
	// body, which another goroutine reports.
	sentGrace = 2 * time.Millisecond
	// maxStrays bounds the answers to other requests that are skipped, and
	// maxStrayBytes the length of each.
	maxStrays     = 3
	maxStrayBytes = 1 << 20
	// maxInformational bounds the informational answers before the final one, as
	// net/http does. A faulty endpoint may send them without end.
	maxInformational = 5
)

// exchange sends the request and reads the header of the final answer.
func (c *directConn) exchange(r *http.Request) (*http.Response, error) {
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
		c.spent = c.spent || !sentWhole(sent)
	}
	return response, err
}

func (c *directConn) write(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// sentWhole reports whether the request was sent whole before its answer came.
func sentWhole(sent <-chan error) bool {
	select {
	case err := <-sent:
		return err == nil
	case <-time.After(sentGrace):
		return false
	}
}

// receive reads the header of the final answer. An endpoint may send a second
// answer to an earlier request late, which is told by its id and skipped.
func (c *directConn) receive(r *http.Request) (*http.Response, error) {
	defer func() { c.headerLeft = unlimited }()
	for strays, early := 0, 0; ; {
		c.headerLeft = maxAnswerHeaderBytes
		response, err := http.ReadResponse(c.reader, r)
		switch {
		case err != nil:
			return nil, err
		case informational(response.StatusCode):
			if early++; early > maxInformational {
				return nil, errors.New("the endpoint sends informational answers without end")
			}
		case !c.stray(r, response):
			return response, nil
		case strays == maxStrays || response.Close:
			return nil, errors.New("the endpoint answers other requests")
		default:
			strays++
			c.spent = true
			c.headerLeft = unlimited
			if _, err := io.CopyN(io.Discard, response.Body, maxStrayBytes); err != io.EOF {
				return nil, errors.New("an answer to another request did not end")
			}
		}
	}
}

func (c *directConn) stray(r *http.Request, response *http.Response) bool {
	if c.requestID == "" {
		return false
	}
	echoed := response.Header.Get(c.requestID)
	return echoed != "" && echoed != r.Header.Get(c.requestID)
}

func informational(status int) bool {
	return status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// sendDirect carries out one round trip of a request without a body. It
// returns false, and has sent nothing, when the link has no place for another
// connection.
func (l *link) sendDirect(s *sending) (sendResult, bool) {
	ctx := s.request.Context()
	conn, err := l.pool.get(ctx)
	if err != nil {
		var dialed *dialError
		return sendResult{err: err, refused: errors.As(err, &dialed) && ctx.Err() == nil}, true
	}
	if conn == nil {
		return sendResult{}, false
	}
	base := conn.written.Load()
	conn.begun = false
	d := &directBody{pool: &l.pool, conn: conn}
	d.release = context.AfterFunc(ctx, conn.abort)
	response, err := conn.exchange(s.request)
	if err != nil {
		d.end(false)
		return sendResult{err: err, wrote: conn.written.Load() != base, begun: conn.begun}, true
	}
	d.keep = !conn.spent && !response.Close && response.StatusCode != http.StatusSwitchingProtocols
	if response.Body == http.NoBody {
		d.end(true)
	} else {
		d.ReadCloser = response.Body
		response.Body = d
	}
	return sendResult{response: response, wrote: true, setup: conn.setupTime(base)}, true
}

// abort ends a round trip whose context has ended. It resets the connection:
// an endpoint that has not read the request yet would otherwise find it after
// the close, and run it for a caller who has left.
func (c *directConn) abort() {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	_ = c.Close()
}

// directBody is the body of an answer. Its connection is used again once the
// body was read to its end.
type directBody struct {
	io.ReadCloser
	pool *pool
	conn *directConn
	// release ends the watch on the context. It returns false when the
	// connection was closed by it.
	release func() bool
	// keep is false when the server closes the connection after the answer.
	keep  bool
	ended bool
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

// Close ends an answer that was not read to its end with its connection.
func (d *directBody) Close() error {
	d.end(false)
	return nil
}

func (d *directBody) end(whole bool) {
	if d.ended {
		return
	}
	d.ended = true
	untouched := d.release()
	if untouched && whole && d.keep && d.conn.reader.Buffered() == 0 {
		d.pool.put(d.conn)
		return
	}
	_ = d.conn.Close()
}
