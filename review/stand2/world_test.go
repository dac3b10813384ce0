//go:build review

// Package stand2 holds the stand-ins of the second review: searchers, callers and the settings of nodes. The nodes themselves are processes that
// the scripts of the cases start. It is built with go test -c by review/build-2.sh.
package stand2

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/platform/stand"
)

const (
	heartbeat = 1200 * time.Millisecond
	testHost  = "leno12.example"
)

// site is a small deployment of the pages: its bounds, and its availability zones by region.
type site struct {
	contactMS, drainMS, configApplyMS, retrySlack int
	zones                                         []string
	regions                                       map[string]string
}

var (
	swanline = site{5000, 4000, 4000, 56, []string{"perth-a", "bunbury-a", "geraldton-a"},
		map[string]string{"perth-a": "perth", "bunbury-a": "bunbury", "geraldton-a": "geraldton"}}
	kodasmidja = site{6000, 5000, 5000, 204, []string{"rvk-a", "aey-a", "egs-a"},
		map[string]string{"rvk-a": "reykjavik", "aey-a": "akureyri", "egs-a": "egilsstadir"}}
)

// world is one small deployment on loopback addresses: a store, searchers, and the settings of the nodes.
type world struct {
	site
	t     *testing.T
	store *stand.Store
	// storeAddress is where the nodes reach the store.
	storeAddress string
	trouble      bool
	dir          string
	started      time.Time
	version      int
	searchers    []*searcher
	nodes        []*node

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

// node is the addresses of a process that the script starts.
type node struct{ name, ip, zone string }

func (n node) front() string { return n.ip + ":8226" }
func (n node) ready() string { return n.ip + ":8227" }

// newWorld starts the store. The environment variables CASE_DIR, CASE_RECORD and TROUBLE come from the script.
func newWorld(t *testing.T, s site) *world {
	w := &world{site: s, t: t, trouble: os.Getenv("TROUBLE") != "0", dir: os.Getenv("CASE_DIR"), started: time.Now()}
	if w.dir == "" {
		t.Skip("run by a script of review/")
	}
	var err error
	if w.file, err = os.Create(os.Getenv("CASE_RECORD")); err != nil {
		w.impossible("record: %v", err)
	}
	w.record = bufio.NewWriter(w.file)
	if w.store, err = stand.StartStore(); err != nil {
		w.impossible("store: %v", err)
	}
	w.storeAddress = w.store.Address()
	return w
}

// log adds a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.started).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// finish writes the verdict for the script: held, broken or impossible.
func (w *world) finish(verdict, format string, args ...any) {
	w.log("verdict: "+verdict+": "+format, args...)
	fmt.Printf(verdict+": "+format+"\n", args...)
	w.mu.Lock()
	w.record.Flush()
	w.file.Close()
	w.mu.Unlock()
	os.WriteFile(filepath.Join(w.dir, "verdict"), []byte(verdict), 0o644)
}

func (w *world) impossible(format string, args ...any) {
	fmt.Printf("impossible: "+format+"\n", args...)
	os.WriteFile(filepath.Join(w.dir, "verdict"), []byte("impossible"), 0o644)
	w.t.FailNow()
}

// route is one route of the configuration.
type route map[string]any

// configure writes a new version of the configuration.
func (w *world) configure(routes []route, services map[string]int) {
	w.version++
	var list []map[string]any
	for name, conns := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_conns": conns, "protocol": "h1", "tls": false})
	}
	w.store.PutJSON("op/config", map[string]any{"version": w.version, "routes": routes, "services": list, "limits": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	w.log("store: configuration %d with %d routes", w.version, len(routes))
}

// startNodes writes the settings of the nodes, which the script then starts, and waits until they are ready.
func (w *world) startNodes(zones ...string) {
	net1, net2 := 64+rand.IntN(60), 1+rand.IntN(250)
	var seeds []string
	for i, zone := range zones {
		n := &node{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: fmt.Sprintf("127.%d.%d.%d", net1, net2, i+1), zone: zone}
		w.nodes = append(w.nodes, n)
		if len(seeds) < 3 {
			seeds = append(seeds, n.ip+":8224")
		}
	}
	for _, n := range w.nodes {
		data, _ := json.Marshal(map[string]any{
			"node_name": n.name, "role": "node", "machine_class": "front", "serves": []string{"front", "control", "directory"}, "ip": n.ip,
			"zone": n.zone, "region": w.regions[n.zone], "zones": w.regions,
			"listen":         map[string]string{"front": n.front(), "ready": n.ready(), "control": n.ip + ":8224", "directory": n.ip + ":8225"},
			"internal_ports": []int{7740, 7755}, "seeds": seeds, "bootstrap": true, "counts_as_loss": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "directory", "heartbeat_ms": heartbeat.Milliseconds(),
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"},
			"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": w.contactMS, "ack_ms": 6000, "catch_up_s": 4, "drain_ms": w.drainMS,
				"grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": w.configApplyMS, "rollback_slack_ms": 250, "max_skew_ms": 15000,
				"retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": w.retrySlack, "recovery_s": 12, "ttl_max_s": 5},
			"platform": map[string]any{"address": w.storeAddress, "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
				"value_bytes": 1048576, "min_ttl_ms": 1000},
		})
		if err := os.WriteFile(filepath.Join(w.dir, n.name+".tmp"), data, 0o644); err != nil {
			w.impossible("settings: %v", err)
		}
		os.Rename(filepath.Join(w.dir, n.name+".tmp"), filepath.Join(w.dir, n.name+".json"))
	}
	os.WriteFile(filepath.Join(w.dir, "settings-written"), nil, 0o644)
	for _, n := range w.nodes {
		w.awaitReady(n)
	}
	w.log("nodes: all ready")
	// The nodes know each other after a moment.
	time.Sleep(3 * time.Second)
}

func (w *world) awaitReady(n *node) {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + n.ready() + "/v1/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	w.impossible("node %s did not become ready", n.name)
}

// arrival is a request at a searcher.
type arrival struct {
	id  string
	at  time.Time
	ran bool
}

// searcher is a sound searcher: it runs slots requests at a time, queues a few more, and turns the others away. It drops a request when its
// connection closes.
type searcher struct {
	w                 *world
	id, service, zone string
	address           string
	slots             chan struct{}
	queue             int64
	held              atomic.Int64
	work              atomic.Int64 // time.Duration
	born              int64

	mu       sync.Mutex
	arrivals []arrival
	server   *http.Server
	conns    map[net.Conn]struct{}
	seq      int
	down     bool
}

// startSearcher starts a searcher that registers itself.
func (w *world) startSearcher(id, service, zone string, slots, queue int, work time.Duration) *searcher {
	s := &searcher{w: w, id: id, service: service, zone: zone, slots: make(chan struct{}, slots), queue: int64(queue)}
	s.work.Store(int64(work))
	s.listen("127.0.0.1:0")
	w.searchers = append(w.searchers, s)
	go func() {
		for {
			s.register()
			time.Sleep(heartbeat)
		}
	}()
	return s
}

// listen starts a lifetime of the searcher.
func (s *searcher) listen(address string) {
	var l net.Listener
	var err error
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if l, err = net.Listen("tcp", address); err == nil || time.Now().After(end) {
			break
		}
	}
	if err != nil {
		s.w.impossible("searcher %s: %v", s.id, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.born, s.down, s.seq = l.Addr().String(), time.Now().UnixMilli(), false, 0
	s.held.Store(0)
	s.accept(l)
}

// accept serves connections of a listener. The caller holds mu.
func (s *searcher) accept(l net.Listener) {
	s.conns = make(map[net.Conn]struct{})
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 5 * time.Second, ConnState: func(conn net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateNew {
			s.conns[conn] = struct{}{}
		} else if state == http.StateClosed {
			delete(s.conns, conn)
		}
	}}
	go s.server.Serve(l)
}

// cutOff partitions the searcher from all nodes for a while: their connections are reset and new ones refused. It lives on and writes its entry.
func (s *searcher) cutOff(length time.Duration) {
	s.mu.Lock()
	server := s.server
	for conn := range s.conns {
		conn.(*net.TCPConn).SetLinger(0)
	}
	s.mu.Unlock()
	s.w.log("searcher %s: is cut off", s.id)
	server.Close()
	time.AfterFunc(length, func() {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			s.w.impossible("searcher %s: %v", s.id, err)
		}
		s.mu.Lock()
		s.accept(l)
		s.mu.Unlock()
		s.w.log("searcher %s: is reached again", s.id)
	})
}

