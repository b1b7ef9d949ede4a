package proxy

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpStateClose is the value of TCP_CLOSE in the state of a connection that was reset.
// A connection whose peer has sent its end in order is in TCP_CLOSE_WAIT.
const tcpStateClose = 7

// wasReset reports whether the peer reset an open connection. The kernel reports a reset
// only once: if a concurrent write gets the error, reads get the end of the stream, which
// would complete a response without a length.
func wasReset(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = control.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpStateClose
	})
	return err != nil || reset
}
