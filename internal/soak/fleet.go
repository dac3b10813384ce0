package soak

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/platform/stand"
)

const (
	callerPort = 18226 + iota
	readyPort
	directoryPort
	controlPort
	peerPort
)

// process is one node of the system in an operating system process of its own.
type process struct {
	machine  stand.NodeConfig
	settings string
	binary   string
	// storeLink carries the node's calls to the store.
	storeLink *proxy
	// arguments are the command line arguments of the binary.
	arguments []string
	log       io.Writer

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// callerAddress returns the address at which the node serves callers.
func (p *process) callerAddress() string { return fmt.Sprintf("%s:%d", p.machine.IP, callerPort) }

// readyAddress returns the address of the node's readiness endpoint.
func (p *process) readyAddress() string { return fmt.Sprintf("%s:%d", p.machine.IP, readyPort) }

// directoryAddress returns the address of the node's directory.
func (p *process) directoryAddress() string {
	return fmt.Sprintf("%s:%d", p.machine.IP, directoryPort)
}

// pid returns the id of the most recently started process.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

// start starts the process unless it is running: overlapping faults may start it twice.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited != nil {
		select {
		case <-p.exited:
		default:
			return nil
		}
	}
	command := exec.Command(p.binary, p.arguments...)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		// The exit status of a killed process carries no information.
		_ = command.Wait()
		close(exited)
	}()
	p.command, p.exited = command, exited
	return nil
}

// signal sends a signal to the most recently started process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Signalling a process that has exited returns an error, which needs no handling.
	_ = p.command.Process.Signal(s)
}

// stop sends a signal to the process and waits until it exits; it kills the process after the grace period. It reports whether the process has
// exited before that.
func (p *process) stop(s syscall.Signal, grace time.Duration) bool {
	p.signal(s)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}

// ended reports whether the most recently started process has exited.
func (p *process) ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// restoreStoreLink ends the fault of the node's link to the store.
func (p *process) restoreStoreLink() {
	p.storeLink.setFault(Pass{})
	p.storeLink.resetLinks()
}

// proxiedSearcher is a searcher that nodes reach through a proxy.
type proxiedSearcher struct {
	*stand.Searcher
	proxy   *proxy
	zone    string
	leaving bool
	// announced is set when a leaving searcher reported itself as draining; otherwise its entry was removed.
	announced bool
}

// searcherID returns a searcher's id. It contains the service, so that a proof shows which service answered.
func searcherID(service string, number int) string { return fmt.Sprintf("i_%s_%d", service, number) }

// serviceOfProof returns the service of the searcher that issued a proof for the request id, or the empty string if the proof is not
// valid for it.
func serviceOfProof(proof, id string) string {
	searcher, _, ok := strings.Cut(proof, ".")
	if !ok || proof != stand.Stamp(searcher, id) {
		return ""
	}
	parts := strings.Split(searcher, "_")
	if len(parts) != 3 {
		return ""
	}
	return parts[1]
}

// fleet is the store, the searchers and the nodes of one soak.
type fleet struct {
	directory string
	store     *stand.Store
	nodes     []*process

	mu sync.Mutex
	// searchers are all that were ever started. searcherCount is the number of ids that were assigned.
	searchers     []*proxiedSearcher
	searcherCount int
	// cutOff returns the id of the process that is cut off from the searchers; it is nil if none is.
	cutOff func() int
	// closed is set when the fleet ends; searchers that stop then have not crashed. onCrash handles the crash of a searcher.
	closed  bool
	onCrash func(s *proxiedSearcher)
}

// zoneRegions maps each zone of the soak to its region; each zone is in a region of its own.
var zoneRegions = map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}

var zoneNames = []string{"z1", "z2", "z3"}

// startFleet starts a store and the nodes, before any route is configured. With an error it returns what has been started, nil if nothing was.
func startFleet(binary, directory string, nodes int, logs func(node string) io.Writer) (*fleet, error) {
	f := &fleet{directory: directory}
	var err error
	if f.store, err = stand.StartStore(); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(nodes, 3) {
		seeds = append(seeds, nodeIP(i))
	}
	if nodes > hostsPerBlock {
		return f, errors.Newf("%d nodes, want at most %d", nodes, hostsPerBlock)
	}
	for i := range nodes {
		var storeLink *proxy
		if storeLink, err = startProxy(f.store.Address()); err != nil {
			return f, err
		}
		m := stand.NodeConfig{
			Node: fmt.Sprintf("front-%d", i), IP: nodeIP(i), Zone: zoneNames[i%len(zoneNames)], Zones: zoneRegions,
			CallerPort: callerPort, ReadyPort: readyPort, DirectoryPort: directoryPort, ControlPort: controlPort, PeerPort: peerPort,
			SeedIPs: seeds, StoreAddress: storeLink.address(),
		}
		p := &process{machine: m, settings: filepath.Join(directory, m.Node+".json"), binary: binary, storeLink: storeLink, log: logs(m.Node)}
		p.arguments = []string{"platform", "--settings", p.settings}
		if err := f.writeSettings(p); err != nil {
			return f, err
		}
		if err := p.start(); err != nil {
			return f, err
		}
		f.nodes = append(f.nodes, p)
	}
	return f, nil
}

// nodeIP returns the loopback address of a node. The address depends on the soak's process id, so that concurrent soaks do not use the
// same addresses.
func nodeIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid/hostsPerBlock%addressBlocks, pid%hostsPerBlock, 1+i)
}

// Soaks use the loopback addresses 127.10.0.0 to 127.209.249.254.
const (
	addressBlocks = 200
	hostsPerBlock = 250
)

func (f *fleet) writeSettings(p *process) error {
	data, err := p.machine.SettingsFile()
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, data, 0o600)
}

// addSearcher starts a searcher of a service and registers it.
func (f *fleet) addSearcher(service, zone string, work time.Duration) (*proxiedSearcher, error) {
	f.mu.Lock()
	f.searcherCount++
	id := searcherID(service, f.searcherCount)
	f.mu.Unlock()
	searcher, err := stand.StartSearcher(id, service, 4, work)
	if err != nil {
		return nil, err
	}
	p, err := startProxy(searcher.Address())
	if err != nil {
		return nil, err
	}
	s := &proxiedSearcher{Searcher: searcher, proxy: p, zone: zone}
	searcher.CrashOn(isCrasher)
	f.mu.Lock()
	f.searchers = append(f.searchers, s)
	if f.cutOff != nil {
		p.cutCaller(nil, f.cutOff)
	}
	f.mu.Unlock()
	go func() {
		<-s.Done()
		if !f.isClosed() {
			s.proxy.close()
			f.onCrash(s)
		}
	}()
	f.store.Register(searcher, p.address(), zone, "ready")
	return s, nil
}

// activeSearchers returns the searchers that are not leaving.
func (f *fleet) activeSearchers() []*proxiedSearcher {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*proxiedSearcher
	for _, s := range f.searchers {
		if !s.leaving {
			list = append(list, s)
		}
	}
	return list
}

// runs returns all runs that searchers began.
func (f *fleet) runs() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []run
	for _, s := range f.searchers {
		for _, r := range s.Runs() {
			list = append(list, run{Run: r, searcher: s.ID(), service: s.Service()})
		}
	}
	return list
}

func (f *fleet) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// close stops all nodes, searchers and proxies, and the store.
func (f *fleet) close() {
	for _, p := range f.nodes {
		p.signal(syscall.SIGCONT)
		p.stop(syscall.SIGKILL, time.Second)
		p.storeLink.close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, s := range f.searchers {
		s.Close()
		s.proxy.close()
	}
	f.store.Close()
}
