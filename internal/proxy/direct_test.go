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

// scripted is a target whose connections a function serves.
type scripted struct {
	listener net.Listener
	opened   atomic.Int64
	requests atomic.Int64
	// answered counts the answers; a connection that ends with one was closed
	// before.
	answered atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	// most is the highest number of connections that the daemon held open.
	most int
}

// answerFunc writes the answer to a request and reports whether the connection
// stays open.
type answerFunc func(c net.Conn, r *http.Request) bool

func newScripted(answer answerFunc) *scripted {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &scripted{listener: listener, conns: map[net.Conn]bool{}}
	DeferCleanup(listener.Close)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			s.count(c)
			go s.serve(c, answer)
		}
	}()
	return s
}

// count notes a new connection. It leaves out those that the daemon has closed,
// although the goroutine that serves them may not have seen it yet.
func (s *scripted) count(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	open := 0
	for c := range s.conns {
		if !closedByPeer(c) {
			open++
		}
	}
	s.most = max(s.most, open)
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

func (s *scripted) forget(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.Close()
}

func (s *scripted) serve(c net.Conn, answer answerFunc) {
	defer s.forget(c)
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		stays := answer(c, r)
		if !stays {
			s.forget(c)
		}
		s.answered.Add(1)
		if !stays {
			return
		}
	}
}

// scriptedMesh is a mesh whose only target is a scripted one.
func scriptedMesh(route model.Route, connections uint32, answer answerFunc) (*mesh, *scripted) {
	s := newScripted(answer)
	m := newMesh(route, &counter{})
	DeferCleanup(m.close)
	m.nodes[0].inbound.SetTarget(member.Target{
		Service: "order", Version: "v1", Address: s.listener.Addr().String(), Slots: 50, Connections: connections,
	})
	return m, s
}

// answering writes the parts of an answer.
func answering(stays bool, parts ...string) answerFunc {
	return func(c net.Conn, _ *http.Request) bool {
		for _, part := range parts {
			if _, err := io.WriteString(c, part); err != nil {
				return false
			}
		}
		return stays
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var _ = Describe("connections for requests without a body", func() {
	// Guards against a new connection for each call, and against an answer
	// that is framed wrongly, so that the next call gets a part of it.
	DescribeTable("are used again after an answer", func(method, answer, body string, status int) {
		m, s := scriptedMesh(model.Route{}, 110, answering(true, answer))
		for range 5 {
			reply := m.do(m.request(method, "/", ""))
			Expect(reply.StatusCode).To(Equal(status))
			Expect(reply.body).To(Equal(body))
		}
		Expect(s.opened.Load()).To(Equal(int64(1)))
	},
		Entry("known length", "GET", okAnswer, "ok", 200),
		Entry("POST", "POST", okAnswer, "ok", 200),
		Entry("no length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 200),
		Entry("HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "", 200),
		Entry("no content", "DELETE", "HTTP/1.1 204 No Content\r\n\r\n", "", 204),
		Entry("not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "", 304),
		Entry("chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", 200),
		Entry("trailers", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n", "ok", 200),
		Entry("informational answers first", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+okAnswer, "ok", 200),
	)

	// Guards against a request on a connection that the target has closed or is
	// about to close: its outcome would be unknown and it would not be retried.
	DescribeTable("are not used again", func(answer answerFunc) {
		m, s := scriptedMesh(model.Route{}, 110, answer)
		for i := range 5 {
			reply := m.do(m.request("POST", "/", ""))
			Expect(reply.StatusCode).To(Equal(200))
			Expect(reply.body).To(Equal("ok"))
			Eventually(s.answered.Load).WithTimeout(patience).Should(Equal(int64(i + 1)))
			// The kernel may hand the end of the connection over later.
			time.Sleep(20 * time.Millisecond)
		}
		Expect(s.opened.Load()).To(Equal(int64(5)))
		Expect(s.requests.Load()).To(Equal(int64(5)))
	},
		Entry("once the target has closed them", answering(false, okAnswer)),
		Entry("when the target says so", answering(true, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")),
		Entry("when the answer ends with the connection", answering(false, "HTTP/1.1 200 OK\r\n\r\nok")),
		Entry("after HTTP/1.0", answering(true, "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok")),
		Entry("when bytes follow the answer", answering(true, okAnswer+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")),
		Entry("when bytes come while they are idle", answerFunc(func(c net.Conn, r *http.Request) bool {
			answering(true, okAnswer)(c, r)
			time.Sleep(20 * time.Millisecond)
			return answering(true, "HTTP/1.1 408 Request Timeout\r\n\r\n")(c, r)
		})),
	)

	// Guards against a header without end that fills the daemon's memory.
	It("fail when the header of the answer is too long", func() {
		m, _ := scriptedMesh(model.Route{}, 110, answering(true, "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Long: "+strings.Repeat("x", 1000)+"\r\n", 100), "\r\n"))
		reply := m.do(m.request("GET", "/", ""))
		Expect(reply.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(reply.outcome()).To(Equal(proxy.Unknown))
	})

	// Guards against a request that goes on at the target after its caller has
	// left, before the answer and within it.
	DescribeTable("are closed when the caller leaves", func(begin string) {
		gone := make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		m, _ := scriptedMesh(model.Route{}, 110, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, begin)
			time.AfterFunc(50*time.Millisecond, cancel)
			_, _ = c.Read(make([]byte, 1))
			close(gone)
			return false
		})
		response, err := m.client.Do(m.request("GET", "/", "").WithContext(ctx))
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		Expect(err).To(MatchError(context.Canceled))
		Eventually(gone).WithTimeout(patience).Should(BeClosed())
	},
		Entry("before the answer", ""),
		Entry("within the header", "HTTP/1.1 200 OK\r\n"),
		Entry("within a streamed answer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"),
		Entry("within a long answer", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nok"),
	)

	// Guards against "not run" of a request that the target received, and
	// against a second sending of it.
	It("leave the outcome unknown when they break before the answer", func() {
		m, s := scriptedMesh(model.Route{}, 110, answering(false))
		reply := m.do(m.request("DELETE", "/", ""))
		Expect(reply.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(reply.outcome()).To(Equal(proxy.Unknown))
		Expect(s.requests.Load()).To(Equal(int64(1)))
	})
})

// Guards against a call that gets the rest of an earlier answer, which was not
// read to its end because the call was repeated at another daemon.
var _ = It("does not use the connection of a long answer that was given up", func() {
	const sentBytes, statedBytes = 16 << 10, 100_000
	answer := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		proxy.OutcomeHeader, proxy.NotRun, statedBytes, strings.Repeat("x", sentBytes))
	s := newScripted(answering(true, answer))
	m := newMesh(model.Route{}, &counter{}, &counter{})
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

// Guards against a call with a body that waits for its deadline, because an idle
// connection for calls without one holds the last place.
var _ = It("gives the place of an idle connection to a call with a body", func() {
	m, _ := scriptedMesh(model.Route{Timeout: time.Second}, 1, answering(true, okAnswer))
	for range 3 {
		Expect(m.do(m.request("GET", "/", "")).StatusCode).To(Equal(200))
		Expect(m.do(m.request("PUT", "/", "x")).StatusCode).To(Equal(200))
	}
})

// Guards against more connections than the target announced, and against calls
// that wait for ever because idle connections of the other kind hold all places.
var _ = DescribeTable("calls with and without a body share the target's connections", func(connections uint32) {
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
	Expect(s.most).To(BeNumerically("<=", connections))
}, Entry("one", uint32(1)), Entry("two", uint32(2)), Entry("five", uint32(5)))
