package disk

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

const identityFile = "identity"

// Identity identifies a data folder.
type Identity struct {
	// ID is the Raft member whose data the folder holds.
	ID uint64
	// Incarnation is drawn at random for each new folder, so that a host which
	// lost its disk is not taken for the member that it was.
	Incarnation uint64
}

// LoadIdentity reads the identity of the data folder, or creates the folder and
// the identity. With an id of 0 it draws an ID for a new folder and accepts any in
// an old one; with another id it returns an error if the folder has a different one.
func LoadIdentity(dir string, id uint64, random *rand.Rand) (Identity, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return Identity{}, errors.Trace(err)
	}
	path := filepath.Join(dir, identityFile)
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		if id == 0 {
			id = random.Uint64()
		}
		return createIdentity(path, Identity{ID: id, Incarnation: random.Uint64()})
	}
	if err != nil {
		return Identity{}, errors.Trace(err)
	}
	payload, _, ok := parseFrame(b)
	if !ok {
		return Identity{}, errors.Annotate(raft.ErrCorrupt, path)
	}
	var x Identity
	if err := wire.Unmarshal(payload, &x); err != nil {
		return Identity{}, errors.Annotate(raft.ErrCorrupt, path)
	}
	if id != 0 && x.ID != id {
		return Identity{}, errors.NotValidf("data folder of replica %d for replica %d", x.ID, id)
	}
	return x, nil
}

// createIdentity writes x to a new identity file.
func createIdentity(path string, x Identity) (Identity, error) {
	payload, err := wire.Marshal(&x)
	if err != nil {
		return Identity{}, errors.Trace(err)
	}
	return x, errors.Trace(writeFile(path, appendFrame(nil, payload)))
}

// snapshotName returns the name of the content file of the snapshot at index.
func snapshotName(index uint64) string { return fmt.Sprintf("%s.%020d", snapshotFile, index) }
