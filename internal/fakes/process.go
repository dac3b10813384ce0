package fakes

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Paths of the searcher API.
const (
	SearchPath = "/v1/search"
	CancelPath = "/v1/cancel"
	HealthPath = "/v1/health"
	LoadPath   = "/v1/load"

	protobufType = "application/x-protobuf"
)

// process is one run of a searcher, from a start to a crash or stop.
type process struct {
	searcher  *Searcher
	server    *connServer
	slots     *slots
	startedAt time.Time
	// restarting is guarded by Searcher.mu.
	restarting bool
}

func newProcess(s *Searcher, listener net.Listener) *process {
	p := &process{
		searcher:  s,
		slots:     newSlots(s.settings.slots, s.settings.maxQueue),
		startedAt: time.Now(),
	}
	p.server = newConnServer(listener, p.handle, &s.counts)
	p.server.maxConns = s.settings.connections
	p.server.serveDelay = s.settings.connectDelay
	return p
}

func (p *process) handle(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.beginRequest()
		defer c.endRequest()
	}
	switch string(ctx.Path()) {
	case SearchPath:
		p.handleSearch(ctx)
	case CancelPath:
		p.handleCancel(ctx)
	case HealthPath:
		p.handleHealth(ctx)
	case LoadPath:
		p.handleLoad(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *process) handleSearch(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	request := &wire.SearchRequest{}
	if !readPost(ctx, request) {
		return
	}
	if p.searcher.endless.Load() {
		ctx.SetBodyStreamWriter(writeEndless)
		return
	}
	reply := &wire.SearchReply{}
	reply.SetAttemptId(request.GetAttemptId())
	reply.SetSnapshot(request.GetSnapshot())
	reply.SetShard(request.GetShard())
	reply.SetStatus(p.search(arrived, request, reply))
	if p.server.stopped() {
		abort(ctx)
		return
	}
	reply.SetLeaving(p.searcher.leaving.Load())
	writeMessage(ctx, reply)
	if p.searcher.malformed.Load() {
		ctx.Response.Header.DisableNormalizing()
		ctx.Response.Header.Set("X Malformed", "1")
	}
}

// writeEndless writes a body until the caller closes the connection.
func writeEndless(w *bufio.Writer) {
	filler := make([]byte, endlessBlockBytes)
	for {
		if _, err := w.Write(filler); err != nil {
			return
		}
		if err := w.Flush(); err != nil {
			return
		}
	}
}

// endlessBlockBytes is the size of the chunks of a body without an end.
const endlessBlockBytes = 64 << 10

// search admits or rejects a sub-request, runs it once it has acquired a slot, and adds its hits to the reply.
func (p *process) search(arrived time.Time, request *wire.SearchRequest, reply *wire.SearchReply) wire.SearchStatus {
	s := p.searcher
	if s.leaving.Load() {
		s.lastRefused.Store(arrived.UnixNano())
		return wire.SearchStatus_SEARCH_STATUS_LEAVING
	}
	if !s.loaded.Load().has(request.GetCollection(), request.GetSnapshot(), int(request.GetShard())) {
		return wire.SearchStatus_SEARCH_STATUS_SNAPSHOT_GONE
	}
	deadline := newDeadline(arrived, request)
	if deadline.passed(arrived) {
		return wire.SearchStatus_SEARCH_STATUS_NOT_RUN
	}
	a := newAttempt(request.GetAttemptId())
	defer a.recycle()
	if !p.slots.acquire(a) {
		s.shed.Add(1)
		return wire.SearchStatus_SEARCH_STATUS_SHED
	}
	s.recordState()
	defer s.recordState()
	if !p.waitForSlot(a, deadline) {
		p.slots.abandon(a)
		return wire.SearchStatus_SEARCH_STATUS_NOT_RUN
	}
	defer p.slots.release(a)
	return p.runInSlot(a, deadline, request, reply)
}

// waitForSlot reports whether the attempt acquired a slot before its deadline and before it was cancelled.
func (p *process) waitForSlot(a *attempt, d deadline) bool {
	select {
	case <-a.granted:
		return !d.passed(time.Now())
	default:
	}
	var expired <-chan time.Time
	if d.set {
		a.timer.Reset(time.Until(d.at))
		expired = a.timer.C
	}
	select {
	case <-a.granted:
		return !d.passed(time.Now())
	case <-a.cancelled:
		return false
	case <-expired:
		return false
	case <-p.server.done:
		return false
	}
}

// runInSlot logs the run, simulates the service time and adds the hits.
func (p *process) runInSlot(a *attempt, d deadline, request *wire.SearchRequest, reply *wire.SearchReply) wire.SearchStatus {
	s := p.searcher
	start := time.Now()
	s.started.Add(1)
	sequence := s.log.add(Run{
		attempt:       request.GetAttemptId(),
		collection:    request.GetCollection(),
		snapshot:      request.GetSnapshot(),
		shard:         int(request.GetShard()),
		query:         request.GetQuery(),
		nonIdempotent: request.GetNonIdempotent(),
		started:       start,
	})
	if marker := s.settings.crashMarker; marker != "" && strings.Contains(request.GetQuery(), marker) {
		s.crash(p)
		return wire.SearchStatus_SEARCH_STATUS_INTERRUPTED
	}
	complete := p.simulateService(a, d, start)
	reply.SetService(durationpb.New(time.Since(start)))
	if !complete {
		return wire.SearchStatus_SEARCH_STATUS_INTERRUPTED
	}
	s.log.finish(sequence, request.GetNonIdempotent())
	hits := Hits(request.GetCollection(), request.GetSnapshot(), int(request.GetShard()), request.GetQuery(), int(request.GetLimit()))
	reply.SetHits(hits)
	reply.SetHitCount(uint32(len(hits)))
	s.faults.apply(request, reply)
	return wire.SearchStatus_SEARCH_STATUS_OK
}

// simulateService waits for the service time and reports whether it elapsed in full.
func (p *process) simulateService(a *attempt, d deadline, start time.Time) bool {
	duration := p.searcher.sampleServiceTime(p.coldStartFactor(start))
	complete := true
	if d.set && start.Add(duration).After(d.at) {
		complete = false
		duration = d.at.Sub(start)
	}
	if duration <= 0 {
		return complete
	}
	a.timer.Reset(duration)
	select {
	case <-a.timer.C:
		return complete
	case <-a.cancelled:
		return false
	case <-p.server.done:
		return false
	}
}

// coldStartFactor returns the multiplier of service times at a time after the start.
func (p *process) coldStartFactor(now time.Time) float64 {
	settings := p.searcher.settings
	age := now.Sub(p.startedAt)
	if settings.coldFactor <= 1 || age >= settings.warmUp {
		return 1
	}
	return 1 + (settings.coldFactor-1)*(1-float64(age)/float64(settings.warmUp))
}

func (p *process) handleCancel(ctx *fasthttp.RequestCtx) {
	cancel := &wire.SearcherCancel{}
	if !readPost(ctx, cancel) {
		return
	}
	p.slots.cancel(cancel.GetAttemptId())
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (p *process) handleHealth(ctx *fasthttp.RequestCtx) {
	reported := p.searcher.hints.report(time.Now(), p.searcher.state())
	health := &wire.SearcherHealth{}
	health.SetHealthy(reported.healthy)
	health.SetLeaving(reported.leaving)
	health.SetSnapshots(reported.snapshots)
	writeMessage(ctx, health)
}

func (p *process) handleLoad(ctx *fasthttp.RequestCtx) {
	reported := p.searcher.hints.report(time.Now(), p.searcher.state())
	load := &wire.SearcherLoad{}
	load.SetRunning(uint32(reported.running))
	load.SetWaiting(uint32(reported.waiting))
	load.SetSlots(uint32(p.searcher.settings.slots))
	load.SetConnections(uint32(reported.connections))
	writeMessage(ctx, load)
}

// deadline is the time at which the remaining time of a sub-request ends. It is not set for a request without remaining time.
type deadline struct {
	set bool
	at  time.Time
}

func newDeadline(arrived time.Time, request *wire.SearchRequest) deadline {
	if !request.HasRemaining() {
		return deadline{}
	}
	return deadline{set: true, at: arrived.Add(request.GetRemaining().AsDuration())}
}

func (d deadline) passed(now time.Time) bool { return d.set && !now.Before(d.at) }

// readPost decodes the message of a POST request. On failure it sets an error status and returns false.
func readPost(ctx *fasthttp.RequestCtx, into proto.Message) bool {
	if !ctx.IsPost() {
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return false
	}
	if err := proto.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetBodyString(err.Error())
		return false
	}
	return true
}

// buffers pools buffers for encoded messages.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

func writeMessage(ctx *fasthttp.RequestCtx, message proto.Message) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	encoded, err := proto.MarshalOptions{}.MarshalAppend((*buffer)[:0], message)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	*buffer = encoded
	ctx.SetContentType(protobufType)
	ctx.SetBody(encoded)
}
