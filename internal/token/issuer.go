// Package token issues request tokens and ensures that each of them runs at most once. A token can be run only by the process incarnation
// that issued it, so no state is shared or stored.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"strings"
	"sync"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// WindowSize is the number of most recently issued sequence numbers whose state the issuer keeps.
const WindowSize = 65536

// Issuer issues tokens and keeps their states in one byte each. It is safe for concurrent use.
type Issuer struct {
	address     string
	incarnation uint64
	key         []byte

	// mu covers the check of the window together with the change of the state. With separate atomic operations, Issue could reuse a
	// slot between the two, and Begin would then change the state of another token.
	mu sync.Mutex
	// next is the sequence number of the next token; it only grows. The window is [next-WindowSize, next).
	next uint64
	// states holds the state of sequence number n at index n % WindowSize.
	states [WindowSize]State
}

// New returns an issuer for one process incarnation. The address is where other nodes reach the process, the incarnation must differ
// between all processes that ever had the address, and the key must be known to this process only.
func New(address string, incarnation uint64, key []byte) *Issuer {
	return &Issuer{
		address:     strings.ToValidUTF8(address, "?"),
		incarnation: incarnation,
		key:         append([]byte(nil), key...),
	}
}

// Issue returns n new tokens, at most WindowSize. Sequence numbers more than WindowSize behind the newest expire.
func (i *Issuer) Issue(n int) []string {
	n = min(n, WindowSize)
	if n <= 0 {
		return nil
	}
	first := i.reserve(n)
	tokens := make([]string, n)
	for k := range tokens {
		tokens[k] = i.encode(first + uint64(k))
	}
	return tokens
}

// reserve takes n sequence numbers and returns the first.
func (i *Issuer) reserve(n int) uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	first := i.next
	for range n {
		i.states[i.next%WindowSize] = Issued
		i.next++
	}
	return first
}

// Begin decides how to treat a request that carries token t. It returns Run at most once for each token.
func (i *Issuer) Begin(t string) Verdict {
	decoded, err := decodeToken(t)
	if err != nil {
		return Invalid{}
	}
	if decoded.origin != (Origin{address: i.address, incarnation: i.incarnation}) {
		return OtherIssuer{origin: decoded.origin}
	}
	if !hmac.Equal(decoded.mac, i.sign(decoded.body)) {
		return Invalid{}
	}
	return i.beginSequence(decoded.sequence)
}

func (i *Issuer) beginSequence(sequence uint64) Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	if sequence >= i.next {
		return Invalid{}
	}
	if !i.inWindow(sequence) {
		return Expired{}
	}
	slot := &i.states[sequence%WindowSize]
	if *slot != Issued {
		return Duplicate{state: *slot}
	}
	*slot = Running
	return Run{sequence: sequence}
}

// Finish records the final state of a sequence number. Only the first Finish after Run counts. It has no effect on a number that is not
// running or has left the window, nor with a state that is not final.
func (i *Issuer) Finish(sequence uint64, s State) {
	if !s.final() {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.inWindow(sequence) {
		return
	}
	slot := &i.states[sequence%WindowSize]
	if *slot == Running {
		*slot = s
	}
}

// inWindow reports whether the state of an issued sequence number is still kept. The caller holds mu.
func (i *Issuer) inWindow(sequence uint64) bool {
	return sequence < i.next && i.next-sequence <= WindowSize
}

func (i *Issuer) encode(sequence uint64) string {
	body := mustMarshal(wire.TokenBody_builder{
		Address:     i.address,
		Incarnation: i.incarnation,
		Sequence:    sequence,
	}.Build())
	return encoding.EncodeToString(mustMarshal(wire.Token_builder{Body: body, Mac: i.sign(body)}.Build()))
}

// sign returns the truncated HMAC-SHA-256 of a body.
func (i *Issuer) sign(body []byte) []byte {
	h := hmac.New(sha256.New, i.key)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}
