// Package journal stores the state of a cell in the metadata store, as a snapshot and
// a log of the records since then, in a few keys. Every write is conditional on the
// ownership of the cell, so an owner that has been replaced can write nothing, and on
// the revision of what it replaces, so that an attempt that the store carries out late
// does nothing once a later write has succeeded.
package journal

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"gitlab.com/chicorypin/chicorypin/internal/back/store"
	"gitlab.com/chicorypin/chicorypin/internal/base/event"
	"gitlab.com/chicorypin/chicorypin/internal/base/fault"
	"gitlab.com/chicorypin/chicorypin/jobs"
)

// ErrDeposed reports that the cell has another owner.
var ErrDeposed = errors.New("the cell has another owner")

// ErrIncomplete reports that segments are missing from the stored log of a cell.
var ErrIncomplete = errors.New("the stored log is incomplete")

const (
	// maxSegmentBytes is the size from which a log segment counts as full. Each
	// append rewrites its whole segment, so larger segments cost more bytes and
	// smaller ones more keys.
	maxSegmentBytes = 8 << 10
	// minLogBytes is the least size of the log at which a snapshot is due. Above that a
	// snapshot is due when the log is as large as the last snapshot, so that in a large
	// cell snapshots cost no more than the log itself.
	minLogBytes = 24 * maxSegmentBytes
	// maxValueBytes bounds the values into which a snapshot or a batch of records is
	// divided. The store accepts values of a megabyte.
	maxValueBytes = 900 << 10
	// commitTimeout bounds one commit attempt; the store answers in milliseconds.
	commitTimeout = 700 * time.Millisecond
	// maxInvalidAttempts is how often the store has to answer that it does not take a write
	// until that counts.
	maxInvalidAttempts = 3
	// retryDelay is the pause after a failed commit attempt.
	retryDelay = 40 * time.Millisecond
	// sequenceDigits is the width to which sequence numbers are padded with zeros, so
	// that segment keys sort in order.
	sequenceDigits = 12
)

// Key returns the prefix of all store keys of a cell.
func Key(cell string) string { return "cell/" + cell + "/" }

// Config configures a Journal.
type Config struct {
	Client *store.Client
	Cell   string
	// Owner is the condition that this owner still owns the cell. Every write depends on
	// it.
	Owner store.Condition
	Log   *logrus.Entry
}

// Guard returns a further condition of a write. current is nil before the first attempt and the
// present state of the condition's key when it was not met. After an error nothing is written.
type Guard func(current *store.Item) (condition store.Condition, err error)

// Journal writes the records of a cell. It is not safe for concurrent use.
type Journal struct {
	config Config
	// head is the condition that the stored snapshot is the last one that was loaded or
	// written. Its key is written together with each snapshot and holds snapshotNumber,
	// so that a conflict does not return the snapshot itself.
	head           store.Condition
	snapshotNumber int64
	// sequence is the number of the current segment, segment its content.
	sequence int64
	segment  []byte
	// revision is the store revision of the current segment, 0 if it is not stored
	// yet. isAttempted reports that a write of it has failed, and may have been carried out.
	revision    int64
	isAttempted bool
	// guard is that of the write in progress, nil for none.
	guard Guard
	// fullSegments holds the keys of the segments that the next snapshot replaces,
	// obsolete those of segments that were replaced and are to be removed.
	fullSegments, obsolete []string
	// logBytes is the size of the log since the last snapshot, snapshotBytes that of the
	// last snapshot before compression.
	logBytes, snapshotBytes int
}

// Load reads the stored state of a cell into target, which must be empty, and returns
// a journal that continues after it.
func Load(ctx context.Context, config Config, target *jobs.Cell, now time.Time) (journal *Journal, err error) {
	defer fault.Annotate(&err, "state of cell %s", config.Cell)
	items, readAt, err := config.Client.ReadAll(ctx, Key(config.Cell), false)
	if err != nil {
		return nil, err
	}
	j := &Journal{config: config, head: store.Condition{Key: Key(config.Cell) + "head"}}
	if err := j.restoreHead(items); err != nil {
		return nil, err
	}
	firstSegment, silent, err := j.restore(items, target, now)
	if err != nil {
		return nil, err
	}
	j.sequence = firstSegment
	for _, item := range items {
		sequence, ok := j.sequenceOf(item.Key)
		if !ok {
			continue
		}
		if sequence < firstSegment {
			j.obsolete = append(j.obsolete, item.Key)
			continue
		}
		if sequence != j.sequence {
			if err := j.checkOwner(ctx); err != nil {
				return nil, err
			}
			return nil, fmt.Errorf("%w: %s is the next one after %s", ErrIncomplete, item.Key, j.segmentKey(j.sequence-1))
		}
		j.fullSegments = append(j.fullSegments, item.Key)
		j.logBytes += len(item.Value)
		if err := replay(item.Value, target, now); err != nil {
			return nil, fmt.Errorf("%s: %w", item.Key, err)
		}
		j.sequence = sequence + 1
	}
	target.FinishRestore()
	isHandover := len(silent) > 0 && len(j.fullSegments) == 0
	j.logLoaded(items, firstSegment, readAt, isHandover)
	if isHandover {
		// Grants of this owner make what the snapshot says of silent endpoints outdated for
		// the owners after it. The record tells them.
		if err := j.Append(ctx, []jobs.Record{{Owner: config.Owner.Revision}}); err != nil {
			return nil, err
		}
		target.InheritGrants(now, silent)
	}
	return j, nil
}

