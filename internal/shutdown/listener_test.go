package shutdown_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/shutdown"
)

func TestShutdown(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shutdown")
}

// testTimeout is much longer than any step takes on a busy machine.
const testTimeout = 10 * time.Second

const request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n"

// hold keeps the readers of connections from running, as on a machine without a free
// processor.
type hold struct {
	held     atomic.Bool
	released chan struct{}
}

type heldConn struct {
	net.Conn
	hold *hold
}

func (c *heldConn) NetConn() net.Conn { return c.Conn }

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.hold.held.Load() {
		<-c.hold.released
	}
	return n, err
}

type heldListener struct {
	net.Listener
	hold *hold
	// accepts keeps the next calls of Accept from running.
	accepts *hold
}

func (l *heldListener) Accept() (net.Conn, error) {
	if l.accepts.held.Load() {
		<-l.accepts.released
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: c, hold: l.hold}, nil
}

var _ = Describe("the shutdown of an HTTP server", func() {
	var (
		listener *shutdown.Listener
		server   *http.Server
		readers  *hold
		accepts  *hold
		client   net.Conn
		// releaseAccepts lets held calls of Accept go on.
		releaseAccepts func()
		stopping       *atomic.Bool
	)

	BeforeEach(func() {
		var err error
		listener, err = shutdown.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		stopping = &atomic.Bool{}
		readers = &hold{released: make(chan struct{})}
		accepts = &hold{released: make(chan struct{})}
		server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if stopping.Load() {
				w.Header().Set("Connection", "close")
			}
			_, _ = io.WriteString(w, "served")
		})}
		shutdown.TrackState(server)
		go func() { _ = server.Serve(&heldListener{Listener: listener, hold: readers, accepts: accepts}) }()
		DeferCleanup(server.Close)
		// The server's Close waits for Accept.
		releaseAccepts = sync.OnceFunc(func() { close(accepts.released) })
		DeferCleanup(releaseAccepts)
		client, err = net.DialTimeout("tcp", listener.Addr().String(), testTimeout)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = client.Close() })
		Expect(client.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	})

	// exchangeOne makes the connection idle after a response, and holds its reader.
	exchangeOne := func() {
		_, err := io.WriteString(client, request)
		Expect(err).NotTo(HaveOccurred())
		buffer := make([]byte, 1024)
		n, err := client.Read(buffer)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(buffer[:n])).To(HaveSuffix("served"))
		readers.held.Store(true)
	}

	stop := func() chan error {
		stopping.Store(true)
		stopped := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			stopped <- listener.Shutdown(ctx, server)
		}()
		return stopped
	}

	// Guards against requests that end with EOF or a reset: the server closed a
	// connection as idle while the kernel held a request on it.
	It("serves a request that has arrived on an idle connection", func() {
		exchangeOne()
		_, err := io.WriteString(client, request)
		Expect(err).NotTo(HaveOccurred())
		stopped := stop()
		Consistently(stopped, 100*time.Millisecond).ShouldNot(Receive())
		close(readers.released)
		response, err := io.ReadAll(client)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response)).To(And(HaveSuffix("served"), ContainSubstring("Connection: close")))
		Eventually(stopped, testTimeout).Should(Receive(Succeed()))
	})

	It("closes idle connections without a request", func() {
		exchangeOne()
		close(readers.released)
		Eventually(stop(), testTimeout).Should(Receive(Succeed()))
		_, err := client.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	dial := func() net.Conn {
		c, err := net.DialTimeout("tcp", listener.Addr().String(), testTimeout)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		Expect(c.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
		return c
	}

	// Guards against requests that are reset: on a machine without a free processor the
	// server accepts their connections later than any fixed wait.
	It("serves the requests on connections that are accepted late", func() {
		accepts.held.Store(true)
		// The pending call of Accept returns the first connection; the rest wait.
		clients := []net.Conn{dial(), dial(), dial(), dial()}
		for _, c := range clients {
			_, err := io.WriteString(c, request)
			Expect(err).NotTo(HaveOccurred())
		}
		stopped := stop()
		Consistently(stopped, time.Second).ShouldNot(Receive())
		releaseAccepts()
		for _, c := range clients {
			response, err := io.ReadAll(c)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(response)).To(HaveSuffix("served"))
		}
		Eventually(stopped, testTimeout).Should(Receive(Succeed()))
	})

	// Guards against a request without a response: the shutdown ended between the
	// system call that accepts a connection and its registration.
	It("waits for connections that are being accepted", func() {
		Expect(listener.Close()).To(Succeed())
		var err error
		listener, err = shutdown.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		accepted, released := make(chan struct{}, 1), make(chan struct{})
		release := sync.OnceFunc(func() { close(released) })
		DeferCleanup(release)
		listener.HoldAccepted(accepted, released)
		go func() { _ = server.Serve(listener) }()
		c := dial()
		_, err = io.WriteString(c, request)
		Expect(err).NotTo(HaveOccurred())
		Eventually(accepted, testTimeout).Should(Receive())
		stopped := stop()
		Consistently(stopped, time.Second).ShouldNot(Receive())
		release()
		response, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response)).To(HaveSuffix("served"))
		Eventually(stopped, testTimeout).Should(Receive(Succeed()))
	})

	// Guards against a shutdown that never ends because clients keep connecting.
	It("lets no client connect while it waits for the server to accept", func() {
		accepts.held.Store(true)
		_, _ = dial(), dial()
		stopped := stop()
		Eventually(func() error {
			c, err := net.DialTimeout("tcp", listener.Addr().String(), 50*time.Millisecond)
			if err == nil {
				_ = c.Close()
			}
			return err
		}, testTimeout/2).Should(HaveOccurred())
		Expect(stopped).NotTo(Receive())
		releaseAccepts()
		Eventually(stopped, testTimeout).Should(Receive(Succeed()))
	})

	// Guards against a shutdown that waits for a connection whose request never
	// comes: its client sent a part of the header and left.
	It("closes a connection whose client leaves within a request", func() {
		exchangeOne()
		_, err := io.WriteString(client, request[:2])
		Expect(err).NotTo(HaveOccurred())
		stopped := stop()
		Consistently(stopped, 100*time.Millisecond).ShouldNot(Receive())
		Expect(client.Close()).To(Succeed())
		close(readers.released)
		Eventually(stopped, testTimeout).Should(Receive(Succeed()))
	})

	// Guards against a shutdown that fails with "use of closed network connection", and a
	// daemon that exits with status 1: the server closes the listener again when Serve has
	// not returned yet.
	It("allows the server to close the listener again", func() {
		Expect(listener.Close()).To(Succeed())
		Expect(listener.Close()).To(Succeed())
	})
})
