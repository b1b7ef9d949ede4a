package proxy_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

var _ = Describe("forwarding", func() {
	var m *mesh
	start := func(route model.Route, handlers ...http.HandlerFunc) {
		var all []http.Handler
		for _, h := range handlers {
			all = append(all, h)
		}
		m = newMesh(route, all...)
		DeferCleanup(m.close)
	}

	// Guards against losing or altering parts of a request or a response, and
	// against forwarding headers that are meant for one connection or for
	// daemons.
	It("forwards the method, the headers, the body and the response", func() {
		var received *http.Request
		var body string
		start(model.Route{}, func(w http.ResponseWriter, r *http.Request) {
			content, _ := io.ReadAll(r.Body)
			received, body = r, string(content)
			w.Header().Set(proxy.OutcomeHeader, string(proxy.NotRun))
			w.Header().Set("X-Answer", "yes")
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set("X-Hop", "1")
			w.WriteHeader(http.StatusTeapot)
			_, _ = io.WriteString(w, "done")
		})
		r := m.request("PUT", "/a%2Fb?q=1", "hello", "X-Mine", "1", "Connection", "X-Private", "X-Private", "1",
			proxy.KeyHeader, "k", proxy.OnceHeader, "1", proxy.DeadlineHeader, "5000")
		reply := m.do(r)
		Expect(received.Method).To(Equal("PUT"))
		Expect(received.RequestURI).To(Equal("/a%2Fb?q=1"))
		Expect(body).To(Equal("hello"))
		Expect(received.Header.Get("X-Mine")).To(Equal("1"))
		Expect(received.Header.Get(proxy.KeyHeader)).To(Equal("k"))
		Expect(received.Header).NotTo(Or(HaveKey("X-Private"), HaveKey(proxy.OnceHeader), HaveKey("Accept-Encoding"), HaveKey(proxy.ServiceHeader)))
		Expect(received.Header.Get(proxy.DeadlineHeader)).To(MatchRegexp(`^4?\d{1,3}$|^5000$|^4\d{3}$`))
		Expect(reply.StatusCode).To(Equal(http.StatusTeapot))
		Expect(reply.body).To(Equal("done"))
		Expect(reply.Header.Get("X-Answer")).To(Equal("yes"))
		Expect(reply.Header).NotTo(Or(HaveKey("X-Hop"), HaveKey(proxy.OutcomeHeader), HaveKey(proxy.LoadHeader)))
	})

	// Guards against a proxy that delays parts of a stream, and against lost
	// trailers.
	It("streams in both directions and forwards trailers", func() {
		trailer := make(chan string, 1)
		start(model.Route{}, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			w.Header().Set("Trailer", "X-Sum")
			lines := bufio.NewScanner(r.Body)
			for lines.Scan() {
				_, _ = fmt.Fprintln(w, "echo "+lines.Text())
				_ = http.NewResponseController(w).Flush()
			}
			trailer <- r.Trailer.Get("X-Sent")
			w.Header().Set("X-Sum", "sum")
		})
		reader, writer := io.Pipe()
		r := m.request("POST", "/", "")
		r.Body = reader
		r.Trailer = http.Header{"X-Sent": {"sent"}}
		go func() { _, _ = io.WriteString(writer, "one\n") }()
		response, err := m.client.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		echoes := bufio.NewReader(response.Body)
		Expect(echoes.ReadString('\n')).To(Equal("echo one\n"))
		_, err = io.WriteString(writer, "two\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(echoes.ReadString('\n')).To(Equal("echo two\n"))
		Expect(writer.Close()).To(Succeed())
		_, err = io.ReadAll(echoes)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Trailer.Get("X-Sum")).To(Equal("sum"))
		Eventually(trailer, testTimeout).Should(Receive(Equal("sent")))
	})

	// Guards against requesting the body from the caller although the target
	// refuses it.
	It("forwards Expect: 100-continue", func() {
		start(model.Route{}, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/no" {
				w.WriteHeader(http.StatusExpectationFailed)
				return
			}
			_, _ = io.Copy(w, r.Body)
		})
		status := func(path string) string {
			conn, err := net.Dial("tcp", m.front.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n", path)
			line, err := bufio.NewReader(conn).ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			return line
		}
		Expect(status("/no")).To(HavePrefix("HTTP/1.1 417"))
		Expect(status("/yes")).To(HavePrefix("HTTP/1.1 100"))
	})

	// Guards against an incomplete response that the caller takes for a
	// complete one. Short responses of known length are buffered first; see
	// gather_test.go.
	DescribeTable("closes the connection when the response is truncated", func(length string) {
		start(model.Route{Idempotent: true}, func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		response, err := m.client.Do(m.request("GET", "/", ""))
		if err != nil {
			return
		}
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
	}, Entry("known length", "100000"), Entry("chunked", ""))

	// Guards against a response that reaches the wrong caller when earlier
	// responses arrive late or are discarded.
	It("sends every caller the response to its own request", func() {
		start(model.Route{Idempotent: true}, echoSlowly, echoSlowly)
		var wait sync.WaitGroup
		for i := range 200 {
			wait.Go(func() {
				defer GinkgoRecover()
				id := fmt.Sprintf("id-%d", i)
				r := m.request("GET", "/?id="+id, "", proxy.RequestHeader, id)
				if i%3 == 0 {
					r.Header.Set(proxy.DeadlineHeader, "5")
				}
				reply := m.do(r)
				Expect(reply.Header.Get(proxy.RequestHeader)).To(Equal(id))
				if reply.outcome() == "" {
					Expect(reply.body).To(Equal(id))
				} else {
					Expect(reply.body).To(ContainSubstring(id))
				}
			})
		}
		wait.Wait()
	})

	// Guards against work that continues after its caller has disconnected.
	It("propagates cancellation", func() {
		begun, ended := make(chan struct{}), make(chan struct{})
		start(model.Route{}, func(_ http.ResponseWriter, r *http.Request) {
			close(begun)
			<-r.Context().Done()
			close(ended)
		})
		conn, err := net.Dial("tcp", m.front.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		Eventually(begun, testTimeout).Should(BeClosed())
		Expect(conn.Close()).To(Succeed())
		Eventually(ended, testTimeout).Should(BeClosed())
	})

	// Guards against refusals of bad input without an error kind, and against
	// bad input that reaches a target.
	DescribeTable("refuses invalid headers", func(status int, kind fault.Kind, header ...string) {
		start(model.Route{Once: true}, func(http.ResponseWriter, *http.Request) { Fail("the request ran") })
		reply := m.do(m.request("POST", "/", "x", header...))
		Expect(reply.StatusCode).To(Equal(status))
		Expect(reply.outcome()).To(Equal(proxy.NotRun))
		var body proxy.ErrorBody
		Expect(json.Unmarshal([]byte(reply.body), &body)).To(Succeed())
		Expect(body.Kind).To(Equal(kind))
		Expect(body.Outcome).To(Equal(proxy.NotRun))
	},
		Entry("missing key", 400, fault.Invalid),
		Entry("key with a space", 400, fault.Invalid, proxy.KeyHeader, "a b"),
		Entry("long key", 400, fault.Invalid, proxy.KeyHeader, strings.Repeat("k", 256)),
		Entry("two keys", 400, fault.Invalid, proxy.KeyHeader, "a", proxy.KeyHeader, "b"),
		Entry("deadline that is no number", 400, fault.Invalid, proxy.KeyHeader, "a", proxy.DeadlineHeader, "soon"),
		Entry("negative deadline", 400, fault.Invalid, proxy.KeyHeader, "a", proxy.DeadlineHeader, "-1"),
		Entry("deadline that has passed", 504, fault.Timeout, proxy.KeyHeader, "a", proxy.DeadlineHeader, "0"),
		Entry("huge deadline", 400, fault.Invalid, proxy.KeyHeader, "a", proxy.DeadlineHeader, "3600001"),
		Entry("request id with a slash", 400, fault.Invalid, proxy.KeyHeader, "a", proxy.RequestHeader, "a/b"),
		Entry("large headers", 431, fault.Overloaded, proxy.KeyHeader, "a", "X-Large", strings.Repeat("x", 40<<10)),
	)

	// Guards against a daemon that serves requests before its configuration is
	// recent enough, and against forwarding requests that match no route.
	It("responds not-run while it is not ready or if no route matches", func() {
		start(model.Route{}, func(http.ResponseWriter, *http.Request) {})
		m.outbound.SetReady(fault.New(fault.NotReady, "catching up"))
		reply := m.do(m.request("GET", "/", ""))
		Expect(reply.StatusCode).To(Equal(503))
		Expect(reply.outcome()).To(Equal(proxy.NotRun))
		m.outbound.SetReady(nil)
		m.route.PathPrefix = "/other"
		m.update()
		reply = m.do(m.request("GET", "/", ""))
		Expect(reply.StatusCode).To(Equal(404))
		Expect(reply.outcome()).To(Equal(proxy.NotRun))
	})
})

func echoSlowly(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	time.Sleep(time.Duration(len(id)%3) * 5 * time.Millisecond)
	_, _ = io.WriteString(w, id)
}
