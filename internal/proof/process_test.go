package proof

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// exitRequestsCut is the exit code after a shutdown that cut off requests.
const exitRequestsCut = 7

// process is a node in an operating system process of its own.
type process struct {
	command *exec.Cmd
	vm      shards.VM
	exited  chan struct{}

	mu     sync.Mutex
	output bytes.Buffer
}

// Write records the standard error of the process.
func (p *process) Write(text []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(text)
}

func (p *process) stderrText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	expectNoError(t, p.command.Process.Signal(s))
}

// waitExit waits until the process exits and returns its exit code.
func (p *process) waitExit(t *testing.T, within time.Duration) int {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(within):
		t.Fatalf("got no exit of %s within %v:\n%s", p.vm.ID(), within, p.stderrText())
	}
	return p.command.ProcessState.ExitCode()
}

// buildBinary builds the program into a temporary directory of the test and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "fireflylanding")
	command := exec.Command("go", "build", "-o", binary, "github.com/fireflylanding/fireflylanding")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v:\n%s", err, output)
	}
	return binary
}

func freeAddress(t *testing.T, network string) string {
	t.Helper()
	address, err := stand.FreeAddress(network)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startProcess starts a node and waits until its directory responds.
func startProcess(t *testing.T, binary string, searchers *fakes.Fleet, id, region string) *process {
	t.Helper()
	p := &process{exited: make(chan struct{})}
	p.vm = shards.NewVM(id, region, region+"-a", freeAddress(t, "tcp"), freeAddress(t, "udp"))
	settings := fmt.Sprintf(`[node]
id = %s
region = %s
availability_zone = %s-a
regions = north, south, west
caller_address = %s
peer_address = %s
admin_address = %s
[platform]
address = %s
[directory]
valid = 300ms
[peers]
development_keys = true
digest_interval = 100ms
`, id, region, region, p.vm.Address(), p.vm.PeerAddress(), freeAddress(t, "tcp"), searchers.Platform().Address())
	file := filepath.Join(t.TempDir(), id+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := searchers.AddNode(p.vm); err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(binary, "serve", "--config", file)
	p.command.Stderr = p
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { defer close(p.exited); _ = p.command.Wait() }()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
	})
	c := newCaller(time.Second)
	await(t, waitTimeout, "the directory of "+id, func() bool {
		_, err := c.entries(context.Background(), p.vm.Address())
		return err == nil
	})
	return p
}

// startProcesses starts stand-ins and one node in each region.
func startProcesses(t *testing.T, serviceTime time.Duration) (*fakes.Fleet, []*process) {
	t.Helper()
	searchers, err := fakes.StartFleet(fleetSettings(fleetOptions{serviceTime: serviceTime}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(searchers.Close)
	binary := buildBinary(t)
	var all []*process
	for _, region := range []string{"north", "south", "west"} {
		all = append(all, startProcess(t, binary, searchers, region+"-1", region))
	}
	c := newCaller(time.Second)
	await(t, waitTimeout, "all nodes to discover each other", func() bool {
		for _, p := range all {
			entries, err := c.entries(context.Background(), p.vm.Address())
			if err != nil || len(entries.GetEntries()) != len(all) || entries.GetAlone() {
				return false
			}
		}
		return true
	})
	return searchers, all
}

// Guards against a graceful shutdown that cuts off a request or exits with a failure, also when SIGTERM is repeated, and against a second
// interrupt that does not end the process or after which it does not report the requests that were cut off (P7).
func TestSignalsEndProcess(t *testing.T) {
	tests := map[string]struct {
		signals []syscall.Signal
		code    int
		text    string
	}{
		"terminated":             {signals: []syscall.Signal{syscall.SIGTERM}, code: 0},
		"terminated three times": {signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, code: 0},
		"interrupted once":       {signals: []syscall.Signal{syscall.SIGINT, syscall.SIGTERM}, code: 0},
		"interrupted twice":      {signals: []syscall.Signal{syscall.SIGINT, syscall.SIGINT}, code: exitRequestsCut, text: "requests were cut off"},
		"interrupted in a stop":  {signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGINT}, code: exitRequestsCut, text: "requests were cut off"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, all := startProcesses(t, 200*time.Millisecond)
			first := all[0]
			var counts stopCounts
			ctx, cancel := context.WithCancel(context.Background())
			var load conc.WaitGroup
			defer load.Wait()
			defer cancel()
			for range 4 {
				load.Go(func() {
					if test.code == 0 {
						askUntilStopping(ctx, t, first.vm, &counts, false)
						return
					}
					_, _ = newCaller(5*time.Second).ask(ctx, first.vm.Address(), searchQuery("cut", 2*time.Second))
				})
			}
			time.Sleep(100 * time.Millisecond)
			for _, s := range test.signals {
				first.signal(t, s)
				time.Sleep(50 * time.Millisecond)
			}
			within := 15 * time.Second
			if test.code == exitRequestsCut {
				within = 2500 * time.Millisecond
			}
			if got := first.waitExit(t, within); got != test.code {
				t.Errorf("got exit code %d, want %d:\n%s", got, test.code, first.stderrText())
			}
			if !strings.Contains(first.stderrText(), test.text) {
				t.Errorf("got output without %q:\n%s", test.text, first.stderrText())
			}
			cancel()
			load.Wait()
			t.Logf("served %d, refused %d, cut %d", counts.served.Load(), counts.refused.Load(), counts.cut.Load())
			if got := counts.served.Load(); test.code == 0 && got == 0 {
				t.Error("got no request served, want some")
			}
			if got := counts.cut.Load(); got != 0 {
				t.Errorf("got %d requests cut off, want 0", got)
			}
		})
	}
}

