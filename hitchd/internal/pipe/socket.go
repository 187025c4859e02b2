package pipe

import (
	"net"
	"syscall"
	"time"

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

// kernelTick is the greatest length of the ticks in which the kernel counts the time since the
// last bytes were received.
const kernelTick = 10 * time.Millisecond

// lastReceived returns when the connection's socket last received bytes, which the process may
// have read later, or up to kernelTick after that. It returns now if that isn't known.
func lastReceived(c net.Conn, now time.Time) time.Time {
	s, ok := c.(syscall.Conn)
	if !ok {
		return now
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return now
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil {
		return now
	}
	return now.Add(-max(0, time.Duration(info.Last_data_recv)*time.Millisecond-kernelTick))
}

// hungUp reports whether the peer has closed the connection, also if bytes that it
// sent before are unread.
func hungUp(c net.Conn) bool {
	return poll(c, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// nothingReceived reports whether the connection has no unread bytes.
func nothingReceived(c net.Conn) bool { return poll(c, unix.POLLIN) == 0 }
