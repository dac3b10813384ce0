package client

import (
	"slices"
	"sync"
)

// maxTokens is the maximum number of unused request tokens that a client keeps. Older tokens leave the issuer's window and expire.
const maxTokens = 256

// token is a request token with the address of the node that returned it.
type token struct {
	text   string
	source string
}

// tokens is a set of unused request tokens. Each token is taken at most once.
type tokens struct {
	mu     sync.Mutex
	unused []token
}

// put adds tokens that a node returned, and discards the oldest tokens beyond maxTokens.
func (t *tokens) put(source string, texts ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, text := range texts {
		if text != "" {
			t.unused = append(t.unused, token{text: text, source: source})
		}
	}
	if excess := len(t.unused) - maxTokens; excess > 0 {
		t.unused = slices.Delete(t.unused, 0, excess)
	}
}

// take removes the newest token and returns its text, or an empty string if there is none.
func (t *tokens) take() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unused) == 0 {
		return ""
	}
	last := len(t.unused) - 1
	text := t.unused[last].text
	t.unused = t.unused[:last]
	return text
}

// discardFrom removes the tokens that a node returned. A question with a token whose issuer is gone would end with the state Unknown.
func (t *tokens) discardFrom(source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unused = slices.DeleteFunc(t.unused, func(candidate token) bool { return candidate.source == source })
}
