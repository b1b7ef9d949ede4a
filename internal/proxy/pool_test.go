package proxy

import (
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the pool of idle connections", func() {
	var listener net.Listener
	var l *link
	BeforeEach(func() {
		var err error
		listener, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		l = newLink(listener.Addr().String(), linkOptions{connections: 2})
	})
	take := func() *directConn {
		GinkgoHelper()
		conn, err := l.pool.get(context.Background())
		Expect(err).NotTo(HaveOccurred())
		return conn
	}

	// Guards against connections that stay open after a burst, and against closing
	// a connection that was just used.
	It("closes connections that were idle for the idle timeout", func() {
		old, recent := take(), take()
		l.pool.put(old)
		l.pool.put(recent)
		old.idleSince = time.Now().Add(-idleTimeout)
		l.pool.closeExpired()
		Expect(l.pool.idle).To(Equal([]*directConn{recent}))
		Expect(old.closed.Load()).To(BeTrue())
		Expect(l.pool.permits).To(HaveLen(1))
		Expect(l.pool.sweepScheduled).To(BeTrue())
		recent.idleSince = time.Now().Add(-idleTimeout)
		l.pool.closeExpired()
		Expect(l.pool.permits).To(BeEmpty())
		Expect(l.pool.sweepScheduled).To(BeFalse())
	})

	// Guards against open connections to a daemon that is no longer in the mesh.
	It("keeps no connection after the link is closed", func() {
		idle, busy := take(), take()
		l.pool.put(idle)
		l.close()
		l.pool.put(busy)
		Expect(l.pool.permits).To(BeEmpty())
		for range 2 {
			c, err := listener.Accept()
			Expect(err).NotTo(HaveOccurred())
			_, err = c.Read(make([]byte, 1))
			Expect(err).To(Equal(io.EOF))
		}
	})

	// Guards against permits that failed dials do not release, until no request can
	// be sent.
	It("releases the permit of a failed dial", func() {
		Expect(listener.Close()).To(Succeed())
		for range 3 {
			_, err := l.pool.get(context.Background())
			Expect(err).To(HaveOccurred())
			_, err = l.pool.dialWithPermit(context.Background(), "", "")
			Expect(err).To(HaveOccurred())
		}
		Expect(l.pool.permits).To(BeEmpty())
	})
})
