package pipe

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// poll returns the events of the connection's socket, 0 if it has none.
func poll(c net.Conn, events int16) int16 {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var got int16
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(p, 0); err == nil && n > 0 {
			got = p[0].Revents
		}
	})
	if err != nil {
		return 0
	}
	return got
}

// hungUp reports whether the peer has closed the connection, also if bytes that it
// sent before are unread.
func hungUp(c net.Conn) bool {
	return poll(c, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// nothingReceived reports whether the connection has no unread bytes.
func nothingReceived(c net.Conn) bool { return poll(c, unix.POLLIN) == 0 }
