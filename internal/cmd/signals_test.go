package cmd

import (
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/sigs"
	"github.com/fireflylanding/fireflylanding/platform/stand"
)

const (
	// signalTimeout bounds the time in which a node starts and in which it ends after SIGTERM, whose grace is 6 s.
	signalTimeout = 15 * time.Second
	// stopTime is the grace of the nodes.
	stopTime = 6 * time.Second
	// runTime is the time that a searcher takes for a request that is in flight while a node stops.
	runTime = 2 * time.Second
)

// Guards against a node that SIGHUP ends while its runtime starts and its packages are initialized, before the first statement of main.
func TestHangupBeforeMainEndsNoNode(t *testing.T) {
	binary := buildProgram(t)
	// A child inherits which signals are ignored, which would hide the fault.
	sigs.New().Release()
	if hasHangup(t, os.Getpid(), stand.IgnoredSignals) {
		t.Fatal("the test ignores SIGHUP")
	}
	for range 10 {
		n := startSignalledNode(t, binary, false)
		exited := make(chan error, 1)
		go func() { exited <- n.Wait() }()
		for !hasHangup(t, n.Process.Pid, stand.IgnoredSignals, stand.CaughtSignals) {
			time.Sleep(50 * time.Microsecond)
		}
		_ = n.Process.Signal(syscall.SIGHUP)
		awaitSignalled(t, "the node has begun to start, or has ended", func() bool { return n.output.String() != "" || len(exited) > 0 })
		if len(exited) > 0 {
			t.Fatalf("the process ended: %v", <-exited)
		}
		_ = n.Process.Kill()
		<-exited
	}
}

// Guards against settings that change while a node shuts down and never take effect, since nothing handles SIGHUP any more.
func TestSettingsReloadDuringShutdown(t *testing.T) {
	n := startSignalledNode(t, buildProgram(t), true)
	exited := make(chan error, 1)
	go func() { exited <- n.Wait() }()
	awaitSignalled(t, "the node is ready", func() bool { return n.ready(t.Context()) })
	_ = n.Process.Signal(syscall.SIGTERM)
	awaitSignalled(t, "the shutdown has begun", func() bool { return strings.Contains(n.output.String(), "graceful shutdown started") })
	_ = n.Process.Signal(syscall.SIGHUP)
	if err := <-exited; err != nil {
		t.Errorf("got exit %v, want a graceful one", err)
	}
	if got, want := n.output.String(), "settings reloaded"; !strings.Contains(got, want) {
		t.Errorf("got a log without %q", want)
	}
}

// Guards against a node that outlives its stop time, and is killed, because a caller has sent only a part of a request.
func TestUnfinishedRequestDelaysNoShutdown(t *testing.T) {
	tests := map[string]string{
		"no byte":     "",
		"half a head": "POST /a/1 HTTP/1.1\r\nHost: h\r\n",
		"half a body": "POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 00000000000000a1\r\nContent-Length: 10\r\n\r\nhalf",
	}
	binary := buildProgram(t)
	for name, bytes := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startSignalledNode(t, binary, true)
			exited := make(chan error, 1)
			go func() { exited <- n.Wait() }()
			awaitSignalled(t, "the node is ready", func() bool { return n.ready(t.Context()) })
			conn, err := net.Dial("tcp", n.IP+":"+strconv.Itoa(n.CallerPort))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write([]byte(bytes)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			_ = n.Process.Signal(syscall.SIGTERM)
			select {
			case err := <-exited:
				if err != nil {
					t.Errorf("got exit %v, want a graceful one", err)
				}
			case <-time.After(stopTime):
				_ = n.Process.Kill()
				t.Errorf("the process is still running %v after SIGTERM", stopTime)
			}
		})
	}
}

