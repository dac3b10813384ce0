//go:build review

// Package review holds the stand-ins of the review's scripts. It is built with go test -c and the tag review. The stand-ins use the network
// only: they print what is to be done with processes and files, one line each, and the shell script does it.
package review

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// scenarios are the scripted cases by the name that the script passes in REVIEW_CASE.
var scenarios = map[string]func(*world){}

// TestStand runs one scenario.
func TestStand(t *testing.T) {
	run, ok := scenarios[os.Getenv("REVIEW_CASE")]
	if !ok {
		t.Skip("REVIEW_CASE names no scenario")
	}
	w, err := newWorld()
	if err != nil {
		fmt.Println("result 2", err)
		return
	}
	run(w)
}

// Ports of a node. Each node has a loopback address of its own.
const (
	callerPort    = 18226
	readyPort     = 18227
	directoryPort = 18225
	controlPort   = 18224
	peerPort      = 17740
)

// Figures of swanline-search.
const (
	contact     = 5 * time.Second
	idleTimeout = 15 * time.Second
	host        = "leno12.example"
	// memoryLimit is the memory of a front machine in bytes, and siteRate the requests a second on the site's days of high load.
	memoryLimit = 284 << 20
	siteRate    = 247.7
)

// world is one run of a scenario: the store, the searchers, the nodes, and the record of requests.
type world struct {
	trouble   bool
	started   time.Time
	store     *stand.Store
	searchers []*stand.Searcher
	nodes     []*node
	output    sync.Mutex

	// kept holds the callers' idle connections.
	kept keptConns

	mu       sync.Mutex
	requests map[string]*request
	lastID   int
}

// node is a process of the system, which the script starts.
type node struct {
	name string
	zone string
	ip   string
	// removed is set once the machine is taken out of service.
	removed atomic.Bool
}

func (n *node) address() string { return net.JoinHostPort(n.ip, strconv.Itoa(callerPort)) }

// request is a caller's request and its outcome.
type request struct {
	id      string
	node    string
	kind    string
	sentAt  time.Duration
	endedAt time.Duration
	// outcome is the status of the answer, or why there was none.
	outcome string
	status  int
	// broken is set when the connection ended before the answer was complete.
	broken bool
}

func newWorld() (*world, error) {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), requests: make(map[string]*request)}
	var err error
	w.store, err = stand.StartStore()
	return w, err
}

// now returns the time since the start of the scenario.
func (w *world) now() time.Duration { return time.Since(w.started) }

// say prints one instruction for the script.
func (w *world) say(format string, arguments ...any) {
	w.output.Lock()
	defer w.output.Unlock()
	fmt.Printf(format+"\n", arguments...)
}

// note prints one line for the record.
func (w *world) note(format string, arguments ...any) {
	w.say("record %8.3f %s", w.now().Seconds(), fmt.Sprintf(format, arguments...))
}

// finish ends the scenario with the exit status of the script.
func (w *world) finish(status int, format string, arguments ...any) {
	w.say("result %d %s", status, fmt.Sprintf(format, arguments...))
}

// addSearchers starts and registers n searchers of a service.
func (w *world) addSearchers(service string, n, slots int, work time.Duration) []*stand.Searcher {
	var added []*stand.Searcher
	for i := range n {
		s, err := stand.StartSearcher(fmt.Sprintf("i-%s-%d", service, i+1), service, slots, work)
		if err != nil {
			w.finish(2, "start a searcher: %v", err)
			os.Exit(0)
		}
		w.store.Register(s, s.Address(), zones[i%len(zones)], "ready")
		w.searchers = append(w.searchers, s)
		added = append(added, s)
	}
	return added
}

// zones are the availability zones of the site, with one region each.
var zones = []string{"perth-a", "bunbury-a", "geraldton-a"}

// regions maps each zone to its region.
func regions() map[string]string {
	all := make(map[string]string)
	for _, zone := range zones {
		all[zone] = strings.TrimSuffix(zone, "-a")
	}
	return all
}

// kind is a kind of request.
type kind struct {
	name     string
	path     string
	deadline time.Duration
}

var (
	archiveSearch = kind{name: "archive-search", path: "/archive/2f", deadline: 1500 * time.Millisecond}
	orderLookup   = kind{name: "order-lookup", path: "/orders/2f", deadline: 3 * time.Second}
)

// numbered returns the kind of a site's i-th request: a fifth of them are order-lookups.
func numbered(i int) kind {
	if i%5 == 0 {
		return orderLookup
	}
	return archiveSearch
}

// configRoute is a route of the operator's configuration, by the field names of the store.
type configRoute map[string]any

// gatherRoute returns a route over shards with the figures of archive-search.
func gatherRoute(prefix string, shards []string) configRoute {
	return configRoute{"name": "r-gather", "host": host, "prefix": prefix, "kind": "safe", "timeout_ms": 1500, "latency_goal_ms": 150,
		"priority": 1, "max_attempts": 2, "gather": shards, "top_k": 10, "min_coverage": 0.89}
}

