package proxy

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"
)

var _ = Describe("an aborted request", func() {
	// Guards against a target that reads a request after its caller has
	// disconnected, and runs it. In the trouble-2 scenario of lipa-reorder, a new
	// target read five requests 0.9 s after their callers had disconnected.
	It("resets the connection, so that an endpoint cannot read the request later", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		l := newLink(listener.Addr().String(), linkOptions{})
		ctx, cancel := context.WithCancel(context.Background())
		r := httptest.NewRequest("GET", "/x", nil)
		src := newBodySource(r, prefixBytes)
		result := make(chan sendResult, 1)
		go func() { result <- l.send(newOutgoingRequest(ctx, r, l.address, src, src.newAttempt(), 0)) }()
		conn, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(100 * time.Millisecond)
		cancel()
		var sent sendResult
		Eventually(result, 5*time.Second).Should(Receive(&sent))
		Expect(sent.err).To(HaveOccurred())
		time.Sleep(100 * time.Millisecond)
		read, err := io.ReadAll(conn)
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v after %q", err, read)
	})
})
