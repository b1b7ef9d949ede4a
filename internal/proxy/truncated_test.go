package proxy_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

// newTruncatingTarget starts a target that sends as many bytes of the response as the
// path of the request states, and then closes or resets the connection. It returns
// its address.
func newTruncatingTarget(response string, reset bool) (address string) {
	GinkgoHelper()
	return serveConns(func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		length, err := strconv.Atoi(r.URL.Path[1:])
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, response[:length])
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
}

// wireResponse is a response of a target as bytes.
type wireResponse struct {
	name, head, body, end string
	// closeEnds is true when the body ends with the connection.
	closeEnds bool
}

func (w wireResponse) String() string { return w.name }

// content is the body without its framing.
func (w wireResponse) content(body string) string {
	if !strings.Contains(w.head, "chunked") {
		return body
	}
	_, body, _ = strings.Cut(body, "\r\n")
	return body
}

// truncations returns the lengths to which the response is cut: all of a short one,
// and those near the ends of the parts of a long one.
func (w wireResponse) truncations() []int {
	var lengths []int
	near := func(n, end int) bool { return n >= end-20 && n <= end+20 }
	whole, bodyEnd := len(w.head)+len(w.body)+len(w.end), len(w.head)+len(w.body)
	for n := range whole {
		if whole < 2000 || near(n, len(w.head)) || near(n, bodyEnd) || near(n, whole) || near(n, len(w.head)+verifyingBufferBytes) {
			lengths = append(lengths, n)
		}
	}
	return lengths
}

const signedHead = "HTTP/1.1 200 OK\r\nX-Id: id\r\nX-Signature: s\r\n"

func wireResponses() []wireResponse {
	long := strings.Repeat("0123456789abcdef", (verifyingBufferBytes+(64<<10))/16)
	lengthHead := func(fields, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", fields, len(body))
	}
	chunk := func(body string) string { return fmt.Sprintf("%x\r\n%s", len(body), body) }
	const chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n"
	return []wireResponse{
		{name: "length", head: lengthHead(signedHead, "hello, world"), body: "hello, world"},
		{name: "length first", head: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: id\r\nX-Signature: s\r\n\r\n", body: "hello, world"},
		{name: "no body", head: lengthHead(signedHead, "")},
		{name: "no content", head: "HTTP/1.1 204 No Content\r\nX-Id: id\r\nX-Signature: s\r\n\r\n"},
		{name: "chunked", head: chunkedHead, body: chunk("hello, world"), end: "\r\n0\r\n\r\n"},
		{name: "trailers", head: signedHead + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n", body: chunk("hello, world"), end: "\r\n0\r\nX-Sum: 1234\r\n\r\n"},
		{name: "informational responses first", head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + lengthHead(signedHead, "hello, world"), body: "hello, world"},
		{name: "end of the connection", head: signedHead + "Connection: close\r\n\r\n", body: "hello, world", closeEnds: true},
		{name: "long, length", head: lengthHead(signedHead, long), body: long},
		{name: "long, chunked", head: chunkedHead, body: chunk(long), end: "\r\n0\r\n\r\n"},
		{name: "long, trailers", head: signedHead + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n", body: chunk(long), end: "\r\n0\r\nX-Sum: 1234\r\n\r\n"},
		{name: "long, end of the connection", head: signedHead + "Connection: close\r\n\r\n", body: long, closeEnds: true},
	}
}

// receiveWhole requests the first bytes of the target's response and returns the status, the body and the trailers, or
// an error when the response is not complete.
func receiveWhole(url string, length, bodyBytes int) (status int, body string, trailer http.Header, err error) {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("%s/%d", url, length), bytes.NewReader(make([]byte, bodyBytes)))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("X-Id", "id")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), response.Trailer, err
}

// Guards against a caller that takes an incomplete response for a complete one. The
// response passes through two daemons.
var _ = Describe("a response that ends early", func() {
	for _, response := range wireResponses() {
		for _, requestBytes := range []int{0, 2 << 20} {
			if requestBytes > 0 && len(response.body) > 1000 {
				continue
			}
			for _, reset := range []bool{false, true} {
				if requestBytes > 0 && reset {
					continue
				}
				It(fmt.Sprintf("is no complete success: %s, request of %d bytes, reset %t", response, requestBytes, reset), func() {
					whole := response.head + response.body + response.end
					target := newTruncatingTarget(whole, reset)
					url := newVerifyingMesh(model.Route{}, target)
					if !reset {
						status, body, trailer, err := receiveWhole(url, len(whole), requestBytes)
						Expect(err).NotTo(HaveOccurred())
						Expect(status).To(BeNumerically("<", 300))
						Expect(body == response.content(response.body)).To(BeTrue(), "the whole body")
						if strings.Contains(response.end, "X-Sum") {
							Expect(trailer).To(HaveKeyWithValue("X-Sum", []string{"1234"}))
						}
					}
					truncations := response.truncations()
					lengths := make(chan int, len(truncations))
					for _, length := range truncations {
						lengths <- length
					}
					close(lengths)
					var requests sync.WaitGroup
					for range concurrentTruncations {
						requests.Go(func() {
							defer GinkgoRecover()
							for length := range lengths {
								status, body, _, err := receiveWhole(url, length, requestBytes)
								// A request that is refused shows nothing of the response.
								Expect(status).NotTo(Equal(http.StatusServiceUnavailable))
								if err != nil || status >= 300 {
									continue
								}
								if !response.closeEnds || reset || length < len(response.head) || body != whole[len(response.head):length] {
									Fail(fmt.Sprintf("status %d with a complete body of %d bytes after %d of %d bytes", status, len(body), length, len(whole)))
								}
							}
						})
					}
					requests.Wait()
				})
			}
		}
	}
})

// concurrentTruncations is the number of requests at the same time, less than the
// slots of the target.
const concurrentTruncations = 32

// Guards against an incomplete response that looks complete to an HTTP/1.0 caller,
// for which the end of the connection ends a response without a length.
var _ = It("resets the connection of an HTTP/1.0 caller when a streamed response ends early", func() {
	for _, response := range wireResponses() {
		if len(response.body) <= verifyingBufferBytes || response.closeEnds {
			continue
		}
		whole := response.head + response.body + response.end
		url := newVerifyingMesh(model.Route{}, newTruncatingTarget(whole, false))
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = fmt.Fprintf(conn, "GET /%d HTTP/1.0\r\nHost: x\r\nX-Id: id\r\n\r\n", len(whole)-100)
		Expect(err).NotTo(HaveOccurred())
		received, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(received.Body)
		}
		Expect(err).To(HaveOccurred(), response.name)
	}
})
