package meter

import (
	"context"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
)

// pipe returns a metered connection and its other end.
func pipe(t *testing.T, b *Budget) (*Conn, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	conn, err := b.Dialer(func(context.Context, string) (net.Conn, error) { return near, nil })(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	return conn.(*Conn), far
}

// readAll sends n bytes to the connection and reads them, and returns how many were read and the error that ended the reads.
func readAll(c *Conn, far net.Conn, n int) (int, error) {
	// A write that nobody reads fails when the connection closes.
	go func() { _, _ = far.Write(make([]byte, n)) }()
	total := 0
	for buffer := make([]byte, 100); total < n; {
		read, err := c.Read(buffer)
		total += read
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// Guards against a reply that is read beyond its allowance, and against an allowance that outlives its reply.
func TestAllowance(t *testing.T) {
	tests := map[string]struct {
		allowance int64
		begun     bool
		sent      int
		want      int
		wantErr   error
	}{
		"within":       {allowance: 1000, begun: true, sent: 1000, want: 1000},
		"beyond":       {allowance: 1000, begun: true, sent: 1500, want: 1000, wantErr: ErrTooLong},
		"not in reply": {allowance: 1000, sent: 1500, want: 1500},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(1 << 20)
			c, far := pipe(t, b)
			c.Begin(0, test.allowance)
			if !test.begun {
				c.End()
			}
			got, err := readAll(c, far, test.sent)
			if got != test.want || !errors.Is(err, test.wantErr) {
				t.Errorf("got %d bytes and error %v, want %d and %v", got, err, test.want, test.wantErr)
			}
			c.End()
			if got := b.Used(); got != 0 {
				t.Errorf("after the end: got %d bytes in use, want 0", got)
			}
		})
	}
}

// Guards against a budget that ends sound replies instead of the one that has grown the most beyond what was expected of it.
func TestBudgetEndsTheWorst(t *testing.T) {
	b := NewBudget(3000)
	sound, soundFar := pipe(t, b)
	bad, badFar := pipe(t, b)
	late, lateFar := pipe(t, b)
	sound.Begin(2000, 10_000)
	bad.Begin(100, 10_000)
	late.Begin(100, 10_000)
	if _, err := readAll(sound, soundFar, 1500); err != nil {
		t.Fatal(err)
	}
	if _, err := readAll(bad, badFar, 1200); err != nil {
		t.Fatal(err)
	}
	if _, err := readAll(late, lateFar, 800); err != nil {
		t.Fatal(err)
	}
	for name, got := range map[string]error{"sound": sound.Cut(), "late": late.Cut()} {
		if got != nil {
			t.Errorf("%s: got %v, want a reply that goes on", name, got)
		}
	}
	if got := bad.Cut(); !errors.Is(got, ErrBudget) {
		t.Errorf("bad: got %v, want %v", got, ErrBudget)
	}
	if got, want := b.Used(), int64(2300); got != want {
		t.Errorf("got %d bytes in use, want %d", got, want)
	}
}
