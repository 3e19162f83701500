package config

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"rhubarbgate.example/rhubarbgate"
)

// Digest returns the SHA-256 of the bundle's JSON without its signatures; it is
// what operators sign.
func Digest(b *rhubarbgate.Bundle) []byte {
	u := *b
	u.Signatures = nil
	j, err := json.Marshal(&u)
	if err != nil {
		// The types hold only strings, numbers and addresses. CheckFinite rejects the
		// numbers that cannot be encoded.
		panic(err)
	}
	d := sha256.Sum256(j)
	return d[:]
}

// KeyDigest returns the lower-case hexadecimal SHA-256 of a caller's secret, as
// rhubarbgate.Key stores it.
func KeyDigest(secret string) string {
	d := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(d[:])
}

// Operators holds the public keys of the operators whose signatures count, by
// operator name.
type Operators struct {
	Keys map[string]ed25519.PublicKey
	// Threshold is how many different operators must sign a bundle.
	Threshold int
}

// Verify checks that at least Threshold operators signed the bundle. A signature
// that is invalid or of an unknown operator is an error, whatever the others are, and so is
// a bundle that CheckFinite rejects.
func (o Operators) Verify(b *rhubarbgate.Bundle) error {
	if err := CheckFinite(b); err != nil {
		return err
	}
	d := Digest(b)
	signers := map[string]bool{}
	for _, s := range b.Signatures {
		k, ok := o.Keys[s.Operator]
		if !ok {
			return rhubarbgate.Errorf(rhubarbgate.CodeForbidden, rhubarbgate.NotRun, "bundle %d: unknown operator %q", b.Version, s.Operator)
		}
		if !ed25519.Verify(k, d, s.Value) {
			return rhubarbgate.Errorf(rhubarbgate.CodeForbidden, rhubarbgate.NotRun, "bundle %d: the signature of operator %q does not fit the content", b.Version, s.Operator)
		}
		signers[s.Operator] = true
	}
	if len(signers) < o.Threshold {
		return rhubarbgate.Errorf(rhubarbgate.CodeForbidden, rhubarbgate.NotRun, "bundle %d: signed by %d operators, %d are needed", b.Version, len(signers), o.Threshold)
	}
	return nil
}

// Sign adds the operator's signature to the bundle, or replaces an earlier one of
// the same operator.
func Sign(b *rhubarbgate.Bundle, operator string, k ed25519.PrivateKey) {
	s := rhubarbgate.Signature{Operator: operator, Value: ed25519.Sign(k, Digest(b))}
	for i, x := range b.Signatures {
		if x.Operator == operator {
			b.Signatures[i] = s
			return
		}
	}
	b.Signatures = append(b.Signatures, s)
}
