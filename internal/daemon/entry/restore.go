package entry

import (
	"context"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/base/event"
)

// storedVersion is what was last read of a document in the platform. The zero
// value stands for a key that does not exist.
type storedVersion struct {
	// version is the platform's version of the key.
	version int64
	// revision is the revision of the document.
	revision uint64
}

// record sets the version and revision if the document was read from the
// platform. Documents from peers are unversioned and say nothing about the
// platform.
func (s *storedVersion) record(version int64, revision uint64) {
	if version != unversioned {
		s.version, s.revision = version, revision
	}
}

// restoreDocuments writes the documents in force to the platform where it holds
// older ones or none, which happens after its store was lost or restored from a
// backup.
func (e *Entry) restoreDocuments(ctx context.Context) {
	e.mu.Lock()
	s := &e.state
	documents := []struct {
		key      string
		stored   storedVersion
		revision uint64
		data     []byte
	}{
		{keyConfig, s.storedConfig, s.config.Revision, s.configData},
		{keyTable, s.storedTable, s.table.Revision(), s.tableData},
		{keyFleet, s.storedFleet, s.fleet.Revision, s.fleetData},
	}
	e.mu.Unlock()
	for _, r := range documents {
		if r.stored.revision >= r.revision {
			continue
		}
		if _, err := e.platform.CompareAndSwap(ctx, r.key, r.stored.version, r.data, 0); err == nil {
			event.DocumentRestored.Log(e.log, logrus.Fields{"key": r.key, "stored": r.stored.revision, "revision": r.revision})
		}
	}
}
