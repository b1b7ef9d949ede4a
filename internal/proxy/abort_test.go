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
	// Guards against a target that reads a request late, finds it whole although
	// its caller has left, and runs it: on trouble-2 of lipa-reorder a new
	// target read five requests 0.9 s after their callers had left.
	It("leaves nothing to read at an endpoint that has not read it yet", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		l := newLink(listener.Addr().String(), linkOptions{})
		ctx, cancel := context.WithCancel(context.Background())
		r := httptest.NewRequest("GET", "/x", nil)
		src := newSource(r, prefixBytes)
		result := make(chan sendResult, 1)
		go func() { result <- l.send(newSending(ctx, r, l.address, src, src.attempt(), 0)) }()
		conn, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(100 * time.Millisecond)
		cancel()
		var ended sendResult
		Eventually(result, 5*time.Second).Should(Receive(&ended))
		Expect(ended.err).To(HaveOccurred())
		time.Sleep(100 * time.Millisecond)
		read, err := io.ReadAll(conn)
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v after %q", err, read)
	})
})
