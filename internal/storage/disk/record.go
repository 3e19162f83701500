package disk

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// WriteRecord replaces the file of the given name in dir by v, atomically and durably.
func WriteRecord(dir, name string, v any) error {
	payload, err := wire.Marshal(v)
	if err != nil {
		return errors.Annotate(err, name)
	}
	return errors.Trace(writeFile(filepath.Join(dir, name), appendFrame(nil, payload)))
}

// ReadRecord reads what WriteRecord wrote into v. It returns an error that os.IsNotExist reports if
// there is no such file.
func ReadRecord(dir, name string, v any) error {
	path := filepath.Join(dir, name)
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	payload, _, ok := parseFrame(b)
	if !ok || wire.Unmarshal(payload, v) != nil {
		return errors.Annotate(raft.ErrCorrupt, path)
	}
	return nil
}
