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

// Role is the kind of process that a certificate was issued to. It decides which methods
// the process may call.
type Role uint8

const (
	// RoleNone is a peer without a certificate or with none of the roles below.
	RoleNone Role = iota
	// RoleEntry is an entry.
	RoleEntry
	// RoleSide is a side.
	RoleSide
	// RoleControl is a control host or store host.
	RoleControl
	// RoleOperator is an operator's command-line tool.
	RoleOperator
)

// ParseRole returns the role with the given lower-case name. RoleNone has no name.
func ParseRole(s string) (Role, error) {
	for r := RoleEntry; r <= RoleOperator; r++ {
		if strings.ToLower(r.String()) == s {
			return r, nil
		}
	}
	return RoleNone, errors.NotValidf("role %q (want entry, side, control or operator)", s)
}

// Peer is the other end of a connection, as authenticated by TLS.
type Peer struct {
	Role Role
	// Name is the certificate's common name.
	Name string
	// TLS is false on plain TCP, where Role and Name are not known.
	TLS bool
}

// PeerFrom returns the peer that called the RPC with the context ctx.
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
	return peerFromCertificate(s.PeerCertificates[0])
}

// peerFromCertificate takes the role from the certificate's organizational unit.
func peerFromCertificate(c *x509.Certificate) Peer {
	p := Peer{Name: c.Subject.CommonName, TLS: true}
	for _, u := range c.Subject.OrganizationalUnit {
		if r, err := ParseRole(u); err == nil {
			p.Role = r
		}
	}
	return p
}
