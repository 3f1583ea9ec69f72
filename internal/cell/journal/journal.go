// Package journal keeps the durable state of a cell in the metadata store: a
// snapshot and the records since, in a few keys. Every write is conditional on
// the cell still having the owner that writes, so a deposed one can write
// nothing.
package journal

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// ErrDeposed says that the cell has another owner.
var ErrDeposed = errors.New("the cell has another owner")

const (
	// segmentBytes is when a segment is full. A segment is written whole with
	// each append, so a larger one costs more bytes and a smaller one more keys.
	segmentBytes = 8 << 10
	// segmentsKept is how many full segments lead to a snapshot; all are removed
	// with it, in one change of the store.
	segmentsKept = 24
	// appendTimeout bounds one try; the store answers in milliseconds.
	appendTimeout = 700 * time.Millisecond
	// retryWait is the pause after a refused try.
	retryWait = 40 * time.Millisecond
	// sequenceDigits keeps the keys of segments in order.
	sequenceDigits = 12
)

// Key returns the prefix of all keys of a cell.
func Key(cell string) string { return "cell/" + cell + "/" }

// Journal writes the records of a cell. It is used by one goroutine at a time.
type Journal struct {
	client *store.Client
	cell   string
	// owner is the condition that the cell is still owned.
	owner    store.Condition
	sequence int64
	segment  []byte
	// revision is that of the current segment, 0 if it is not stored yet.
	revision int64
	// full are the segments to remove with the next snapshot.
	full []string
	// calls counts tries.
	calls int64
}

// Load reads the state of a cell into an empty one and returns the journal to
// go on with. The owner is the condition under which it is written.
func Load(ctx context.Context, client *store.Client, cell string, owner store.Condition, into *jobs.Cell, now time.Time) (journal *Journal, err error) {
	defer fault.Annotate(&err, "state of cell %s", cell)
	items, _, err := client.ReadAll(ctx, Key(cell), false)
	if err != nil {
		return nil, err
	}
	j := &Journal{client: client, cell: cell, owner: owner}
	from := int64(0)
	for _, item := range items {
		if item.Key == j.snapshotKey() {
			if from, err = restore(item.Value, into, now); err != nil {
				return nil, err
			}
		}
	}
	j.sequence = from
	for _, item := range items {
		sequence, ok := j.sequenceOf(item.Key)
		if !ok {
			continue
		}
		j.full = append(j.full, item.Key)
		if sequence < from {
			continue
		}
		if err := replay(item.Value, into, now); err != nil {
			return nil, fmt.Errorf("%s: %w", item.Key, err)
		}
		j.sequence = max(j.sequence, sequence+1)
	}
	into.FinishRestore()
	return j, nil
}

type storedSnapshot struct {
	// From is the first segment that is not part of the snapshot.
	From  int64         `json:"from"`
	State jobs.Snapshot `json:"state"`
}

func restore(value []byte, into *jobs.Cell, now time.Time) (from int64, err error) {
	data, err := io.ReadAll(flate.NewReader(bytes.NewReader(value)))
	if err != nil {
		return 0, err
	}
	var s storedSnapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return 0, err
	}
	into.Restore(now, s.State)
	return s.From, nil
}

func replay(value []byte, into *jobs.Cell, now time.Time) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	for {
		var record jobs.Record
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		into.Apply(now, record)
	}
}

func (j *Journal) snapshotKey() string { return Key(j.cell) + "state" }

func (j *Journal) segmentKey(sequence int64) string {
	return fmt.Sprintf("%slog/%0*d", Key(j.cell), sequenceDigits, sequence)
}

func (j *Journal) sequenceOf(key string) (sequence int64, ok bool) {
	text, ok := strings.CutPrefix(key, Key(j.cell)+"log/")
	if !ok {
		return 0, false
	}
	sequence, err := strconv.ParseInt(text, 10, 64)
	return sequence, err == nil
}

// WantsSnapshot tells whether the next append should be a snapshot.
func (j *Journal) WantsSnapshot() bool { return len(j.full) >= segmentsKept }

// Append stores records. It tries until they are stored, the cell has another
// owner (ErrDeposed) or the context ends.
func (j *Journal) Append(ctx context.Context, records []jobs.Record) (err error) {
	defer fault.Annotate(&err, "journal of cell %s", j.cell)
	buffer := bytes.NewBuffer(j.segment)
	encoder := json.NewEncoder(buffer)
	for i := range records {
		if err := encoder.Encode(&records[i]); err != nil {
			return err
		}
	}
	key := j.segmentKey(j.sequence)
	revision, err := j.write(ctx, store.Change{
		If:   []store.Condition{j.owner, {Key: key, Revision: j.revision}},
		Puts: []store.Put{{Key: key, Value: buffer.Bytes()}},
	})
	if err != nil {
		return err
	}
	j.segment, j.revision = buffer.Bytes(), revision
	if len(j.segment) >= segmentBytes {
		j.full = append(j.full, key)
		j.next()
	}
	return nil
}

func (j *Journal) next() {
	j.sequence++
	j.segment, j.revision = j.segment[:0], 0
}

// Rewrite stores the whole state in place of all records so far. The snapshot
// holds the records that were not appended yet.
func (j *Journal) Rewrite(ctx context.Context, state jobs.Snapshot) (err error) {
	defer fault.Annotate(&err, "snapshot of cell %s", j.cell)
	if j.revision > 0 {
		j.full = append(j.full, j.segmentKey(j.sequence))
		j.next()
	}
	buffer := &bytes.Buffer{}
	writer, err := flate.NewWriter(buffer, flate.BestSpeed)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(writer).Encode(storedSnapshot{From: j.sequence, State: state}); err != nil {
		return err
	}
	if err := writer.Close(); err != nil {
		return err
	}
	// Two entries are the condition and the snapshot. Segments that are left are
	// older than the snapshot and are skipped when the state is read.
	removed := min(len(j.full), store.MaxChange-2)
	_, err = j.write(ctx, store.Change{
		If:     []store.Condition{j.owner},
		Puts:   []store.Put{{Key: j.snapshotKey(), Value: buffer.Bytes()}},
		Remove: j.full[:removed],
	})
	if err != nil {
		return err
	}
	j.full = j.full[removed:]
	return nil
}

// write tries a change until it is known to be carried out. A try without an
// answer may have been carried out, so a conflict is compared with what was to
// be written.
func (j *Journal) write(ctx context.Context, change store.Change) (revision int64, err error) {
	for {
		j.calls++
		try, cancel := context.WithTimeout(ctx, appendTimeout)
		revision, err = j.client.Commit(try, change)
		cancel()
		if err == nil {
			return revision, nil
		}
		if conflict, ok := errors.AsType[*store.ConflictError](err); ok {
			return j.compare(conflict, change)
		}
		if !errors.Is(err, store.ErrRefused) && !errors.Is(err, store.ErrOpen) {
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(retryWait):
		}
	}
}

// compare tells whether the change that met a conflict is one's own.
func (j *Journal) compare(conflict *store.ConflictError, change store.Change) (revision int64, err error) {
	for _, item := range conflict.Items {
		if item.Key == j.owner.Key && item.Revision != j.owner.Revision {
			return 0, ErrDeposed
		}
		if item.Key == change.Puts[0].Key && bytes.Equal(item.Value, change.Puts[0].Value) {
			revision = item.Revision
		}
	}
	if revision == 0 {
		return 0, ErrDeposed
	}
	return revision, nil
}
