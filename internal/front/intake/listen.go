package intake

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBufferBytes is the receive buffer of a connection in bytes. Bytes that were received and
// not read yet count as memory of the process.
const receiveBufferBytes = 32 << 10

// Listen listens on a TCP address. The connections have small receive buffers.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Connections inherit the size. Without it, they have the default of the system.
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}
