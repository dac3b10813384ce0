package soak

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
)

// cutOff reports whether a request that a node had read ended without an answer. A connection that closes before the node read the
// request loses nothing: the caller may send the request to another node. ran tells whether the request reached a searcher.
func cutOff(err error, ran bool) bool {
	switch {
	case err == nil, errors.Is(err, context.DeadlineExceeded):
		return false
	case errors.Is(err, io.ErrUnexpectedEOF):
		return true
	default:
		return ran
	}
}
