package relay

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflylanding/fireflylanding/internal/health"
	"github.com/fireflylanding/fireflylanding/internal/pace"
)

// Codec translates the header fields that callers and searchers use. It makes no decisions.
type Codec interface {
	// AppendHead appends the request head that searchers get. It leaves out hop-by-hop fields of the caller's connection and the final
	// blank line.
	AppendHead(dst []byte, head *fasthttp.RequestHeader, bodyBytes int) []byte
	// AppendAttempt appends the fields that differ for each attempt, and the final blank line.
	AppendAttempt(dst []byte, remaining time.Duration, searcher string) []byte
	// ParseReply reads the header fields of a searcher's reply.
	ParseReply(head *fasthttp.ResponseHeader) ReplyHead
}

// ReplyHead holds the header fields of a searcher's reply that this package needs.
type ReplyHead struct {
	// RequestID echoes the id of the request, empty when the searcher sent none.
	RequestID string
	// Proof is the searcher's proof that the reply comes from it, empty when there is none.
	Proof string
	// Contradictory is set when the reply names two different ids or proofs.
	Contradictory bool
	// NotRun is set when the searcher states that it did not run the request.
	NotRun bool
	// KeepAlive is how long the searcher keeps the idle connection open, 0 when it did not say. Closes is set when it closes the connection
	// after this reply.
	KeepAlive time.Duration
	Closes    bool
	// RetryAfter is the time for which the searcher wants no requests, 0 when it did not say.
	RetryAfter time.Duration
	// Leaving is set when the searcher states that it leaves.
	Leaving bool
	// Limit is the limit on requests that the searcher names.
	Limit pace.Limit
	// Load holds the figures of work on the searcher. InvalidLoad is set when they are not plausible.
	Load        health.Load
	InvalidLoad bool
}
