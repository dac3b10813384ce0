package soak

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// portTable holds the local ports of the TCP sockets of a process. Listing them is slow, so that callers share a listing. It is safe for
// concurrent use.
type portTable struct {
	pid func() int

	mu       sync.Mutex
	listedAt time.Time
	ports    map[int]bool
}

// holds reports whether the process had a socket with a port at a time or later.
func (t *portTable) holds(at time.Time, port int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listedAt.Before(at) {
		t.listedAt, t.ports = time.Now(), socketPorts(t.pid())
	}
	return t.ports[port]
}

// socketPorts returns the local ports of the IPv4 TCP sockets that a process holds, as the kernel lists them. It returns none for a process
// that has ended.
func socketPorts(pid int) map[int]bool {
	inodes := make(map[string]bool)
	// A descriptor may close between the listing and the reading of its link.
	descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, descriptor := range descriptors {
		target, err := os.Readlink(descriptor)
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	ports := make(map[int]bool)
	table, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return ports
	}
	defer table.Close()
	for lines := bufio.NewScanner(table); lines.Scan(); {
		if port, inode, ok := parseSocket(lines.Text()); ok && inodes[inode] {
			ports[port] = true
		}
	}
	return ports
}

// parseSocket returns the local port and the inode of a line of the kernel's table of TCP sockets.
func parseSocket(line string) (port int, inode string, ok bool) {
	const localAddress, inodeField = 1, 9
	fields := strings.Fields(line)
	if len(fields) <= inodeField {
		return 0, "", false
	}
	_, hex, found := strings.Cut(fields[localAddress], ":")
	parsed, err := strconv.ParseUint(hex, 16, 16)
	return int(parsed), fields[inodeField], found && err == nil
}
