package proxy_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// verifyingProtocol returns names for the header fields of targets that echo the
// request's id and sign their responses.
func verifyingProtocol() proxy.Protocol {
	return proxy.Protocol{RequestID: "X-Id", Deadline: "X-Deadline", CallerService: "X-Caller", ExpectedInstance: "X-Expected", NotExecuted: "X-Not-Run", Signature: "X-Signature"}
}

// verifyingBufferBytes is the size up to which the daemons of newVerifyingMesh
// buffer a body.
const verifyingBufferBytes = 1 << 20

// newVerifyingMesh starts an outbound proxy, and an inbound proxy for each target
// address, which use verifyingProtocol. It returns the URL for callers.
func newVerifyingMesh(route model.Route, targets ...string) string {
	GinkgoHelper()
	route.Name, route.PathPrefix, route.Service = "r", "/", "order"
	state := model.NewState()
	state.Services["order"] = &model.Service{Name: "order", Versions: []string{"v1"}, Shares: map[string]uint32{"v1": 100}, Proved: []string{"v1"}}
	state.Routes["r"] = &route
	config := &routing.Config{State: state}
	for i, address := range targets {
		inbound := proxy.NewInbound(proxy.InboundConfig{Observer: &recordingObserver{}, Protocol: verifyingProtocol(), BufferBytes: verifyingBufferBytes})
		server := httptest.NewServer(inbound)
		target := member.Target{Service: "order", Version: "v1", Instance: "i", Address: address, Slots: 40, Connections: 50}
		inbound.SetTarget(target)
		config.Endpoints = append(config.Endpoints, member.Endpoint{
			VM: fmt.Sprintf("vm%d", i), Incarnation: 1, State: member.Ready, Domain: "a", InboundAddress: server.Listener.Addr().String(), Target: target,
		})
		DeferCleanup(func() {
			inbound.SetTarget(member.Target{})
			server.CloseClientConnections()
			server.Close()
		})
	}
	outbound := proxy.NewOutbound(proxy.OutboundConfig{
		Domain: "a", Random: rand.New(rand.NewPCG(1, 2)), Observer: &recordingObserver{}, Protocol: verifyingProtocol(), BufferBytes: verifyingBufferBytes,
	})
	outbound.Update(config)
	outbound.SetReady(nil)
	front := httptest.NewServer(outbound)
	DeferCleanup(func() {
		front.CloseClientConnections()
		front.Close()
		outbound.Update(&routing.Config{State: model.NewState()})
	})
	return front.URL
}

// serveConns calls serve for each connection to the returned address.
func serveConns(serve func(net.Conn)) (address string) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// repeatTime is when a repeatingTarget sends a refusal again.
type repeatTime int

const (
	whileIdle repeatTime = iota
	beforeBody
	afterBody
)

// repeatingTarget refuses requests whose path begins with /refuse, and those with
// /first when it gets them for the first time. It runs all others. It sends each
// refusal a second time on its connection.
type repeatingTarget struct {
	address string
	// refusal is the response to the requests that it refuses. "%s" stands for the
	// request's id.
	refusal string
	when    repeatTime

	mu       sync.Mutex
	arrivals map[string]int
	runs     map[string]int
}

func newRepeatingTarget(refusal string, when repeatTime) *repeatingTarget {
	t := &repeatingTarget{refusal: refusal, when: when, arrivals: map[string]int{}, runs: map[string]int{}}
	t.address = serveConns(t.serve)
	return t
}

// refuses records the arrival of a request and reports whether it is refused.
func (t *repeatingTarget) refuses(path, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals[id]++
	return strings.HasPrefix(path, "/refuse") || strings.HasPrefix(path, "/first") && t.arrivals[id] == 1
}

