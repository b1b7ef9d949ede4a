package proxy_test

import (
	"bufio"
	"bytes"
	"fmt"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

// statusLine sends a request to the mesh and returns the first line of the response.
func statusLine(url string, length, bodyBytes int) string {
	GinkgoHelper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	Expect(conn.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("%s/%d", url, length), bytes.NewReader(make([]byte, bodyBytes)))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("X-Id", "id")
	go func() { _ = r.Write(conn) }()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(line)
}

// Guards against callers that take a forwarded 101 for an informational response and
// wait until their deadline, and against a panic on a status below 100.
var _ = DescribeTable("a response whose status is not final", func(status string, bodyBytes int) {
	response := "HTTP/1.1 " + status + "\r\nX-Id: id\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"
	errors := gbytes.NewBuffer()
	DeferCleanup(log.SetOutput, log.Writer())
	log.SetOutput(errors)
	url := newVerifyingMesh(model.Route{}, newTruncatingTarget(response, false))
	Expect(statusLine(url, len(response), bodyBytes)).To(HavePrefix("HTTP/1.1 502 "))
	Expect(string(errors.Contents())).NotTo(ContainSubstring("panic"))
},
	Entry("101, buffered", "101 Switching Protocols", 0),
	Entry("101, streamed", "101 Switching Protocols", 2<<20),
	Entry("99, streamed", "099 Unknown", 2<<20),
	Entry("0, streamed", "000 Unknown", 2<<20),
)
