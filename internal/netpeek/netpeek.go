// Package netpeek queries the kernel for received bytes of a connection and for queued connections
// of a listener, without reading or accepting them.
package netpeek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the receive state of a connection in the kernel.
type State int

const (
	// Unknown means that the connection has no file descriptor.
	Unknown State = iota
	// Empty means that the connection is open and its receive buffer empty.
	Empty
	// Readable means that the receive buffer holds unread bytes.
	Readable
	// Closed means that the peer closed the connection or that it failed.
	Closed
)

// Peek returns the receive state of a connection. It does not count bytes that were already read
// into a buffer of this process.
func Peek(conn net.Conn) State {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = control.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			state = Empty
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// HungUp reports whether the peer has closed a connection or it has failed, also while received bytes are unread. It
// returns false for a connection without a file descriptor.
func HungUp(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := false
	err = control.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		hungUp = err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || hungUp
}

// Queued reports whether a listener's backlog holds connections that are not yet accepted. It
// returns false for a listener without a file descriptor.
func Queued(listener net.Listener) bool {
	raw, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	err = control.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		queued = err == nil && n > 0 && poll[0].Revents&unix.POLLIN != 0
	})
	return err == nil && queued
}
