package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/token"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// serveNonIdempotent runs a non-idempotent query at most once. Only the node incarnation that issued the request token runs it, and only
// on the first presentation of the token. The token is looked up before the query is validated: a refusal of a malformed resend says that
// the query has not run, which an earlier presentation may have done.
func (e *Entry) serveNonIdempotent(ctx context.Context, now time.Time, query *wire.Query, forwarded bool) *wire.Answer {
	if query.GetToken() == "" {
		if refusal := e.validate(query); refusal != nil {
			return e.refuse(refusal)
		}
		return e.withFreshToken(e.refuse(reason.New(wire.Reason_REASON_TOKEN_MISSING, "")))
	}
	switch verdict := e.policies.Issuer.Begin(query.GetToken()).(type) {
	case token.Run:
		return e.runNonIdempotent(ctx, now, query, verdict.Sequence())
	case token.Duplicate:
		return e.answerResend(verdict.State())
	case token.OtherIssuer:
		return e.forward(ctx, now, query, verdict, forwarded)
	case token.Expired:
		return e.refuse(reason.New(wire.Reason_REASON_TOKEN_EXPIRED, ""))
	default:
		return e.withFreshToken(e.refuse(reason.New(wire.Reason_REASON_TOKEN_INVALID, "")))
	}
}

// runNonIdempotent runs a query on the first presentation of its token and records the outcome for resends.
func (e *Entry) runNonIdempotent(ctx context.Context, now time.Time, query *wire.Query, sequence uint64) *wire.Answer {
	// The state is also recorded on a panic. A token left in the running state would promise an outcome that never comes.
	state := token.Unknown
	defer func() { e.policies.Issuer.Finish(sequence, state) }()
	answer := e.validateAndRun(ctx, now, query)
	switch answer.GetRun() {
	case wire.RunState_RUN_STATE_RUN:
		state = token.Completed
	case wire.RunState_RUN_STATE_NOT_RUN:
		state = token.NotRun
		return e.withFreshToken(answer)
	}
	return answer
}

// answerResend answers a repeated presentation of a token from the recorded state. It never runs the query.
func (e *Entry) answerResend(state token.State) *wire.Answer {
	switch state {
	case token.Running:
		return e.refuse(reason.New(wire.Reason_REASON_TOKEN_RUNNING, ""))
	case token.Completed:
		return e.refuse(reason.New(wire.Reason_REASON_TOKEN_COMPLETED, ""))
	case token.NotRun:
		return e.withFreshToken(e.refuse(reason.New(wire.Reason_REASON_TOKEN_NOT_RUN, "")))
	default:
		return e.refuse(reason.New(wire.Reason_REASON_TOKEN_UNKNOWN, ""))
	}
}

// forward sends a query to the issuer of its token. A query is forwarded at most once, and only to addresses in the VM
// list, so that a forged token cannot make nodes contact arbitrary hosts.
func (e *Entry) forward(ctx context.Context, now time.Time, query *wire.Query, to token.OtherIssuer, forwarded bool) *wire.Answer {
	if forwarded || to.Address() == e.self.PeerAddress() || !e.isListedPeer(to.Address()) {
		return e.refuse(reason.New(wire.Reason_REASON_TOKEN_ISSUER_GONE, ""))
	}
	remaining := e.deadline(query) - e.hooks.Clock().Sub(now)
	if remaining <= 0 {
		// Only the issuer knows whether an earlier presentation ran, and there is no time left to ask it.
		return e.refuse(reason.New(wire.Reason_REASON_DEADLINE, "the issuer of the token was not asked"))
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	outgoing := proto.Clone(query).(*wire.Query)
	outgoing.SetDeadline(durationpb.New(remaining))
	var answer *wire.Answer
	var err error
	if answer, err = e.issuers.Forward(ctx, to.Address(), outgoing); err != nil {
		return e.refuse(reason.New(wire.Reason_REASON_TOKEN_ISSUER_GONE, err.Error()))
	}
	return answer
}

// isListedPeer reports whether an entry VM of the VM list has the given peer address.
func (e *Entry) isListedPeer(peerAddress string) bool {
	for _, vm := range e.hooks.View().Entries() {
		if vm.PeerAddress() == peerAddress {
			return true
		}
	}
	return false
}

func (e *Entry) withFreshToken(answer *wire.Answer) *wire.Answer {
	answer.SetFreshToken(e.policies.Issuer.Issue(1)[0])
	return answer
}
