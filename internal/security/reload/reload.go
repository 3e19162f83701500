// Package reload builds TLS configurations from files and reloads renewed files without a restart.
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

// checkInterval is the least time between two checks of the files for changes.
const checkInterval = time.Second

// Files are the paths of a process's certificate, its private key and the certificate of
// the authority that issues the peers' certificates.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Reloader holds the newest valid content of the files. It checks them for changes when
// the content is used.
type Reloader struct {
	Files Files
	Clock clockwork.Clock

	mu             sync.Mutex
	checkedAt      time.Time
	loadedModTimes [3]time.Time
	current        *material
}

// material is the parsed content of the files: the process's own certificate and the
// roots by which peers are verified.
type material struct {
	certificate *tls.Certificate
	roots       *x509.CertPool
}

// New returns a Reloader that has read the files, or an error if they are not valid.
func New(f Files, c clockwork.Clock) (*Reloader, error) {
	r := &Reloader{Files: f, Clock: c}
	m, err := load(f)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.current, r.loadedModTimes, r.checkedAt = m, f.modTimes(), c.Now()
	return r, nil
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

// modTimes returns the modification times of the files, zero for those that cannot be
// read.
func (f Files) modTimes() [3]time.Time {
	var r [3]time.Time
	for i, p := range []string{f.Certificate, f.Key, f.Authority} {
		if s, err := os.Stat(p); err == nil {
			r[i] = s.ModTime()
		}
	}
	return r
}

// latest returns the newest valid content. While certificate and key do not match, as in
// the middle of a renewal, the previous content stays in use.
func (r *Reloader) latest() *material {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if r.Files == (Files{}) || now.Sub(r.checkedAt) < checkInterval {
		return r.current
	}
	r.checkedAt = now
	s := r.Files.modTimes()
	if s == r.loadedModTimes {
		return r.current
	}
	if m, err := load(r.Files); err == nil {
		r.current, r.loadedModTimes = m, s
	}
	return r.current
}

// NewStatic returns a Reloader for PEM content in memory, which never changes.
func NewStatic(certificate, key, authority []byte, c clockwork.Clock) (*Reloader, error) {
	m, err := parse(certificate, key, authority)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Reloader{Clock: c, current: m}, nil
}

// Config returns a configuration for both ends of mutually authenticated connections. A
// peer is identified by the role in its certificate, not by its address or host name,
// because hosts are replaced all the time.
func (r *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.latest().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.latest().certificate, nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		// VerifyConnection verifies the chain against the newest authority instead,
		// without a host name.
		InsecureSkipVerify: true,
		VerifyConnection:   r.verifyPeer,
	}
}

// OperatorConfig returns a configuration for a listener whose callers authenticate by a
// credential in the request instead of a certificate.
func (r *Reloader) OperatorConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.latest().certificate, nil
		},
	}
}

// ClientConfig returns a configuration for a client that verifies the server's
// certificate and presents none itself.
func ClientConfig(authority []byte) (*tls.Config, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, errors.NotValidf("authority without a certificate")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the chain instead, without a host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
			return errors.Annotate(err, "peer certificate")
		},
	}, nil
}

func (r *Reloader) verifyPeer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.Unauthorizedf("peer without a certificate")
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: r.latest().roots, CurrentTime: r.Clock.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Annotate(err, "peer certificate")
}
