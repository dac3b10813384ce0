package relay

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Codec knows the names that callers and searchers use in heads. It decides nothing.
type Codec interface {
	// AppendHead appends the head of a request as searchers get it: what concerns the caller's connection only is left out, and the
	// blank line at the end too.
	AppendHead(dst []byte, head *fasthttp.RequestHeader, bodyBytes int) []byte
	// AppendAttempt appends what is different for each attempt, and the blank line.
	AppendAttempt(dst []byte, remaining time.Duration, searcher string) []byte
	// ParseReply reads what a searcher says in the head of a reply.
	ParseReply(head *fasthttp.ResponseHeader) ReplyHead
}

// ReplyHead is what a searcher says in the head of a reply.
type ReplyHead struct {
	// RequestID echoes the request, empty when the searcher left it out.
	RequestID string
	// Proof is the searcher's proof that it made the reply, empty without one.
	Proof string
	// NotRun is set when the searcher says that it did not run the request.
	NotRun bool
	// KeepAlive is how long the searcher keeps the idle connection, 0 when it did not say. Closing is set when it closes it now.
	KeepAlive time.Duration
	Closes    bool
}
