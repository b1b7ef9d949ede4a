package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/hashicorp/yamux"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// prefaceVersion is the first byte that the accepting side sends. It confirms to
// the dialing side that the link was admitted and its certificate accepted.
const prefaceVersion = 1

// linkConn contains the TCP connection, the yamux session and the yamux stream
// of an open link.
type linkConn struct {
	conn    *countedConn
	session *yamux.Session
	stream  *yamux.Stream
}

func (c *linkConn) close() { _ = c.session.Close() }

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = 1
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = yamuxWriteTimeout
	c.LogOutput = io.Discard
	return c
}

// dial connects to the address and opens a link before the context ends.
func (y *Yamux) dial(ctx context.Context, address string) (*linkConn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, classifyOpenError(ctx, err, "dial")
	}
	return y.open(ctx, raw, true)
}

// open negotiates a link over a TCP connection. It closes the connection if that
// fails.
func (y *Yamux) open(ctx context.Context, raw net.Conn, dialed bool) (*linkConn, error) {
	c := &linkConn{conn: newCountedConn(raw, y.counters)}
	release := context.AfterFunc(ctx, func() { _ = raw.Close() })
	err := y.negotiate(ctx, c, dialed)
	if !release() && err == nil {
		err = classifyOpenError(ctx, ctx.Err(), "open link")
	}
	if err == nil {
		return c, nil
	}
	_ = raw.Close()
	if c.session != nil {
		c.close()
	}
	return nil, err
}

func (y *Yamux) negotiate(ctx context.Context, c *linkConn, dialed bool) error {
	conn, err := y.certificates.handshake(ctx, c.conn, dialed)
	if err != nil {
		return err
	}
	if err = exchangePreface(ctx, conn, dialed); err != nil {
		return err
	}
	if dialed {
		c.session, err = yamux.Client(conn, yamuxConfig())
	} else {
		c.session, err = yamux.Server(conn, yamuxConfig())
	}
	if err != nil {
		return fault.Wrap(err, fault.Internal, "start yamux session")
	}
	if dialed {
		c.stream, err = c.session.OpenStream()
	} else {
		c.stream, err = c.session.AcceptStreamWithContext(ctx)
	}
	if err != nil {
		return classifyOpenError(ctx, err, "open yamux stream")
	}
	return nil
}

func exchangePreface(ctx context.Context, conn net.Conn, dialed bool) error {
	preface := []byte{prefaceVersion}
	if !dialed {
		_, err := conn.Write(preface)
		return classifyOpenError(ctx, err, "write preface")
	}
	if _, err := io.ReadFull(conn, preface); err != nil {
		return classifyOpenError(ctx, err, "read preface")
	}
	if preface[0] != prefaceVersion {
		return fault.New(fault.Protocol, "peer uses version %d of the link protocol, want %d", preface[0], prefaceVersion)
	}
	return nil
}

// classifyOpenError wraps an error from opening a link with its kind:
// fault.Timeout if the context has ended, fault.Unauthorized for a certificate
// that either side rejects, fault.Unavailable for a failed or closed connection,
// and fault.Protocol for anything else.
func classifyOpenError(ctx context.Context, err error, action string) error {
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return fault.Wrap(err, fault.Timeout, "%s", action)
	}
	// crypto/tls reports an alert from the peer as a net.OpError with this Op.
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "remote error" {
		return fault.Wrap(err, fault.Unauthorized, "%s: peer rejected the certificate", action)
	}
	if fault.Is(err, fault.Unauthorized) {
		return fault.Wrap(err, fault.Unauthorized, "%s", action)
	}
	if op != nil || isConnectionClosed(err) {
		return fault.Wrap(err, fault.Unavailable, "%s", action)
	}
	return fault.Wrap(err, fault.Protocol, "%s", action)
}

func isConnectionClosed(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE, yamux.ErrSessionShutdown} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