// checkOwner returns ErrDeposed if the cell has another owner, whose snapshots may remove
// segments while they are read.
func (j *Journal) checkOwner(ctx context.Context) error {
	item, err := j.config.Client.Get(ctx, j.config.Owner.Key)
	if errors.Is(err, store.ErrNotFound) || err == nil && item.Revision != j.config.Owner.Revision {
		return ErrDeposed
	}
	return err
}

// logLoaded logs which snapshot and segments were loaded from items, which were read at
// the store revision readAt, and whether the grants on silent endpoints are those that the
// snapshot says.
func (j *Journal) logLoaded(items []store.Item, firstSegment, readAt int64, isHandover bool) {
	fields := logrus.Fields{
		"epoch": j.config.Owner.Revision, "from": firstSegment, "segments": len(j.fullSegments), "read": readAt,
		"handover": isHandover,
	}
	for _, item := range items {
		if item.Key == j.partKey(0) {
			fields["snapshot"] = item.Revision
		}
	}
	if len(j.fullSegments) > 0 {
		fields["first"], _ = j.sequenceOf(j.fullSegments[0])
		fields["last"] = j.sequence - 1
	}
	event.CellLoaded.Log(j.config.Log, fields)
}

// restoreHead sets the head from the keys of the cell. Entries of earlier versions have
// stored none.
func (j *Journal) restoreHead(items []store.Item) (err error) {
	for _, item := range items {
		if item.Key != j.head.Key {
			continue
		}
		j.head.Revision = item.Revision
		if j.snapshotNumber, err = strconv.ParseInt(string(item.Value), 10, 64); err != nil {
			return fmt.Errorf("%s: %w", item.Key, err)
		}
	}
	return nil
}

// storedSnapshot is the content of the snapshot's parts, as compressed JSON.
type storedSnapshot struct {
	// FirstSegment is the number of the first segment that is not part of the
	// snapshot.
	FirstSegment int64         `json:"from"`
	State        jobs.Snapshot `json:"state"`
}

// restore decodes the snapshot among the keys of a cell into target and returns the
// number of the first segment to replay, 0 if there is no snapshot, and the endpoints that
// were silent when the snapshot was made.
func (j *Journal) restore(items []store.Item, target *jobs.Cell, now time.Time) (firstSegment int64, silent []jobs.SilentEndpoint, err error) {
	parts := make(map[string][]byte)
	for _, item := range items {
		parts[item.Key] = item.Value
	}
	var compressed []byte
	for i := 0; parts[j.partKey(i)] != nil; i++ {
		compressed = append(compressed, parts[j.partKey(i)]...)
	}
	if compressed == nil {
		return 0, nil, nil
	}
	// Parts that an earlier, larger snapshot has left follow the end of the compressed
	// data, where the reader stops.
	data, err := io.ReadAll(flate.NewReader(bytes.NewReader(compressed)))
	if err != nil {
		return 0, nil, err
	}
	j.snapshotBytes = len(data)
	var s storedSnapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return 0, nil, err
	}
	target.Restore(now, s.State)
	return s.FirstSegment, s.State.Silent, nil
}

// replay applies the records of a segment to target.
func replay(value []byte, target *jobs.Cell, now time.Time) error {
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
		target.Apply(now, record)
	}
}

// partKey returns the key of a part of the snapshot.
func (j *Journal) partKey(number int) string {
	key := Key(j.config.Cell) + "state"
	if number > 0 {
		key += fmt.Sprintf("/%d", number)
	}
	return key
}

func (j *Journal) segmentKey(sequence int64) string {
	return fmt.Sprintf("%slog/%0*d", Key(j.config.Cell), sequenceDigits, sequence)
}

// sequenceOf returns the number of the segment with a key; ok is false for other
// keys.
func (j *Journal) sequenceOf(key string) (sequence int64, ok bool) {
	text, ok := strings.CutPrefix(key, Key(j.config.Cell)+"log/")
	if !ok {
		return 0, false
	}
	sequence, err := strconv.ParseInt(text, 10, 64)
	return sequence, err == nil
}

