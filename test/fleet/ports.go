package fleet

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Ports of the fleet's listeners. They are below the range from which Linux
// takes the ports of outgoing connections: a port of that range can be taken
// between its choice and its use, or while a daemon restarts.
const (
	firstPort = 10000
	portCount = 22000
	// portStride spreads the first ports of processes that run at the same time.
	portStride = 613
)

// ports hands out ports; no two calls in a process get the same one.
var ports = struct {
	mu   sync.Mutex
	next int
}{next: os.Getpid() * portStride % portCount}

// FreeAddresses returns n addresses of the IP with free ports.
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
	return nil, fault.New(fault.Internal, "there are no %d free ports on %s", n, ip)
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
