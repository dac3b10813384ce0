package client

import (
	"github.com/cockroachdb/errors"
)

// Refusal is the error of a question that was not answered.
type Refusal struct {
	run    RunState
	reason Reason
	detail string
	cause  error
}

// Run returns whether the question was run. After Unknown a non-idempotent question must not be asked again.
func (r *Refusal) Run() RunState { return r.run }

// Reason returns why the question was not answered.
func (r *Refusal) Reason() Reason { return r.reason }

// Detail returns what the text of the reason does not say, possibly nothing.
func (r *Refusal) Detail() string { return r.detail }

// Unwrap returns the error of the connection or of the context, or nil.
func (r *Refusal) Unwrap() error { return r.cause }

// Error returns the reason's text, the run state and the detail.
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

// AsRefusal returns the refusal in an error's chain, or nil.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}
