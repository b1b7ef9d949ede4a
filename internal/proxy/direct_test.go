package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

// scriptedTarget is a target whose connections are served by a function.
type scriptedTarget struct {
	listener net.Listener
	opened   atomic.Int64
	requests atomic.Int64
	// responses counts the responses. A connection that a response ends is
	// closed before the response is counted.
	responses atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	// maxOpen is the highest number of connections that the daemon had open at
	// the same time.
	maxOpen int
}

// responseFunc writes the response to a request and reports whether the
// connection stays open.
type responseFunc func(c net.Conn, r *http.Request) bool

func newScriptedTarget(respond responseFunc) *scriptedTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &scriptedTarget{listener: listener, conns: map[net.Conn]bool{}}
	DeferCleanup(listener.Close)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			s.track(c)
			go s.serve(c, respond)
		}
	}()
	return s
}

// track records a new connection and updates maxOpen. Connections that the
// daemon has closed do not count, even if the goroutine that serves them has
// not read the end yet.
func (s *scriptedTarget) track(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	open := 0
	for c := range s.conns {
		if !closedByPeer(c) {
			open++
		}
	}
	s.maxOpen = max(s.maxOpen, open)
}

func closedByPeer(c net.Conn) bool {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return err != nil || closed
}

func (s *scriptedTarget) closeConn(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.Close()
}

func (s *scriptedTarget) serve(c net.Conn, respond responseFunc) {
	defer s.closeConn(c)
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		keepOpen := respond(c, r)
		if !keepOpen {
			s.closeConn(c)
		}
		s.responses.Add(1)
		if !keepOpen {
			return
		}
	}
}

// scriptedMesh returns a mesh whose only target is a scriptedTarget.
func scriptedMesh(route model.Route, connections uint32, respond responseFunc) (*mesh, *scriptedTarget) {
	s := newScriptedTarget(respond)
	m := newMesh(route, &countingTarget{})
	DeferCleanup(m.close)
	m.nodes[0].inbound.SetTarget(member.Target{
		Service: "order", Version: "v1", Address: s.listener.Addr().String(), Slots: 50, Connections: connections,
	})
	return m, s
}

