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
	free   *semaphore.Weighted
}

// NewMemory returns a Memory without messages.
func NewMemory(limits Limits) *Memory {
	limits = limits.WithDefaults()
	return &Memory{limits: limits, free: semaphore.NewWeighted(limits.MaxMessageMemory)}
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
// there was no memory in time.
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
	if err != nil {
		return nil, err
	}
	r.limitTime()
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

// reserve waits for the memory of a message.
func (m *Memory) reserve(ctx context.Context, size int64) (release func(), err error) {
	if size <= freeMessageSize {
		return func() {}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.limits.MessageTimeout)
	defer cancel()
	if err = m.free.Acquire(ctx, size); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoMemory, err)
	}
	return func() { m.free.Release(size) }, nil
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
