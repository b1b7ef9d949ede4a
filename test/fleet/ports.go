package fleet

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Ports of the fleet's listeners. They are below the range of ephemeral ports,
// from which Linux assigns the ports of outgoing connections: an outgoing
// connection can take a port of that range before the listener opens it, or while
// a daemon restarts.
const (
	firstPort = 10000
	portCount = 22000
	// portStride separates the first ports of processes that run at the same
	// time: the process id times the stride is the first offset.
	portStride = 613
)

// ports is the offset of the next port to try. A process does not return a port
// twice until it has tried all portCount ports.
var ports = struct {
	mu   sync.Mutex
	next int
}{next: os.Getpid() * portStride % portCount}

// FreeAddresses returns n addresses of the IP whose ports are free.
func FreeAddresses(ip string, n int) ([]string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	var addresses []string
	for range portCount {
		if len(addresses) == n {
			return addresses, nil
		}
		address := net.JoinHostPort(ip, strconv.Itoa(firstPort+ports.next))
		ports.next = (ports.next + 1) % portCount
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	return nil, fault.New(fault.Internal, "fewer than %d free ports on %s", n, ip)
}

// isFree reports whether a listener can open the address.
func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
