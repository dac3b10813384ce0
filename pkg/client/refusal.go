package client

import (
	"github.com/cockroachdb/errors"
)

// Refusal is the error for a question that got no answer.
type Refusal struct {
	run    RunState
	reason Reason
	detail string
	cause  error
}

// Run returns whether the question was run. After Unknown, a non-idempotent question must not be sent again.
func (r *Refusal) Run() RunState { return r.run }

// Reason returns why the question got no answer.
func (r *Refusal) Reason() Reason { return r.reason }

// Detail returns further information about the refusal. It may be empty.
func (r *Refusal) Detail() string { return r.detail }

// Unwrap returns the underlying error of the connection or of the context, or nil.
func (r *Refusal) Unwrap() error { return r.cause }

// Error returns the text of the reason, the run state, the detail and the underlying error.
func (r *Refusal) Error() string {
	text := r.reason.Text() + " (" + r.run.String() + ")"
	if r.detail != "" {
		text += ": " + r.detail
	}
	if r.cause != nil {
		text += ": " + r.cause.Error()
	}
	return text
}

// AsRefusal returns the first refusal in the error's chain, or nil if there is none.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}
