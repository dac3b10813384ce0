package fakes

import (
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Paths of a searcher's interface.
const (
	SearchPath = "/v1/search"
	CancelPath = "/v1/cancel"
	HealthPath = "/v1/health"
	LoadPath   = "/v1/load"

	protobufType = "application/x-protobuf"
)

// process is a searcher between a start and a crash.
type process struct {
	searcher *Searcher
	gate     *gate
	slots    *slots
	born     time.Time
	// restarting is guarded by the searcher's lock.
	restarting bool
}

func newProcess(s *Searcher, listener net.Listener) *process {
	p := &process{
		searcher: s,
		slots:    newSlots(s.settings.slots, s.settings.maxQueue),
		born:     time.Now(),
	}
	p.gate = newGate(listener, p.handle, &s.counts)
	p.gate.limit = s.settings.connections
	p.gate.cost = s.settings.connectCost
	return p
}

func (p *process) handle(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.begin()
		defer c.end()
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
	reply := &wire.SearchReply{}
	reply.SetAttemptId(request.GetAttemptId())
	reply.SetSnapshot(request.GetSnapshot())
	reply.SetShard(request.GetShard())
	reply.SetStatus(p.search(arrived, request, reply))
	if p.gate.stopped() {
		abort(ctx)
		return
	}
	reply.SetLeaving(p.searcher.leaving.Load())
	writeMessage(ctx, reply)
}

// search decides about a sub-request, runs it if it takes a slot, and adds hits to the reply.
func (p *process) search(arrived time.Time, request *wire.SearchRequest, reply *wire.SearchReply) wire.SearchStatus {
	s := p.searcher
	if s.leaving.Load() {
		s.refused.Store(arrived.UnixNano())
		return wire.SearchStatus_SEARCH_STATUS_LEAVING
	}
	if !s.holdings.Load().has(request.GetCollection(), request.GetSnapshot(), int(request.GetShard())) {
		return wire.SearchStatus_SEARCH_STATUS_SNAPSHOT_GONE
	}
	deadline := newDeadline(arrived, request)
	if deadline.passed(arrived) {
		return wire.SearchStatus_SEARCH_STATUS_NOT_RUN
	}
	a := newAttempt(request.GetAttemptId())
	defer a.recycle()
	if !p.slots.enter(a) {
		s.shed.Add(1)
		return wire.SearchStatus_SEARCH_STATUS_SHED
	}
	s.noteState()
	defer s.noteState()
	if !p.waitForSlot(a, deadline) {
		p.slots.abandon(a)
		return wire.SearchStatus_SEARCH_STATUS_NOT_RUN
	}
	defer p.slots.release(a)
	return p.runInSlot(a, deadline, request, reply)
}

// waitForSlot reports whether the attempt took a slot before its deadline and before it was cancelled.
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
	case <-p.gate.dead:
		return false
	}
}

// runInSlot logs the run, spends the service time and adds the hits.
func (p *process) runInSlot(a *attempt, d deadline, request *wire.SearchRequest, reply *wire.SearchReply) wire.SearchStatus {
	s := p.searcher
	begun := time.Now()
	s.started.Add(1)
	sequence := s.log.add(Run{
		attempt:       request.GetAttemptId(),
		collection:    request.GetCollection(),
		snapshot:      request.GetSnapshot(),
		shard:         int(request.GetShard()),
		query:         request.GetQuery(),
		nonIdempotent: request.GetNonIdempotent(),
		started:       begun,
	})
	if marker := s.settings.crashMarker; marker != "" && strings.Contains(request.GetQuery(), marker) {
		s.crash(p)
		return wire.SearchStatus_SEARCH_STATUS_INTERRUPTED
	}
	whole := p.serve(a, d, begun)
	reply.SetService(durationpb.New(time.Since(begun)))
	if !whole {
		return wire.SearchStatus_SEARCH_STATUS_INTERRUPTED
	}
	s.log.finish(sequence, request.GetNonIdempotent())
	hits := Hits(request.GetCollection(), request.GetSnapshot(), int(request.GetShard()), request.GetQuery(), int(request.GetLimit()))
	reply.SetHits(hits)
	reply.SetHitCount(uint32(len(hits)))
	s.planted.apply(request, reply)
	return wire.SearchStatus_SEARCH_STATUS_OK
}

// serve spends the service time and reports whether it was spent whole.
func (p *process) serve(a *attempt, d deadline, begun time.Time) bool {
	spend := p.searcher.draw(p.cold(begun))
	whole := true
	if d.set && begun.Add(spend).After(d.at) {
		whole = false
		spend = d.at.Sub(begun)
	}
	if spend <= 0 {
		return whole
	}
	a.timer.Reset(spend)
	select {
	case <-a.timer.C:
		return whole
	case <-a.cancelled:
		return false
	case <-p.gate.dead:
		return false
	}
}

// cold returns the factor on service times since the start.
func (p *process) cold(now time.Time) float64 {
	settings := p.searcher.settings
	age := now.Sub(p.born)
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
	reported := p.searcher.hints.answer(time.Now(), p.searcher.state())
	health := &wire.SearcherHealth{}
	health.SetHealthy(reported.healthy)
	health.SetLeaving(reported.leaving)
	health.SetSnapshots(reported.snapshots)
	writeMessage(ctx, health)
}

func (p *process) handleLoad(ctx *fasthttp.RequestCtx) {
	reported := p.searcher.hints.answer(time.Now(), p.searcher.state())
	load := &wire.SearcherLoad{}
	load.SetRunning(uint32(reported.running))
	load.SetWaiting(uint32(reported.waiting))
	load.SetSlots(uint32(p.searcher.settings.slots))
	load.SetConnections(uint32(reported.connections))
	writeMessage(ctx, load)
}

// deadline is the moment at which the remaining time of a sub-request ends. A request without remaining time has none.
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

// readPost reads the message of a POST request, or answers with an error status and returns false.
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

// buffers are reused for encoded messages.
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
