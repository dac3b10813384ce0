// Package entry implements the entry role: it admits a caller's query, fans it out to the owners of all shards of one
// index snapshot, hedges and retries attempts, and merges the replies into one answer with its exact coverage.
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/admit"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/hedge"
	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/picker"
	"github.com/fireflylanding/fireflylanding/internal/place"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/retry"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/token"
	"github.com/fireflylanding/fireflylanding/internal/view"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// defaultHitLimit is the maximum number of hits in the answer to a query without a limit.
const defaultHitLimit = 10

// OwnerClient sends batches and cancellations to owners. An error marked with peer.ErrNotSent means that nothing reached the owner.
type OwnerClient interface {
	Batch(ctx context.Context, to shards.VM, batch *wire.Batch, receive func(*wire.BatchReply)) error
	Cancel(ctx context.Context, to shards.VM, cancel *wire.Cancel) error
}

// IssuerClient forwards a non-idempotent query to the node that issued its request token.
type IssuerClient interface {
	Forward(ctx context.Context, address string, query *wire.Query) (*wire.Answer, error)
}

// Policies are the components that decide on admission, hedging, retries, replica choice, request tokens and quarantine.
type Policies struct {
	Admission  *admit.Admission
	Hedger     *hedge.Hedger
	Retrier    *retry.Retrier
	Picker     *picker.Picker
	Issuer     *token.Issuer
	Quarantine *quar.Table
}

// Hooks connect an entry to its node. The values that View and Members return are immutable snapshots.
type Hooks struct {
	View    func() *view.Snapshot
	Members func(now time.Time) *member.Members
	// OwnerFailed is called when an owner could not be reached or lost a batch.
	OwnerFailed func(now time.Time, id string)
	// QuarantineChanged is called when the quarantine table has changed.
	QuarantineChanged func()
	// Gate returns the refusal for new requests while the node is not ready or is stopping, and nil otherwise.
	Gate func() *reason.Refusal
	// Clock returns the current time.
	Clock func() time.Time
}

// Entry answers queries. It is safe for concurrent use.
type Entry struct {
	self     shards.VM
	limits   *wire.LimitSettings
	policies Policies
	hooks    Hooks
	owners   OwnerClient
	issuers  IssuerClient
	logger   *events.Logger
	counters *reason.Counters
	avoided  *avoidList
	tasks    conc.WaitGroup
	inFlight atomic.Int64
	// closeCtx is cancelled by Close through cancelRequests.
	closeCtx       context.Context
	cancelRequests context.CancelFunc
	// lastID is the most recently assigned query or attempt id. It starts at a random number, so that a restarted process does not
	// reuse ids that searchers may still hold.
	lastID atomic.Uint64

	latency       [plans.NumRanks]metrics.Histogram
	attempts      metrics.Counter
	firstAttempts metrics.Counter
	lateReplies   metrics.Counter
}

// New returns the entry of the node self.
func New(self shards.VM, limits *wire.LimitSettings, policies Policies, hooks Hooks, owners OwnerClient, issuers IssuerClient,
	logger *events.Logger, counters *reason.Counters, registry metrics.Registry) *Entry {
	e := &Entry{
		self:          self,
		limits:        limits,
		policies:      policies,
		hooks:         hooks,
		owners:        owners,
		issuers:       issuers,
		logger:        logger,
		counters:      counters,
		avoided:       newAvoidList(),
		attempts:      metrics.NewRegisteredCounter("entry.attempts", registry),
		firstAttempts: metrics.NewRegisteredCounter("entry.subqueries", registry),
		lateReplies:   metrics.NewRegisteredCounter("entry.late_replies", registry),
	}
	e.closeCtx, e.cancelRequests = context.WithCancel(context.Background())
	e.lastID.Store(rand.Uint64())
	for _, rank := range plans.Ranks() {
		sample := metrics.NewExpDecaySample(1028, 0.015)
		e.latency[rank] = metrics.NewRegisteredHistogram(fmt.Sprintf("entry.latency_us.%s", rank), registry, sample)
	}
	return e
}

// Attempts returns the number of attempts sent and the number of those that were neither hedges nor retries.
func (e *Entry) Attempts() (sent, needed int64) { return e.attempts.Count(), e.firstAttempts.Count() }

// InFlight returns the number of requests that have not been answered yet.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// closePoll is the interval at which Close checks for requests in flight.
const closePoll = 5 * time.Millisecond

// Close cancels the requests in flight, which are answered with the results received so far, and returns when no exchange
// with an owner is open. Hooks.Gate must refuse new requests before Close is called.
func (e *Entry) Close() {
	e.cancelRequests()
	for e.inFlight.Load() > 0 {
		time.Sleep(closePoll)
	}
	e.tasks.Wait()
}

// Query runs a caller's query. If the query is refused or incomplete, the answer carries the run state and the reason.
func (e *Entry) Query(ctx context.Context, now time.Time, query *wire.Query) *wire.Answer {
	return e.serve(ctx, now, query, false)
}

// QueryForwarded runs a non-idempotent query that another entry forwarded because this node issued its request token.
func (e *Entry) QueryForwarded(ctx context.Context, now time.Time, query *wire.Query) *wire.Answer {
	return e.serve(ctx, now, query, true)
}

func (e *Entry) serve(ctx context.Context, now time.Time, query *wire.Query, forwarded bool) *wire.Answer {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.closeCtx, cancel)()
	if query.GetNonIdempotent() {
		return e.serveNonIdempotent(ctx, now, query, forwarded)
	}
	return e.validateAndRun(ctx, now, query)
}

