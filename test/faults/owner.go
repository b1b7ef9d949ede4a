package faults

import (
	"encoding/binary"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Constants of the kernel's sock_diag netlink interface, which looks up a single
// socket. The text table /proc/net/tcp would need a scan of all sockets for each
// connection.
const (
	netlinkSocketDiag  = 4
	socketDiagByFamily = 20
	headerBytes        = 16
	requestBytes       = 56
	// Byte offsets in the request, counted after the header.
	sourcePortOffset         = 8
	destinationPortOffset    = 10
	sourceAddressOffset      = 12
	destinationAddressOffset = 28
	cookieOffset             = 48
	// inodeOffset is the byte offset of the inode in the response, header included.
	inodeOffset   = headerBytes + 68
	responseBytes = 512
)

// sourceOf returns the daemon whose socket is the remote end of the connection, or
// "" if no daemon owns it.
func (n *Network) sourceOf(conn net.Conn) string {
	inode, err := inodeOf(conn.RemoteAddr().String(), conn.LocalAddr().String())
	if err != nil || inode == 0 {
		return ""
	}
	return n.socketScanner.socketOwners(n.owners)["socket:["+strconv.FormatUint(uint64(inode), 10)+"]"]
}

// inodeOf queries the kernel for the inode of the TCP socket with the local and
// remote address.
func inodeOf(local, remote string) (uint32, error) {
	request, err := diagRequest(local, remote)
	if err != nil {
		return 0, err
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSocketDiag)
	if err != nil {
		return 0, fault.Wrap(err, fault.Internal, "open a sock_diag netlink socket")
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, fault.Wrap(err, fault.Internal, "query socket %s", local)
	}
	response := make([]byte, responseBytes)
	size, _, err := syscall.Recvfrom(fd, response, 0)
	if err != nil {
		return 0, fault.Wrap(err, fault.Internal, "read the response for socket %s", local)
	}
	kind := binary.NativeEndian.Uint16(response[4:])
	if kind != socketDiagByFamily || size < inodeOffset+4 {
		return 0, fault.New(fault.NotFound, "socket %s not found", local)
	}
	return binary.NativeEndian.Uint32(response[inodeOffset:]), nil
}

// diagRequest encodes the sock_diag request for the TCP socket with the local and
// remote address.
func diagRequest(local, remote string) ([]byte, error) {
	from, err := netip.ParseAddrPort(local)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "parse local address %q", local)
	}
	to, err := netip.ParseAddrPort(remote)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "parse remote address %q", remote)
	}
	message := make([]byte, headerBytes+requestBytes)
	binary.NativeEndian.PutUint32(message, uint32(len(message)))
	binary.NativeEndian.PutUint16(message[4:], socketDiagByFamily)
	binary.NativeEndian.PutUint16(message[6:], syscall.NLM_F_REQUEST)
	body := message[headerBytes:]
	body[0] = syscall.AF_INET
	body[1] = syscall.IPPROTO_TCP
	binary.BigEndian.PutUint16(body[sourcePortOffset:], from.Port())
	binary.BigEndian.PutUint16(body[destinationPortOffset:], to.Port())
	copy(body[sourceAddressOffset:], from.Addr().Unmap().AsSlice())
	copy(body[destinationAddressOffset:], to.Addr().Unmap().AsSlice())
	// A cookie whose bits are all 1 matches any socket.
	binary.NativeEndian.PutUint64(body[cookieOffset:], ^uint64(0))
	return message, nil
}

// socketScanner reads the sockets of all owners in one scan that serves all
// waiting connections. With one scan for each connection, daemons that open many
// connections at once time out on them and open more.
type socketScanner struct {
	// running is held during a scan.
	running sync.Mutex
	// mu guards pending.
	mu sync.Mutex
	// pending is the scan that has not started, or nil.
	pending *socketScan
}

// socketScan is one scan and its result.
type socketScan struct {
	// done is closed when owners is complete.
	done chan struct{}
	// owners maps the names of sockets in /proc to the names of daemons.
	owners map[string]string
}

// socketOwners returns the owner of each socket, from a scan that starts after
// the call.
func (s *socketScanner) socketOwners(owners func() map[int]string) map[string]string {
	s.mu.Lock()
	scan := s.pending
	if scan == nil {
		scan = &socketScan{done: make(chan struct{})}
		s.pending = scan
		go s.run(scan, owners)
	}
	s.mu.Unlock()
	<-scan.done
	return scan.owners
}

// run executes a scan after the running one has ended.
func (s *socketScanner) run(scan *socketScan, owners func() map[int]string) {
	s.running.Lock()
	defer s.running.Unlock()
	s.mu.Lock()
	s.pending = nil
	s.mu.Unlock()
	scan.owners = map[string]string{}
	for pid, name := range owners() {
		addSockets(scan.owners, pid, name)
	}
	close(scan.done)
}

// addSockets adds the sockets of a process under their names in /proc. It adds none
// for a process that has exited.
func addSockets(owners map[string]string, pid int, name string) {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return
	}
	for _, e := range entries {
		if link, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil {
			owners[link] = name
		}
	}
}
