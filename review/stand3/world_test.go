//go:build review3

// Package stand3 holds the cases of the third independent review that are scripts: the program's own processes on loopback addresses, and stand-ins
// of the platform's store, searchers and consumers. It is built by review/build-3.sh and started by the run.sh of a case.
package stand3

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Ports of a node, as in the settings that the pages show.
const (
	frontPort, readyPort, controlPort, directoryPort = 8226, 8227, 8224, 8225
	firstInternalPort, lastInternalPort              = 7740, 7755
	metricsPort                                      = 9464
)

// world is everything that a case starts.
type world struct {
	began time.Time
	dir   string
	// trouble is false with TROUBLE=0.
	trouble bool
	store   *stand.Store
	nodes   []*node
	config  map[string]any
	version int
	// bounds are those of the settings files.
	bounds map[string]any

	mu       sync.Mutex
	notes    []string
	requests map[string]*request
	// watched are the searchers whose arrivals the record lists one by one; further ones of a query over many shards are counted.
	watched map[string]bool
	ended   bool
}

// request is a request of a consumer, and what became of it. Its fields are guarded by the world's mu.
type request struct {
	id, node, path string
	sent, answered time.Time
	result         string
	runs           []arrival
}

// arrival is a request that reached a searcher.
type arrival struct {
	searcher string
	at       time.Time
	// state is run, rejected (not run) or cut (its connection or its searcher ended before the answer).
	state string
}

// maxListed is the number of arrivals of a request up to which the record lists all of them.
const maxListed = 4

func newWorld() *world {
	w := &world{began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", requests: make(map[string]*request), watched: make(map[string]bool)}
	var err error
	if w.dir, err = os.MkdirTemp("", "review3-"); err != nil {
		w.giveUp("temporary folder: %v", err)
	}
	if w.store, err = stand.StartStore(); err != nil {
		w.giveUp("store: %v", err)
	}
	w.bounds = map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 5000, "ack_ms": 6000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
		"config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 15000, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52,
		"recovery_s": 12, "ttl_max_s": 5,
	}
	return w
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) at(t time.Time) float64 { return t.Sub(w.began).Seconds() }

// giveUp ends the case as one that could not run.
func (w *world) giveUp(format string, args ...any) {
	w.note("could not run: "+format, args...)
	w.end(exitNotRun)
}

// end stops all processes, writes the record and exits.
func (w *world) end(code int) {
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		select {}
	}
	w.ended = true
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.kill()
	}
	if err := w.writeRecord(code); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
	os.Exit(code)
}

func (w *world) writeRecord(code int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	for _, line := range w.notes {
		fmt.Println(line)
		b.WriteString(line + "\n")
	}
	fmt.Fprintf(&b, "exit code %d (0: the rule held, 1: broken, 2: not run); trouble %v\n\n", code, w.trouble)
	b.WriteString("requests: sent at, id, path, node; answered at, result; arrivals: searcher, at, state (times in seconds)\n")
	all := make([]*request, 0, len(w.requests))
	for _, r := range w.requests {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sent.Before(all[j].sent) })
	for _, r := range all {
		fmt.Fprintf(&b, "%.3f %s %s %s;", w.at(r.sent), r.id, r.path, r.node)
		switch {
		case !r.answered.IsZero():
			fmt.Fprintf(&b, " %.3f %s;", w.at(r.answered), r.result)
		default:
			b.WriteString(" open;")
		}
		others := make(map[string]int)
		for _, a := range r.runs {
			if len(r.runs) > maxListed && !w.watched[a.searcher] {
				others[a.state]++
				continue
			}
			fmt.Fprintf(&b, " %s %.3f %s,", a.searcher, w.at(a.at), a.state)
		}
		if len(others) > 0 {
			fmt.Fprintf(&b, " others %v", others)
		}
		b.WriteString("\n")
	}
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// node is a process of the program.
type node struct {
	w                  *world
	name, zone, region string
	ip                 string
	cpuShare           float64
	storeLink          *link
	command            *exec.Cmd
	exited             chan struct{}
}

// freeIP returns a loopback address on which all ports of a node are free.
func freeIP(taken map[string]bool) (string, error) {
	seed := time.Now().UnixNano() + int64(os.Getpid())
	for i := range int64(2000) {
		h := xxhash.Sum64String(fmt.Sprint(seed, i))
		ip := fmt.Sprintf("127.%d.%d.%d", 20+h%200, h>>8%250+1, h>>16%250+1)
		if taken[ip] {
			continue
		}
		ok := true
		for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, firstInternalPort, metricsPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port)))
			if err != nil {
				ok = false
				break
			}
			_ = l.Close()
		}
		if ok {
			taken[ip] = true
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free loopback address")
}

// addNodes creates nodes by zone without starting them. zones maps each zone to its region.
func (w *world) addNodes(zones map[string]string, count map[string]int, cpuShare float64) {
	taken := make(map[string]bool)
	for _, zone := range slices.Sorted(mapsKeys(count)) {
		for i := range count[zone] {
			ip, err := freeIP(taken)
			if err != nil {
				w.giveUp("%v", err)
			}
			n := &node{w: w, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, region: zones[zone], ip: ip, cpuShare: cpuShare}
			if n.storeLink, err = newLink(w.store.Address()); err != nil {
				w.giveUp("%v", err)
			}
			w.nodes = append(w.nodes, n)
		}
	}
	w.writeSettings(zones)
}

