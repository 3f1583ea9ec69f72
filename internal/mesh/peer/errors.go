package peer

import (
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/yamux"
)

// errTooManyStreams means that a session had more streams than peers open.
var errTooManyStreams = errors.New("too many streams on a session")

// VersionError means that a peer uses another version of the protocol.
type VersionError struct {
	Version uint32
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("peer uses protocol version %d, this process uses version %d", e.Version, Version)
}

// SelfError means that the address of a link belongs to this process itself.
type SelfError struct{}

// Error implements error.
func (e *SelfError) Error() string {
	return "peer address is the address of this process itself"
}

// isDisconnect reports whether an error means that the peer closed the stream or the
// connection, as opposed to an invalid message.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrSessionShutdown) ||
		errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrStreamClosed)
}
