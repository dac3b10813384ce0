package token

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	testAddress     = "10.0.0.1:7000"
	testIncarnation = 77
)

var testKey = []byte("key of the test")

func newTestIssuer() *Issuer { return New(testAddress, testIncarnation, testKey) }

// forgeToken returns a token with the given content and MAC.
func forgeToken(t testing.TB, address string, incarnation, sequence uint64, mac []byte) string {
	t.Helper()
	body, err := proto.Marshal(wire.TokenBody_builder{Address: address, Incarnation: incarnation, Sequence: sequence}.Build())
	if err != nil {
		t.Fatal(err)
	}
	data, err := proto.Marshal(wire.Token_builder{Body: body, Mac: mac}.Build())
	if err != nil {
		t.Fatal(err)
	}
	return encoding.EncodeToString(data)
}

// TestBeginVerdicts guards against a token that is run by a process that did not issue it, or after it was altered.
func TestBeginVerdicts(t *testing.T) {
	own := newTestIssuer()
	valid := own.Issue(1)[0]
	wrongMAC := make([]byte, macBytes)
	tests := map[string]struct {
		token string
		want  Verdict
	}{
		"valid":               {valid, Run{sequence: 0}},
		"other address":       {New("10.0.0.2:7000", testIncarnation, testKey).Issue(1)[0], OtherIssuer{Origin{"10.0.0.2:7000", testIncarnation}}},
		"earlier incarnation": {New(testAddress, 76, testKey).Issue(1)[0], OtherIssuer{Origin{testAddress, 76}}},
		"other key":           {New(testAddress, testIncarnation, []byte("other")).Issue(1)[0], Invalid{}},
		"wrong MAC":           {forgeToken(t, testAddress, testIncarnation, 0, wrongMAC), Invalid{}},
		"short MAC":           {forgeToken(t, testAddress, testIncarnation, 0, wrongMAC[:8]), Invalid{}},
		"number not issued":   {own.encode(5), Invalid{}},
		"no address":          {forgeToken(t, "", testIncarnation, 0, wrongMAC), Invalid{}},
		"empty":               {"", Invalid{}},
		"not base64":          {"***", Invalid{}},
		"padded":              {valid + "=", Invalid{}},
		"truncated":           {valid[:len(valid)-4], Invalid{}},
		"too long":            {strings.Repeat("A", maxTokenBytes+1), Invalid{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := own.Begin(test.token); got != test.want {
				t.Errorf("Begin: got %#v, want %#v", got, test.want)
			}
		})
	}
}

// TestFinishStates guards against a recorded outcome that a later or invalid call of Finish overwrites.
func TestFinishStates(t *testing.T) {
	tests := map[string]struct {
		outcomes []State
		want     State
	}{
		"running":              {nil, Running},
		"completed":            {[]State{Completed}, Completed},
		"not run":              {[]State{NotRun}, NotRun},
		"unknown":              {[]State{Unknown}, Unknown},
		"first outcome counts": {[]State{Unknown, Completed}, Unknown},
		"issued is not final":  {[]State{Issued}, Running},
		"running is not final": {[]State{Running, Completed}, Completed},
		"undefined state":      {[]State{Unknown + 1}, Running},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			issuer := newTestIssuer()
			text := issuer.Issue(1)[0]
			sequence := issuer.Begin(text).(Run).Sequence()
			for _, outcome := range test.outcomes {
				issuer.Finish(sequence, outcome)
			}
			if got, want := issuer.Begin(text), (Duplicate{state: test.want}); got != want {
				t.Errorf("resend: got %#v, want %#v", got, want)
			}
		})
	}
}

// TestFinishBeforeBegin guards against a Finish that changes the state of a token that was never begun.
func TestFinishBeforeBegin(t *testing.T) {
	issuer := newTestIssuer()
	text := issuer.Issue(1)[0]
	issuer.Finish(0, Completed)
	issuer.Finish(1, Completed)
	if got, want := issuer.Begin(text), (Run{sequence: 0}); got != want {
		t.Errorf("Begin: got %#v, want %#v", got, want)
	}
}

