package replica

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/policy/versions"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

const (
	// versionsFile holds the history of software versions in the data folder.
	versionsFile = "versions"
	// versionsCheckInterval is how often a control host checks whether the history is to be saved,
	// and versionsSaveInterval how often it saves one whose newest versions are the same.
	versionsCheckInterval = 200 * time.Millisecond
	versionsSaveInterval  = 2 * time.Second
)

// loadVersions continues the history of software versions that the host saved, so that streams go on
// after all control hosts lost power.
func (h *Host) loadVersions() error {
	var saved versions.Saved
	err := disk.ReadRecord(h.Data, versionsFile, &saved)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	h.streams.History.Restore(saved)
	return nil
}

// saveVersions saves the history of software versions, until ctx ends.
func (h *Host) saveVersions(ctx context.Context) {
	t := h.Clock.NewTicker(versionsCheckInterval)
	defer t.Stop()
	var saved versions.Saved
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		s := h.streams.History.Save()
		if s.Newest.Sub(saved.Newest) < versionsSaveInterval && s.SameVersions(saved) {
			continue
		}
		if err := disk.WriteRecord(h.Data, versionsFile, &s); err != nil {
			h.Logger.WithError(err).Warn("saving the history of software versions failed")
			continue
		}
		saved = s
	}
}