// singleRoute returns a route to one service with the figures of order-lookup.
func singleRoute(prefix, service, kind string) configRoute {
	return configRoute{"name": "r-single", "host": host, "prefix": prefix, "kind": kind, "timeout_ms": 3000, "latency_goal_ms": 600,
		"priority": 2, "max_attempts": 2, "service": service}
}

// addSite starts the searchers of swanline-search and configures its routes. It returns the searchers of the shards.
func (w *world) addSite(orderKind string) (shardSearchers []*stand.Searcher) {
	maxConns := map[string]int{"rider-sizing": 51}
	w.addSearchers("rider-sizing", 4, 6, 60*time.Millisecond)
	var shards []string
	for i := range 10 {
		shard := fmt.Sprintf("captain-portal-%d", i+1)
		shards = append(shards, shard)
		maxConns[shard] = 26
		shardSearchers = append(shardSearchers, w.addSearchers(shard, 3, 2, 7500*time.Microsecond)...)
	}
	w.configure([]configRoute{gatherRoute("/archive/", shards), singleRoute("/orders/", "rider-sizing", orderKind)}, maxConns)
	return shardSearchers
}

// configure writes the first version of the configuration. Each searcher accepts the given number of connections.
func (w *world) configure(routes []configRoute, maxConns map[string]int) {
	var services []map[string]any
	for name, n := range maxConns {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": n, "protocol": "h1", "tls": false})
	}
	w.store.PutJSON("op/config", map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeout.Milliseconds()},
	})
}

// startNodes prints the settings of a node in each of the given zones, asks the script to start them, and waits until they are ready.
// descriptors limits their descriptors; 0 leaves the limit as it is.
func (w *world) startNodes(nodeZones []string, descriptors int) bool {
	network := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	inZone := make(map[string]int)
	for i, zone := range nodeZones {
		inZone[zone]++
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("front-%s-%d", zone, inZone[zone]), zone: zone, ip: network + strconv.Itoa(10+i)})
	}
	// The settings name at most three seeds.
	var seeds []string
	for _, n := range w.nodes[:min(3, len(w.nodes))] {
		seeds = append(seeds, n.ip)
	}
	for _, n := range w.nodes {
		settings, err := json.Marshal(w.settings(n, seeds))
		if err != nil {
			w.finish(2, "settings: %v", err)
			return false
		}
		w.say("settings %s %s", n.name, settings)
		w.say("start %s %d", n.name, descriptors)
	}
	for _, node := range w.nodes {
		if !w.awaitReady(node) {
			w.finish(2, "%s did not become ready", node.name)
			return false
		}
	}
	// Nodes leave connections for others until they know each other.
	time.Sleep(2 * time.Second)
	return true
}

// settings returns the settings of a front machine of swanline-search.
func (w *world) settings(n *node, seeds []string) map[string]any {
	at := func(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	var seedAddresses []string
	for _, ip := range seeds {
		seedAddresses = append(seedAddresses, at(ip, controlPort))
	}
	return map[string]any{
		"node_name": n.name, "role": "node", "machine_class": "front", "serves": []string{"front", "control", "directory"},
		"ip": n.ip, "zone": n.zone, "region": regions()[n.zone], "zones": regions(),
		"listen": map[string]string{
			"front": at(n.ip, callerPort), "ready": at(n.ip, readyPort), "control": at(n.ip, controlPort), "directory": at(n.ip, directoryPort),
		},
		"internal_ports": []int{peerPort, peerPort + 15}, "seeds": seedAddresses, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryLimit >> 20, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"},
		"fault_tolerance": map[string]any{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": contact.Milliseconds(), "ack_ms": 6000, "catch_up_s": 4, "drain_ms": 4000,
			"grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 4000, "rollback_slack_ms": 250, "max_skew_ms": 15000,
			"retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56, "recovery_s": 12, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": w.store.Address(), "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
			"min_ttl_ms": 1000,
		},
	}
}

func (w *world) awaitReady(n *node) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.ready(n) == http.StatusOK {
			return true
		}
	}
	return false
}

// ready returns the status of a node's readiness check, or 0 if there was no answer within a second.
func (w *world) ready(n *node) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + net.JoinHostPort(n.ip, strconv.Itoa(readyPort)) + "/v1/ready")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// resolve asks the directories, those of the caller's zone first, which nodes to connect to, and for how long the answer is valid.
func (w *world) resolve(zone string) ([]*node, time.Duration) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var order []*node
	for _, own := range []bool{true, false} {
		for _, n := range w.nodes {
			if (n.zone == zone) == own && !n.removed.Load() {
				order = append(order, n)
			}
		}
	}
	for _, n := range order[:min(3, len(order))] {
		response, err := client.Get("http://" + net.JoinHostPort(n.ip, strconv.Itoa(directoryPort)) + "/v1/resolve?name=" + host + "&region=" + regions()[zone] + "&zone=" + zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addrs"`
			Validity  float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			continue
		}
		var found []*node
		for _, address := range answer.Addresses {
			for _, known := range w.nodes {
				if known.address() == address {
					found = append(found, known)
				}
			}
		}
		if len(found) > 0 {
			return found, time.Duration(answer.Validity * float64(time.Second))
		}
	}
	return nil, 0
}

