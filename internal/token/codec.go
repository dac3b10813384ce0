package token

import (
	"encoding/base64"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	macBytes = 16
	// maxTokenBytes bounds the length of a token's text. It leaves room for an address of more than 600 bytes.
	maxTokenBytes = 1024
)

// encoding is strict, so that stray bits at the end of a token make it malformed.
var encoding = base64.RawURLEncoding.Strict()

// ErrMalformed is the cause of every error of Parse.
var ErrMalformed = errors.New("malformed request token")

// Origin identifies the process incarnation that issued a token.
type Origin struct {
	address     string
	incarnation uint64
}

// Address returns the address of the issuer.
func (o Origin) Address() string { return o.address }

// Incarnation returns the incarnation of the issuer.
func (o Origin) Incarnation() uint64 { return o.incarnation }

// Parse returns the origin that a token names. Only the issuer can verify the token's MAC, so the origin may be forged. Errors wrap
// ErrMalformed.
func Parse(t string) (Origin, error) {
	decoded, err := decodeToken(t)
	return decoded.origin, err
}

// decodedToken is a well-formed token whose MAC has not been verified.
type decodedToken struct {
	origin   Origin
	sequence uint64
	body     []byte
	mac      []byte
}

func decodeToken(t string) (decodedToken, error) {
	if len(t) > maxTokenBytes {
		return decodedToken{}, errors.Wrapf(ErrMalformed, "length of %d bytes exceeds the maximum", len(t))
	}
	data, err := encoding.DecodeString(t)
	if err != nil {
		return decodedToken{}, errors.Wrap(ErrMalformed, "token is not valid base64")
	}
	outer := &wire.Token{}
	if err := proto.Unmarshal(data, outer); err != nil {
		return decodedToken{}, errors.Wrap(ErrMalformed, "token is not valid protobuf")
	}
	if len(outer.GetMac()) != macBytes {
		return decodedToken{}, errors.Wrapf(ErrMalformed, "MAC has the wrong length of %d bytes", len(outer.GetMac()))
	}
	body := &wire.TokenBody{}
	if err := proto.Unmarshal(outer.GetBody(), body); err != nil {
		return decodedToken{}, errors.Wrap(ErrMalformed, "token body is not valid protobuf")
	}
	if body.GetAddress() == "" {
		return decodedToken{}, errors.Wrap(ErrMalformed, "address is missing")
	}
	return decodedToken{
		origin:   Origin{address: body.GetAddress(), incarnation: body.GetIncarnation()},
		sequence: body.GetSequence(),
		body:     outer.GetBody(),
		mac:      outer.GetMac(),
	}, nil
}

// mustMarshal cannot fail, since the messages have no required fields and New makes the address valid UTF-8.
func mustMarshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}