// TestWindow guards against a token that runs again, or a Finish that changes another token, once the slot is reused.
func TestWindow(t *testing.T) {
	issuer := newTestIssuer()
	begun := issuer.Issue(1)[0]
	idle := issuer.Issue(1)[0]
	sequence := issuer.Begin(begun).(Run).Sequence()
	issuer.Issue(WindowSize - 2)
	if got, want := issuer.Begin(begun), (Duplicate{state: Running}); got != want {
		t.Errorf("at the end of the window: got %#v, want %#v", got, want)
	}
	successor := issuer.Issue(1)[0]
	if got, want := issuer.Begin(begun), (Expired{}); got != want {
		t.Errorf("after the window: got %#v, want %#v", got, want)
	}
	issuer.Begin(successor)
	issuer.Finish(sequence, Completed)
	if got, want := issuer.Begin(successor), (Duplicate{state: Running}); got != want {
		t.Errorf("token in the reused slot: got %#v, want %#v", got, want)
	}
	issuer.Issue(1)
	if got, want := issuer.Begin(idle), (Expired{}); got != want {
		t.Errorf("idle token after the window: got %#v, want %#v", got, want)
	}
}

// TestIssueCount guards against tokens that have already expired when Issue returns them.
func TestIssueCount(t *testing.T) {
	issuer := newTestIssuer()
	tests := map[string]struct{ n, want int }{
		"negative": {-1, 0},
		"none":     {0, 0},
		"some":     {4, 4},
		"too many": {WindowSize + 10, WindowSize},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tokens := issuer.Issue(test.n)
			if got := len(tokens); got != test.want {
				t.Fatalf("tokens: got %d, want %d", got, test.want)
			}
			if test.want == 0 {
				return
			}
			if _, ok := issuer.Begin(tokens[0]).(Run); !ok {
				t.Errorf("first token does not run")
			}
		})
	}
}

// TestParse guards against a request that is forwarded to the wrong process.
func TestParse(t *testing.T) {
	origin, err := Parse(newTestIssuer().Issue(1)[0])
	if err != nil {
		t.Fatal(err)
	}
	if got, want := origin, (Origin{testAddress, testIncarnation}); got != want {
		t.Errorf("origin: got %v, want %v", got, want)
	}
	if _, err := Parse("x"); !errors.Is(err, ErrMalformed) {
		t.Errorf("error: got %v, want %v", err, ErrMalformed)
	}
}

// TestStateReasons guards against a resend that is answered with the wrong run state.
func TestStateReasons(t *testing.T) {
	tests := map[string]struct {
		state State
		want  wire.Reason
	}{
		"running":   {Running, wire.Reason_REASON_TOKEN_RUNNING},
		"completed": {Completed, wire.Reason_REASON_TOKEN_COMPLETED},
		"not_run":   {NotRun, wire.Reason_REASON_TOKEN_NOT_RUN},
		"unknown":   {Unknown, wire.Reason_REASON_TOKEN_UNKNOWN},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.state.Reason(); got != test.want {
				t.Errorf("reason: got %v, want %v", got, test.want)
			}
			if got := test.state.String(); got != name {
				t.Errorf("name: got %q, want %q", got, name)
			}
		})
	}
}

// modelToken is the property test's own record of one token.
type modelToken struct {
	text  string
	state State
	// issuedCount is the number of tokens issued up to and including this one.
	issuedCount int
}