func (t *repeatingTarget) runsOf(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

func (t *repeatingTarget) serve(conn net.Conn) {
	defer conn.Close()
	reader, earlier := bufio.NewReader(conn), ""
	repeat := func(when repeatTime) {
		if earlier != "" && t.when == when {
			_, _ = io.WriteString(conn, earlier)
			earlier = ""
		}
	}
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		repeat(beforeBody)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Id")
		if t.refuses(r.URL.Path, id) {
			earlier = strings.ReplaceAll(t.refusal, "%s", id)
			_, _ = io.WriteString(conn, earlier)
			if t.when == whileIdle {
				time.Sleep(5 * time.Millisecond)
				repeat(whileIdle)
			}
			continue
		}
		t.mu.Lock()
		t.runs[id]++
		t.mu.Unlock()
		repeat(afterBody)
		time.Sleep(5 * time.Millisecond)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	}
}

// sendWithID sends a request with the id and a body of the given size.
func sendWithID(url, id string, size int) (status int, body string) {
	GinkgoHelper()
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(make([]byte, size)))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("X-Id", id)
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(content)
}

// Guards against taking the repeated refusal of an earlier request for the answer
// to a request that the target runs.
var _ = Describe("a refusal that the target sends again on a kept connection", func() {
	const withID, withoutID = "X-Id: %s\r\n", ""
	refusalOf := func(status, fields string) string {
		return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 7\r\n\r\nrefused"
	}
	for _, refusal := range []struct{ name, text string }{
		{"503", refusalOf("503 Service Unavailable", withID+"X-Not-Run: 1\r\n")},
		{"503 without an id", refusalOf("503 Service Unavailable", withoutID+"X-Not-Run: 1\r\n")},
		{"429 without an id", refusalOf("429 Too Many Requests", withoutID+"X-Not-Run: 1\r\n")},
		{"421", refusalOf("421 Misdirected Request", withID)},
		{"421 without an id", refusalOf("421 Misdirected Request", withoutID)},
		{"400 without an id", refusalOf("400 Bad Request", withoutID+"X-Not-Run: 1\r\n")},
	} {
		for when, moment := range []string{"while it is idle", "before the body of the next request", "after the next request"} {
			for _, size := range []int{0, 100 << 10, 2 << 20} {
				It(fmt.Sprintf("refuses no other request: %s, %s, %d bytes", refusal.name, moment, size), func() {
					targets := []*repeatingTarget{newRepeatingTarget(refusal.text, repeatTime(when)), newRepeatingTarget(refusal.text, repeatTime(when))}
					url := newVerifyingMesh(model.Route{Timeout: 5 * time.Second, Objective: time.Second}, targets[0].address, targets[1].address)
					for i := range 6 {
						sendWithID(url+"/refuse", fmt.Sprintf("refused-%d", i), size)
						id := fmt.Sprintf("run-%d", i)
						status, body := sendWithID(url+"/run", id, size)
						runs := targets[0].runsOf(id) + targets[1].runsOf(id)
						Expect(runs).To(BeNumerically("<=", 1), "runs of "+id)
						if runs == 1 {
							Expect(status).To(Or(Equal(http.StatusOK), Equal(http.StatusBadGateway)))
						}
						if status == http.StatusOK {
							Expect(body).To(Equal(id))
						}
					}
				})
			}
		}
	}

	It("refuses no later attempt at the same request", func() {
		text := refusalOf("503 Service Unavailable", withID+"X-Not-Run: 1\r\n")
		targets := []*repeatingTarget{newRepeatingTarget(text, beforeBody), newRepeatingTarget(text, beforeBody)}
		url := newVerifyingMesh(model.Route{Timeout: 5 * time.Second, Objective: time.Second}, targets[0].address, targets[1].address)
		for i := range 6 {
			id := fmt.Sprintf("first-%d", i)
			status, _ := sendWithID(url+"/first", id, 0)
			if status == http.StatusServiceUnavailable {
				Expect(targets[0].runsOf(id) + targets[1].runsOf(id)).To(BeZero())
			}
		}
	})
})
