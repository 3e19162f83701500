// Package reload makes TLS settings from files and takes renewed files up without a restart.
package reload

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// checkEvery is how often the files are looked at.
const checkEvery = time.Second

// Files are the paths of a process's certificate, its key and the authority.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Reloader holds the newest valid content of the files.
type Reloader struct {
	Files Files
	Clock clockwork.Clock

	mu      sync.Mutex
	checked time.Time
	stamp   [3]time.Time
	current *material
}

// material is the parsed content of the files.
type material struct {
	certificate *tls.Certificate
	roots       *x509.CertPool
}

// New reads the files.
func New(f Files, c clockwork.Clock) (*Reloader, error) {
	k := &Reloader{Files: f, Clock: c}
	m, err := load(f)
	if err != nil {
		return nil, errors.Trace(err)
	}
	k.current, k.stamp, k.checked = m, f.stamps(), c.Now()
	return k, nil
}

func load(f Files) (*material, error) {
	c, err := os.ReadFile(f.Certificate)
	if err != nil {
		return nil, errors.Trace(err)
	}
	k, err := os.ReadFile(f.Key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	a, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return parse(c, k, a)
}

func parse(certificate, key, authority []byte) (*material, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Annotate(err, "certificate and key")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, errors.NotValidf("authority without a certificate")
	}
	return &material{certificate: &pair, roots: roots}, nil
}

func (f Files) stamps() [3]time.Time {
	var r [3]time.Time
	for i, p := range []string{f.Certificate, f.Key, f.Authority} {
		if s, err := os.Stat(p); err == nil {
			r[i] = s.ModTime()
		}
	}
	return r
}

// get returns the newest content. Files that do not fit together, as in the
// middle of a renewal, are passed over until they do.
func (k *Reloader) get() *material {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Clock.Now()
	if k.Files == (Files{}) || now.Sub(k.checked) < checkEvery {
		return k.current
	}
	k.checked = now
	s := k.Files.stamps()
	if s == k.stamp {
		return k.current
	}
	if m, err := load(k.Files); err == nil {
		k.current, k.stamp = m, s
	}
	return k.current
}

// NewStatic returns a Keeper of content in memory.
func NewStatic(certificate, key, authority []byte, c clockwork.Clock) (*Reloader, error) {
	m, err := parse(certificate, key, authority)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Reloader{Clock: c, current: m}, nil
}

// Config returns settings for both ends of mutually authenticated connections.
// A peer is known by its certificate's role, not by its address, since hosts are
// replaced all the time.
func (k *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.get().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.get().certificate, nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		// The chain is checked below against the newest authority, without a name.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verify,
	}
}

// OperatorConfig returns settings for a listener whose callers show a credential
// instead of a certificate.
func (k *Reloader) OperatorConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.get().certificate, nil
		},
	}
}

// ClientConfig returns settings for a tool that checks the other end's certificate
// and shows none itself.
func ClientConfig(authority []byte) (*tls.Config, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, errors.NotValidf("authority without a certificate")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain is checked below, without a name.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
			return errors.Annotate(err, "peer certificate")
		},
	}, nil
}

func (k *Reloader) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.Unauthorizedf("peer without a certificate")
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: k.get().roots, CurrentTime: k.Clock.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Annotate(err, "peer certificate")
}
