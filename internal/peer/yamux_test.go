package peer

import (
	"context"
	"net"
	"strconv"
	"strings"

	"github.com/Shopify/toxiproxy/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// closedPort is an address that no process listens on.
const closedPort = "127.0.0.1:1"

// unacceptingListener returns a listener that leaves connections in its backlog
// and never sends data.
func unacceptingListener() net.Listener {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	return listener
}

// startFaultProxy runs a proxy in this process, to which a test can add faults.
func startFaultProxy(upstream net.Addr) *toxiproxy.Proxy {
	GinkgoHelper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, "link", "127.0.0.1:0", upstream.String())
	Expect(proxy.Start()).To(Succeed())
	DeferCleanup(proxy.Stop)
	return proxy
}

var _ = Describe("links", func() {
	It("carry frames in order in both directions, and the handler may call the transport", func() {
		server, accepted := startTransport(listenerConfig())
		client, dialed := startTransport(Config{})
		accepted.onFrame = func(id LinkID, frame *wire.Frame) { server.Send(id, frame, false) }
		client.Dial(1, server.Addr().String())
		expected := []string{"up"}
		for clock := uint64(1); clock <= 300; clock++ {
			client.Send(1, commitHint(clock), false)
			expected = append(expected, strconv.FormatUint(clock, 10))
		}
		Eventually(dialed.eventsOf(1)).Should(Equal(expected))
		Expect(accepted.waitUp(1) & AcceptedBit).NotTo(BeZero())
		Expect(accepted.eventsOf(accepted.waitUp(1))()).To(Equal(expected))
		Expect(client.Stats().Dialed).To(Equal(1))
		Expect(server.Stats().Accepted).To(Equal(1))
	})

	It("write their queue before they close, so that a redirect is delivered", func() {
		server, accepted := startTransport(listenerConfig())
		client, dialed := startTransport(Config{})
		client.Dial(1, server.Addr().String())
		id := accepted.waitUp(1)
		Eventually(dialed.eventsOf(1)).Should(Equal([]string{"up"}))
		expected := []string{"up"}
		for clock := uint64(1); clock <= 100; clock++ {
			server.Send(id, commitHint(clock), false)
			client.Send(1, commitHint(clock), false)
			expected = append(expected, strconv.FormatUint(clock, 10))
		}
		server.CloseLink(id)
		Expect(dialed.waitDown(1)).To(Equal(fault.Unavailable))
		Expect(dialed.eventsOf(1)()).To(Equal(append(expected, "down")))
		Expect(accepted.waitDown(id)).To(BeEmpty(), "closing a link on this side must not report an error")
	})

	It("report a failed dial once with its cause, and allow the ID to be reused", func() {
		client, dialed := startTransport(Config{})
		client.Dial(1, closedPort)
		Expect(dialed.waitDown(1)).To(Equal(fault.Unavailable))
		server, _ := startTransport(listenerConfig())
		client.Dial(1, server.Addr().String())
		Eventually(dialed.eventsOf(1)).Should(Equal([]string{"down", "up"}))
	})

	It("fail a dial that is not admitted before the timeout", func() {
		client, dialed := startTransport(Config{DialTimeout: DefaultDialTimeout / 40})
		client.Dial(1, unacceptingListener().Addr().String())
		Expect(dialed.waitDown(1)).To(Equal(fault.Timeout))
	})

	It("end when the handler closes the transport, without a deadlock", func() {
		server, accepted := startTransport(listenerConfig())
		client, dialed := startTransport(Config{})
		accepted.onFrame = func(LinkID, *wire.Frame) { _ = server.Close() }
		client.Dial(1, server.Addr().String())
		client.Send(1, commitHint(1), false)
		Expect(accepted.waitDown(accepted.waitUp(1))).To(BeEmpty())
		Expect(dialed.waitDown(1)).To(Equal(fault.Unavailable))
		server.Dial(7, closedPort)
		Expect(accepted.waitDown(7)).To(Equal(fault.Unavailable))
	})

	It("end when the connection is broken, while other links stay open", func() {
		server, accepted := startTransport(listenerConfig())
		client, dialed := startTransport(Config{})
		proxy := startFaultProxy(server.Addr())
		client.Dial(1, proxy.Listen)
		brokenLink := accepted.waitUp(1)
		client.Dial(2, server.Addr().String())
		otherLink := accepted.waitUp(2)
		proxy.Stop()
		Expect(dialed.waitDown(1)).To(Equal(fault.Unavailable))
		Expect(accepted.waitDown(brokenLink)).To(Equal(fault.Unavailable))
		client.Send(2, commitHint(9), false)
		Eventually(accepted.eventsOf(otherLink)).Should(Equal([]string{"up", "9"}))
	})

	It("end when no more bytes arrive from the accepting side, so that a frozen parent is detected", func() {
		server, accepted := startTransport(listenerConfig())
		client, dialed := startTransport(Config{})
		proxy := startFaultProxy(server.Addr())
		client.Dial(1, proxy.Listen)
		id := accepted.waitUp(1)
		// The accepting side still receives pings, so that it does not end the link first.
		_, err := proxy.Toxics.AddToxicJson(strings.NewReader(`{"type":"timeout","stream":"downstream","attributes":{"timeout":0}}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(dialed.waitDown(1)).To(Equal(fault.Timeout))
		Expect(accepted.waitDown(id)).To(Equal(fault.Unavailable))
	})

	It("end when no more bytes arrive from the dialing side, so that a frozen child is detected", func() {
		server, accepted := startTransport(listenerConfig())
		client, _ := startTransport(Config{})
		raw, err := net.Dial("tcp", server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		// A connection that is opened without a running link sends no pings, like a
		// frozen process.
		conn, err := client.open(context.Background(), raw, true)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.close)
		Expect(accepted.waitDown(accepted.waitUp(1))).To(Equal(fault.Timeout))
		Eventually(conn.session.IsClosed).Should(BeTrue())
	})

	It("end when the queue overflows, so that a peer that does not read cannot exhaust the memory", func() {
		server, accepted := startTransport(listenerConfig())
		client, dialed := startTransport(Config{})
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		accepted.onFrame = func(LinkID, *wire.Frame) { <-release }
		client.Dial(1, server.Addr().String())
		for clock := uint64(1); clock <= 200; clock++ {
			client.Send(1, snapshotFrame(clock, 64<<10), false)
		}
		Expect(dialed.waitDown(1)).To(Equal(fault.Overloaded))
	})

	It("end when a frame above the size limit is sent, because the peer would not detect its loss", func() {
		server, _ := startTransport(listenerConfig())
		client, dialed := startTransport(Config{})
		client.Dial(1, server.Addr().String())
		dialed.waitUp(1)
		client.Send(1, snapshotFrame(1, MaxFrameBytes), false)
		Expect(dialed.waitDown(1)).To(Equal(fault.Invalid))
	})
})

var _ = DescribeTable("200 simultaneous dialers are admitted up to the limit, so that they cannot overload a relay",
	func(limit Config, reason string) {
		limit.Listen = "127.0.0.1:0"
		server, accepted := startTransport(limit)
		client, dialed := startTransport(Config{})
		for id := LinkID(1); id <= 200; id++ {
			client.Dial(id, server.Addr().String())
		}
		Eventually(func() int { return dialed.upCount() + dialed.downCount() }).Should(Equal(200))
		Expect(dialed.upCount()).To(Equal(20))
		Eventually(accepted.upCount).Should(Equal(20))
		Expect(server.Stats().Refused).To(Equal(map[string]uint64{reason: 180}))
	},
	Entry("open links", Config{MaxAccepted: 20, AcceptPerWindow: 1000}, reasonLimit),
	// A window as long as the dial timeout makes the result independent of the
	// machine's speed.
	Entry("links in a window", Config{AcceptWindow: testTimeout}, reasonRate),
)

var _ = It("counts frames and wire bytes in Stats and as metrics, because traffic is billed by them", func() {
	registry := prometheus.NewRegistry()
	server, accepted := startTransport(listenerConfig())
	client, _ := startTransport(Config{Registerer: registry})
	client.Dial(1, server.Addr().String())
	client.Send(1, commitHint(5), false)
	client.Send(1, snapshotFrame(6, 1000), true)
	Eventually(accepted.eventsOf(accepted.waitUp(1))).Should(Equal([]string{"up", "5", "6"}))
	Eventually(func() map[string]Count { return client.Stats().Sent }).Should(HaveLen(2))
	sent := client.Stats()
	Expect(sent.Sent).To(Equal(server.Stats().Received))
	Expect(sent.Sent["commit_hint"]).To(Equal(Count{Frames: 1, Bytes: 7}))
	Expect(sent.WireSent).To(BeNumerically(">", sent.Sent["commit_hint"].Bytes+sent.Sent["snapshot"].Bytes))
	families, err := registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	var names []string
	for _, family := range families {
		names = append(names, family.GetName())
	}
	Expect(names).To(ContainElements("magnoliamount_peer_frame_bytes_total", "magnoliamount_peer_wire_bytes_total", "magnoliamount_peer_links"))
	_, err = New(Config{Handler: newRecorder(), Registerer: registry})
	Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
})