// directory is what the callers of a zone know of the nodes.
type directory struct {
	mu    sync.Mutex
	nodes []*node
}

// watchDirectory keeps the answer of a zone's directory for its validity time until done.
func (w *world) watchDirectory(done <-chan struct{}, zone string) *directory {
	d := &directory{}
	refresh := func() time.Duration {
		nodes, validity := w.resolve(zone)
		d.mu.Lock()
		defer d.mu.Unlock()
		if len(nodes) > 0 {
			d.nodes = nodes
		}
		return max(validity, 100*time.Millisecond)
	}
	wait := refresh()
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(wait):
				wait = refresh()
			}
		}
	}()
	return d
}

// random returns a random node of the answer, or nil if there was none yet.
func (d *directory) random() *node {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.nodes) == 0 {
		return nil
	}
	return d.nodes[rand.IntN(len(d.nodes))]
}

// signal asks the script to send a signal to a node.
func (w *world) signal(n *node, name string) {
	w.note("signal %s to %s", name, n.name)
	w.say("signal %s %s", n.name, name)
}

// begin records a request that is about to be sent.
func (w *world) begin(n *node, k kind) *request {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	r := &request{id: fmt.Sprintf("%08x%08x", rand.Uint32(), w.lastID), node: n.name, kind: k.name, sentAt: w.now()}
	w.requests[r.id] = r
	return r
}

// end records the outcome of a request.
func (w *world) end(r *request, status int, format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.endedAt, r.status, r.outcome = w.now(), status, fmt.Sprintf(format, arguments...)
}

// head returns the bytes of a request.
func head(r *request, method, path, body string, deadline time.Duration) []byte {
	message := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, r.id, deadline.Milliseconds())
	if method != http.MethodGet {
		message = fmt.Appendf(message, "Content-Length: %d\r\n", len(body))
	}
	return append(append(message, "\r\n"...), body...)
}

// caller is one connection to a node.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a connection; callers allow one second for it.
func connect(n *node) (*caller, error) {
	conn, err := net.DialTimeout("tcp", n.address(), time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// keptConns holds idle connections by node.
type keptConns struct {
	mu   sync.Mutex
	idle map[*node][]*caller
}

// take returns an idle connection to a node, or a new one.
func (k *keptConns) take(n *node) (*caller, error) {
	k.mu.Lock()
	if idle := k.idle[n]; len(idle) > 0 {
		c := idle[len(idle)-1]
		k.idle[n] = idle[:len(idle)-1]
		k.mu.Unlock()
		return c, nil
	}
	k.mu.Unlock()
	return connect(n)
}

// put keeps a connection for a later request.
func (k *keptConns) put(n *node, c *caller) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.idle == nil {
		k.idle = make(map[*node][]*caller)
	}
	k.idle[n] = append(k.idle[n], c)
}

// send sends one request and waits for the answer. It returns whether the connection can be used for another one.
func (w *world) send(c *caller, r *request, method, path, body string, deadline time.Duration) bool {
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := c.conn.Write(head(r, method, path, body, deadline)); err != nil {
		w.end(r, 0, "not sent: %v", err)
		return false
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		r.broken = !errors.Is(err, os.ErrDeadlineExceeded)
		w.end(r, 0, "no answer: %v", err)
		return false
	}
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		r.broken = !errors.Is(err, os.ErrDeadlineExceeded)
		w.end(r, 0, "incomplete answer with status %d: %v", response.StatusCode, err)
		return false
	}
	w.end(r, response.StatusCode, "status %d, %d bytes", response.StatusCode, len(answer))
	return !response.Close
}

// ran returns the runs of the searchers that are not excluded, by request.
func (w *world) ran(excluded ...*stand.Searcher) map[string][]stand.Run {
	runs := make(map[string][]stand.Run)
	for _, s := range w.searchers {
		if slices.Contains(excluded, s) {
			continue
		}
		for _, run := range s.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	return runs
}

// recordRequests writes all requests, their outcomes and their runs to the record.
func (w *world) recordRequests() {
	runs := w.ran()
	w.mu.Lock()
	var all []*request
	for _, r := range w.requests {
		all = append(all, r)
	}
	w.mu.Unlock()
	sort.Slice(all, func(i, j int) bool { return all[i].sentAt < all[j].sentAt })
	var lines bytes.Buffer
	for _, r := range all {
		var at []string
		for _, run := range runs[r.id] {
			at = append(at, fmt.Sprintf("%.3f", run.StartTime.Sub(w.started).Seconds()))
		}
		fmt.Fprintf(&lines, "record request %s %s to %s sent %.3f ended %.3f: %s; run at [%s]\n", r.id, r.kind, r.node, r.sentAt.Seconds(),
			r.endedAt.Seconds(), r.outcome, strings.Join(at, " "))
	}
	w.output.Lock()
	defer w.output.Unlock()
	_, _ = os.Stdout.Write(lines.Bytes())
}
