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

// closedPort is one that no process of a test listens on.
const closedPort = "127.0.0.1:1"

// silentListener accepts connections into its backlog and says nothing.
func silentListener() net.Listener {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	return listener
}

// toxic runs a proxy in this process that faults are added to.
func toxic(upstream net.Addr) *toxiproxy.Proxy {
	GinkgoHelper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, "link", "127.0.0.1:0", upstream.String())
	Expect(proxy.Start()).To(Succeed())
	DeferCleanup(proxy.Stop)
	return proxy
}

var _ = Describe("links", func() {
	It("carry frames both ways in order, and the handler may call back", func() {
		server, accepted := start(listening())
		client, dialed := start(Config{})
		accepted.onFrame = func(id LinkID, frame *wire.Frame) { server.Send(id, frame, false) }
		client.Dial(1, server.Addr().String())
		expected := []string{"up"}
		for clock := uint64(1); clock <= 300; clock++ {
			client.Send(1, hint(clock), false)
			expected = append(expected, strconv.FormatUint(clock, 10))
		}
		Eventually(dialed.log(1)).Should(Equal(expected))
		Expect(accepted.up(1) & AcceptedBit).NotTo(BeZero())
		Expect(accepted.log(accepted.up(1))()).To(Equal(expected))
		Expect(client.Stats().Dialed).To(Equal(1))
		Expect(server.Stats().Accepted).To(Equal(1))
	})

	It("write their queue before they close, so that a redirect arrives", func() {
		server, accepted := start(listening())
		client, dialed := start(Config{})
		client.Dial(1, server.Addr().String())
		id := accepted.up(1)
		Eventually(dialed.log(1)).Should(Equal([]string{"up"}))
		expected := []string{"up"}
		for clock := uint64(1); clock <= 100; clock++ {
			server.Send(id, hint(clock), false)
			client.Send(1, hint(clock), false)
			expected = append(expected, strconv.FormatUint(clock, 10))
		}
		server.CloseLink(id)
		Expect(dialed.down(1)).To(Equal(fault.Unavailable))
		Expect(dialed.log(1)()).To(Equal(append(expected, "down")))
		Expect(accepted.down(id)).To(BeEmpty(), "a close that was asked for is no failure")
	})

	It("report a failed dial once, with its cause, and free the ID", func() {
		client, dialed := start(Config{})
		client.Dial(1, closedPort)
		Expect(dialed.down(1)).To(Equal(fault.Unavailable))
		server, _ := start(listening())
		client.Dial(1, server.Addr().String())
		Eventually(dialed.log(1)).Should(Equal([]string{"down", "up"}))
	})

	It("give up a dial that is not admitted in time", func() {
		client, dialed := start(Config{DialTimeout: DefaultDialTimeout / 40})
		client.Dial(1, silentListener().Addr().String())
		Expect(dialed.down(1)).To(Equal(fault.Timeout))
	})

	It("end when the handler closes the transport, without a deadlock", func() {
		server, accepted := start(listening())
		client, dialed := start(Config{})
		accepted.onFrame = func(LinkID, *wire.Frame) { _ = server.Close() }
		client.Dial(1, server.Addr().String())
		client.Send(1, hint(1), false)
		Expect(accepted.down(accepted.up(1))).To(BeEmpty())
		Expect(dialed.down(1)).To(Equal(fault.Unavailable))
		server.Dial(7, closedPort)
		Expect(accepted.down(7)).To(Equal(fault.Unavailable))
	})

	It("end when the connection is cut, and other links stay", func() {
		server, accepted := start(listening())
		client, dialed := start(Config{})
		proxy := toxic(server.Addr())
		client.Dial(1, proxy.Listen)
		cut := accepted.up(1)
		client.Dial(2, server.Addr().String())
		kept := accepted.up(2)
		proxy.Stop()
		Expect(dialed.down(1)).To(Equal(fault.Unavailable))
		Expect(accepted.down(cut)).To(Equal(fault.Unavailable))
		client.Send(2, hint(9), false)
		Eventually(accepted.log(kept)).Should(Equal([]string{"up", "9"}))
	})

	It("end when no byte of the accepting side arrives any more, so that a frozen parent is noticed", func() {
		server, accepted := start(listening())
		client, dialed := start(Config{})
		proxy := toxic(server.Addr())
		client.Dial(1, proxy.Listen)
		id := accepted.up(1)
		// The accepting side still hears pings, so that it does not end the link first.
		_, err := proxy.Toxics.AddToxicJson(strings.NewReader(`{"type":"timeout","stream":"downstream","attributes":{"timeout":0}}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(dialed.down(1)).To(Equal(fault.Timeout))
		Expect(accepted.down(id)).To(Equal(fault.Unavailable))
	})

	It("end when no byte of the dialing side arrives any more, so that a frozen child is noticed", func() {
		server, accepted := start(listening())
		client, _ := start(Config{})
		raw, err := net.Dial("tcp", server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		// A pipe that is only opened sends no pings, as a frozen process.
		p, err := client.open(context.Background(), raw, true)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.close)
		Expect(accepted.down(accepted.up(1))).To(Equal(fault.Timeout))
		Eventually(p.session.IsClosed).Should(BeTrue())
	})

	It("end when the queue overflows, so that a peer that does not read cannot use up the memory", func() {
		server, accepted := start(listening())
		client, dialed := start(Config{})
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		accepted.onFrame = func(LinkID, *wire.Frame) { <-release }
		client.Dial(1, server.Addr().String())
		for clock := uint64(1); clock <= 200; clock++ {
			client.Send(1, snapshot(clock, 64<<10), false)
		}
		Expect(dialed.down(1)).To(Equal(fault.Overloaded))
	})

	It("end when a frame above the limit is to be sent, because its loss would go unnoticed", func() {
		server, _ := start(listening())
		client, dialed := start(Config{})
		client.Dial(1, server.Addr().String())
		dialed.up(1)
		client.Send(1, snapshot(1, MaxFrameBytes), false)
		Expect(dialed.down(1)).To(Equal(fault.Invalid))
	})
})

var _ = DescribeTable("a burst of 200 dialers is admitted up to the limit, so that a herd cannot overload a relay",
	func(limit Config, reason string) {
		limit.Listen = "127.0.0.1:0"
		server, accepted := start(limit)
		client, dialed := start(Config{})
		for id := LinkID(1); id <= 200; id++ {
			client.Dial(id, server.Addr().String())
		}
		Eventually(func() int { return dialed.upCount() + dialed.downCount() }).Should(Equal(200))
		Expect(dialed.upCount()).To(Equal(20))
		Eventually(accepted.upCount).Should(Equal(20))
		Expect(server.Stats().Refused).To(Equal(map[string]uint64{reason: 180}))
	},
	Entry("open links", Config{MaxAccepted: 20, AcceptPerWindow: 1000}, reasonLimit),
	// A window of one dial timeout keeps the verdict independent of the machine's speed.
	Entry("links in a window", Config{AcceptWindow: deadline}, reasonRate),
)

var _ = It("counts frames and wire bytes, in Go and as metrics, because the bill follows them", func() {
	registry := prometheus.NewRegistry()
	server, accepted := start(listening())
	client, _ := start(Config{Registerer: registry})
	client.Dial(1, server.Addr().String())
	client.Send(1, hint(5), false)
	client.Send(1, snapshot(6, 1000), true)
	Eventually(accepted.log(accepted.up(1))).Should(Equal([]string{"up", "5", "6"}))
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
