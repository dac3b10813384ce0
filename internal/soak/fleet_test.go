package soak

import (
	"io"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against a process that overlapping faults start twice, so that one instance outlives the soak.
func TestProcessRunsOnce(t *testing.T) {
	p := &process{binary: "/bin/sh", log: io.Discard}
	p.arguments = []string{"-c", "sleep 60"}
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	first := p.command.Process.Pid
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	if got := p.command.Process.Pid; got != first {
		t.Errorf("got process %d after the second start, want unchanged %d", got, first)
	}
	p.stop(9, time.Second)
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	second := p.command.Process.Pid
	if second == first {
		t.Errorf("got process %d after it was stopped, want another", second)
	}
	p.stop(9, time.Second)
	for _, pid := range []int{first, second} {
		if out, err := exec.Command("ps", "-o", "stat=", "-p", strconv.Itoa(pid)).Output(); err == nil && !strings.HasPrefix(string(out), "Z") {
			t.Errorf("process %d: got state %q, want no such process", pid, out)
		}
	}
}