// respondWith returns a responseFunc that writes the given parts.
func respondWith(keepOpen bool, parts ...string) responseFunc {
	return func(c net.Conn, _ *http.Request) bool {
		for _, part := range parts {
			if _, err := io.WriteString(c, part); err != nil {
				return false
			}
		}
		return keepOpen
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var _ = Describe("connections for requests without a body", func() {
	// Guards against a new connection for each request, and against a wrongly
	// framed response, part of which the next request would receive.
	DescribeTable("are reused after a response", func(method, response, body string, status int) {
		m, s := scriptedMesh(model.Route{}, 110, respondWith(true, response))
		for range 5 {
			reply := m.do(m.request(method, "/", ""))
			Expect(reply.StatusCode).To(Equal(status))
			Expect(reply.body).To(Equal(body))
		}
		Expect(s.opened.Load()).To(Equal(int64(1)))
	},
		Entry("known length", "GET", okResponse, "ok", 200),
		Entry("POST", "POST", okResponse, "ok", 200),
		Entry("no length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 200),
		Entry("HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "", 200),
		Entry("no content", "DELETE", "HTTP/1.1 204 No Content\r\n\r\n", "", 204),
		Entry("not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "", 304),
		Entry("chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", 200),
		Entry("trailers", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n", "ok", 200),
		Entry("informational responses first", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+okResponse, "ok", 200),
	)

	// Guards against sending a request on a connection that the target has
	// closed or is about to close. Its outcome would be unknown, and it would
	// not be retried.
	DescribeTable("are not reused", func(respond responseFunc) {
		m, s := scriptedMesh(model.Route{}, 110, respond)
		for i := range 5 {
			reply := m.do(m.request("POST", "/", ""))
			Expect(reply.StatusCode).To(Equal(200))
			Expect(reply.body).To(Equal("ok"))
			Eventually(s.responses.Load).WithTimeout(testTimeout).Should(Equal(int64(i + 1)))
			// The end of the connection may reach the daemon later.
			time.Sleep(20 * time.Millisecond)
		}
		Expect(s.opened.Load()).To(Equal(int64(5)))
		Expect(s.requests.Load()).To(Equal(int64(5)))
	},
		Entry("once the target has closed them", respondWith(false, okResponse)),
		Entry("when the target sends Connection: close", respondWith(true, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")),
		Entry("when the end of the connection ends the response", respondWith(false, "HTTP/1.1 200 OK\r\n\r\nok")),
		Entry("after an HTTP/1.0 response", respondWith(true, "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok")),
		Entry("when bytes follow the response", respondWith(true, okResponse+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")),
		Entry("when bytes arrive while they are idle", responseFunc(func(c net.Conn, r *http.Request) bool {
			respondWith(true, okResponse)(c, r)
			time.Sleep(20 * time.Millisecond)
			return respondWith(true, "HTTP/1.1 408 Request Timeout\r\n\r\n")(c, r)
		})),
	)

	// Guards against an endless response header that fills the daemon's memory.
	It("fail when the response header is too long", func() {
		m, _ := scriptedMesh(model.Route{}, 110, respondWith(true, "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Long: "+strings.Repeat("x", 1000)+"\r\n", 100), "\r\n"))
		reply := m.do(m.request("GET", "/", ""))
		Expect(reply.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(reply.outcome()).To(Equal(proxy.Unknown))
	})

	// Guards against a request that keeps running at the target after its
	// caller has disconnected, before or during the response.
	DescribeTable("are closed when the caller disconnects", func(begin string) {
		closed := make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		m, _ := scriptedMesh(model.Route{}, 110, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, begin)
			time.AfterFunc(50*time.Millisecond, cancel)
			_, _ = c.Read(make([]byte, 1))
			close(closed)
			return false
		})
		response, err := m.client.Do(m.request("GET", "/", "").WithContext(ctx))
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		Expect(err).To(MatchError(context.Canceled))
		Eventually(closed).WithTimeout(testTimeout).Should(BeClosed())
	},
		Entry("before the response", ""),
		Entry("within the response header", "HTTP/1.1 200 OK\r\n"),
		Entry("within a streamed response", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"),
		Entry("within a long response", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nok"),
	)

	// Guards against reporting "not run" for a request that the target
	// received, and against sending it again.
	It("leave the outcome unknown when they break before the response", func() {
		m, s := scriptedMesh(model.Route{}, 110, respondWith(false))
		reply := m.do(m.request("DELETE", "/", ""))
		Expect(reply.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(reply.outcome()).To(Equal(proxy.Unknown))
		Expect(s.requests.Load()).To(Equal(int64(1)))
	})
})

// Guards against a request that receives the rest of an earlier response. That
// response was not read to its end because its request was retried at another
// daemon.
var _ = It("does not reuse the connection of a long response that was discarded", func() {
	const sentBytes, statedBytes = 16 << 10, 100_000
	response := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		proxy.OutcomeHeader, proxy.NotRun, statedBytes, strings.Repeat("x", sentBytes))
	s := newScriptedTarget(respondWith(true, response))
	m := newMesh(model.Route{}, &countingTarget{}, &countingTarget{})
	DeferCleanup(m.close)
	config := m.config()
	config.Endpoints[0].InboundAddress = s.listener.Addr().String()
	m.outbound.Update(config)
	for s.requests.Load() < 3 {
		Expect(m.do(m.request("GET", "/", "")).StatusCode).To(Equal(200))
		// The retry budget allows 3 retries a second.
		time.Sleep(400 * time.Millisecond)
	}
	Expect(s.opened.Load()).To(Equal(s.requests.Load()))
})

// Guards against a request with a body that waits until its deadline because an
// idle connection for requests without a body occupies the last place.
var _ = It("gives the place of an idle connection to a request with a body", func() {
	m, _ := scriptedMesh(model.Route{Timeout: time.Second}, 1, respondWith(true, okResponse))
	for range 3 {
		Expect(m.do(m.request("GET", "/", "")).StatusCode).To(Equal(200))
		Expect(m.do(m.request("PUT", "/", "x")).StatusCode).To(Equal(200))
	}
})

// Guards against opening more connections than the target announced, and
// against requests that wait forever because idle connections of the other kind
// occupy all places.
var _ = DescribeTable("requests with and without a body share the target's connections", func(connections uint32) {
	m, s := scriptedMesh(model.Route{}, connections, func(c net.Conn, r *http.Request) bool {
		time.Sleep(time.Millisecond)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.Method), r.Method)
		return err == nil
	})
	var group sync.WaitGroup
	for worker := range 12 {
		method, body := "GET", ""
		if worker%2 == 0 {
			method, body = "PUT", "x"
		}
		group.Go(func() {
			defer GinkgoRecover()
			for range 30 {
				reply := m.do(m.request(method, "/", body))
				Expect(reply.StatusCode).To(Equal(200))
				Expect(reply.body).To(Equal(method))
			}
		})
	}
	group.Wait()
	Expect(s.requests.Load()).To(Equal(int64(12 * 30)))
	s.mu.Lock()
	defer s.mu.Unlock()
	Expect(s.maxOpen).To(BeNumerically("<=", connections))
}, Entry("one", uint32(1)), Entry("two", uint32(2)), Entry("five", uint32(5)))
