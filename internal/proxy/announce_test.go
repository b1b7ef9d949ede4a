package proxy

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/routing"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// noopObserver is an Observer that ignores all reports.
type noopObserver struct{}

func (noopObserver) Observe(move.Observation) {}
func (noopObserver) Record(timeline.Event)    {}
func (noopObserver) RecordCrash(uint64)       {}

// countingListener counts the bytes received on its connections.
type countingListener struct {
	net.Listener
	received atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, received: &l.received}, nil
}

type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// uploadVM is a target for uploads with its inbound proxy, on a VM with a network
// link of 10 Mbit/s.
type uploadVM struct {
	link    *routing.LinkLoad
	inbound *Inbound
	traffic *countingListener
	runs    atomic.Int64
	release chan struct{}
}

const uploadLinkBytesPerSecond = 1_250_000

func uploadProtocol() Protocol {
	return Protocol{RequestID: "X-Id", Deadline: "X-Deadline", CallerService: "X-Caller", ExpectedInstance: "X-Expected", NotExecuted: "X-Not-Run", Signature: "X-Signature"}
}

func newUploadVM(name string) (*uploadVM, member.Endpoint) {
	vm := &uploadVM{link: routing.NewLinkLoad(uploadLinkBytesPerSecond), release: make(chan struct{})}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		vm.runs.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		<-vm.release
		w.Header().Set("X-Signature", "s")
	}))
	vm.inbound = NewInbound(InboundConfig{Observer: noopObserver{}, Protocol: uploadProtocol(), BufferBytes: 1 << 20, Link: vm.link})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	vm.traffic = &countingListener{Listener: listener}
	front := &httptest.Server{Listener: vm.traffic, Config: &http.Server{Handler: vm.inbound}}
	front.Start()
	description := member.Target{Service: "docs", Version: "v1", Instance: name, Address: target.Listener.Addr().String(), Slots: 1, Connections: 10, LinkRate: uploadLinkBytesPerSecond}
	vm.inbound.SetTarget(description)
	DeferCleanup(func() {
		vm.inbound.SetTarget(member.Target{})
		front.CloseClientConnections()
		front.Close()
		target.Close()
	})
	return vm, member.Endpoint{VM: name, Incarnation: 1, State: member.Ready, Domain: "a", InboundAddress: listener.Addr().String(), Target: description}
}

var _ = Describe("a long body for a VM with a slow network link", func() {
	const bodyBytes = 60_000
	var vms []*uploadVM
	var front *httptest.Server
	upload := func(deadline string) int {
		r, err := http.NewRequest(http.MethodPost, front.URL+"/scan", bytes.NewReader(make([]byte, bodyBytes)))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("X-Deadline", deadline)
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		return response.StatusCode
	}
	BeforeEach(func() {
		vms = nil
		state := model.NewState()
		state.Services["docs"] = &model.Service{Name: "docs", Versions: []string{"v1"}, Shares: map[string]uint32{"v1": 100}, Proved: []string{"v1"}}
		state.Routes["scan"] = &model.Route{Name: "scan", PathPrefix: "/", Service: "docs", Class: model.Normal, Objective: time.Second, Timeout: 2 * time.Second}
		config := &routing.Config{State: state}
		for _, name := range []string{"one", "two"} {
			vm, endpoint := newUploadVM(name)
			vms = append(vms, vm)
			config.Endpoints = append(config.Endpoints, endpoint)
		}
		outbound := NewOutbound(OutboundConfig{
			Domain: "a", Random: rand.New(rand.NewPCG(1, 2)), Observer: noopObserver{}, Protocol: uploadProtocol(), BufferBytes: 1 << 20,
		})
		outbound.Update(config)
		outbound.SetReady(nil)
		front = httptest.NewServer(outbound)
		DeferCleanup(func() {
			front.Close()
			outbound.Update(&routing.Config{State: model.NewState()})
		})
	})

	// Guards against sending the body of a request that the target's daemon then
	// refuses. Such uploads saturated links of 10 Mbit/s, and short requests that
	// queued behind them missed their deadlines.
	It("is not sent to a target without a free slot", func() {
		first := make(chan int, 1)
		go func() { first <- upload("2000") }()
		Eventually(func() int64 { return vms[0].runs.Load() + vms[1].runs.Load() }, 5*time.Second).Should(Equal(int64(1)))
		busy, free := vms[0], vms[1]
		if free.runs.Load() == 1 {
			busy, free = free, busy
		}
		before := busy.traffic.received.Load()
		close(free.release)
		Expect(upload("2000")).To(Equal(http.StatusOK))
		Expect(free.runs.Load()).To(Equal(int64(1)))
		Expect(busy.traffic.received.Load() - before).To(BeNumerically("<", bodyBytes/10))
		close(busy.release)
		Expect(<-first).To(Equal(http.StatusOK))
	})

	// Guards against bodies that queue on a saturated link while the links of other
	// VMs are free.
	It("is sent to another VM while the link is busy", func() {
		close(vms[0].release)
		close(vms[1].release)
		vms[0].link.ReserveBody(uploadLinkBytesPerSecond / 2)
		Expect(upload("2000")).To(Equal(http.StatusOK))
		Expect(vms[1].runs.Load()).To(Equal(int64(1)))
		Expect(vms[0].traffic.received.Load()).To(BeNumerically("<", bodyBytes/10))
	})

	// Guards against admitting a body that cannot be transferred before the deadline.
	It("is refused at once when no link can transfer it in time", func() {
		close(vms[0].release)
		close(vms[1].release)
		for _, vm := range vms {
			vm.link.ReserveBody(2 * uploadLinkBytesPerSecond)
		}
		started := time.Now()
		Expect(upload("2000")).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(vms[0].runs.Load() + vms[1].runs.Load()).To(BeZero())
	})
})