func (e *Entry) validateAndRun(ctx context.Context, now time.Time, query *wire.Query) *wire.Answer {
	if refusal := e.validate(query); refusal != nil {
		return e.refuse(refusal)
	}
	return e.run(ctx, now, query)
}

// validate returns a refusal for a query that every node would reject.
func (e *Entry) validate(query *wire.Query) *reason.Refusal {
	switch {
	case query.GetPlan() == "":
		return reason.New(wire.Reason_REASON_BAD_REQUEST, "plan is missing")
	case query.GetCollection() == "":
		return reason.New(wire.Reason_REASON_BAD_REQUEST, "collection is missing")
	case query.GetNonIdempotent() && query.GetKey() == "":
		return reason.New(wire.Reason_REASON_BAD_REQUEST, "a non-idempotent request needs a key")
	case query.GetLimit() > e.limits.GetMaxHits():
		return reason.New(wire.Reason_REASON_BAD_REQUEST, fmt.Sprintf("limit is above %d", e.limits.GetMaxHits()))
	case query.HasDeadline() && query.GetDeadline().AsDuration() <= 0:
		return reason.New(wire.Reason_REASON_BAD_REQUEST, "deadline must be positive")
	case query.GetDeadline().AsDuration() > e.limits.GetMaxDeadline().AsDuration():
		return reason.New(wire.Reason_REASON_BAD_REQUEST, "deadline is above "+e.limits.GetMaxDeadline().AsDuration().String())
	default:
		return nil
	}
}

// run admits a query and fans it out. If the run state of the answer is "not run", no searcher has run any of it.
func (e *Entry) run(ctx context.Context, now time.Time, query *wire.Query) *wire.Answer {
	// The gate is checked only here, after the lookup of a request token: a resend must get the outcome of the first presentation even
	// from a node that accepts no new work.
	if refusal := e.hooks.Gate(); refusal != nil {
		return e.refuse(refusal)
	}
	snapshot := e.hooks.View()
	plan, ok := snapshot.Lists().Plan(query.GetPlan())
	if !ok {
		return e.refuse(reason.New(wire.Reason_REASON_PLAN_UNKNOWN, query.GetPlan()))
	}
	use, ok := snapshot.Lists().Use(plan.Name(), query.GetCollection())
	if !ok {
		return e.refuse(reason.New(wire.Reason_REASON_USE_NOT_LISTED, plan.Name()+"/"+query.GetCollection()))
	}
	index := snapshot.Index(query.GetCollection())
	if index == nil || len(index.Snapshots()) == 0 {
		return e.refuse(reason.New(wire.Reason_REASON_COLLECTION_UNKNOWN, query.GetCollection()))
	}
	fingerprint := quar.Fingerprint(plan.Name(), query.GetCollection(), query.GetQuery())
	verdict := e.policies.Quarantine.Check(now, fingerprint)
	_, quarantined := verdict.(quar.Quarantined)
	if quarantined && !e.beginTrial(now, fingerprint) {
		return e.refuse(reason.New(wire.Reason_REASON_QUARANTINED, ""))
	}
	grant, refusal := e.policies.Admission.Admit(now, query.GetCollection(), plan.Name(), use)
	if refusal != nil {
		if quarantined {
			e.endTrial(fingerprint, false)
		}
		return e.refuse(refusal)
	}
	f := newFanout(e, now, query, plan, snapshot, index, fingerprint)
	f.trial = quarantined
	answer := f.run(ctx)
	if quarantined {
		e.endTrial(fingerprint, f.mayHaveRun || f.reflected() > 0)
	}
	end := e.hooks.Clock()
	grant.Release(end)
	e.latency[plan.Rank()].Update(end.Sub(now).Microseconds())
	return answer
}

// beginTrial reports whether a quarantined query may run as a trial.
func (e *Entry) beginTrial(now time.Time, fingerprint uint64) bool {
	quarantine := e.policies.Quarantine
	turn := func(key uint64) (int, bool) { return place.Rank(e.self.ID(), key, e.hooks.Members(now).Live()), true }
	if begun, _ := quarantine.BeginTrial(now, fingerprint, turn); !begun {
		return false
	}
	e.logQuarantine(wire.Event_EVENT_QUARANTINE_TRIAL, now, fingerprint, zap.Int("failed", quarantine.Trials(fingerprint)))
	return true
}

// endTrial ends the trial of a query and tells other nodes if a searcher may have run it without an answer.
func (e *Entry) endTrial(fingerprint uint64, ran bool) {
	if e.policies.Quarantine.EndTrial(e.hooks.Clock(), fingerprint, ran) {
		e.hooks.QuarantineChanged()
	}
}

// logQuarantine logs an event of a query that is quarantined, with the searchers that it lost.
func (e *Entry) logQuarantine(event wire.Event, now time.Time, fingerprint uint64, fields ...zap.Field) {
	e.logger.Log(event, append(fields, zap.String("fingerprint", quar.FormatFingerprint(fingerprint)),
		zap.Strings("searchers", e.policies.Quarantine.Mark(now, fingerprint).GetSearchers()))...)
}

// refuse counts a refusal and converts it to an answer.
func (e *Entry) refuse(refusal *reason.Refusal) *wire.Answer {
	e.counters.Add(refusal.Reason())
	return wire.Answer_builder{
		Run:    refusal.RunState(),
		Reason: refusal.Reason(),
		Detail: refusal.Error(),
	}.Build()
}

func (e *Entry) nextID() uint64 { return e.lastID.Add(1) }

// deadline returns the query's own deadline or the default, as a duration.
func (e *Entry) deadline(query *wire.Query) time.Duration {
	if query.HasDeadline() {
		return query.GetDeadline().AsDuration()
	}
	return e.limits.GetDefaultDeadline().AsDuration()
}
