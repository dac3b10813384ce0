package sigs

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// roleVariable names the role of a child process that a test starts.
const roleVariable = "SIGS_TEST_ROLE"

// Roles of child processes.
const (
	// roleReleased owns the signals and gives them back. roleDetached is the same for a process that is started with SIGHUP ignored.
	roleReleased = "released"
	roleDetached = "detached"
	// roleWriting writes to its output until it ends.
	roleWriting = "writing"
)

// childLifetime bounds the life of a child that no signal ends.
const childLifetime = 10 * time.Second

// TestMain runs the role of a child process, or else the tests.
func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case roleReleased:
		New().Release()
		fmt.Println("released")
		time.Sleep(childLifetime)
	case roleWriting:
		New().Release()
		for deadline := time.Now().Add(childLifetime); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			fmt.Println("released")
		}
	case roleDetached:
		signal.Ignore(syscall.SIGHUP)
		if err := os.Setenv(roleVariable, roleReleased); err == nil {
			err = syscall.Exec(os.Args[0], os.Args, os.Environ())
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(1)
	default:
		os.Exit(m.Run())
	}
}

// startRole starts a child process with a role and waits until it has released its signals. No one reads its output afterwards.
func startRole(t *testing.T, role string) *exec.Cmd {
	t.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), roleVariable+"="+role)
	output, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = child.Process.Kill() })
	if _, err := bufio.NewReader(output).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if err := output.Close(); err != nil {
		t.Fatal(err)
	}
	return child
}

// Guards against a command that a signal can no longer end, or that ends by a SIGHUP although its parent had it ignored, since Release does not
// restore the inherited action.
func TestReleaseRestoresInheritedActions(t *testing.T) {
	// A child inherits from this process which signals are ignored.
	New().Release()
	tests := map[string]struct {
		role    string
		signals []syscall.Signal
		// end is the signal that ends the child.
		end syscall.Signal
	}{
		"hangup":            {role: roleReleased, signals: []syscall.Signal{syscall.SIGHUP}, end: syscall.SIGHUP},
		"terminate":         {role: roleReleased, signals: []syscall.Signal{syscall.SIGTERM}, end: syscall.SIGTERM},
		"interrupt":         {role: roleReleased, signals: []syscall.Signal{syscall.SIGINT}, end: syscall.SIGINT},
		"broken pipe":       {role: roleWriting, end: syscall.SIGPIPE},
		"hangup is ignored": {role: roleDetached, signals: []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}, end: syscall.SIGTERM},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			child := startRole(t, test.role)
			for _, s := range test.signals {
				if err := child.Process.Signal(s); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond)
			}
			_ = child.Wait()
			status, ok := child.ProcessState.Sys().(syscall.WaitStatus)
			if !ok || !status.Signaled() || status.Signal() != test.end {
				t.Errorf("got end %v, want it by signal %v", child.ProcessState, test.end)
			}
		})
	}
}