// Guards against a soak that a signal ends at once, without ending the nodes that it has started.
func TestStoppedSoakLeavesNoProcess(t *testing.T) {
	binary := buildProgram(t)
	const nodes = 3
	for name, signal := range map[string]syscall.Signal{"terminate": syscall.SIGTERM, "interrupt": syscall.SIGINT, "hangup": syscall.SIGHUP} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			soak := exec.Command(binary, "soak", "--nodes", strconv.Itoa(nodes), "--shards", "1", "--callers", "2")
			if err := soak.Start(); err != nil {
				t.Fatal(err)
			}
			var started []int
			awaitSignalled(t, "the nodes are started", func() bool {
				started = children(t, soak.Process.Pid)
				return len(started) == nodes
			})
			_ = soak.Process.Signal(signal)
			if err := soak.Wait(); err == nil {
				t.Error("got a success, want a failure")
			}
			for _, node := range started {
				if err := syscall.Kill(node, 0); err == nil {
					t.Errorf("node process %d still runs", node)
					_ = syscall.Kill(node, syscall.SIGKILL)
				}
			}
		})
	}
}

// Guards against a node that ends by SIGPIPE with its next log line, because the reader of its output is gone.
func TestLostOutputEndsNoNode(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	n := newSignalledNode(t, buildProgram(t), true)
	n.Stdout = writer
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- n.Wait() }()
	_ = writer.Close()
	awaitSignalled(t, "the node is ready", func() bool { return n.ready(t.Context()) })
	_ = reader.Close()
	// The node logs each request that it refuses.
	for range 5 {
		if got := n.ask("00000000000000a1", "/unknown/"); got != http.StatusNotFound {
			t.Errorf("got status %d, want 404", got)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := n.ask("00000000000000a2", "/a/1"); got != http.StatusOK {
		t.Errorf("got status %d, want 200", got)
	}
	_ = n.Process.Signal(syscall.SIGTERM)
	if err := <-exited; err != nil {
		t.Errorf("got exit %v, want a graceful one", err)
	}
}

// Guards against a node that ends, or cuts off a request, because a signal comes at a stage at which it has no handler: while it starts, without a
// configuration, while it serves, or while it shuts down.
func TestSignalsAtEachStage(t *testing.T) {
	binary := buildProgram(t)
	tests := map[string]struct {
		seed       uint64
		configured bool
		// early is set if the signals come as soon as the process prints its first line, terminated if they come after a SIGTERM.
		early, terminated bool
	}{
		"starting":                {seed: 1, configured: true, early: true},
		"without a configuration": {seed: 2},
		"serving":                 {seed: 3, configured: true},
		"shutting down":           {seed: 4, configured: true, terminated: true},
		"shutting down, again":    {seed: 5, configured: true, terminated: true},
		"stopped while starting":  {seed: 6, configured: true, early: true, terminated: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startSignalledNode(t, binary, test.configured)
			exited := make(chan error, 1)
			go func() { exited <- n.Wait() }()
			ready := func() bool { return n.ready(t.Context()) }
			awaitSignalled(t, "the node has begun to start", func() bool { return n.output.String() != "" })
			answered := make(chan int, 1)
			inFlight := test.configured && !test.early
			if inFlight {
				awaitSignalled(t, "the node is ready", ready)
				go func() { answered <- n.ask("00000000000000a1", "/a/1") }()
				time.Sleep(runTime / 10)
			}
			signals := []syscall.Signal{syscall.SIGHUP, syscall.SIGCONT, syscall.SIGHUP}
			if test.terminated {
				signals = append(signals, syscall.SIGTERM)
				_ = n.Process.Signal(syscall.SIGTERM)
			}
			random := rand.New(rand.NewPCG(test.seed, 0))
			for range 40 {
				_ = n.Process.Signal(signals[random.IntN(len(signals))])
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			}
			if inFlight {
				if got := <-answered; got != http.StatusOK {
					t.Errorf("request in flight: got status %d, want 200", got)
				}
			}
			if !test.terminated {
				select {
				case err := <-exited:
					t.Fatalf("the process ended: %v", err)
				default:
				}
				if test.configured {
					awaitSignalled(t, "the node is ready", ready)
				}
				_ = n.Process.Signal(syscall.SIGTERM)
			}
			select {
			case err := <-exited:
				if err != nil {
					t.Errorf("got exit %v, want a graceful one", err)
				}
			case <-time.After(signalTimeout):
				_ = n.Process.Kill()
				t.Errorf("the process is still running %v after SIGTERM", signalTimeout)
			}
		})
	}
}
