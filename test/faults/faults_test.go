package faults_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/test/faults"
)

func TestFaults(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faults")
}

// echo starts a server that sends back what it receives, and returns its address.
func echo() string {
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
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	return listener.Addr().String()
}

// network returns a network in which this process is the daemon "vm-a" and an echo
// server is "vm-b", and the proxied address of the echo server.
func network() (*faults.Network, string) {
	GinkgoHelper()
	n := faults.New(func() map[int]string { return map[int]string{os.Getpid(): "vm-a"} })
	DeferCleanup(n.Close)
	address, err := n.Proxy("vm-b", echo())
	Expect(err).NotTo(HaveOccurred())
	return n, address
}

func dial(address string) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return conn
}

// roundTrip sends a byte and waits until it comes back or the timeout has passed.
func roundTrip(conn net.Conn, timeout time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

// connectAndRoundTrip makes a round trip on a new connection. A cut link resets the
// connection, possibly before Dial returns, which then fails.
func connectAndRoundTrip(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	return roundTrip(conn, time.Second)
}

var _ = Describe("Network", func() {
	It("cuts only the selected links and restores them, so that a scenario injects exactly the fault that it states", func() {
		n, address := network()
		conn := dial(address)
		Expect(roundTrip(conn, time.Second)).To(Succeed())
		Expect(n.Set(faults.LinksOf("vm-c"), faults.Fault{Cut: true})).To(Succeed())
		Expect(roundTrip(conn, time.Second)).To(Succeed())
		Expect(n.Set(faults.LinksOf("vm-a"), faults.Fault{Cut: true})).To(Succeed())
		Expect(roundTrip(conn, time.Second)).NotTo(Succeed())
		Expect(connectAndRoundTrip(address)).NotTo(Succeed())
		Expect(n.Heal()).To(Succeed())
		Expect(roundTrip(dial(address), time.Second)).To(Succeed())
	})
	It("stalls a link without closing its connections, so that a scenario can delay data", func() {
		n, address := network()
		Expect(n.Set(faults.LinksTo("vm-b"), faults.Fault{Stall: true})).To(Succeed())
		err := roundTrip(dial(address), 200*time.Millisecond)
		Expect(os.IsTimeout(err)).To(BeTrue())
	})
	It("delays the bytes of both directions", func() {
		n, address := network()
		Expect(n.Set(faults.MeshLinks, faults.Fault{Latency: 50 * time.Millisecond})).To(Succeed())
		started := time.Now()
		Expect(roundTrip(dial(address), 5*time.Second)).To(Succeed())
		Expect(time.Since(started)).To(BeNumerically(">=", 100*time.Millisecond))
	})
	It("closes a connection after the given number of bytes", func() {
		n, address := network()
		Expect(n.Set(faults.MeshLinks, faults.Fault{DropAfterBytes: 2})).To(Succeed())
		conn := dial(address)
		Expect(roundTrip(conn, time.Second)).To(Succeed())
		// The second byte is the last one that the proxy forwards; its echo
		// races with the close of the connection.
		_ = roundTrip(conn, time.Second)
		Expect(roundTrip(conn, time.Second)).NotTo(Succeed())
	})
})
