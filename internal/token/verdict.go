package token

import "github.com/fireflylanding/fireflylanding/internal/wire"

// State is what the issuer knows of a token. States only advance: Issued, Running, then one of the final states.
type State uint8

// The states of a token. Completed, NotRun and Unknown are final.
const (
	Issued State = iota
	Running
	Completed
	NotRun
	Unknown
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Issued:
		return "issued"
	case Running:
		return "running"
	case Completed:
		return "completed"
	case NotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Reason returns the reason for refusing a resend of a token in this state. For Issued it is unspecified.
func (s State) Reason() wire.Reason {
	switch s {
	case Issued:
		return wire.Reason_REASON_UNSPECIFIED
	case Running:
		return wire.Reason_REASON_TOKEN_RUNNING
	case Completed:
		return wire.Reason_REASON_TOKEN_COMPLETED
	case NotRun:
		return wire.Reason_REASON_TOKEN_NOT_RUN
	default:
		return wire.Reason_REASON_TOKEN_UNKNOWN
	}
}

func (s State) final() bool { return s == Completed || s == NotRun || s == Unknown }

// Verdict is the result of Begin: Run, Duplicate, OtherIssuer, Invalid or Expired.
type Verdict interface{ verdict() }

// Run allows the request to run. The caller must report the outcome with Finish.
type Run struct{ sequence uint64 }

// Duplicate is the verdict on a token that was used before; the request must not run.
type Duplicate struct{ state State }

// OtherIssuer is the verdict on a well-formed token of another address or incarnation. Its MAC has not been verified. When the address is
// the issuer's own, the incarnation that issued the token no longer exists.
type OtherIssuer struct{ origin Origin }

// Invalid is the verdict on a token that is malformed, fails authentication or was never issued; the request was not run.
type Invalid struct{}

// Expired is the verdict on a token that has left the window; whether it ran is unknown.
type Expired struct{}

func (Run) verdict()         {}
func (Duplicate) verdict()   {}
func (OtherIssuer) verdict() {}
func (Invalid) verdict()     {}
func (Expired) verdict()     {}

// Sequence returns the sequence number to pass to Finish.
func (r Run) Sequence() uint64 { return r.sequence }

// State returns the recorded state, which is never Issued.
func (k Duplicate) State() State { return k.state }

// Address returns the address of the process that issued the token.
func (e OtherIssuer) Address() string { return e.origin.address }

// Incarnation returns the incarnation of the process that issued the token.
func (e OtherIssuer) Incarnation() uint64 { return e.origin.incarnation }
