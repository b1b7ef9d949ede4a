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

// echo returns the address of a server that sends back what it gets.
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

// network has this process as the daemon "vm-a" and an echo server as "vm-b".
func network() (*faults.Network, string) {
	GinkgoHelper()
	n := faults.New(func() map[int]string { return map[int]string{os.Getpid(): "vm-a"} })
	DeferCleanup(n.Close)
	address, err := n.Front("vm-b", echo())
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

// roundTrip sends a byte and waits for it.
func roundTrip(conn net.Conn, limit time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

var _ = Describe("a network of proxies", func() {
	It("cuts only the links that are named, and heals them, so that a scenario's failure is the one it states", func() {
		n, address := network()
		conn := dial(address)
		Expect(roundTrip(conn, time.Second)).To(Succeed())
		Expect(n.Set(faults.Around("vm-c"), faults.Fault{Cut: true})).To(Succeed())
		Expect(roundTrip(conn, time.Second)).To(Succeed())
		Expect(n.Set(faults.Around("vm-a"), faults.Fault{Cut: true})).To(Succeed())
		Expect(roundTrip(conn, time.Second)).NotTo(Succeed())
		Expect(roundTrip(dial(address), time.Second)).NotTo(Succeed())
		Expect(n.Heal()).To(Succeed())
		Expect(roundTrip(dial(address), time.Second)).To(Succeed())
	})
	It("stalls without closing, so that a scenario can hold data back", func() {
		n, address := network()
		Expect(n.Set(faults.Into("vm-b"), faults.Fault{Stall: true})).To(Succeed())
		err := roundTrip(dial(address), 200*time.Millisecond)
		Expect(os.IsTimeout(err)).To(BeTrue())
	})
	It("delays both directions", func() {
		n, address := network()
		Expect(n.Set(faults.Mesh, faults.Fault{Latency: 50 * time.Millisecond})).To(Succeed())
		started := time.Now()
		Expect(roundTrip(dial(address), 5*time.Second)).To(Succeed())
		Expect(time.Since(started)).To(BeNumerically(">=", 100*time.Millisecond))
	})
	It("drops a connection after its bytes", func() {
		n, address := network()
		Expect(n.Set(faults.Mesh, faults.Fault{DropAfterBytes: 2})).To(Succeed())
		conn := dial(address)
		Expect(roundTrip(conn, time.Second)).To(Succeed())
		// The second byte is the last one that passes; its answer races with
		// the end of the connection.
		_ = roundTrip(conn, time.Second)
		Expect(roundTrip(conn, time.Second)).NotTo(Succeed())
	})
})
