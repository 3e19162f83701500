// Package authority issues the certificates that authenticate the fleet's processes and state their roles.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"strings"
	"time"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

const (
	certificatePEMType = "CERTIFICATE"
	keyPEMType         = "EC PRIVATE KEY"
	// backdate is how far NotBefore lies in the past, so that peers whose clocks are
	// slow accept a new certificate.
	backdate = 5 * time.Minute
)

// KeyPair is a certificate and its private key, both in PEM.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// New creates a fleet authority: a self-signed CA certificate with a new key.
func New(now time.Time, lifetime time.Duration) (*KeyPair, error) {
	t, err := template("rhubarbgate fleet authority", now, lifetime)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return sign(t, t, k, k)
}

// Issue creates a key and a certificate, signed by the authority p, for a process of the
// given role. The role is the organizational unit, the name the common name.
func (p *KeyPair) Issue(role wire.Role, name string, now time.Time, lifetime time.Duration) (*KeyPair, error) {
	parent, key, err := p.parse()
	if err != nil {
		return nil, errors.Annotate(err, "authority")
	}
	t, err := template(name, now, lifetime)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t.Subject.OrganizationalUnit = []string{strings.ToLower(role.String())}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return sign(t, parent, k, key)
}

// template returns the fields that all certificates share.
func template(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	const serialBits = 127
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, Organization: []string{"rhubarbgate"}},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// sign issues the certificate t for the key k and encodes both as PEM.
func sign(t, parent *x509.Certificate, k, parentKey *ecdsa.PrivateKey) (*KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &k.PublicKey, parentKey)
	if err != nil {
		return nil, errors.Trace(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificatePEMType, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyPEMType, Bytes: keyDER}),
	}, nil
}

func (p *KeyPair) parse() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	c, _ := pem.Decode(p.Certificate)
	k, _ := pem.Decode(p.Key)
	if c == nil || k == nil {
		return nil, nil, errors.NotValidf("PEM")
	}
	cert, err := x509.ParseCertificate(c.Bytes)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	key, err := x509.ParseECPrivateKey(k.Bytes)
	return cert, key, errors.Trace(err)
}
