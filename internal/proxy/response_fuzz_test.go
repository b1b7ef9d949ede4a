package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// maxFuzzResponseBytes bounds generated responses.
	maxFuzzResponseBytes = 4 << 10
	// fuzzSendTimeout bounds a round trip with a generated response.
	fuzzSendTimeout = 5 * time.Second
)

// serveResponses starts an endpoint that responds to each request with the content
// that its path names, and then closes the connection.
func serveResponses(f *testing.F, responses <-chan []byte) (address string) {
	f.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write(<-responses)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// FuzzResponses guards against responses of targets that crash a daemon, that keep
// a caller waiting, or that reach callers with an invalid status.
func FuzzResponses(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: id\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nX-Id: id\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nX-Id: id\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 099 X\r\n\r\n", "HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 9999 X\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nuntil the end", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",
		strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9),
		"", "\x00", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n: x\r\n\r\n",
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	responses := make(chan []byte, 1)
	l := newLink(serveResponses(f, responses), linkOptions{maxBufferedBytes: 1 << 10, requestID: "X-Id"})
	f.Cleanup(l.close)
	f.Fuzz(func(t *testing.T, response []byte, direct bool) {
		if len(response) > maxFuzzResponseBytes {
			return
		}
		for len(responses) > 0 {
			<-responses
		}
		responses <- response
		ctx, cancel := context.WithTimeout(t.Context(), fuzzSendTimeout)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.address+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("X-Id", "id")
		s := newOutgoingRequest(ctx, r, l.address, newBodySource(r, 1<<10), nil, 0)
		s.direct = direct
		begin := time.Now()
		result := l.send(s)
		if (result.response == nil) == (result.err == nil) {
			t.Fatalf("response %v with error %v", result.response, result.err)
		}
		if result.err == nil {
			if result.response.StatusCode < http.StatusOK {
				t.Fatalf("final status %d", result.response.StatusCode)
			}
			received, _ := io.Copy(io.Discard, result.response.Body)
			if received > int64(len(response)) {
				t.Fatalf("body of %d bytes in a response of %d bytes", received, len(response))
			}
			_ = result.response.Body.Close()
		}
		if took := time.Since(begin); took >= fuzzSendTimeout {
			t.Fatalf("the round trip took %v", took)
		}
	})
}

// FuzzParseReport guards against reports of other daemons that are out of range or
// change when they are sent on.
func FuzzParseReport(f *testing.F) {
	for _, seed := range []string{"1,2,3,0.5", "0,0,0,0", "4294967295,1,1,1", "-1,0,0,0", "1,2,3,NaN", "1,2,3,1e-400", "1,2,3", "1,2,3,0,5", "1,2,3,0x1p-2", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		r, ok := parseReport(value)
		if !ok {
			return
		}
		if r.pace < 0 || r.kindPace < 0 || r.linkWait < 0 || !(r.failures >= 0 && r.failures <= 1) {
			t.Fatalf("report out of range: %+v", r)
		}
		encoded := r.encode()
		again, ok := parseReport(encoded)
		if !ok || again.encode() != encoded {
			t.Fatalf("report %q changes to %q when it is sent on", encoded, again.encode())
		}
	})
}