// TestAtMostOnce guards, over random interleavings, against a token that runs twice, a state that regresses, and a window that keeps too
// many or too few states. rapid prints the seed of a failure.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		issuer := newTestIssuer()
		issued := 0
		var tokens []*modelToken
		pick := func(t *rapid.T) *modelToken {
			if len(tokens) == 0 {
				t.Skip("no token yet")
			}
			return rapid.SampledFrom(tokens).Draw(t, "token")
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				for _, text := range issuer.Issue(rapid.IntRange(1, 4).Draw(t, "n")) {
					issued++
					tokens = append(tokens, &modelToken{text: text, issuedCount: issued})
				}
			},
			"advance": func(t *rapid.T) {
				n := rapid.SampledFrom([]int{1, WindowSize / 2, WindowSize - 1, WindowSize}).Draw(t, "n")
				issuer.reserve(n)
				issued += n
			},
			"begin or resend": func(t *rapid.T) {
				m := pick(t)
				got := issuer.Begin(m.text)
				want := m.begin(issued)
				if got != want {
					t.Fatalf("Begin: got %#v, want %#v", got, want)
				}
			},
			"finish": func(t *rapid.T) {
				m := pick(t)
				s := rapid.SampledFrom([]State{Issued, Running, Completed, NotRun, Unknown}).Draw(t, "state")
				issuer.Finish(uint64(m.issuedCount-1), s)
				if m.state == Running && s.final() {
					m.state = s
				}
			},
		})
	})
}

// begin returns the expected verdict and advances the model.
func (m *modelToken) begin(issued int) Verdict {
	if issued-m.issuedCount >= WindowSize {
		return Expired{}
	}
	if m.state != Issued {
		return Duplicate{state: m.state}
	}
	m.state = Running
	return Run{sequence: uint64(m.issuedCount - 1)}
}

// TestConcurrentBegin guards against two simultaneous requests with one token that both run, including while the window advances.
func TestConcurrentBegin(t *testing.T) {
	const (
		workers = 8
		count   = 2000
	)
	issuer := newTestIssuer()
	tokens := issuer.Issue(count)
	runs := make([]atomic.Int32, count)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for k, text := range tokens {
				if run, ok := issuer.Begin(text).(Run); ok {
					runs[k].Add(1)
					issuer.Finish(run.Sequence(), Completed)
				}
				if k%10 == 0 {
					issuer.reserve(50)
				}
			}
		})
	}
	group.Wait()
	for k := range runs {
		if got := runs[k].Load(); got > 1 {
			t.Errorf("token %d: got %d runs, want at most 1", k, got)
		}
	}
	if got := runs[0].Load(); got != 1 {
		t.Errorf("first token: got %d runs, want 1", got)
	}
}

// FuzzBegin guards against a panic on malformed input and against a token that runs although the issuer never issued it.
func FuzzBegin(f *testing.F) {
	f.Add(newTestIssuer().Issue(1)[0])
	f.Add(New("other", 1, testKey).Issue(1)[0])
	f.Add(forgeToken(f, testAddress, testIncarnation, 0, make([]byte, macBytes)))
	f.Add("")
	f.Add("CgA")
	f.Fuzz(func(t *testing.T, text string) {
		issuer := newTestIssuer()
		own := issuer.Issue(1)[0]
		verdict := issuer.Begin(text)
		if _, ok := verdict.(Run); ok && text != own {
			// Only the outer message may be encoded differently; its body and MAC must be the issuer's.
			want, err := decodeToken(own)
			if err != nil {
				t.Fatal(err)
			}
			got, err := decodeToken(text)
			if err != nil {
				t.Fatal(err)
			}
			if string(got.body) != string(want.body) {
				t.Fatalf("token %q was not issued but runs", text)
			}
		}
		_, err := Parse(text)
		if _, invalid := verdict.(Invalid); err != nil && !invalid {
			t.Fatalf("malformed token %q: got %#v, want Invalid", text, verdict)
		}
	})
}

func BenchmarkBegin(b *testing.B) {
	issuer := newTestIssuer()
	tokens := issuer.Issue(1024)
	b.ReportAllocs()
	for k := 0; b.Loop(); k++ {
		issuer.Begin(tokens[k%len(tokens)])
	}
}

func BenchmarkIssue(b *testing.B) {
	issuer := newTestIssuer()
	b.ReportAllocs()
	for b.Loop() {
		issuer.Issue(4)
	}
}