// crash ends the searcher at once. Its entry stays in the store until it lapses.
func (s *searcher) crash() {
	s.mu.Lock()
	s.down = true
	server := s.server
	s.mu.Unlock()
	s.w.log("searcher %s: crashes", s.id)
	server.Close()
}

// restart starts the searcher again under its id and address.
func (s *searcher) restart() {
	s.listen(s.address)
	s.register()
	s.w.log("searcher %s: is back", s.id)
}

func (s *searcher) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.seq++
	s.w.store.PutJSON("servers/"+s.id, map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1",
		"slots": cap(s.slots), "state": "ready", "warmup_left_ms": 0, "seq": s.seq, "born": s.born})
}

func (s *searcher) arrived(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{id: id, at: time.Now()})
	return len(s.arrivals) - 1
}

func (s *searcher) all() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func (s *searcher) serve(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		out.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	header := out.Header()
	header.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		header.Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	io.Copy(io.Discard, r.Body)
	index := s.arrived(id)
	held := s.held.Add(1)
	defer s.held.Add(-1)
	if held > int64(cap(s.slots))+s.queue {
		s.w.log("searcher %s: %s turned away, full", s.id, id)
		header.Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	deadline := time.Duration(1<<62 - 1)
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	begun := time.Now()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		s.w.log("searcher %s: %s dropped from the queue", s.id, id)
		return
	case <-time.After(deadline):
		header.Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.arrivals[index].ran = true
	s.mu.Unlock()
	s.w.log("searcher %s: %s runs", s.id, id)
	header.Set("X-Server-Stamp", s.id+"."+id)
	select {
	case <-time.After(min(time.Duration(s.work.Load()), deadline-time.Since(begun))):
	case <-r.Context().Done():
		s.w.log("searcher %s: %s interrupted", s.id, id)
		return
	}
	if time.Since(begun) >= deadline {
		out.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	header.Set("Content-Type", "text/plain")
	io.WriteString(out, "result of "+id)
}

// answer is what a caller got. status is 0 if it got no answer; gone is when it closed its connection before an answer came.
type answer struct {
	id         string
	sent, done time.Time
	status     int
	body       string
	retryAfter string
	gone       time.Time
	err        error
}

var lastID atomic.Int64

// call sends one request on a connection of its own and waits for the answer, for leaveAfter at most if that is set.
func (w *world) call(n *node, method, path, body string, deadline, leaveAfter time.Duration) answer {
	a := answer{id: fmt.Sprintf("q%06d", lastID.Add(1)), sent: time.Now()}
	conn, err := net.DialTimeout("tcp", n.front(), time.Second)
	if err != nil {
		a.err, a.done = err, time.Now()
		w.log("caller: %s: %v", a.id, err)
		return a
	}
	defer conn.Close()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, testHost, a.id, deadline.Milliseconds())
	if body != "" || method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	wait := deadline
	if leaveAfter > 0 && leaveAfter < deadline {
		wait = leaveAfter
	}
	conn.SetDeadline(a.sent.Add(wait))
	w.log("caller: %s sends %s %s to %s", a.id, method, path, n.name)
	if _, err = io.WriteString(conn, head+"\r\n"+body); err == nil {
		var response *http.Response
		if response, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			var data []byte
			data, err = io.ReadAll(response.Body)
			a.body, a.retryAfter = string(data), response.Header.Get("Retry-After")
			if err == nil {
				a.status = response.StatusCode
			}
		}
	}
	a.err, a.done = err, time.Now()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		conn.Close()
		a.gone = time.Now()
		w.log("caller: %s leaves", a.id)
	} else {
		w.log("caller: %s gets %d %v after %d ms", a.id, a.status, err, time.Since(a.sent).Milliseconds())
	}
	return a
}

// calls collects the answers of callers that run at the same time.
type calls struct {
	wait sync.WaitGroup
	mu   sync.Mutex
	all  []answer
}

func (c *calls) start(f func() answer) {
	c.wait.Go(func() {
		a := f()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.all = append(c.all, a)
	})
}

func (c *calls) done() []answer {
	c.wait.Wait()
	sort.Slice(c.all, func(i, j int) bool { return c.all[i].sent.Before(c.all[j].sent) })
	return c.all
}

// every calls f at an interval for a while.
func every(interval, length time.Duration, f func(i int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		f(i)
		<-ticker.C
	}
}

// counts returns how often each status came, 0 for callers without an answer.
func counts(answers []answer) string {
	by := make(map[int]int)
	for _, a := range answers {
		by[a.status]++
	}
	var statuses []int
	for status := range by {
		statuses = append(statuses, status)
	}
	sort.Ints(statuses)
	var parts []string
	for _, status := range statuses {
		parts = append(parts, fmt.Sprintf("%d x %d", by[status], status))
	}
	return strings.Join(parts, ", ")
}
