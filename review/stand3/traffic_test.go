//go:build review3

package stand3

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// searcher is a stand-in of a searcher.
type searcher struct {
	w           *world
	id, service string
	zone        string
	slots       int
	// queue is the number of requests that wait for a slot; further ones are turned away with 503.
	queue int
	work  time.Duration
	born  int64

	listener net.Listener
	server   *http.Server
	running  chan struct{}
	holding  atomic.Int64
	seq      atomic.Int64
	// maxHeld is the number of requests beyond which the searcher crashes, since they exceed its memory; 0 means that it has room for all.
	maxHeld atomic.Int64
	ended   chan struct{}
	endOnce sync.Once
	// link is the network before the searcher.
	link *link

	mu sync.Mutex
	// reject, if it is not nil, returns the Retry-After seconds with which a request is turned away.
	reject func(id string) (retryAfter string, rejected bool)
}

func (s *searcher) setReject(reject func(id string) (retryAfter string, rejected bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reject = reject
}

// setDark makes the searcher's machine fall silent, or ends that: connections stay open and nothing passes.
func (s *searcher) setDark(dark bool) { s.link.setSilent(dark) }

func (w *world) startSearcher(id, service, zone string, slots, queue int, work time.Duration) *searcher {
	s := &searcher{w: w, id: id, service: service, zone: zone, slots: slots, queue: queue, work: work, born: time.Now().UnixMilli(),
		running: make(chan struct{}, slots), ended: make(chan struct{})}
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		w.giveUp("searcher: %v", err)
	}
	if s.link, err = newLink(s.listener.Addr().String()); err != nil {
		w.giveUp("searcher: %v", err)
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(s.listener) }()
	return s
}

func (s *searcher) key() string { return "servers/" + s.id }

// register writes the entry of the searcher to the store.
func (s *searcher) register(state string) {
	s.w.store.PutJSON(s.key(), map[string]any{
		"service": s.service, "address": s.link.address(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"warmup_left_ms": 0, "seq": s.seq.Add(1), "born": s.born,
	})
}

// exit ends the searcher's process.
func (s *searcher) exit() {
	s.endOnce.Do(func() { close(s.ended) })
	_ = s.server.Close()
}

// arrive records a request and returns a function that changes its state.
func (s *searcher) arrive(id string, state string) (set func(state string)) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	r, ok := s.w.requests[id]
	if !ok {
		r = &request{id: id, node: "nobody", sent: time.Now()}
		s.w.requests[id] = r
	}
	r.runs = append(r.runs, arrival{searcher: s.id, at: time.Now(), state: state})
	index := len(r.runs) - 1
	return func(state string) {
		s.w.mu.Lock()
		defer s.w.mu.Unlock()
		r.runs[index].state = state
	}
}

func (s *searcher) serve(out http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", id)
	out.Header().Set("Content-Type", "application/octet-stream")
	if in.URL.Path == "/health" {
		out.Header().Set("X-Instance-Id", s.id)
		return
	}
	notRun := func(status int) {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(status)
	}
	if expected := in.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		notRun(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, in.Body); err != nil {
		return
	}
	s.mu.Lock()
	reject := s.reject
	s.mu.Unlock()
	if reject != nil {
		if after, rejected := reject(id); rejected {
			s.arrive(id, "rejected")
			out.Header().Set("Retry-After", after)
			notRun(http.StatusServiceUnavailable)
			return
		}
	}
	holding := s.holding.Add(1)
	if most := s.maxHeld.Load(); most > 0 && holding > most {
		s.arrive(id, "crashed the searcher")
		s.w.note("%s holds more requests than its memory has room for, and crashes", s.id)
		s.exit()
		return
	}
	if holding > int64(s.slots+s.queue) {
		s.holding.Add(-1)
		s.arrive(id, "rejected")
		notRun(http.StatusServiceUnavailable)
		return
	}
	defer s.holding.Add(-1)
	set := s.arrive(id, "queued")
	select {
	case s.running <- struct{}{}:
	case <-in.Context().Done():
		set("dropped in the queue")
		return
	case <-s.ended:
		set("cut in the queue")
		return
	}
	defer func() { <-s.running }()
	set("running")
	select {
	case <-time.After(s.work):
	case <-in.Context().Done():
		set("cut")
		return
	case <-s.ended:
		set("cut by the end of the searcher")
		return
	}
	set("run")
	body := []byte(strings.Repeat(fmt.Sprintf("%-15.15s\n", s.service+id), 6))
	out.Header().Set("X-Server-Stamp", s.id+"."+id)
	out.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = out.Write(body)
}

// consumer sends requests of one kind at a rate.
type consumer struct {
	w            *world
	host, path   string
	method       string
	zone, region string
	deadline     time.Duration
	clients      sync.Map
	sequence     atomic.Int64
	stopped      atomic.Bool
	open         sync.WaitGroup
}

// client returns the client for a node, whose connections are kept open. net/http does not repeat requests that have a body.
func (c *consumer) client(address string) *http.Client {
	if known, ok := c.clients.Load(address); ok {
		return known.(*http.Client)
	}
	known, _ := c.clients.LoadOrStore(address, &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second}})
	return known.(*http.Client)
}

// run sends requests at a rate to random addresses of the directory until stop is closed.
func (c *consumer) run(perSecond float64, stop <-chan struct{}) {
	addresses := c.w.resolve(c.host, c.zone, c.region)
	asked := time.Now()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if time.Since(asked) > time.Second {
			if fresh := c.w.resolve(c.host, c.zone, c.region); len(fresh) > 0 {
				addresses = fresh
			}
			asked = time.Now()
		}
		if len(addresses) > 0 {
			c.send(addresses[rand.IntN(len(addresses))])
		}
	}
}

// send sends a request in a goroutine.
func (c *consumer) send(address string) {
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), rand.Uint32())
	r := &request{id: id, node: c.w.nodeAt(address), path: c.path, sent: time.Now()}
	c.w.mu.Lock()
	c.w.requests[id] = r
	c.w.mu.Unlock()
	c.open.Add(1)
	go func() {
		defer c.open.Done()
		result := c.exchange(address, id)
		c.w.mu.Lock()
		defer c.w.mu.Unlock()
		r.answered, r.result = time.Now(), result
	}()
}

func (c *consumer) exchange(address, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline+time.Second)
	defer cancel()
	method := c.method
	var body io.Reader
	if method != http.MethodGet {
		body = io.NopCloser(strings.NewReader("order " + id))
	}
	out, err := http.NewRequestWithContext(ctx, method, "http://"+address+c.path+fmt.Sprintf("%x", c.sequence.Add(1)), body)
	if err != nil {
		return err.Error()
	}
	if body != nil {
		out.ContentLength = int64(len("order " + id))
	}
	out.Host = c.host
	out.Header.Set("X-Request-Id", id)
	out.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	answer, err := c.client(address).Do(out)
	if err != nil {
		return "no answer: " + strings.ReplaceAll(err.Error(), ";", ",")
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return "cut answer"
	}
	return fmt.Sprint(answer.StatusCode)
}
