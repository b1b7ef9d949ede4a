package faults

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// socketTable lists the IPv4 TCP sockets of the machine.
const socketTable = "/proc/net/tcp"

// Fields of a line of the socket table.
const (
	localField  = 1
	remoteField = 2
	inodeField  = 9
)

// sourceOf names the daemon whose socket is the other end of the connection.
func (n *Network) sourceOf(conn net.Conn) string {
	inode := inodeOf(conn.RemoteAddr().String(), conn.LocalAddr().String())
	if inode == "" {
		return ""
	}
	for pid, name := range n.owners() {
		if ownsSocket(pid, "socket:["+inode+"]") {
			return name
		}
	}
	return ""
}

// inodeOf finds the socket with the addresses.
func inodeOf(local, remote string) string {
	file, err := os.Open(socketTable)
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	wantLocal, wantRemote := tableAddress(local), tableAddress(remote)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField && fields[localField] == wantLocal && fields[remoteField] == wantRemote {
			return fields[inodeField]
		}
	}
	return ""
}

// tableAddress writes an address as the socket table does: the IP as a number
// in the byte order of the machine, and the port, both in hexadecimal.
func tableAddress(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	ip := parsed.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), parsed.Port())
}

func ownsSocket(pid int, link string) bool {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	names, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, name := range names {
		if target, err := os.Readlink(filepath.Join(dir, name.Name())); err == nil && target == link {
			return true
		}
	}
	return false
}
