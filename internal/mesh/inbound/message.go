package inbound

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"
)

// freeMessageSize is the size in bytes up to which messages do not count toward
// Limits.MaxMessageMemory, so that they never wait for large ones.
const freeMessageSize = 4 << 10

// ErrNoMemory means that a message was not read because other messages held
// Limits.MaxMessageMemory for too long.
var ErrNoMemory = errors.New("too many large messages are held")

// Memory bounds the memory for the messages of all peers. It is safe for concurrent use.
type Memory struct {
	limits Limits
	// free is the memory for messages, waiting the sum of the sizes of those that may wait
	// for it: the streams of these hold what has been received of them.
	free, waiting *semaphore.Weighted
}

// NewMemory returns a Memory without messages.
func NewMemory(limits Limits) *Memory {
	limits = limits.WithDefaults()
	return &Memory{
		limits: limits, free: semaphore.NewWeighted(limits.MaxMessageMemory), waiting: semaphore.NewWeighted(limits.MaxMessageMemory),
	}
}

// Reader reads the messages of a stream, each preceded by its size as a varint.
type Reader struct {
	memory *Memory
	stream net.Conn
	buffer *bufio.Reader
}

// NewReader returns a reader of a stream with a buffer of a size in bytes.
func (m *Memory) NewReader(stream net.Conn, bufferSize int) *Reader {
	return &Reader{memory: m, stream: stream, buffer: bufio.NewReaderSize(stream, bufferSize)}
}

// Read reads the next message, of maxSize bytes at most. It waits for the first byte
// until the read deadline of the stream. After that, the message waits for memory and
// then for its remaining bytes, each for Limits.MessageTimeout at most. Read clears the
// deadline.
//
// Unless there is an error, release must be called once the message is no longer used.
// The error is io.EOF if the stream ended before a message, and wraps ErrNoMemory if
// there was no memory in time, or too many messages wait for it; the message is skipped
// then.
func (r *Reader) Read(ctx context.Context, maxSize int, message proto.Message) (release func(), err error) {
	if _, err = r.buffer.Peek(1); err != nil {
		return nil, err
	}
	r.limitTime()
	size, err := binary.ReadUvarint(r.buffer)
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if size > uint64(maxSize) {
		return nil, fmt.Errorf("a message of %d bytes, more than %d", size, maxSize)
	}
	release, err = r.memory.reserve(ctx, int64(size))
	r.limitTime()
	if err != nil {
		// A peer that has not sent all of a message does not read what it is told instead.
		_, _ = io.CopyN(io.Discard, r.buffer, int64(size))
		return nil, err
	}
	data := make([]byte, size)
	if _, err = io.ReadFull(r.buffer, data); err == nil {
		err = proto.Unmarshal(data, message)
	}
	if err != nil {
		release()
		return nil, unexpectedEOF(err)
	}
	_ = r.stream.SetReadDeadline(time.Time{})
	return release, nil
}

// reserve waits for the memory of a message. It returns ErrNoMemory at once if too many
// others wait.
func (m *Memory) reserve(ctx context.Context, size int64) (release func(), err error) {
	if size <= freeMessageSize {
		return func() {}, nil
	}
	release = func() { m.free.Release(size) }
	if m.free.TryAcquire(size) {
		return release, nil
	}
	if !m.waiting.TryAcquire(size) {
		return nil, ErrNoMemory
	}
	defer m.waiting.Release(size)
	ctx, cancel := context.WithTimeout(ctx, m.limits.MessageTimeout)
	defer cancel()
	if err = m.free.Acquire(ctx, size); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoMemory, err)
	}
	return release, nil
}

// limitTime sets the read deadline for what is read next of a message.
func (r *Reader) limitTime() {
	_ = r.stream.SetReadDeadline(time.Now().Add(r.memory.limits.MessageTimeout))
}

// unexpectedEOF returns an error within a message, where an end is unexpected.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
