package client

import (
	"slices"
	"sync"
)

// maxTokens bounds the request tokens that a client holds; the issuer's window makes older ones expire.
const maxTokens = 256

// token is a request token and the address of the node that gave it.
type token struct {
	text   string
	source string
}

// tokens holds unused request tokens. Each is taken at most once.
type tokens struct {
	mu     sync.Mutex
	unused []token
}

// put adds tokens given by a node and forgets the oldest beyond maxTokens.
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

// take removes the newest token and returns its text, or an empty string when there is none.
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

// forget removes the tokens that a node gave. A token whose issuer is gone would end as unknown.
func (t *tokens) forget(source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unused = slices.DeleteFunc(t.unused, func(held token) bool { return held.source == source })
}
