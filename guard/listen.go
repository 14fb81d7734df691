package guard

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
)

// Buffers bound what the kernel keeps of each connection. The bytes that have arrived and that nobody has read, and those that the other side has not
// taken yet, are memory of the host.
type Buffers struct {
	ReceiveBytes, SendBytes int
}

// Buffers of connections. A window of this size carries 1 MB/s or more over a link with a delay of 5 ms. Responses to clients are small; metrics and
// replies to peers are not.
var (
	clientBuffers = Buffers{ReceiveBytes: 16 << 10, SendBytes: 8 << 10}
	sideBuffers   = Buffers{ReceiveBytes: 16 << 10, SendBytes: 32 << 10}
	peerBuffers   = Buffers{ReceiveBytes: 32 << 10, SendBytes: 32 << 10}
)

func (b Buffers) bytes() int64 { return int64(b.ReceiveBytes + b.SendBytes) }

// queuedConns bounds the connections at one address that wait for being accepted.
const queuedConns = 64

// listenTCP listens at an address. The accepted connections have the given buffers, and so have those that wait for being accepted, of which there
// are at most queuedConns.
func listenTCP(ctx context.Context, network, address string, b Buffers) (net.Listener, error) {
	l, err := (&net.ListenConfig{Control: b.apply}).Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return l, nil
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		// The net package asks for the longest queue that the kernel allows. Listening again changes its length.
		err = control(raw, func(fd int) error { return syscall.Listen(fd, queuedConns) })
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("limit the queue of connections: %w", err), l.Close())
	}
	return l, nil
}

// apply sets the sizes of the buffers of a socket, which accepted connections inherit.
func (b Buffers) apply(_, _ string, raw syscall.RawConn) error {
	// The kernel doubles the sizes to have room for its own records.
	const doubled = 2
	return control(raw, func(fd int) error {
		return errors.Join(
			syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, b.ReceiveBytes/doubled),
			syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, b.SendBytes/doubled),
		)
	})
}

func control(raw syscall.RawConn, f func(fd int) error) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) { err = f(int(fd)) }); controlErr != nil {
		return controlErr
	}
	return err
}
