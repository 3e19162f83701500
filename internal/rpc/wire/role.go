package wire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"strings"

	"github.com/juju/errors"
	"storj.io/drpc/drpcctx"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Role -trimprefix=Role -output=role_string.go

// Role is what a certificate entitles its holder to be.
type Role uint8

const (
	// RoleNone is a peer without a certificate, possible only without TLS.
	RoleNone Role = iota
	// RoleEntry is an entry process.
	RoleEntry
	// RoleSide is a side process.
	RoleSide
	// RoleControl is a control process.
	RoleControl
	// RoleOperator is an operator's command line.
	RoleOperator
)

// ParseRole returns the role with the given lower-case name.
func ParseRole(s string) (Role, error) {
	for r := RoleEntry; r <= RoleOperator; r++ {
		if strings.ToLower(r.String()) == s {
			return r, nil
		}
	}
	return RoleNone, errors.NotValidf("role %q (want entry, side, control or operator)", s)
}

// Peer is the authenticated other end of a connection.
type Peer struct {
	Role Role
	// Name is the certificate's common name.
	Name string
	// TLS says whether the connection is authenticated at all.
	TLS bool
}

// PeerFrom returns the peer that the RPC of ctx came from.
func PeerFrom(ctx context.Context) Peer {
	t, ok := drpcctx.Transport(ctx)
	if !ok {
		return Peer{}
	}
	c, ok := t.(*tls.Conn)
	if !ok {
		return Peer{}
	}
	s := c.ConnectionState()
	if len(s.PeerCertificates) == 0 {
		return Peer{TLS: true}
	}
	return peerOf(s.PeerCertificates[0])
}

func peerOf(c *x509.Certificate) Peer {
	p := Peer{Name: c.Subject.CommonName, TLS: true}
	for _, u := range c.Subject.OrganizationalUnit {
		if r, err := ParseRole(u); err == nil {
			p.Role = r
		}
	}
	return p
}
