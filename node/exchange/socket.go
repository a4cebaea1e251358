package exchange

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUnackedTimeout makes the system close the connection if sent data is not
// acknowledged within d.
func (cn *conn) setUnackedTimeout(d time.Duration) error {
	tcp, ok := cn.Conn.(*net.TCPConn)
	if !ok || d <= 0 || d == cn.unackedTimeout {
		return nil
	}
	cn.unackedTimeout = d
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// isReusable reports whether an idle connection can be reused: its peer has not closed it,
// and no bytes, which would belong to an earlier request, were received on it.
func isReusable(cn *conn) bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := cn.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}
