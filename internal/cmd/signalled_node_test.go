package cmd

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// nodeOutput keeps what a process prints. It is safe for concurrent use.
type nodeOutput struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (o *nodeOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *nodeOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// signalledNode is a node in a process of its own.
type signalledNode struct {
	*exec.Cmd
	stand.NodeConfig
	store  *stand.Store
	output nodeOutput
}

// nodesStarted counts the nodes that tests have started, each of which has an address of its own.
var nodesStarted atomic.Int64

// startSignalledNode starts a node as a process of its own. With configured set, the store has a route to a searcher.
func startSignalledNode(t *testing.T, binary string, configured bool) *signalledNode {
	t.Helper()
	n := newSignalledNode(t, binary, configured)
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	return n
}

// newSignalledNode returns a node that is not started yet.
func newSignalledNode(t *testing.T, binary string, configured bool) *signalledNode {
	t.Helper()
	store, err := stand.StartStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	searcher, err := stand.StartSearcher("i-one", "one", 4, runTime)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(searcher.Close)
	// A request may be incomplete for longer than a node may take to stop.
	store.SetHeaderTimeout(2 * stopTime)
	if configured {
		store.Register(searcher, searcher.Address(), "z", "ready")
		store.PutConfig(1, []stand.Route{{Host: "h", Prefix: "/a/", Service: "one", Unsafe: true, TimeoutMS: 5000, GoalMS: 4000}}, []string{"one"})
	}
	ports := make([]int, 5)
	for i := range ports {
		network := "tcp"
		if i == len(ports)-1 {
			network = "udp"
		}
		address, err := stand.FreeAddress(network)
		if err != nil {
			t.Fatal(err)
		}
		if ports[i], err = strconv.Atoi(address[strings.LastIndex(address, ":")+1:]); err != nil {
			t.Fatal(err)
		}
	}
	ip := fmt.Sprintf("127.220.%d.%d", os.Getpid()%250, 1+nodesStarted.Add(1)%250)
	config := stand.NodeConfig{
		Node: "front-1", IP: ip, Zone: "z", Zones: map[string]string{"z": "r"}, CallerPort: ports[0], ReadyPort: ports[1], DirectoryPort: ports[2],
		ControlPort: ports[3], PeerPort: ports[4], SeedIPs: []string{ip}, StoreAddress: store.Address(),
	}
	settings := filepath.Join(t.TempDir(), "settings.json")
	n := &signalledNode{Cmd: exec.Command(binary, "platform", "--settings", settings), NodeConfig: config, store: store}
	n.writeSettings(t)
	n.Stdout, n.Stderr = &n.output, &n.output
	t.Cleanup(func() {
		if n.Process != nil {
			// It may have ended already.
			_ = n.Process.Kill()
		}
		if t.Failed() {
			t.Log(n.output.String())
		}
	})
	return n
}

// writeSettings writes the settings file of the node, which is read when it starts.
func (n *signalledNode) writeSettings(t *testing.T) {
	t.Helper()
	data, err := n.SettingsFile()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(n.Args[len(n.Args)-1], data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// awaitSignalled waits until a condition holds.
func awaitSignalled(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(signalTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met within %v", condition, signalTimeout)
		}
	}
}

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "fireflylanding")
	if output, err := exec.Command("go", "build", "-o", binary, "github.com/fireflylanding/fireflylanding").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return binary
}

// hasHangup reports whether SIGHUP is in one of the signal masks of a process.
func hasHangup(t *testing.T, process int, masks ...string) bool {
	t.Helper()
	found, err := stand.InSignalMasks(process, syscall.SIGHUP, masks...)
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// ready reports whether the node is ready.
func (n *signalledNode) ready(ctx context.Context) bool {
	return stand.IsReady(ctx, stand.NewClient(), n.IP+":"+strconv.Itoa(n.ReadyPort))
}

// ask sends a request and returns the status of its answer, 0 if there was none.
func (n *signalledNode) ask(id, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), signalTimeout)
	defer cancel()
	answer, err := stand.Send(ctx, stand.NewClient(), n.IP+":"+strconv.Itoa(n.CallerPort),
		stand.Request{ID: id, Method: http.MethodPost, Host: "h", Path: path, Timeout: 5 * time.Second})
	if err != nil {
		return 0
	}
	return answer.Status
}

// children returns the processes that a process has started and that still run.
func children(t *testing.T, process int) []int {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", process))
	if err != nil {
		t.Fatal(err)
	}
	var all []int
	for _, file := range files {
		// A thread may end meanwhile.
		list, _ := os.ReadFile(file)
		for field := range strings.FieldsSeq(string(list)) {
			child, err := strconv.Atoi(field)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, child)
		}
	}
	return all
}
