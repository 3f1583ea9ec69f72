package peer

import (
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/yamux"
)

// VersionError reports a peer that speaks another version of the protocol.
type VersionError struct {
	Version uint32
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the peer speaks version %d of the protocol, not %d", e.Version, Version)
}

// SelfError reports a link that leads back to this process.
type SelfError struct{}

// Error implements error.
func (e *SelfError) Error() string {
	return "the address is that of this process"
}

// isEnd returns whether an error only tells that the peer is gone.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrSessionShutdown) ||
		errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrStreamClosed)
}
