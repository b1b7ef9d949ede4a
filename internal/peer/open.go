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

// prefaceVersion is the byte that the accepting side sends first. It tells
// the dialing side that the link was admitted and its certificate accepted.
const prefaceVersion = 1

// pipe is an open link's connection, session and stream.
type pipe struct {
	conn    *countedConn
	session *yamux.Session
	stream  *yamux.Stream
}

func (p *pipe) close() { _ = p.session.Close() }

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = 1
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = yamuxWriteTimeout
	c.LogOutput = io.Discard
	return c
}

// dial opens a link within the context's time.
func (y *Yamux) dial(ctx context.Context, address string) (*pipe, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, openFault(ctx, err, "dial")
	}
	return y.open(ctx, raw, true)
}

// open turns a connection into a pipe. It closes the connection on a failure.
func (y *Yamux) open(ctx context.Context, raw net.Conn, dialed bool) (*pipe, error) {
	p := &pipe{conn: newCountedConn(raw, y.counters)}
	release := context.AfterFunc(ctx, func() { _ = raw.Close() })
	err := y.negotiate(ctx, p, dialed)
	if !release() && err == nil {
		err = openFault(ctx, ctx.Err(), "open link")
	}
	if err == nil {
		return p, nil
	}
	_ = raw.Close()
	if p.session != nil {
		p.close()
	}
	return nil, err
}

func (y *Yamux) negotiate(ctx context.Context, p *pipe, dialed bool) error {
	conn, err := y.keeper.secure(ctx, p.conn, dialed)
	if err != nil {
		return err
	}
	if err = exchangePreface(ctx, conn, dialed); err != nil {
		return err
	}
	if dialed {
		p.session, err = yamux.Client(conn, yamuxConfig())
	} else {
		p.session, err = yamux.Server(conn, yamuxConfig())
	}
	if err != nil {
		return fault.Wrap(err, fault.Internal, "start yamux session")
	}
	if dialed {
		p.stream, err = p.session.OpenStream()
	} else {
		p.stream, err = p.session.AcceptStreamWithContext(ctx)
	}
	if err != nil {
		return openFault(ctx, err, "open yamux stream")
	}
	return nil
}

func exchangePreface(ctx context.Context, conn net.Conn, dialed bool) error {
	preface := []byte{prefaceVersion}
	if !dialed {
		_, err := conn.Write(preface)
		return openFault(ctx, err, "write preface")
	}
	if _, err := io.ReadFull(conn, preface); err != nil {
		return openFault(ctx, err, "wait for admission")
	}
	if preface[0] != prefaceVersion {
		return fault.New(fault.Protocol, "peer speaks version %d of the link protocol, not %d", preface[0], prefaceVersion)
	}
	return nil
}

// openFault types a failure to open a link: fault.Timeout, fault.Unauthorized
// for a certificate that either side rejects, else fault.Unavailable.
func openFault(ctx context.Context, err error, action string) error {
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return fault.Wrap(err, fault.Timeout, "%s", action)
	}
	// The TLS library reports an alert of the peer as an operation of this name.
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "remote error" {
		return fault.Wrap(err, fault.Unauthorized, "%s: peer rejected the certificate", action)
	}
	if fault.Is(err, fault.Unauthorized) {
		return fault.Wrap(err, fault.Unauthorized, "%s", action)
	}
	if op != nil || isEnd(err) {
		return fault.Wrap(err, fault.Unavailable, "%s", action)
	}
	return fault.Wrap(err, fault.Protocol, "%s", action)
}

func isEnd(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE, yamux.ErrSessionShutdown} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
