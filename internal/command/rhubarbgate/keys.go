package rhubarbgate

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/pem"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/security/authority"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	// callerKeyBytes is the number of random bytes in a caller's key.
	callerKeyBytes = 32
	// callerKeyPrefix lets scanners for leaked secrets recognize a caller's key.
	callerKeyPrefix = "rg-"
	// privateKeyBlock is the PEM block type of an operator's private key.
	privateKeyBlock = "RHUBARBGATE OPERATOR KEY"

	authorityLifetime   = 10 * 365 * 24 * time.Hour
	certificateLifetime = 90 * 24 * time.Hour
)

// newCallerKey returns a new random key of a caller.
func newCallerKey() string {
	b := make([]byte, callerKeyBytes)
	// crypto/rand never returns an error; it ends the process instead.
	_, _ = rand.Read(b)
	return callerKeyPrefix + base64.RawURLEncoding.EncodeToString(b)
}

func newKey() *cobra.Command {
	c := &cobra.Command{Use: "key", Short: "Creates keys of callers and operators"}
	callerKey := &cobra.Command{
		Use: "caller", Short: "Prints a new caller's key and the digest for the bundle", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			k := newCallerKey()
			c.Printf("Key %s\nDigest %s\n", k, config.KeyDigest(k))
		},
	}
	var out string
	operatorKey := &cobra.Command{
		Use: "operator", Short: "Writes a new operator's private key and prints the public one", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			public, private, err := ed25519.GenerateKey(rand.Reader)
			if err != nil {
				return errors.Trace(err)
			}
			b := pem.EncodeToMemory(&pem.Block{Type: privateKeyBlock, Bytes: private.Seed()})
			if err := writeSecret(out, b); err != nil {
				return err
			}
			c.Printf("PublicKey %s\n", base64.StdEncoding.EncodeToString(public))
			return nil
		},
	}
	operatorKey.Flags().StringVar(&out, "out", "operator.key", "file to write the private key to; it must not exist")
	c.AddCommand(callerKey, operatorKey)
	return c
}

func readPrivateKey(path string) (ed25519.PrivateKey, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p, _ := pem.Decode(b)
	if p == nil || p.Type != privateKeyBlock || len(p.Bytes) != ed25519.SeedSize {
		return nil, errors.NotValidf("operator key %s", path)
	}
	return ed25519.NewKeyFromSeed(p.Bytes), nil
}

// writeSecret creates a file that only its owner may read. It fails if the file
// exists, so that no key is overwritten.
func writeSecret(path string, b []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := f.Write(b); err != nil {
		f.Close()
		return errors.Trace(err)
	}
	return errors.Trace(f.Close())
}

func newCertificate() *cobra.Command {
	var dir string
	c := &cobra.Command{Use: "certificate", Short: "Creates the fleet authority and the processes' certificates"}
	c.PersistentFlags().StringVar(&dir, "dir", ".", "folder of the authority's and the certificates' files")
	newAuthority := &cobra.Command{
		Use: "authority", Short: "Creates the fleet authority: authority.crt and authority.key", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p, err := authority.New(clockwork.NewRealClock().Now(), authorityLifetime)
			if err != nil {
				return err
			}
			return writeKeyPair(dir, "authority", p)
		},
	}
	var lifetime time.Duration
	issue := &cobra.Command{
		Use: "issue ROLE NAME", Short: "Creates a certificate for ROLE (entry, side, control or operator): NAME.crt and NAME.key", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			role, err := wire.ParseRole(strings.ToLower(args[0]))
			if err != nil {
				return &usageError{[]string{err.Error()}}
			}
			ca, err := readKeyPair(dir, "authority")
			if err != nil {
				return err
			}
			p, err := ca.Issue(role, args[1], clockwork.NewRealClock().Now(), lifetime)
			if err != nil {
				return err
			}
			return writeKeyPair(dir, args[1], p)
		},
	}
	issue.Flags().DurationVar(&lifetime, "lifetime", certificateLifetime, "how long the certificate is valid")
	c.AddCommand(newAuthority, issue)
	return c
}

func readKeyPair(dir, name string) (*authority.KeyPair, error) {
	c, err := os.ReadFile(filepath.Join(dir, name+".crt"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	k, err := os.ReadFile(filepath.Join(dir, name+".key"))
	return &authority.KeyPair{Certificate: c, Key: k}, errors.Trace(err)
}

func writeKeyPair(dir, name string, p *authority.KeyPair) error {
	if err := writeSecret(filepath.Join(dir, name+".key"), p.Key); err != nil {
		return err
	}
	return errors.Trace(os.WriteFile(filepath.Join(dir, name+".crt"), p.Certificate, 0o644))
}
