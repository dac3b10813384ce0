package soak

import (
	"net"
	"os"
	"testing"
)

// Guards against a cut that misses the connections of a process, or takes those of others for them.
func TestCallerInode(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	inode, err := callerInode(accepted)
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		pid  int
		want bool
	}{
		"the process of the caller": {pid: os.Getpid(), want: true},
		"another process":           {pid: os.Getppid()},
		"no process":                {pid: -1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := heldSockets(test.pid)[inode]; got != test.want {
				t.Errorf("holds the socket: got %v, want %v", got, test.want)
			}
		})
	}
}
