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

// Numbers of the kernel's interface that describes single sockets. The text
// table in /proc would cost a walk over all sockets for each connection.
const (
	netlinkSocketDiag  = 4
	socketDiagByFamily = 20
	headerBytes        = 16
	requestBytes       = 56
	// Offsets in the request, after the header.
	sourcePortAt = 8
	targetPortAt = 10
	sourceAt     = 12
	targetAt     = 28
	cookieAt     = 48
	// inodeAt is the offset of the inode in the answer, with the header.
	inodeAt     = headerBytes + 68
	answerBytes = 512
)

// sourceOf names the daemon whose socket is the other end of the connection.
func (n *Network) sourceOf(conn net.Conn) string {
	inode, err := inodeOf(conn.RemoteAddr().String(), conn.LocalAddr().String())
	if err != nil || inode == 0 {
		return ""
	}
	return n.scans.sockets(n.owners)["socket:["+strconv.FormatUint(uint64(inode), 10)+"]"]
}

// inodeOf asks the kernel for the socket with the addresses.
func inodeOf(local, remote string) (uint32, error) {
	request, err := diagRequest(local, remote)
	if err != nil {
		return 0, err
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSocketDiag)
	if err != nil {
		return 0, fault.Wrap(err, fault.Internal, "open the kernel's socket table")
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, fault.Wrap(err, fault.Internal, "ask for socket %s", local)
	}
	answer := make([]byte, answerBytes)
	size, _, err := syscall.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, fault.Wrap(err, fault.Internal, "read the answer about socket %s", local)
	}
	kind := binary.NativeEndian.Uint16(answer[4:])
	if kind != socketDiagByFamily || size < inodeAt+4 {
		return 0, fault.New(fault.NotFound, "there is no socket %s", local)
	}
	return binary.NativeEndian.Uint32(answer[inodeAt:]), nil
}

// diagRequest asks for the one socket with the addresses.
func diagRequest(local, remote string) ([]byte, error) {
	from, err := netip.ParseAddrPort(local)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "address %q", local)
	}
	to, err := netip.ParseAddrPort(remote)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "address %q", remote)
	}
	message := make([]byte, headerBytes+requestBytes)
	binary.NativeEndian.PutUint32(message, uint32(len(message)))
	binary.NativeEndian.PutUint16(message[4:], socketDiagByFamily)
	binary.NativeEndian.PutUint16(message[6:], syscall.NLM_F_REQUEST)
	body := message[headerBytes:]
	body[0] = syscall.AF_INET
	body[1] = syscall.IPPROTO_TCP
	binary.BigEndian.PutUint16(body[sourcePortAt:], from.Port())
	binary.BigEndian.PutUint16(body[targetPortAt:], to.Port())
	copy(body[sourceAt:], from.Addr().Unmap().AsSlice())
	copy(body[targetAt:], to.Addr().Unmap().AsSlice())
	// A cookie of ones matches any socket.
	binary.NativeEndian.PutUint64(body[cookieAt:], ^uint64(0))
	return message, nil
}

// scans reads the sockets of all owners in one pass for all connections that
// wait. A pass for each connection takes so long when many connections are
// opened together that daemons give up on them and open more.
type scans struct {
	// running is held during a pass.
	running sync.Mutex
	mu      sync.Mutex
	// next is the pass that has not begun, or nil.
	next *scan
}

// scan is one pass.
type scan struct {
	done   chan struct{}
	owners map[string]string
}

// sockets names the owner of each socket, from a pass that begins after the call.
func (s *scans) sockets(owners func() map[int]string) map[string]string {
	s.mu.Lock()
	joined := s.next
	if joined == nil {
		joined = &scan{done: make(chan struct{})}
		s.next = joined
		go s.run(joined, owners)
	}
	s.mu.Unlock()
	<-joined.done
	return joined.owners
}

func (s *scans) run(pass *scan, owners func() map[int]string) {
	s.running.Lock()
	defer s.running.Unlock()
	s.mu.Lock()
	s.next = nil
	s.mu.Unlock()
	pass.owners = map[string]string{}
	for pid, name := range owners() {
		addSockets(pass.owners, pid, name)
	}
	close(pass.done)
}

// addSockets adds the sockets of a process, as /proc names them.
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
