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

// process is one node of the system as an operating system process.
type process struct {
	machine  stand.NodeConfig
	settings string
	binary   string
	// arguments are those of the binary.
	arguments []string
	log       io.Writer

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// caller returns the address for callers.
func (p *process) caller() string { return fmt.Sprintf("%s:%d", p.machine.IP, callerPort) }

// ready returns the address for checks.
func (p *process) ready() string { return fmt.Sprintf("%s:%d", p.machine.IP, readyPort) }

// start starts the process unless it runs: faults that overlap may start it twice.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended != nil {
		select {
		case <-p.ended:
		default:
			return nil
		}
	}
	command := exec.Command(p.binary, p.arguments...)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		// The exit status of a process that was killed says nothing.
		_ = command.Wait()
		close(ended)
	}()
	p.command, p.ended = command, ended
	return nil
}

// signal sends a signal to the process that was started here.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A process that has ended takes no signal.
	_ = p.command.Process.Signal(s)
}

// stop ends the process with a signal and waits, killing it after the platform's grace.
func (p *process) stop(s syscall.Signal, grace time.Duration) {
	p.signal(s)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

// server is a searcher behind a proxy.
type server struct {
	*stand.Searcher
	proxy   *proxy
	zone    string
	leaving bool
}

// searcherID returns an id that names the service, so that a proof shows it.
func searcherID(service string, number int) string { return fmt.Sprintf("i_%s_%d", service, number) }

// serviceOfProof returns the service whose searcher made a proof for a request, empty when it is no such proof.
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
	storeLink *proxy
	nodes     []*process

	mu sync.Mutex
	// servers are all that ever ran; number counts them.
	servers []*server
	number  int
}

// zones are those of the soak; each is a region of its own.
var zones = map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}

var zoneNames = []string{"z1", "z2", "z3"}

// startFleet starts a store and nodes without routes.
func startFleet(binary, directory string, nodes int, logs func(node string) io.Writer) (*fleet, error) {
	f := &fleet{directory: directory}
	var err error
	if f.store, err = stand.StartStore(); err != nil {
		return nil, err
	}
	if f.storeLink, err = startProxy(f.store.Address()); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(nodes, 3) {
		seeds = append(seeds, nodeIP(i))
	}
	if nodes > hostsPerBlock {
		return nil, errors.Newf("%d nodes, want at most %d", nodes, hostsPerBlock)
	}
	for i := range nodes {
		m := stand.NodeConfig{
			Node: fmt.Sprintf("front-%d", i), IP: nodeIP(i), Zone: zoneNames[i%len(zoneNames)], Zones: zones,
			CallerPort: callerPort, ReadyPort: readyPort, DirectoryPort: directoryPort, ControlPort: controlPort, PeerPort: peerPort,
			SeedIPs: seeds, StoreAddress: f.storeLink.address(),
		}
		p := &process{machine: m, settings: filepath.Join(directory, m.Node+".json"), binary: binary, log: logs(m.Node)}
		p.arguments = []string{"platform", "--settings", p.settings}
		if err := f.writeSettings(p); err != nil {
			return nil, err
		}
		if err := p.start(); err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, p)
	}
	return f, nil
}

// nodeIP returns the loopback address of a node. It goes by the soak's process, so that soaks that run at the same time do not meet.
func nodeIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid/hostsPerBlock%blocks, pid%hostsPerBlock, 1+i)
}

// Loopback addresses 127.10.0.0 to 127.209.249.254 are those of soaks.
const (
	blocks        = 200
	hostsPerBlock = 250
)

func (f *fleet) writeSettings(p *process) error {
	data, err := p.machine.SettingsFile()
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, data, 0o600)
}

// addServer starts a searcher of a service and registers it.
func (f *fleet) addServer(service, zone string, work time.Duration) (*server, error) {
	f.mu.Lock()
	f.number++
	id := searcherID(service, f.number)
	f.mu.Unlock()
	searcher, err := stand.StartSearcher(id, service, 4, work)
	if err != nil {
		return nil, err
	}
	p, err := startProxy(searcher.Address())
	if err != nil {
		return nil, err
	}
	s := &server{Searcher: searcher, proxy: p, zone: zone}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	f.store.Register(searcher, p.address(), zone, "ready")
	return s, nil
}

// running returns the searchers that do not leave.
func (f *fleet) running() []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*server
	for _, s := range f.servers {
		if !s.leaving {
			list = append(list, s)
		}
	}
	return list
}

// runs returns all that searchers began to work on.
func (f *fleet) runs() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []run
	for _, s := range f.servers {
		for _, r := range s.Runs() {
			list = append(list, run{Run: r, searcher: s.ID(), service: s.Service()})
		}
	}
	return list
}

// close ends all that the fleet started.
func (f *fleet) close() {
	for _, p := range f.nodes {
		p.signal(syscall.SIGCONT)
		p.stop(syscall.SIGKILL, time.Second)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.Close()
		s.proxy.close()
	}
	f.storeLink.close()
	f.store.Close()
}