// IsSnapshotDue reports whether the next write should be a snapshot.
func (j *Journal) IsSnapshotDue() bool { return j.logBytes >= max(minLogBytes, j.snapshotBytes) }

// Append stores records, in several writes if they are too large for one value. It retries
// until they are stored, the cell has another owner (ErrDeposed), the context ends, the store
// does not take the write (store.ErrInvalid) or it reports an error that is neither
// store.ErrRefused nor store.ErrIndeterminate. After any error some or all of the records may have
// been stored, and the Journal must not be used any more, except that after store.ErrInvalid a
// snapshot that contains them may be written.
func (j *Journal) Append(ctx context.Context, records []jobs.Record) (err error) {
	return j.AppendGuarded(ctx, records, nil)
}

// AppendGuarded is Append with a guard, nil for none. Some of the records may be stored when the
// guard reports an error for the rest.
func (j *Journal) AppendGuarded(ctx context.Context, records []jobs.Record, guard Guard) (err error) {
	defer fault.Annotate(&err, "journal of cell %s", j.config.Cell)
	j.guard = guard
	content := j.segment
	for i := range records {
		encoded, err := json.Marshal(&records[i])
		if err != nil {
			return err
		}
		if len(content) > 0 && len(content)+len(encoded) >= maxValueBytes {
			if err := j.writeSegment(ctx, content); err != nil {
				return err
			}
			content = j.segment
		}
		if len(encoded) >= maxValueBytes {
			return fmt.Errorf("%w: a record of %d bytes: %.100s", store.ErrInvalid, len(encoded), encoded)
		}
		content = append(append(content, encoded...), '\n')
	}
	return j.writeSegment(ctx, content)
}

// writeSegment stores the content of the current segment and starts a new one if it is full.
func (j *Journal) writeSegment(ctx context.Context, content []byte) error {
	key := j.segmentKey(j.sequence)
	change := store.Change{
		If:   []store.Condition{j.config.Owner, {Key: key, Revision: j.revision}},
		Puts: []store.Put{{Key: key, Value: content}},
	}
	if j.revision == 0 {
		// Once a snapshot has removed the segment, its key is missing again. An attempt
		// to create it that is carried out only then must fail.
		change.If = append(change.If, j.head)
	}
	j.isAttempted = true
	revision, err := j.commitAndRemove(ctx, change)
	if err != nil {
		return err
	}
	j.isAttempted = false
	j.logBytes += len(content) - len(j.segment)
	j.segment, j.revision = content, revision
	if len(j.segment) >= maxSegmentBytes {
		j.fullSegments = append(j.fullSegments, key)
		j.startSegment()
	}
	return nil
}

// startSegment continues with a new, empty segment.
func (j *Journal) startSegment() {
	j.sequence++
	j.segment, j.revision, j.isAttempted = j.segment[:0], 0, false
}

// WriteSnapshot stores a snapshot of the whole state in place of all earlier records. The
// snapshot must contain the records that have not been appended. It retries and fails
// as Append does; after store.ErrInvalid the records may be appended, and a snapshot is due again
// when the log has doubled.
func (j *Journal) WriteSnapshot(ctx context.Context, state jobs.Snapshot) (err error) {
	return j.WriteSnapshotGuarded(ctx, state, nil)
}

// WriteSnapshotGuarded is WriteSnapshot with a guard, nil for none.
func (j *Journal) WriteSnapshotGuarded(ctx context.Context, state jobs.Snapshot, guard Guard) (err error) {
	defer fault.Annotate(&err, "snapshot of cell %s", j.config.Cell)
	j.guard = guard
	if j.revision > 0 {
		j.fullSegments = append(j.fullSegments, j.segmentKey(j.sequence))
	}
	if j.revision > 0 || j.isAttempted {
		// The attempt fails once the snapshot has another head. If it was carried out, the
		// segment is older than the snapshot.
		j.startSegment()
	}
	buffer := &bytes.Buffer{}
	writer, err := flate.NewWriter(buffer, flate.BestSpeed)
	if err != nil {
		return err
	}
	uncompressed := &byteCounter{Writer: writer}
	if err := json.NewEncoder(uncompressed).Encode(storedSnapshot{FirstSegment: j.sequence, State: state}); err != nil {
		return err
	}
	if err := writer.Close(); err != nil {
		return err
	}
	number := j.snapshotNumber + 1
	change := store.Change{
		If:   []store.Condition{j.config.Owner, j.head},
		Puts: []store.Put{{Key: j.head.Key, Value: strconv.AppendInt(nil, number, 10)}},
	}
	for part := range slices.Chunk(buffer.Bytes(), maxValueBytes) {
		change.Puts = append(change.Puts, store.Put{Key: j.partKey(len(change.Puts) - 1), Value: part})
	}
	kept, replaced := j.obsolete, j.fullSegments
	j.obsolete, j.fullSegments = slices.Concat(kept, replaced), nil
	revision, err := j.commitAndRemove(ctx, change)
	if errors.Is(err, store.ErrInvalid) {
		j.obsolete, j.fullSegments, j.snapshotBytes = kept, replaced, 2*j.logBytes
	}
	if err != nil {
		return err
	}
	event.SnapshotStored.Log(j.config.Log, logrus.Fields{"epoch": j.config.Owner.Revision, "from": j.sequence, "snapshot": revision})
	j.head.Revision, j.snapshotNumber = revision, number
	j.logBytes, j.snapshotBytes = 0, uncompressed.size
	return nil
}