// Guards against a second run of a request whose token issuer was killed, or was paused and resumed (P5), against "not run"
// for a request that ran (P4), and against a resumed node that does not report that it is resuming.
func TestIssuerPausedOrKilled(t *testing.T) {
	tests := map[string]struct {
		signal syscall.Signal
		resume bool
	}{
		"killed":             {signal: syscall.SIGKILL},
		"paused and resumed": {signal: syscall.SIGSTOP, resume: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			searchers, all := startProcesses(t, 100*time.Millisecond)
			c := newCaller(4 * time.Second)
			entries, err := c.entries(context.Background(), all[0].vm.Address())
			if err != nil {
				t.Fatal(err)
			}
			requests := make([]tokenRequest, len(entries.GetTokens()))
			var presenting sync.WaitGroup
			for i, token := range entries.GetTokens() {
				requests[i].text = fmt.Sprintf("paused %d", i)
				presenting.Go(func() {
					requests[i].present(newCaller(time.Second), token, 700*time.Millisecond, all[i%3].vm.Address(), all[(i+1)%3].vm.Address())
				})
			}
			time.Sleep(30 * time.Millisecond)
			all[0].signal(t, test.signal)
			presenting.Wait()
			if test.resume {
				time.Sleep(3 * time.Second)
				all[0].signal(t, syscall.SIGCONT)
				resuming := false
				await(t, 2*time.Second, "the resumed node to report that it is resuming", func() bool {
					got, err := c.entries(context.Background(), all[0].vm.Address())
					resuming = resuming || err == nil && got.GetResuming()
					return resuming || strings.Contains(all[0].stderrText(), "pause")
				})
				t.Logf("resuming seen by a caller: %v", resuming)
			}
			for i, token := range entries.GetTokens() {
				requests[i].present(c, token, 700*time.Millisecond, all[1].vm.Address(), all[2].vm.Address())
			}
			time.Sleep(300 * time.Millisecond)
			runs := make(map[string]int)
			for _, searcher := range searchers.Searchers(orders) {
				for _, run := range searcher.Runs() {
					runs[run.Query()]++
				}
			}
			for _, request := range requests {
				if err := checkOnce(request.presentations, runs[request.text]); err != nil {
					t.Errorf("%s: %v; presentations %v", request.text, err, request.presentations)
				}
				for _, p := range request.presentations {
					if p.run == wire.RunState_RUN_STATE_UNSPECIFIED && p.reason != wire.Reason_REASON_UNSPECIFIED {
						t.Errorf("%s: got reason %v without a run state", request.text, p.reason)
					}
				}
			}
		})
	}
}

// Guards against detecting the normal service time of a searcher as a silent connection: before the first reply there is no
// learned service time to compare with.
func TestSlowServiceIsNotSilent(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{serviceTime: 800 * time.Millisecond})
	got, err := newCaller(10*time.Second).ask(context.Background(), f.Addresses()[0], searchQuery("slow", 5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if missing := got.answer.GetCoverage().GetMissing(); len(missing) > 0 {
		t.Errorf("got missing shards %v, want none", missing)
	}
}
