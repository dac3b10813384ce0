package soak

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// owns reports whether a process opened an IPv4 connection within this machine, from the connection's accepted end.
func owns(held map[string]bool, accepted net.Conn) bool {
	inode, err := callerInode(accepted)
	// A socket that the kernel does not know any more needs no cut.
	return err == nil && held[inode]
}

// heldSockets returns the inodes of the sockets that a process holds, none if it has ended.
func heldSockets(pid int) map[string]bool {
	inodes := make(map[string]bool)
	path := fmt.Sprintf("/proc/%d/fd/", pid)
	directory, err := os.Open(path)
	if err != nil {
		return inodes
	}
	defer directory.Close()
	descriptors, err := directory.Readdirnames(0)
	if err != nil {
		return inodes
	}
	for _, descriptor := range descriptors {
		// A descriptor may close between the listing and the reading of its link.
		target, err := os.Readlink(path + descriptor)
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

// Values of the kernel's socket diagnosis interface (linux/sock_diag.h and linux/inet_diag.h).
const (
	netlinkSockDiag   = 4
	sockDiagByFamily  = 20
	diagAllStates     = ^uint32(0)
	diagNoCookie      = ^uint32(0)
	diagResponseBytes = 4 << 10
	// diagInodeOffset is the offset of the inode in a response, after the netlink header.
	diagInodeOffset = 68
)

// diagRequest asks for one TCP socket. Integers are in the byte order of the machine, ports and addresses in that of the network.
type diagRequest struct {
	Header               syscall.NlMsghdr
	Family, Protocol     uint8
	Extensions, Padding  uint8
	States               uint32
	LocalPort, OtherPort [2]byte
	LocalIP, OtherIP     [16]byte
	Interface            uint32
	Cookie               [2]uint32
}

// callerInode returns the inode of the socket at the other end of an IPv4 connection within this machine.
func callerInode(conn net.Conn) (string, error) {
	caller, isTCP := conn.RemoteAddr().(*net.TCPAddr)
	own, isOwnTCP := conn.LocalAddr().(*net.TCPAddr)
	if !isTCP || !isOwnTCP {
		return "", errors.New("not a TCP connection")
	}
	request := diagRequest{
		Header: syscall.NlMsghdr{Type: sockDiagByFamily, Flags: syscall.NLM_F_REQUEST},
		Family: syscall.AF_INET, Protocol: syscall.IPPROTO_TCP, States: diagAllStates, Cookie: [2]uint32{diagNoCookie, diagNoCookie},
	}
	request.Header.Len = uint32(binary.Size(request))
	binary.BigEndian.PutUint16(request.LocalPort[:], uint16(caller.Port))
	binary.BigEndian.PutUint16(request.OtherPort[:], uint16(own.Port))
	copy(request.LocalIP[:], caller.IP.To4())
	copy(request.OtherIP[:], own.IP.To4())
	var message bytes.Buffer
	if err := binary.Write(&message, binary.NativeEndian, request); err != nil {
		return "", err
	}
	response, err := askKernel(message.Bytes())
	if err != nil {
		return "", err
	}
	messages, err := syscall.ParseNetlinkMessage(response)
	if err != nil {
		return "", err
	}
	for _, m := range messages {
		if m.Header.Type == sockDiagByFamily && len(m.Data) >= diagInodeOffset+4 {
			return fmt.Sprint(binary.NativeEndian.Uint32(m.Data[diagInodeOffset:])), nil
		}
	}
	return "", errors.New("the kernel does not know the socket")
}

// askKernel sends a request to the kernel's socket diagnosis and returns the response.
func askKernel(request []byte) ([]byte, error) {
	socket, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return nil, err
	}
	defer syscall.Close(socket)
	if err := syscall.Sendto(socket, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return nil, err
	}
	response := make([]byte, diagResponseBytes)
	n, _, err := syscall.Recvfrom(socket, response, 0)
	return response[:max(n, 0)], err
}