// writeSettings writes the settings files of all nodes.
func (w *world) writeSettings(zones map[string]string) {
	var seeds []string
	seen := make(map[string]bool)
	for _, n := range w.nodes {
		if !seen[n.zone] && len(seeds) < 3 {
			seen[n.zone] = true
			seeds = append(seeds, fmt.Sprintf("%s:%d", n.ip, controlPort))
		}
	}
	for _, n := range w.nodes {
		n.writeSettings(zones, seeds)
	}
}

func mapsKeys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (n *node) settingsPath() string { return filepath.Join(n.w.dir, n.name+".json") }
func (n *node) logPath() string      { return filepath.Join(n.w.dir, n.name+".log") }
func (n *node) front() string        { return fmt.Sprintf("%s:%d", n.ip, frontPort) }

func (n *node) writeSettings(zones map[string]string, seeds []string) {
	hostPort := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
	data, err := json.MarshalIndent(map[string]any{
		"node_name": n.name, "role": "node", "machine_class": "front", "serves": []string{"front", "control", "directory"}, "ip": n.ip, "zone": n.zone,
		"region": n.region, "zones": zones,
		"listen":         map[string]string{"front": hostPort(frontPort), "ready": hostPort(readyPort), "control": hostPort(controlPort), "directory": hostPort(directoryPort)},
		"internal_ports": []int{firstInternalPort, lastInternalPort}, "seeds": seeds, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": n.cpuShare, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"},
		"fault_tolerance": map[string]any{"machines": 2, "zones": 0, "regions": 0}, "bounds": n.w.bounds,
		"platform": map[string]any{
			"address": n.storeLink.address(), "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000,
		},
	}, "", "  ")
	if err == nil {
		err = os.WriteFile(n.settingsPath(), data, 0o644)
	}
	if err != nil {
		n.w.giveUp("settings: %v", err)
	}
}

// program is the program that the deploy file builds, and the argument with which it is run.
var program = []string{"target/fireflylanding", "platform"}

// start starts the process with the command of the deploy file. It must be called by the main goroutine, whose thread outlives the process.
func (n *node) start() {
	out, err := os.Create(n.logPath())
	if err != nil {
		n.w.giveUp("%v", err)
	}
	root := os.Getenv("ROOT")
	n.command = exec.Command(filepath.Join(root, program[0]), program[1:]...)
	n.command.Dir, n.command.Stdout, n.command.Stderr = root, out, out
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIREFLYLANDING_SETTINGS=" + n.settingsPath()}
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		n.w.giveUp("start %s: %v", n.name, err)
	}
	exited := make(chan struct{})
	n.exited = exited
	go func(command *exec.Cmd) {
		_ = command.Wait()
		_ = out.Close()
		close(exited)
	}(n.command)
}

func (n *node) kill() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Kill()
	<-n.exited
}

func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// alive reports whether the process runs.
func (n *node) alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// awaitReady waits until all nodes answer that they are ready.
func (w *world) awaitReady(nodes ...*node) {
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range nodes {
		for {
			response, err := quickClient.Get(fmt.Sprintf("http://%s:%d/v1/ready", n.ip, readyPort))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) || !n.alive() {
				w.giveUp("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

var quickClient = &http.Client{Timeout: time.Second}

// resolve asks the directory of a zone, nearest first, where to connect.
func (w *world) resolve(host, zone, region string) []string {
	var near []*node
	for _, n := range w.nodes {
		if n.zone == zone && n.command != nil && n.alive() {
			near = append(near, n)
		}
	}
	for _, n := range near {
		query := url.Values{"name": {host}, "region": {region}, "zone": {zone}}
		response, err := quickClient.Get(fmt.Sprintf("http://%s:%d/v1/resolve?%s", n.ip, directoryPort, query.Encode()))
		if err != nil {
			continue
		}
		var answer struct {
			Addrs []string `json:"addrs"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && len(answer.Addrs) > 0 {
			return answer.Addrs
		}
	}
	return nil
}

// nodeAt returns the name of the node with a caller address.
func (w *world) nodeAt(address string) string {
	for _, n := range w.nodes {
		if n.front() == address {
			return n.name
		}
	}
	return "?"
}

// link is a TCP proxy before the store or a searcher. Cut, it resets its connections and those that are opened. Silent, it passes nothing on, and
// connections that were opened meanwhile or carried bytes are reset when it ends.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
	// silent is closed when the silence ends, nil without silence.
	silent chan struct{}
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go l.run()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) run() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		if l.cut {
			reset(near)
			l.mu.Unlock()
			continue
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			reset(near)
			l.mu.Unlock()
			continue
		}
		l.conns[near], l.conns[far] = true, true
		l.mu.Unlock()
		go l.copy(near, far)
		go l.copy(far, near)
	}
}

func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if silent != nil {
			// What is sent into the silence is lost, and so is the connection.
			<-silent
			reset(from)
			reset(to)
			break
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	l.mu.Lock()
	delete(l.conns, to)
	delete(l.conns, from)
	l.mu.Unlock()
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for c := range l.conns {
			reset(c)
		}
	}
}

func (l *link) setSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case silent && l.silent == nil:
		l.silent = make(chan struct{})
	case !silent && l.silent != nil:
		close(l.silent)
		l.silent = nil
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func init() {
	// The processes of the program end with the thread that started them.
	runtime.LockOSThread()
}
