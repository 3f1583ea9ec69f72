package entry

import (
	"context"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// stored is what the platform is known to hold under a key.
type stored struct {
	// version is the platform's, 0 if there is no such key.
	version int64
	// revision is that of the document.
	revision uint64
}

// note takes over what was read from the platform; what a peer has sent is
// unversioned and says nothing about it.
func (s *stored) note(version int64, revision uint64) {
	if version != unversioned {
		s.version, s.revision = version, revision
	}
}

// restoreAll writes the documents in force back to a platform that holds older
// ones, or none: its store was restored from a backup or lost.
func (e *Entry) restoreAll(ctx context.Context) {
	e.mu.Lock()
	s := &e.state
	restores := []struct {
		key      string
		stored   stored
		revision uint64
		data     []byte
	}{
		{keyConfig, s.configStore, s.config.Revision, s.configData},
		{keyTable, s.tableStore, s.table.Revision(), s.tableData},
		{keyFleet, s.fleetStore, s.fleet.Revision, s.fleetData},
	}
	e.mu.Unlock()
	for _, r := range restores {
		if r.stored.revision >= r.revision {
			continue
		}
		if _, err := e.platform.CompareAndSwap(ctx, r.key, r.stored.version, r.data, 0); err == nil {
			event.DocumentRestored.Log(e.log, logrus.Fields{"key": r.key, "stored": r.stored.revision, "revision": r.revision})
		}
	}
}