// byteCounter counts the bytes written through it.
type byteCounter struct {
	io.Writer
	size int
}

// Write implements io.Writer.
func (c *byteCounter) Write(data []byte) (int, error) {
	c.size += len(data)
	return c.Writer.Write(data)
}

// commitAndRemove commits a change, which it fills up with removals of obsolete
// segments. Segments that remain are older than the snapshot, and Load skips them.
func (j *Journal) commitAndRemove(ctx context.Context, change store.Change) (revision int64, err error) {
	if j.guard != nil {
		condition, err := j.guard(nil)
		if err != nil {
			return 0, err
		}
		change.If = append(change.If, condition)
	}
	removed := max(min(len(j.obsolete), store.MaxChangeSize-len(change.If)-len(change.Puts)), 0)
	change.Remove = j.obsolete[:removed]
	if size := len(change.If) + len(change.Puts) + removed; size > store.MaxChangeSize {
		return 0, fmt.Errorf("%w: a change of %d keys", store.ErrInvalid, size)
	}
	revision, err = j.commit(ctx, change)
	if err == nil {
		j.obsolete = j.obsolete[removed:]
	}
	return revision, err
}

// commit retries a change until its outcome is known, the store does not take it or the context
// ends. An attempt
// without an answer may have succeeded and make the next one conflict, so conflicts
// are compared with the change itself.
func (j *Journal) commit(ctx context.Context, change store.Change) (revision int64, err error) {
	unanswered, invalid := 0, 0
	defer func() {
		if unanswered > 0 {
			event.WriteUnanswered.Log(j.config.Log, logrus.Fields{
				"key": change.Puts[0].Key, "attempts": unanswered, "epoch": j.config.Owner.Revision, "revision": revision,
			})
		}
	}()
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		revision, err = j.config.Client.Commit(attemptCtx, change)
		cancel()
		if err == nil {
			return revision, nil
		}
		if conflict, ok := errors.AsType[*store.ConflictError](err); ok {
			revision, err = j.resolveConflict(conflict, change)
			if err == nil || j.guard == nil || !isGuardAlone(conflict, change) {
				return revision, err
			}
			if err := j.renewGuard(conflict, change); err != nil {
				return 0, err
			}
			continue
		}
		switch {
		case errors.Is(err, store.ErrInvalid):
			if invalid++; invalid >= maxInvalidAttempts {
				return 0, err
			}
		case errors.Is(err, store.ErrIndeterminate):
			unanswered++
		case !errors.Is(err, store.ErrRefused):
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(retryDelay):
		}
	}
}

// renewGuard replaces the last condition of a change, that of the guard, by the present one.
func (j *Journal) renewGuard(conflict *store.ConflictError, change store.Change) (err error) {
	last := len(change.If) - 1
	item, _ := conflict.Item(change.If[last].Key)
	change.If[last], err = j.guard(&item)
	return err
}

// isGuardAlone reports whether the last condition of a change, that of the guard, is the only one
// that was not met.
func isGuardAlone(conflict *store.ConflictError, change store.Change) bool {
	last := len(change.If) - 1
	for i, condition := range change.If {
		item, _ := conflict.Item(condition.Key)
		if isMet := item.Revision == condition.Revision; isMet == (i == last) {
			return false
		}
	}
	return true
}

// resolveConflict returns the revision of the change if an earlier attempt has stored
// it, and ErrDeposed otherwise.
func (j *Journal) resolveConflict(conflict *store.ConflictError, change store.Change) (revision int64, err error) {
	owner, isListed := conflict.Item(j.config.Owner.Key)
	isOwner := isListed && owner.Revision == j.config.Owner.Revision
	stored, _ := conflict.Item(change.Puts[0].Key)
	if !isOwner || stored.Revision == 0 || !bytes.Equal(stored.Value, change.Puts[0].Value) {
		return 0, ErrDeposed
	}
	return stored.Revision, nil
}
